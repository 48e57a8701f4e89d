"""Which parts of prompts each upstream holds, told from host to host.

An upstream keeps what it has read until newer parts push it out. Each host
knows what it has sent itself, and hears from the others what they have sent a
moment ago; so all hosts know of nearly all parts without asking any upstream.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final, NewType

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import UpstreamIncarnation

#: 32 bits that stand for a part as one model reads it. Two of 10,000 parts
#: share a mark with a probability of one in 86; it costs a wrong estimate.
PrefixMark = NewType('PrefixMark', int)

#: Parts told at most in one datagram, the newest: with some eight bytes each,
#: they fit beside the loads into an Ethernet frame.
MOST_TOLD: Final = 100

#: Parts remembered for one upstream at most, where its memory is not known.
MOST_HELD: Final = 400

#: Upstreams remembered at most: more than the largest deployment in view has
#: (890); others may go on telling of one that is gone.
MOST_UPSTREAMS: Final = 1000

#: Parts by upstream, as they are told: a mark and its tokens, in turn.
ToldPrefixes = dict[UpstreamIncarnation, list[int]]


@dataclass(frozen=True, slots=True)
class MarkedPart:
    """A part of a prompt as one model reads it.

    Attributes:
        mark: Its mark.
        tokens: Its size.
    """

    mark: PrefixMark
    tokens: int


@dataclass(slots=True)
class _Held:
    """What one upstream holds.

    Attributes:
        parts: Tokens by mark, the part that was used last at the end.
        tokens: Their sum.
    """

    parts: OrderedDict[PrefixMark, int] = field(default_factory=OrderedDict)
    tokens: int = 0

    def use(self, part: MarkedPart) -> None:
        """Note that a part is used just now."""
        before = self.parts.pop(part.mark, 0)
        self.parts[part.mark] = part.tokens
        self.tokens += part.tokens - before

    def push_out(self) -> None:
        """Drop the part that was not used for longest."""
        _, tokens = self.parts.popitem(last=False)
        self.tokens -= tokens


@dataclass(frozen=True, slots=True)
class _Sent:
    """A part that this host has sent.

    Attributes:
        upstream: Where to.
        part: The part.
        moment: Clock seconds.
    """

    upstream: UpstreamIncarnation
    part: MarkedPart
    moment: float


class HeldPrefixes:
    """Remembers which parts were sent where, by this host and by others.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # The one that was used last at the end.
        self._upstreams: OrderedDict[UpstreamIncarnation, _Held] = OrderedDict()
        self._sent: list[_Sent] = []

    def holds(self, upstream: UpstreamIncarnation, mark: PrefixMark) -> bool:
        """Tell whether an upstream likely holds a part."""
        known = self._upstreams.get(upstream)
        return known is not None and mark in known.parts

    def sent(
        self,
        upstream: UpstreamIncarnation,
        parts: tuple[MarkedPart, ...],
        memory: int,
    ) -> None:
        """Remember what this host sends to an upstream.

        Args:
            upstream: Where to.
            parts: The prompt's parts.
            memory: Tokens that the upstream keeps; 0 if that is not known.
        """
        now = self._clock.now()
        for part in parts:
            self._use(upstream, part)
            self._sent.append(_Sent(upstream, part, now))
        held = self._upstreams.get(upstream)
        while held and memory and held.tokens > memory:
            held.push_out()

    def told(self, prefixes: ToldPrefixes) -> None:
        """Take in what another host has sent."""
        for upstream, numbers in prefixes.items():
            for mark, tokens in zip(numbers[::2], numbers[1::2], strict=False):
                self._use(upstream, MarkedPart(PrefixMark(mark), tokens))

    def recent(self, span: float) -> ToldPrefixes:
        """Return what this host has sent within some seconds."""
        oldest = self._clock.now() - span
        self._sent = [
            each for each in self._sent[-MOST_TOLD:] if each.moment >= oldest
        ]
        found: ToldPrefixes = {}
        for each in self._sent:
            told = found.setdefault(each.upstream, [])
            told.extend((each.part.mark, each.part.tokens))
        return found

    def forget(self, upstream: UpstreamIncarnation) -> None:
        """Forget an upstream that is gone."""
        self._upstreams.pop(upstream, None)

    def _use(self, upstream: UpstreamIncarnation, part: MarkedPart) -> None:
        """Remember that an upstream has used a part just now."""
        held = self._upstreams.setdefault(upstream, _Held())
        self._upstreams.move_to_end(upstream)
        if len(self._upstreams) > MOST_UPSTREAMS:
            self._upstreams.popitem(last=False)
        held.use(part)
        if len(held.parts) > MOST_HELD:
            held.push_out()
