"""Evidence on versions: small counters that hosts add up and share.

Each incarnation of a host counts by itself, in one cell for each version and
task class. A cell only grows, so of two states of a cell the one with more
attempts holds. Late, duplicated or reordered messages do no harm, and a host
may forward what it received from others.
"""

import math
from collections.abc import Callable, Iterable
from typing import ClassVar, Final

from msgspec import Struct

from nutmegroad.contracts.decisions import AttemptEnd, AttemptStart
from nutmegroad.contracts.peers import Message
from nutmegroad.foundations.results import ResultCode
from nutmegroad.foundations.types import Incarnation, TaskName, VersionId

#: Results that count against the version. An upstream that is unreachable, busy
#: or draining says nothing about its version.
FAILURES: Final = frozenset(
    (
        ResultCode.UPSTREAM_ERROR,
        ResultCode.UPSTREAM_TIMEOUT,
        ResultCode.ANSWER_CROSSED,
    ),
)
#: Maximum number of changed cells in a message, so that its size is bounded.
MESSAGE_CELLS: Final = 24
#: Cells of this host that are sent again although they have not changed, so
#: that the content of a lost message arrives eventually.
REPEATED_CELLS: Final = 4

#: A version and a task class.
EvidenceKey = tuple[VersionId, TaskName]

#: Minimum seconds of which a logarithm is taken.
_MIN_SECONDS: Final = 1e-4
#: Decimal places to which sums are rounded.
_DIGITS: Final = 4


class Moments(Struct, frozen=True, array_like=True):
    """Number of values, their sum and the sum of their squares."""

    count: int = 0
    total: float = 0
    squares: float = 0

    @property
    def mean(self) -> float:
        """Mean; 0 without values."""
        return self.total / self.count if self.count else 0

    @property
    def deviation(self) -> float:
        """Standard deviation; 0 without values."""
        if not self.count:
            return 0
        variance = self.squares / self.count - self.mean * self.mean
        return math.sqrt(max(variance, 0))

    def plus(self, other: 'Moments') -> 'Moments':
        """Return the moments of both samples together."""
        return Moments(
            self.count + other.count,
            round(self.total + other.total, _DIGITS),
            round(self.squares + other.squares, _DIGITS),
        )

    def minus(self, other: 'Moments') -> 'Moments':
        """Return the moments of the values added since an earlier state."""
        return Moments(
            self.count - other.count,
            self.total - other.total,
            self.squares - other.squares,
        )


def moments_of(number: float) -> Moments:
    """Return the moments of one value."""
    return Moments(1, number, number * number)


_NOTHING: Final = Moments()


class Tally(Struct, frozen=True, array_like=True):
    """Attempts of a version for a task class.

    Attributes:
        answers: Complete answers.
        errors: Attempts that failed in the version's engine.
        truncated: Truncated answers.
        first_token: Logarithms of the seconds to the first token.
        seconds_per_token: Logarithms of the seconds per token.
        length: Logarithms of the number of tokens of a complete answer.
    """

    answers: int = 0
    errors: int = 0
    truncated: int = 0
    first_token: Moments = _NOTHING
    seconds_per_token: Moments = _NOTHING
    length: Moments = _NOTHING

    @property
    def attempts(self) -> int:
        """Number of counted attempts."""
        return self.answers + self.errors + self.truncated

    @property
    def failures(self) -> int:
        """Number of failed attempts."""
        return self.errors + self.truncated

    def plus(self, other: 'Tally') -> 'Tally':
        """Return the sum of both tallies."""
        return Tally(
            self.answers + other.answers,
            self.errors + other.errors,
            self.truncated + other.truncated,
            self.first_token.plus(other.first_token),
            self.seconds_per_token.plus(other.seconds_per_token),
            self.length.plus(other.length),
        )

    def minus(self, other: 'Tally') -> 'Tally':
        """Return the attempts added since an earlier state."""
        return Tally(
            self.answers - other.answers,
            self.errors - other.errors,
            self.truncated - other.truncated,
            self.first_token.minus(other.first_token),
            self.seconds_per_token.minus(other.seconds_per_token),
            self.length.minus(other.length),
        )


class EvidenceCell(Struct, frozen=True, array_like=True):
    """Counts of one incarnation of a host.

    Attributes:
        incarnation: The host's incarnation.
        version: The version.
        task: The task class.
        tally: Counts since the incarnation started.
    """

    incarnation: Incarnation
    version: VersionId
    task: TaskName
    tally: Tally = Tally()

    @property
    def key(self) -> EvidenceKey:
        """Version and task class of the counts."""
        return self.version, self.task


