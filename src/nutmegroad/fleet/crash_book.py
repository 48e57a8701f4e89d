"""Which requests were under way as upstreams ended, as far as hosts know.

A request may end each upstream that begins to run it, and it comes again under
other ids, at any host. So what is remembered is its content, and hosts tell
each other. Whoever ran beside it is remembered too, and can't be told from it
by that alone: three ends make a request harmful until it is tried once more, by
one host at a time; an answer clears it, a further end keeps it out for long.
"""

from dataclasses import dataclass, field
from typing import Final, NewType

from msgspec import Struct
from xxhash import xxh32_intdigest

from nutmegroad.fleet.content_marks import ContentMark
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import UpstreamIncarnation

#: 32 bits that stand for an incarnation of an upstream.
UpstreamMark = NewType('UpstreamMark', int)

#: Ends, one after the other, from which a request counts as harmful: fewer may
#: meet any request by chance where many run at each upstream.
HARMFUL: Final = 3

#: Seconds after its last end in which a harmful request is not tried: hosts
#: have told each other by then, and the upstreams it has ended are still away.
FIRST_PAUSE: Final = 1.0

#: The same once a trial has ended an upstream as well: it takes a person to
#: mend the upstream. Doubles with each further end.
LONG_PAUSE: Final = 600.0

#: Longest such pause in seconds: a day.
LONGEST_PAUSE: Final = 86_400.0

#: Seconds for which a request that is not harmful yet is remembered.
MEMORY: Final = 600.0

#: Seconds by which a run may seem to have begun before the end of the one
#: before it: hosts tell each other of both by datagrams that take a moment.
SLACK: Final = 0.05

#: Requests remembered at most: as many as run on all upstreams of the largest
#: deployment in view when a failure domain of it loses power.
MOST_REQUESTS: Final = 4000

#: Requests that are left when there are more.
KEPT_REQUESTS: Final = 3500

#: Ends told at most in one datagram, of the requests with most ends first:
#: with some twenty bytes each, they fit into an Ethernet frame.
MOST_TOLD: Final = 40

#: Seconds for which an end or an answer is told: twenty turns, in which all
#: hosts hear of it from one another.
TOLD_SPAN: Final = 3.0

_MILLISECONDS: Final = 1000

#: Clock seconds of what has not happened.
NEVER: Final = float('-inf')


def mark_upstream(upstream: UpstreamIncarnation) -> UpstreamMark:
    """Return the mark of an incarnation."""
    return UpstreamMark(xxh32_intdigest(upstream.encode()))


class ToldEnd(Struct, frozen=True, array_like=True):
    """An end as hosts tell it.

    Attributes:
        content: The request that was under way.
        upstream: What has ended.
        began: Milliseconds since the request was sent there.
        ended: Milliseconds since the end.
    """

    content: ContentMark
    upstream: UpstreamMark
    began: int
    ended: int


class ToldAnswer(Struct, frozen=True, array_like=True):
    """A whole answer to a request under which upstreams had ended.

    Attributes:
        content: The request.
        age: Milliseconds since the answer.
    """

    content: ContentMark
    age: int


class ToldCrashes(Struct, frozen=True, array_like=True):
    """What a host has seen or heard within the last seconds.

    Attributes:
        ends: Ends of upstreams.
        answers: Whole answers.
    """

    ends: tuple[ToldEnd, ...] = ()
    answers: tuple[ToldAnswer, ...] = ()


@dataclass(frozen=True, slots=True)
class EndUnder:
    """An upstream's end while a request was under way there.

    Attributes:
        upstream: The upstream.
        began: Clock seconds at which the request was sent there.
        ended: Clock seconds of the end.
    """

    upstream: UpstreamMark
    began: float
    ended: float

    def earlier(self, other: 'EndUnder') -> 'EndUnder':
        """Return the same end as the quicker of two tellings shows it."""
        return other if other.ended < self.ended else self


@dataclass(slots=True)
class _Record:
    """What is known of one request.

    Attributes:
        ends: Ends under it, by upstream.
        answered: Clock seconds of its last whole answer.
    """

    ends: dict[UpstreamMark, EndUnder] = field(default_factory=dict)
    answered: float = NEVER

    @property
    def latest(self) -> float:
        """Return the moment of the last that is known."""
        return max(
            (end.ended for end in self.ends.values()),
            default=self.answered,
        )

    @property
    def in_series(self) -> int:
        """Return how many ends came one after the other.

        Upstreams that end at one moment end by what they have in common, and
        a request that is asked for often runs at several of them.
        """
        count = 0
        last = NEVER
        for end in sorted(self.ends.values(), key=_ended):
            if end.began >= last - SLACK:
                count += 1
                last = end.ended
        return count

    def take(self, end: EndUnder) -> None:
        """Take in an end, unless an answer came after it."""
        if end.ended <= self.answered:
            return
        if len(self.ends) < HARMFUL:
            self._forget_before(end.ended - MEMORY)
        known = self.ends.get(end.upstream)
        self.ends[end.upstream] = end if known is None else known.earlier(end)

    def answer(self, moment: float) -> bool:
        """Take in a whole answer; tell whether it cleared anything."""
        if moment <= self.answered:
            return False
        self.answered = moment
        before = len(self.ends)
        self._forget_before(moment)
        return len(self.ends) < before

    def _forget_before(self, moment: float) -> None:
        """Forget the ends up to a moment."""
        self.ends = {
            upstream: end
            for upstream, end in self.ends.items()
            if end.ended > moment
        }


