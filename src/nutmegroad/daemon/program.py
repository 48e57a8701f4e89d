"""The daemon ``nutmegroadd``: one process is one entry host."""

import asyncio
import os
import random
import signal
import sys
from typing import Any, Final

from aiomisc import Service, entrypoint

from nutmegroad.daemon.plugins import load_plugins
from nutmegroad.foundations.clocks import SystemClock
from nutmegroad.foundations.exceptions import RegistryError, SettingsError
from nutmegroad.foundations.logs import LogFormat, part_logger, set_up_logs
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.settings import Settings, format_settings, read_settings
from nutmegroad.kernel.stops import GracefulStop

_LOG: Final = part_logger('daemon')

#: Exit code for settings that are wrong.
BAD_SETTINGS: Final = 2

#: Seconds that the parts may take to close after the graceful stop.
STOP_MARGIN: Final = 5


class StopOnce:
    """Ends the loop's run at the first signal or order, and at no other.

    aiomisc's own handlers put the default back as soon as a stop begins,
    so that a second signal would cut what is still open.
    """

    def __init__(self) -> None:
        self._loop: asyncio.AbstractEventLoop | None = None
        self._asked = False

    def __call__(self) -> None:
        """End the loop's run, if it has not been done."""
        if self._asked:
            _LOG.info('told to stop again')
            return
        self._asked = True
        if self._loop is not None:
            self._loop.stop()

    def watch(self, loop: asyncio.AbstractEventLoop) -> None:
        """Heed signals; one that comes at the start counts as well."""
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self)

    def run(self, loop: asyncio.AbstractEventLoop) -> None:
        """Run a loop until it is told to stop."""
        if not self._asked:
            self._loop = loop
            loop.run_forever()


class HostService(Service):
    """Runs one host inside aiomisc's entry point.

    Args:
        settings: Checked settings.
        stop: Ends the daemon's run.
    """

    def __init__(
        self,
        settings: Settings,
        stop: StopOnce,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._stop = stop
        self._kernel = Kernel(
            settings,
            SystemClock(),
            random.Random(settings.seed),
        )

    async def start(self) -> None:
        """Open all parts, and say where they listen."""
        self._stop.watch(asyncio.get_running_loop())
        await self._kernel.start()
        self._kernel.need(GracefulStop).when_asked(self._stop)
        for name, address in self._kernel.listening.items():
            sys.stdout.write(f'listening {name} {address}\n')
        sys.stdout.write('ready\n')
        sys.stdout.flush()

    async def stop(self, exception: Exception | None = None) -> None:
        """Let open requests end, and close all parts."""
        _LOG.info('stopping')
        await self._kernel.need(GracefulStop).run()
        async with asyncio.timeout(STOP_MARGIN):
            await self._kernel.stack.aclose()
        _LOG.info('stopped')


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
    stop = StopOnce()
    service = HostService(settings, stop)
    with entrypoint(service, log_config=False, catch_signals=()) as loop:
        stop.run(loop)
    return 0


if __name__ == '__main__':
    sys.exit(main())