class EvidenceMessage(Message, frozen=True, tag='evidence'):
    """Evidence cells that a host sends to others."""

    part: ClassVar[str] = 'exposure'

    cells: tuple[EvidenceCell, ...]


#: Called with the new attempts of a version and a task class.
EvidenceListener = Callable[[EvidenceKey, Tally], None]

_CellId = tuple[Incarnation, VersionId, TaskName]


class EvidenceStore:
    """All cells that this host knows, including its own.

    It observes the attempts of this host.

    Args:
        incarnation: This host's present incarnation.
    """

    def __init__(self, incarnation: Incarnation) -> None:
        self._incarnation = incarnation
        self._cells: dict[_CellId, EvidenceCell] = {}
        self._sums: dict[EvidenceKey, Tally] = {}
        self._folded: set[Incarnation] = set()
        self._listeners: list[EvidenceListener] = []
        # Cells to be sent, the longest waiting first.
        self._unsent: dict[_CellId, None] = {}
        self._repeat_position = 0

    @property
    def size(self) -> int:
        """Number of stored cells."""
        return len(self._cells)

    def listen(self, listener: EvidenceListener) -> None:
        """Call a function with all evidence that is new from now on."""
        self._listeners.append(listener)

    def total(self, version: VersionId, task: TaskName) -> Tally:
        """Return the counts of all hosts, as far as they are known."""
        return self._sums.get((version, task), Tally())

    def started(self, start: AttemptStart) -> None:
        """Do nothing: only the end of an attempt is evidence."""

    def ended(self, end: AttemptEnd) -> None:
        """Count an attempt of this host."""
        counted = _count(end)
        if counted is None:
            return
        name = (self._incarnation, end.start.version, end.start.task)
        cell = self._cells.get(name, EvidenceCell(*name))
        tally = cell.tally.plus(counted)
        self._put(EvidenceCell(*name, tally), counted)

    def merge(self, cells: Iterable[EvidenceCell]) -> None:
        """Merge cells received from another host."""
        for cell in cells:
            name = (cell.incarnation, *cell.key)
            # This host's own cells are up to date. Cells of folded incarnations
            # are in the sums already and would be counted twice.
            if cell.incarnation in {self._incarnation, *self._folded}:
                continue
            known = self._cells.get(name, EvidenceCell(*name)).tally
            if cell.tally.attempts > known.attempts:
                self._put(cell, cell.tally.minus(known))

    def fold(self, live: frozenset[Incarnation]) -> None:
        """Drop the cells of incarnations that have ended, but keep the sums.

        Args:
            live: Incarnations of hosts that membership still knows.
        """
        ended = {name[0] for name in self._cells} - live
        ended.discard(self._incarnation)
        self._folded.update(ended)
        folded = [name for name in self._cells if name[0] in ended]
        for name in folded:
            self._cells.pop(name)
            self._unsent.pop(name, None)

    def next_message(self) -> EvidenceMessage:
        """Return the next message for other hosts; it may be empty."""
        names = list(self._unsent)[:MESSAGE_CELLS]
        for sent in names:
            self._unsent.pop(sent)
        names.extend(self._repeats())
        return EvidenceMessage(tuple(map(self._cells.__getitem__, names)))

    def _repeats(self) -> list[_CellId]:
        """Return the next own cells that are sent again, in rotation."""
        own = [name for name in self._cells if name[0] == self._incarnation]
        if not own:
            return []
        start = self._repeat_position % len(own)
        self._repeat_position = start + REPEATED_CELLS
        return own[start : start + REPEATED_CELLS]

    def _put(self, cell: EvidenceCell, fresh: Tally) -> None:
        """Store a changed cell, and report its new attempts to listeners."""
        name = (cell.incarnation, *cell.key)
        self._cells[name] = cell
        self._sums[cell.key] = self.total(*cell.key).plus(fresh)
        self._unsent.setdefault(name)
        for listener in self._listeners:
            listener(cell.key, fresh)


def _count(end: AttemptEnd) -> Tally | None:
    """Return the evidence in an attempt, or None if there is none."""
    if end.abandoned:
        return None
    if end.code in FAILURES:
        return Tally(errors=1)
    if end.code is ResultCode.ANSWER_CUT:
        return Tally(truncated=1)
    if end.code is not ResultCode.OK:
        return None
    first = end.seconds if end.first_token is None else end.first_token
    tokens = max(end.output_tokens, 1)
    per_token = (end.seconds - first) / tokens
    return Tally(
        answers=1,
        first_token=moments_of(math.log(max(first, _MIN_SECONDS))),
        seconds_per_token=moments_of(math.log(max(per_token, _MIN_SECONDS))),
        length=moments_of(math.log(tokens)),
    )
