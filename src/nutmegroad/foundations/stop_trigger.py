"""Stops a program's event loop at the first stop request."""

import asyncio
import signal
from types import FrameType
from typing import Final

from nutmegroad.foundations.logs import part_logger

_LOG: Final = part_logger('stop')

#: Signals that request a graceful stop.
STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


class StopTrigger:
    """Stops the event loop at the first stop request, and ignores later ones.

    The loop runs more than once, first to start a host, then to serve. A loop
    handles signals only while it runs, and loses one that arrives in between.
    The handlers are therefore the interpreter's, which run at any time in the
    main thread. aiomisc's own handlers don't do: they restore the default ones
    as soon as a stop begins, so a second signal would cut off open requests.
    """

    def __init__(self) -> None:
        self._loop: asyncio.AbstractEventLoop | None = None
        self._requested = False

    def __call__(self) -> None:
        """Stop the loop, unless that was requested before."""
        if self._requested:
            _LOG.info('repeated stop request ignored')
            return
        self._requested = True
        if self._loop is not None:
            self._loop.call_soon_threadsafe(self._loop.stop)

    def handle_signals(self) -> None:
        """Treat SIGTERM and SIGINT as stop requests, also during start-up."""
        for number in STOP_SIGNALS:
            signal.signal(number, self._handle_signal)

    def ignore_signals(self) -> None:
        """Ignore stop requests from now on, after a graceful stop.

        The interpreter replaces handlers by the default ones when it ends, and
        a repeated signal would then change the exit code.
        """
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def run(self, loop: asyncio.AbstractEventLoop) -> None:
        """Run a loop until a stop is requested."""
        self._loop = loop
        # A signal that arrives before the loop can be woken is handled at the
        # next Python instruction, at the latest in this callback.
        loop.call_soon(self._stop_if_requested)
        loop.run_forever()

    def _stop_if_requested(self) -> None:
        """Stop the loop if a stop was requested before it ran."""
        if self._requested and self._loop is not None:
            self._loop.stop()

    def _handle_signal(self, _number: int, _frame: FrameType | None) -> None:
        """Handle a signal: request a stop."""
        self()
