"""Tracks the requests that were running when upstreams crashed.

A request may crash each upstream that executes it, and it is sent again under
other ids to any host. Requests are therefore tracked by content, and hosts
exchange what they have recorded. Requests that merely ran beside it are tracked
too and can't be distinguished from it by one crash: three crashes in series
make a request harmful. One host at a time may then execute it once more as a
probe; an answer clears the request, and another crash blocks it for much
longer.
"""

from dataclasses import dataclass, field
from typing import Final, NewType, Self

from msgspec import Struct
from xxhash import xxh32_intdigest

from nutmegroad.fleet.content_marks import ContentMark
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import UpstreamIncarnation

#: 32-bit fingerprint of an incarnation of an upstream.
UpstreamMark = NewType('UpstreamMark', int)

#: Crashes in series from which a request counts as harmful. Any request may see
#: fewer than that by chance where many requests run at each upstream.
HARMFUL: Final = 3

#: Seconds after its last crash for which a harmful request is not executed. By
#: then all hosts have received the report of the crash, and the upstreams that
#: it crashed are still down.
FIRST_PAUSE: Final = 1.0

#: Seconds for which the request is blocked once a probe execution has crashed
#: an upstream as well: somebody has to repair the upstream by hand. Doubles
#: with each further crash.
LONG_PAUSE: Final = 600.0

#: Maximum pause in seconds: one day.
LONGEST_PAUSE: Final = 86_400.0

#: Seconds for which a request that is not harmful yet is tracked.
MEMORY: Final = 600.0

#: Seconds by which an execution may seem to have started before the crash that
#: preceded it: hosts report both by datagrams, whose delay distorts the times.
SLACK: Final = 0.05

#: Maximum number of tracked requests: as many as run on all upstreams of the
#: largest planned deployment when one of its failure domains loses power.
MOST_REQUESTS: Final = 4000

#: Requests that remain after an eviction.
KEPT_REQUESTS: Final = 3500

#: Maximum number of crashes per datagram, requests with most crashes first. At
#: about twenty bytes each, they fit into an Ethernet frame.
MOST_TOLD: Final = 40

#: Seconds for which a crash or an answer is reported: twenty gossip rounds,
#: within which all hosts receive it from one another.
TOLD_SPAN: Final = 3.0

_MILLISECONDS: Final = 1000

#: Clock time of an event that has not happened.
NEVER: Final = float('-inf')


def mark_upstream(upstream: UpstreamIncarnation) -> UpstreamMark:
    """Return the fingerprint of an upstream's incarnation."""
    return UpstreamMark(xxh32_intdigest(upstream.encode()))


class ToldEnd(Struct, frozen=True, array_like=True):
    """A crash as hosts report it to each other.

    Attributes:
        content: Fingerprint of the request that was running.
        upstream: Fingerprint of the upstream that crashed.
        began: Milliseconds since the request was sent to the upstream.
        ended: Milliseconds since the crash.
    """

    content: ContentMark
    upstream: UpstreamMark
    began: int
    ended: int


class ToldAnswer(Struct, frozen=True, array_like=True):
    """A complete answer to a request under which upstreams had crashed.

    Attributes:
        content: Fingerprint of the request.
        age: Milliseconds since the answer.
    """

    content: ContentMark
    age: int


class ToldCrashes(Struct, frozen=True, array_like=True):
    """Crashes and answers of the last seconds that a host knows of.

    Attributes:
        ends: Crashes of upstreams.
        answers: Complete answers.
    """

    ends: tuple[ToldEnd, ...] = ()
    answers: tuple[ToldAnswer, ...] = ()


@dataclass(frozen=True, slots=True)
class EndUnder:
    """Crash of an upstream while it was executing a request.

    Attributes:
        upstream: Fingerprint of the upstream.
        began: Clock time in seconds at which the request was sent there.
        ended: Clock time in seconds of the crash.
    """

    upstream: UpstreamMark
    began: float
    ended: float

    def earlier(self, other: Self) -> Self:
        """Return the earlier-dated of two reports of the same crash."""
        return other if other.ended < self.ended else self


