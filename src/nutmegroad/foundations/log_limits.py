"""Limits on log output: lines per second of each kind, and blocking pipes.

Logging must not make an incident worse. Lines of a kind that comes too often
are suppressed and counted, and a reader that does not read costs lines but
never delays the program.
"""

import logging as standard_logging
import os
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from nutmegroad.foundations.logs import LogKind, format_decision, log_kind

#: Lines of one kind that may be written per second. A host answers some
#: hundred requests per second at its peak, with a few lines each.
MAX_LINES: Final = 400

#: The same for refusals and other failures, which explain most.
MAX_FAILURE_LINES: Final = 1200

#: Bytes that may wait for a reader before lines are dropped.
MAX_PENDING_BYTES: Final = 262_144

_FAILURE_EVENTS: Final = frozenset(
    ('refused', 'store lost', 'roll-out halted here')
)


@dataclass(slots=True)
class _Window:
    """Counts of the lines of one kind.

    Attributes:
        second: The second to which ``lines`` belongs.
        lines: Lines written in that second.
        suppressed: Lines suppressed since the last report.
    """

    second: int = 0
    lines: int = 0
    suppressed: int = 0


class LogRateLimiter(standard_logging.Filter):
    """Passes a limited number of lines of each kind per second.

    Warnings and errors always pass.

    Args:
        now: Returns monotonic seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        super().__init__()
        self._now = now
        self._windows: dict[LogKind, _Window] = {}

    def filter(self, record: standard_logging.LogRecord) -> bool:
        """Return whether a record may be written."""
        kind = log_kind(record)
        window = self._windows.setdefault(kind, _Window())
        second = int(self._now())
        if second != window.second:
            window.second = second
            window.lines = 0
        limit = MAX_LINES
        if kind.event in _FAILURE_EVENTS:
            limit = MAX_FAILURE_LINES
        if window.lines >= limit and record.levelno < standard_logging.WARNING:
            window.suppressed += 1
            return False
        window.lines += 1
        return True

    def take_suppressed(self) -> dict[LogKind, int]:
        """Return the suppressed lines by kind, and reset the counts."""
        suppressed = {}
        for kind, window in self._windows.items():
            if window.suppressed:
                suppressed[kind] = window.suppressed
                window.suppressed = 0
        return suppressed


class NonBlockingHandler(standard_logging.Handler):
    """Writes lines to a file descriptor, and drops lines rather than block.

    Args:
        descriptor: File descriptor; it is made non-blocking.
        limiter: Filters the lines; its suppressed lines are reported.
        write: Writes bytes and returns how many; for tests.
    """

    def __init__(
        self,
        descriptor: int,
        limiter: LogRateLimiter,
        write: Callable[[int, bytes], int] = os.write,
    ) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._limiter = limiter
        self._write = write
        self._pending = b''
        self._dropped = 0
        self.addFilter(limiter)

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Write a line after those that are pending."""
        line = f'{self.format(record)}\n'.encode()
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self._dropped += 1
        else:
            self._pending += line
        self._flush()

    def report_losses(self) -> None:
        """Log how many lines were suppressed or dropped since last time."""
        lines = [
            format_decision(
                'logs',
                'lines suppressed',
                {'of': f'{kind.part}: {kind.event}', 'count': count},
            )
            for kind, count in self._limiter.take_suppressed().items()
        ]
        if self._dropped and not self._pending:
            lines.append(
                format_decision(
                    'logs', 'lines dropped', {'count': self._dropped}
                ),
            )
            self._dropped = 0
        self._pending += ''.join(f'{line}\n' for line in lines).encode()
        self._flush()

    def _flush(self) -> None:
        """Write as much as the reader accepts."""
        try:
            while self._pending:
                count = self._write(self._descriptor, self._pending)
                self._pending = self._pending[count:]
        except BlockingIOError:
            return
        except OSError:
            # The failure can't be logged, since the log itself has failed.
            self._dropped += self._pending.count(b'\n')
            self._pending = b''


def stdout_handler(now: Callable[[], float]) -> NonBlockingHandler:
    """Return a handler that writes to the standard output."""
    sys.stdout.flush()
    return NonBlockingHandler(sys.stdout.fileno(), LogRateLimiter(now))
