"""The program ``nutmegroadd``; each process of it is one host."""

import asyncio
import os
import random
import sys
from typing import Any, Final

from aiomisc import Service, entrypoint

from nutmegroad.daemon.plugins import load_plugins
from nutmegroad.foundations.clocks import SystemClock
from nutmegroad.foundations.exceptions import RegistryError, SettingsError
from nutmegroad.foundations.logs import (
    LogFormat,
    configure_logging,
    part_logger,
)
from nutmegroad.foundations.stop_trigger import StopTrigger
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.settings import Settings, format_settings, read_settings
from nutmegroad.kernel.stops import GracefulStop

_LOG: Final = part_logger('daemon')

#: Exit code for invalid settings.
EXIT_BAD_SETTINGS: Final = 2

#: Seconds that the parts may take to close after the graceful stop.
CLOSE_TIMEOUT: Final = 5


class HostService(Service):
    """Runs one host as a service of aiomisc's entry point.

    Args:
        settings: Validated settings.
        stop_trigger: Stops the event loop of the daemon.
    """

    def __init__(
        self,
        settings: Settings,
        stop_trigger: StopTrigger,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._stop_trigger = stop_trigger
        self._kernel = Kernel(
            settings,
            SystemClock(),
            random.Random(settings.seed),
        )

    async def start(self) -> None:
        """Open all parts, and print their addresses and ``ready``."""
        self._stop_trigger.handle_signals()
        await self._kernel.start()
        self._kernel.need(GracefulStop).on_stop_request(self._stop_trigger)
        for name, address in self._kernel.listening.items():
            sys.stdout.write(f'listening {name} {address}\n')
        sys.stdout.write('ready\n')
        sys.stdout.flush()

    async def stop(self, exception: Exception | None = None) -> None:
        """Run the graceful stop, then close all parts."""
        _LOG.info('stopping')
        await self._kernel.need(GracefulStop).run()
        async with asyncio.timeout(CLOSE_TIMEOUT):
            await self._kernel.stack.aclose()
        _LOG.info('stopped')


def main() -> int:
    """Run the daemon until a stop is requested; return its exit code."""
    try:
        settings, origins = read_settings(sys.argv[1:], os.environ)
    except SettingsError as settings_error:
        sys.stderr.write(f'{settings_error}\n')
        return EXIT_BAD_SETTINGS
    if settings.print_settings:
        sys.stdout.write(f'{format_settings(origins)}\n')
        return 0
    configure_logging(LogFormat(settings.log_format), sys.stderr)
    try:
        load_plugins(settings.plugins)
    except RegistryError as registry_error:
        sys.stderr.write(f'{registry_error}\n')
        return EXIT_BAD_SETTINGS
    stop_trigger = StopTrigger()
    service = HostService(settings, stop_trigger)
    with entrypoint(service, log_config=False, catch_signals=()) as loop:
        stop_trigger.run(loop)
    stop_trigger.ignore_signals()
    return 0


if __name__ == '__main__':
    sys.exit(main())