@dataclass(slots=True)
class _Record:
    """What is known of one request.

    Attributes:
        ends: Crashes under it, by upstream.
        answered: Clock time in seconds of its last complete answer.
    """

    ends: dict[UpstreamMark, EndUnder] = field(default_factory=dict)
    answered: float = NEVER

    @property
    def latest_time(self) -> float:
        """Return the time of the last crash, else of the last answer."""
        return max(
            (end.ended for end in self.ends.values()),
            default=self.answered,
        )

    @property
    def series_length(self) -> int:
        """Return how many crashes followed one another.

        Upstreams that crash at the same time have a common cause, and a request
        that is sent often runs at several of them at once. Such crashes count
        once.
        """
        count = 0
        last = NEVER
        for end in sorted(self.ends.values(), key=_crash_time):
            if end.began >= last - SLACK:
                count += 1
                last = end.ended
        return count

    def record_crash(self, end: EndUnder) -> None:
        """Record a crash, unless a later answer is known."""
        if end.ended <= self.answered:
            return
        if len(self.ends) < HARMFUL:
            self._forget_before(end.ended - MEMORY)
        known = self.ends.get(end.upstream)
        self.ends[end.upstream] = end if known is None else known.earlier(end)

    def record_answer(self, time: float) -> bool:
        """Record a complete answer and return whether it cleared a crash."""
        if time <= self.answered:
            return False
        self.answered = time
        before = len(self.ends)
        self._forget_before(time)
        return len(self.ends) < before

    def _forget_before(self, time: float) -> None:
        """Forget the crashes up to a time."""
        self.ends = {
            upstream: end
            for upstream, end in self.ends.items()
            if end.ended > time
        }


@dataclass(frozen=True, slots=True)
class Harmful:
    """A request that is blocked because it crashes upstreams.

    Attributes:
        ends: Number of crashes in series.
        pause: Seconds until a probe execution is allowed; 0 if it is now.
    """

    ends: int
    pause: float


