"""The daemon ``nutmegroadd``: one process is one entry host."""

import asyncio
import os
import random
import signal
import sys
from typing import Any, Final

from absl import logging
from aiomisc import Service, entrypoint

from nutmegroad.clocks import SystemClock
from nutmegroad.core import Kernel
from nutmegroad.exceptions import RegistryError, SettingsError
from nutmegroad.logs import LogFormat, set_up_logs
from nutmegroad.plugins import load_plugins
from nutmegroad.settings import Settings, format_settings, read_settings
from nutmegroad.stops import GracefulStop

_LOG_PREFIX: Final = 'daemon:'

#: Exit code for settings that are wrong.
BAD_SETTINGS: Final = 2

#: Seconds that the parts may take to close after the graceful stop.
STOP_MARGIN: Final = 5


class HostService(Service):
    """Runs one host inside aiomisc's entry point.

    Args:
        settings: Checked settings.
    """

    def __init__(self, settings: Settings, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self._kernel = Kernel(
            settings,
            SystemClock(),
            random.Random(settings.seed),
        )

    async def start(self) -> None:
        """Open all parts, and say where they listen."""
        await self._kernel.start()
        for name, address in self._kernel.listening.items():
            sys.stdout.write(f'listening {name} {address}\n')
        sys.stdout.write('ready\n')
        sys.stdout.flush()

    async def stop(self, exception: Exception | None = None) -> None:
        """Let open requests end, and close all parts."""
        logging.info('%s stopping', _LOG_PREFIX)
        await self._kernel.need(GracefulStop).run()
        async with asyncio.timeout(STOP_MARGIN):
            await self._kernel.stack.aclose()
        logging.info('%s stopped', _LOG_PREFIX)


def stop_on_signals(loop: asyncio.AbstractEventLoop) -> None:
    """End the loop's run at the first signal, and take no notice of more.

    aiomisc's own handlers put the default back as soon as a stop begins,
    so that a second signal would cut what is still open.
    """
    received: list[int] = []

    def handle(number: int) -> None:
        """Stop once."""
        if received:
            logging.info('%s signal %d again', _LOG_PREFIX, number)
            return
        received.append(number)
        loop.stop()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handle, number)


def main() -> int:
    """Run the daemon until it is told to stop."""
    try:
        settings, origins = read_settings(sys.argv[1:], os.environ)
    except SettingsError as problem:
        sys.stderr.write(f'{problem}\n')
        return BAD_SETTINGS
    if settings.print_settings:
        sys.stdout.write(f'{format_settings(origins)}\n')
        return 0
    set_up_logs(LogFormat(settings.log_format), sys.stderr)
    try:
        load_plugins(settings.plugins)
    except RegistryError as trouble:
        sys.stderr.write(f'{trouble}\n')
        return BAD_SETTINGS
    service = HostService(settings)
    with entrypoint(service, log_config=False, catch_signals=()) as loop:
        stop_on_signals(loop)
        loop.run_forever()
    return 0


if __name__ == '__main__':
    sys.exit(main())