@dataclass(frozen=True, slots=True)
class Harmful:
    """A request that is kept from upstreams.

    Attributes:
        ends: How many upstreams have ended under it, one after the other.
        pause: Seconds until it may be tried once more; 0 for now.
    """

    ends: int
    pause: float


class CrashBook:
    """Remembers under which requests upstreams have ended.

    Args:
        clock: The host's clock.
    """

    @property
    def has_news(self) -> bool:
        """Tell whether there is anything to tell."""
        return self._clock.now() <= self._news_until

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # The one that was heard of last at the end.
        self._records: dict[ContentMark, _Record] = {}
        # Clock seconds until which there is something to tell.
        self._news_until = NEVER

    def __contains__(self, content: ContentMark) -> bool:
        """Tell whether anything is known of a request."""
        return content in self._records

    def harmful(self, content: ContentMark) -> Harmful | None:
        """Return why a request is kept from upstreams, or None."""
        record = self._records.get(content)
        if record is None or len(record.ends) < HARMFUL:
            return None
        count = record.in_series
        if count < HARMFUL:
            return None
        over = record.latest + _pause(count) - self._clock.now()
        return Harmful(count, max(0, over))

    def count_harmful(self) -> int:
        """Return how many requests are kept from upstreams."""
        return sum(
            record.in_series >= HARMFUL
            for record in self._records.values()
            if len(record.ends) >= HARMFUL
        )

    def ended(self, content: ContentMark, end: EndUnder) -> None:
        """Take in an upstream's end under a request."""
        record = self._records.pop(content, None) or _Record()
        self._records[content] = record
        record.take(end)
        self._news_until = max(self._news_until, end.ended + TOLD_SPAN)
        if len(self._records) > MOST_REQUESTS:
            self._forget()

    def answered(self, content: ContentMark, moment: float) -> bool:
        """Take in a whole answer to a request.

        Returns:
            Whether it has cleared the request of an end.
        """
        record = self._records.get(content)
        if record is None or not record.answer(moment):
            return False
        self._news_until = max(self._news_until, moment + TOLD_SPAN)
        return True

    def ends(self, least: int) -> dict[ContentMark, tuple[EndUnder, ...]]:
        """Return the requests under which so many upstreams have ended."""
        return {
            content: tuple(record.ends.values())
            for content, record in self._records.items()
            if len(record.ends) >= least
        }

    def ends_of(self, content: ContentMark) -> tuple[EndUnder, ...]:
        """Return the ends of upstreams under a request."""
        record = self._records.get(content)
        return () if record is None else tuple(record.ends.values())

    def answer_of(self, content: ContentMark) -> float | None:
        """Return when a request had its last whole answer; None if unknown."""
        record = self._records.get(content)
        if record is None or record.answered == NEVER:
            return None
        return record.answered

    def telling(self) -> ToldCrashes:
        """Return what this host tells of the last seconds."""
        if not self.has_news:
            # Asked for at each turn, and nearly always so.
            return ToldCrashes()
        now = self._clock.now()
        oldest = now - TOLD_SPAN
        ends: list[tuple[int, ToldEnd]] = []
        answers = []
        for content, record in self._records.items():
            count = len(record.ends)
            ends.extend(
                (-count, _tell(content, end, now))
                for end in record.ends.values()
                if end.ended >= oldest
            )
            if record.answered >= oldest:
                answers.append(ToldAnswer(content, _age(now, record.answered)))
        ends.sort(key=_first)
        return ToldCrashes(
            tuple(end for _, end in ends[:MOST_TOLD]),
            tuple(answers[:MOST_TOLD]),
        )

    def told(self, crashes: ToldCrashes) -> None:
        """Take in what another host tells."""
        now = self._clock.now()
        for told in crashes.ends:
            end = EndUnder(
                told.upstream,
                now - told.began / _MILLISECONDS,
                now - told.ended / _MILLISECONDS,
            )
            self.ended(told.content, end)
        for answer in crashes.answers:
            self.answered(answer.content, now - answer.age / _MILLISECONDS)

    def _forget(self) -> None:
        """Forget what is old; then the oldest that is not harmful."""
        oldest = self._clock.now() - MEMORY
        for content, record in tuple(self._records.items()):
            harmful = len(record.ends) >= HARMFUL
            if not harmful and record.latest < oldest:
                self._records.pop(content)
        by_weight = sorted(
            self._records.items(),
            key=lambda entry: len(entry[1].ends) >= HARMFUL,
        )
        # More than one, so that this is not done for each.
        for content, _ in by_weight[: len(self._records) - KEPT_REQUESTS]:
            self._records.pop(content)


def _pause(ends: int) -> float:
    """Return the seconds for which a request is kept from upstreams."""
    if ends <= HARMFUL:
        return FIRST_PAUSE
    doubled = LONG_PAUSE * float(2 ** (ends - HARMFUL - 1))
    return min(LONGEST_PAUSE, doubled)


def _tell(content: ContentMark, end: EndUnder, now: float) -> ToldEnd:
    """Return an end as it is told."""
    return ToldEnd(
        content,
        end.upstream,
        _age(now, end.began),
        _age(now, end.ended),
    )


def _age(now: float, moment: float) -> int:
    """Return the whole milliseconds since a moment."""
    return max(0, int((now - moment) * _MILLISECONDS))


def _ended(end: EndUnder) -> float:
    """Return when an upstream ended."""
    return end.ended


def _first(pair: tuple[int, ToldEnd]) -> int:
    """Return what told ends are ordered by."""
    return pair[0]