class CrashBook:
    """Tracks the requests under which upstreams have crashed.

    Args:
        clock: The host's clock.
    """

    @property
    def has_news(self) -> bool:
        """Whether a crash or an answer is recent enough to be reported."""
        return self._clock.now() <= self._report_until

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Ordered by last update, oldest first.
        self._records: dict[ContentMark, _Record] = {}
        # Clock time until which there is something to report.
        self._report_until = NEVER

    def __contains__(self, content: ContentMark) -> bool:
        """Return whether anything is recorded of a request."""
        return content in self._records

    def harmful(self, content: ContentMark) -> Harmful | None:
        """Return why a request is blocked, or None if it is not."""
        record = self._records.get(content)
        if record is None or len(record.ends) < HARMFUL:
            return None
        count = record.series_length
        if count < HARMFUL:
            return None
        over = record.latest_time + _pause(count) - self._clock.now()
        return Harmful(count, max(0, over))

    def count_harmful(self) -> int:
        """Return how many requests count as harmful."""
        return sum(
            record.series_length >= HARMFUL
            for record in self._records.values()
            if len(record.ends) >= HARMFUL
        )

    def ended(self, content: ContentMark, end: EndUnder) -> None:
        """Record the crash of an upstream under a request."""
        record = self._records.pop(content, None) or _Record()
        self._records[content] = record
        record.record_crash(end)
        self._report_until = max(self._report_until, end.ended + TOLD_SPAN)
        if len(self._records) > MOST_REQUESTS:
            self._evict()

    def answered(self, content: ContentMark, time: float) -> bool:
        """Record a complete answer to a request.

        Returns:
            Whether it has cleared the request of a crash.
        """
        record = self._records.get(content)
        if record is None or not record.record_answer(time):
            return False
        self._report_until = max(self._report_until, time + TOLD_SPAN)
        return True

    def ends(self, least: int) -> dict[ContentMark, tuple[EndUnder, ...]]:
        """Return the requests with at least so many crashes, and the crashes.

        Args:
            least: Minimum number of crashes.
        """
        return {
            content: tuple(record.ends.values())
            for content, record in self._records.items()
            if len(record.ends) >= least
        }

    def ends_of(self, content: ContentMark) -> tuple[EndUnder, ...]:
        """Return the recorded crashes under a request."""
        record = self._records.get(content)
        return () if record is None else tuple(record.ends.values())

    def answer_of(self, content: ContentMark) -> float | None:
        """Return when a request was last answered completely, or None.

        Returns:
            Clock time in seconds; None if no answer is known.
        """
        record = self._records.get(content)
        if record is None or record.answered == NEVER:
            return None
        return record.answered

    def telling(self) -> ToldCrashes:
        """Return the report of the last seconds for the other hosts."""
        if not self.has_news:
            # Called in each gossip round; there is almost never anything to
            # report.
            return ToldCrashes()
        now = self._clock.now()
        oldest = now - TOLD_SPAN
        ends: list[tuple[int, ToldEnd]] = []
        answers = []
        for content, record in self._records.items():
            count = len(record.ends)
            ends.extend(
                (-count, _report_of(content, end, now))
                for end in record.ends.values()
                if end.ended >= oldest
            )
            if record.answered >= oldest:
                answers.append(ToldAnswer(content, _age(now, record.answered)))
        ends.sort(key=_report_order)
        return ToldCrashes(
            tuple(end for _, end in ends[:MOST_TOLD]),
            tuple(answers[:MOST_TOLD]),
        )

    def told(self, crashes: ToldCrashes) -> None:
        """Merge a report from another host."""
        now = self._clock.now()
        for reported in crashes.ends:
            end = EndUnder(
                reported.upstream,
                now - reported.began / _MILLISECONDS,
                now - reported.ended / _MILLISECONDS,
            )
            self.ended(reported.content, end)
        for answer in crashes.answers:
            self.answered(answer.content, now - answer.age / _MILLISECONDS)

    def _evict(self) -> None:
        """Evict old requests, then the oldest ones that are not harmful."""
        oldest = self._clock.now() - MEMORY
        for content, record in tuple(self._records.items()):
            harmful = len(record.ends) >= HARMFUL
            if not harmful and record.latest_time < oldest:
                self._records.pop(content)
        by_weight = sorted(
            self._records.items(),
            key=lambda entry: len(entry[1].ends) >= HARMFUL,
        )
        # Evicts many at once, so that the eviction does not run for each
        # request.
        for content, _ in by_weight[: len(self._records) - KEPT_REQUESTS]:
            self._records.pop(content)


def _pause(ends: int) -> float:
    """Return the seconds for which a request is blocked.

    Args:
        ends: Number of crashes in series.
    """
    if ends <= HARMFUL:
        return FIRST_PAUSE
    doubled = LONG_PAUSE * float(2 ** (ends - HARMFUL - 1))
    return min(LONGEST_PAUSE, doubled)


def _report_of(content: ContentMark, end: EndUnder, now: float) -> ToldEnd:
    """Return a crash as it is reported."""
    return ToldEnd(
        content,
        end.upstream,
        _age(now, end.began),
        _age(now, end.ended),
    )


def _age(now: float, time: float) -> int:
    """Return the whole milliseconds since a time, never less than 0."""
    return max(0, int((now - time) * _MILLISECONDS))


def _crash_time(end: EndUnder) -> float:
    """Return when an upstream crashed; a sort key."""
    return end.ended


def _report_order(pair: tuple[int, ToldEnd]) -> int:
    """Return the sort key of a crash that is to be reported."""
    return pair[0]
