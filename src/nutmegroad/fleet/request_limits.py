"""The requests in a second that upstreams say they take from all hosts.

An upstream in need names its limit in its answers, for as long as the need
lasts. A host that receives such an answer informs the others. Each change is
numbered, so that hosts agree on the latest one without comparing clocks.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum, unique
from typing import Final

from msgspec import Struct

from nutmegroad.fleet.gossip_queue import Source, cyclic_slice
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.decoding import Measure, Number
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import UpstreamIncarnation

_LOG: Final = part_logger('limits')

#: Requests in a second that an upstream with a smaller limit gets. Without any
#: request, the end of its need would not be noticed.
MIN_RATE: Final = 0.1

#: Maximum limit that is accepted from another host.
MAX_RATE: Final = 1e9

#: Maximum number of statements that are kept: more than twice the upstreams of
#: the largest planned deployment.
MAX_STATEMENTS: Final = 2000

#: Maximum characters of an upstream's name that is accepted from another host.
MAX_NAME: Final = 200

#: Statements per datagram: recent ones, and others in rotation. At some forty
#: bytes each, they fit into an Ethernet frame with the rest.
RECENT_REPORTED: Final = 8
OTHERS_REPORTED: Final = 4

#: Seconds for which a change is recent: a gossip round reaches all hosts of a
#: failure domain several times in it, and each other domain.
RECENT_PERIOD: Final = 2.0

#: Seconds for which the end of a need is reported: longer than a partition
#: that hosts which still believe in the limit may come back from.
END_REPORTED_PERIOD: Final = 60.0

#: Ratio between two limits from which the change is sent immediately. An
#: upstream may compute its limit anew for each answer.
URGENT_RATIO: Final = 1.25

#: Seconds without an answer that names the limit after which other hosts get
#: the right to send: those that have it may be gone. Tokens are rare if the
#: limit is small, so the time covers several of them as well.
MIN_TURN: Final = 10.0
TOKENS_PER_TURN: Final = 4

#: Minimum number of hosts that may send to a limited upstream, if there are as
#: many. With fewer, it would get nothing while they are away.
MIN_SENDERS: Final = 3

_MILLISECONDS: Final = 1000

#: How the end of a need is reported.
_NO_LIMIT: Final = -1.0


class ReportedLimit(Struct, frozen=True, array_like=True):
    """What an upstream has said, as hosts report it to each other.

    Attributes:
        upstream: The upstream.
        limit: Requests in a second; negative once it names no limit any more.
        sequence: Number of the change.
        turn: Number of the group of hosts that may send.
        age: Milliseconds since the last answer that said so.
    """

    upstream: str
    limit: Measure
    sequence: Number
    turn: Number = 0
    age: Number = 0


LimitReport = tuple[ReportedLimit, ...]


@dataclass(frozen=True, slots=True)
class _Statement:
    """What an upstream has said.

    Attributes:
        limit: Requests in a second; None if it names no limit any more.
        sequence: Number of the change.
        learnt_at: Clock seconds at which this host learnt of the change.
        renewed_at: Clock seconds of the last answer that said so.
        since: Clock seconds at which this host learnt that it is in need.
        turn: Number of the group of hosts that could send at that answer.
    """

    limit: float | None
    sequence: int
    learnt_at: float
    renewed_at: float
    since: float
    turn: int = 0


@dataclass(frozen=True, slots=True)
class RequestLimit:
    """The limit of an upstream that is in need.

    Attributes:
        rate: Requests in a second that all hosts together may send.
        turn: Number of the group of hosts that may send.
        since: Clock seconds at which this host learnt of the need.
    """

    rate: float
    turn: int
    since: float


@unique
class LimitUrgency(Enum):
    """How soon other hosts have to be informed of a change."""

    IMMEDIATE = 'immediate'
    NEXT_ROUND = 'next round'


#: Called with each change of a limit: its source, and how urgent it is.
ChangeListener = Callable[[ReportedLimit, Source, LimitUrgency], None]


class RequestLimits:
    """The limits that upstreams have named, to this host or to others.

    Args:
        clock: The host's clock.
    """

    @property
    def has_updates(self) -> bool:
        """Whether other failure domains may lack a change."""
        return bool(self._recent())

    @property
    def any_known(self) -> bool:
        """Whether anything is reported to other hosts."""
        return bool(self._statements)

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._statements: dict[UpstreamIncarnation, _Statement] = {}
        self._listeners: list[ChangeListener] = []
        self._reports = 0
        #: Returns whether this host hears most others. One that is cut off
        #: must not take the absence of reports for the absence of senders.
        self.hears_others: Callable[[], bool] = _hears_always

    def subscribe(self, listener: ChangeListener) -> None:
        """Register a callback for each change."""
        self._listeners.append(listener)

    def in_need(self) -> frozenset[UpstreamIncarnation]:
        """Return the upstreams that name a limit."""
        return frozenset(
            name
            for name, statement in self._statements.items()
            if statement.limit is not None
        )

    def find(self, upstream: UpstreamIncarnation) -> RequestLimit | None:
        """Return the limit of an upstream; None if it has none."""
        statement = self._statements.get(upstream)
        if statement is None or statement.limit is None:
            return None
        return RequestLimit(
            max(statement.limit, MIN_RATE),
            self._turn(statement),
            statement.since,
        )

    def observe(
        self,
        upstream: UpstreamIncarnation,
        limit: float | None,
        sent_at: float,
    ) -> None:
        """Record what an answer of an upstream says.

        An answer to a request from before the limit was known does not end it:
        the upstream may have written it before its need began.

        Args:
            upstream: The upstream.
            limit: Requests in a second that it takes; None if it does not say.
            sent_at: Clock seconds at which the request was sent.
        """
        now = self._clock.now()
        known = self._statements.get(upstream)
        present = None if known is None else known.limit
        if limit is None and (present is None or sent_at < _learnt_at(known)):
            return
        if known is not None and limit == present:
            self._statements[upstream] = replace(
                known, renewed_at=now, turn=self._turn(known)
            )
            return
        sequence = 1 if known is None else known.sequence + 1
        since = now if known is None or present is None else known.since
        turn = 0 if known is None else self._turn(known)
        changed = _Statement(limit, sequence, now, now, since, turn)
        self._change(upstream, changed, Source.OWN)

    def forget(self, upstream: UpstreamIncarnation) -> None:
        """Forget an upstream that has ended."""
        self._statements.pop(upstream, None)

    def report(self) -> LimitReport:
        """Return the statements for one datagram."""
        self._remove_ended()
        self._reports += 1
        now = self._clock.now()
        recent = self._recent()[:RECENT_REPORTED]
        others = cyclic_slice(
            tuple(self._statements),
            self._reports * OTHERS_REPORTED,
            OTHERS_REPORTED,
        )
        return tuple(
            _report_of(name, self._statements[name], now)
            for name in dict.fromkeys((*recent, *others))
        )

    def merge(self, report: LimitReport, *, local: bool) -> None:
        """Merge the statements that another host has sent.

        Args:
            report: The statements.
            local: Whether the sender is in this host's failure domain.
        """
        for each in report:
            if _is_valid(each):
                self._merge(each, Source.LOCAL if local else Source.REMOTE)

    def _merge(self, told: ReportedLimit, source: Source) -> None:
        """Merge a statement if it is later than the known one."""
        upstream = UpstreamIncarnation(told.upstream)
        known = self._statements.get(upstream)
        now = self._clock.now()
        told_at = now - max(0, told.age) / _MILLISECONDS
        limit = None if told.limit < 0 else told.limit
        if known is not None and _says_the_same(told, known):
            self._statements[upstream] = replace(
                known,
                renewed_at=max(known.renewed_at, told_at),
                turn=max(known.turn, told.turn),
            )
            return
        if known is not None and _order(told) <= _order(
            _report_of(upstream, known, now)
        ):
            return
        in_need = known is not None and known.limit is not None
        since = known.since if known is not None and in_need else now
        self._change(
            upstream,
            _Statement(limit, told.sequence, now, told_at, since, told.turn),
            source,
        )

    def _change(
        self, upstream: UpstreamIncarnation, new: _Statement, source: Source
    ) -> None:
        """Replace a statement, and notify the listeners."""
        known = self._statements.pop(upstream, None)
        self._statements[upstream] = new
        while len(self._statements) > MAX_STATEMENTS:
            self._statements.pop(next(iter(self._statements)))
        before = None if known is None else known.limit
        if new.limit == before:
            return
        _LOG.decision(
            'limit changed',
            upstream=upstream,
            limit=new.limit,
            before=before,
            known_by=source.value,
            sequence=new.sequence,
            seconds=round(new.learnt_at - new.since, 3),
        )
        for listener in self._listeners:
            listener(
                _report_of(upstream, new, self._clock.now()),
                source,
                _urgency(before, new.limit),
            )

    def _turn(self, statement: _Statement) -> int:
        """Return the number of the group of hosts that may send now."""
        if statement.limit is None or not self.hears_others():
            return statement.turn
        rate = max(statement.limit, MIN_RATE)
        turn_seconds = max(MIN_TURN, TOKENS_PER_TURN * MIN_SENDERS / rate)
        silent = max(0, self._clock.now() - statement.renewed_at)
        return statement.turn + int(silent / turn_seconds)

    def _recent(self) -> list[UpstreamIncarnation]:
        """Return the upstreams whose limit has changed recently."""
        oldest = self._clock.now() - RECENT_PERIOD
        return [
            name
            for name, statement in self._statements.items()
            if statement.learnt_at >= oldest
        ]

    def _remove_ended(self) -> None:
        """Remove statements of needs that ended long ago."""
        oldest = self._clock.now() - END_REPORTED_PERIOD
        for name, statement in tuple(self._statements.items()):
            if statement.limit is None and statement.learnt_at < oldest:
                self._statements.pop(name)


def _report_of(
    upstream: UpstreamIncarnation, statement: _Statement, now: float
) -> ReportedLimit:
    """Return a statement as it is reported."""
    age = max(0, now - statement.renewed_at)
    return ReportedLimit(
        upstream,
        _NO_LIMIT if statement.limit is None else statement.limit,
        statement.sequence,
        statement.turn,
        int(age * _MILLISECONDS),
    )


def _says_the_same(told: ReportedLimit, known: _Statement) -> bool:
    """Return whether another host knows of the same change."""
    limit = None if told.limit < 0 else told.limit
    return told.sequence == known.sequence and limit == known.limit


def _hears_always() -> bool:
    """Return that others are heard; used where there are none."""
    return True


def _learnt_at(statement: _Statement | None) -> float:
    """Return when a statement was learnt; never if there is none."""
    return math.inf if statement is None else statement.learnt_at


def _order(reported: ReportedLimit) -> tuple[int, float]:
    """Return the sort key of a statement; the smaller of two limits wins."""
    limit = math.inf if reported.limit < 0 else reported.limit
    return reported.sequence, -limit


def _is_valid(reported: ReportedLimit) -> bool:
    """Return whether a statement of another host makes sense."""
    named = len(reported.upstream) <= MAX_NAME
    # False for a number that is none.
    limited = reported.limit == _NO_LIMIT or 0 <= reported.limit <= MAX_RATE
    return named and limited


def _urgency(before: float | None, limit: float | None) -> LimitUrgency:
    """Return how urgent a change is."""
    if before is None or limit is None:
        return LimitUrgency.IMMEDIATE
    low, high = sorted((max(before, MIN_RATE), max(limit, MIN_RATE)))
    if high >= low * URGENT_RATIO:
        return LimitUrgency.IMMEDIATE
    return LimitUrgency.NEXT_ROUND
