"""Bounds on logs: lines a second for each kind, and a pipe that may block.

Logs explain what happened; they must not make it worse. A kind of line that
comes too often is thinned out, with a count of what was left out, and a
reader that does not read costs lines, never time.
"""

import logging as standard_logging
import os
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from nutmegroad.foundations.logs import LogKind, decision_line, kind_of

#: Lines of one kind that may be written in a second: a host answers some
#: hundred requests a second at its peak, with a few lines each.
USUAL: Final = 400

#: The same for refusals and other failures, which explain most.
FAILURES: Final = 1200

#: Bytes that wait for a reader before lines are dropped.
MOST_WAITING: Final = 262_144

_FAILING: Final = frozenset(('refused', 'store lost', 'roll-out halted here'))


@dataclass(slots=True)
class _Second:
    """What has been written of one kind in the present second.

    Attributes:
        number: Which second.
        lines: Lines written.
        left_out: Lines left out since the last that was written.
    """

    number: int = 0
    lines: int = 0
    left_out: int = 0


class LineBudget(standard_logging.Filter):
    """Lets a bounded number of lines of each kind pass in a second.

    Args:
        now: Returns seconds that never go back.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        super().__init__()
        self._now = now
        self._seconds: dict[LogKind, _Second] = {}

    def filter(self, record: standard_logging.LogRecord) -> bool:
        """Tell whether a line may be written."""
        kind = kind_of(record)
        second = self._seconds.setdefault(kind, _Second())
        present = int(self._now())
        if present != second.number:
            second.number = present
            second.lines = 0
        bound = FAILURES if kind.event in _FAILING else USUAL
        if second.lines >= bound and record.levelno < standard_logging.WARNING:
            second.left_out += 1
            return False
        second.lines += 1
        return True

    def take_left_out(self) -> dict[LogKind, int]:
        """Return how many lines were left out, by kind, and begin anew."""
        found = {}
        for kind, second in self._seconds.items():
            if second.left_out:
                found[kind] = second.left_out
                second.left_out = 0
        return found


class UnblockingHandler(standard_logging.Handler):
    """Writes lines to a descriptor, and drops them rather than wait.

    Args:
        descriptor: Where to; it is made non-blocking.
        budget: Asked for what it left out, to say so.
        write: Writes bytes and returns how many; for tests.
    """

    def __init__(
        self,
        descriptor: int,
        budget: LineBudget,
        write: Callable[[int, bytes], int] = os.write,
    ) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._budget = budget
        self._write = write
        self._waiting = b''
        self._dropped = 0
        self.addFilter(budget)

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Write a line, and what waited before it."""
        text = f'{self.format(record)}\n'.encode()
        if len(self._waiting) + len(text) > MOST_WAITING:
            self._dropped += 1
        else:
            self._waiting += text
        self._flush()

    def report(self) -> None:
        """Say what was left out and dropped since the last time."""
        lines = [
            decision_line(
                'logs',
                'lines left out',
                {'of': f'{kind.part}: {kind.event}', 'count': count},
            )
            for kind, count in self._budget.take_left_out().items()
        ]
        if self._dropped and not self._waiting:
            lines.append(
                decision_line(
                    'logs', 'lines dropped', {'count': self._dropped}
                ),
            )
            self._dropped = 0
        self._waiting += ''.join(f'{line}\n' for line in lines).encode()
        self._flush()

    def _flush(self) -> None:
        """Write as much as the reader takes."""
        try:
            while self._waiting:
                count = self._write(self._descriptor, self._waiting)
                self._waiting = self._waiting[count:]
        except BlockingIOError:
            return
        except OSError:
            # Nobody can be told of it: this is where one would be.
            self._dropped += self._waiting.count(b'\n')
            self._waiting = b''


def standard_output(now: Callable[[], float]) -> UnblockingHandler:
    """Return a handler for the standard output."""
    sys.stdout.flush()
    return UnblockingHandler(sys.stdout.fileno(), LineBudget(now))
