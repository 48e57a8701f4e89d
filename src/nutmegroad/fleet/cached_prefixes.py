"""Tracks which prompt parts each upstream has cached, across all hosts.

An upstream caches the parts that it has processed until newer ones evict them.
Each host knows what it has sent itself and receives from its peers what they
have sent recently, so all hosts know of nearly all parts without asking any
upstream.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final, NewType

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import UpstreamIncarnation

#: 32-bit fingerprint of a prompt part, as one model tokenizes it. Two of 10,000
#: parts share a fingerprint with a probability of one in 86; the only effect is
#: a wrong estimate of what an upstream has cached.
PrefixFingerprint = NewType('PrefixFingerprint', int)

#: Maximum number of parts per datagram, the newest ones. At about eight bytes
#: each, they fit into an Ethernet frame together with the loads.
MAX_REPORTED: Final = 100

#: Maximum number of parts tracked per upstream; applies where the size of its
#: cache is unknown.
MAX_PARTS: Final = 400

#: Maximum number of tracked upstreams, above that of the largest planned
#: deployment (890). Peers may go on reporting an upstream that has terminated.
MAX_UPSTREAMS: Final = 1000

#: Parts by upstream as hosts report them: a flat list in which each fingerprint
#: is followed by the part's tokens.
PrefixReport = dict[UpstreamIncarnation, list[int]]


@dataclass(frozen=True, slots=True)
class FingerprintedPart:
    """A prompt part as one model tokenizes it.

    Attributes:
        fingerprint: Its fingerprint.
        tokens: Its size in tokens.
    """

    fingerprint: PrefixFingerprint
    tokens: int


@dataclass(slots=True)
class _CachedParts:
    """Parts that one upstream has cached.

    Attributes:
        parts: Tokens by fingerprint, least recently used first.
        tokens: Sum of the tokens.
    """

    parts: OrderedDict[PrefixFingerprint, int] = field(
        default_factory=OrderedDict
    )
    tokens: int = 0

    def use(self, part: FingerprintedPart) -> None:
        """Record that a part is used just now."""
        before = self.parts.pop(part.fingerprint, 0)
        self.parts[part.fingerprint] = part.tokens
        self.tokens += part.tokens - before

    def evict_oldest(self) -> None:
        """Evict the least recently used part."""
        _, tokens = self.parts.popitem(last=False)
        self.tokens -= tokens


@dataclass(frozen=True, slots=True)
class _SentPart:
    """A part that this host has sent.

    Attributes:
        upstream: Where it was sent.
        part: The part.
        sent_at: Clock time in seconds.
    """

    upstream: UpstreamIncarnation
    part: FingerprintedPart
    sent_at: float


class CachedPrefixes:
    """Tracks the parts that this host and its peers have sent to upstreams.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Ordered by last use, oldest first.
        self._upstreams: OrderedDict[UpstreamIncarnation, _CachedParts] = (
            OrderedDict()
        )
        self._sent: list[_SentPart] = []

    def is_cached(
        self, upstream: UpstreamIncarnation, fingerprint: PrefixFingerprint
    ) -> bool:
        """Return whether an upstream has probably cached a part."""
        known = self._upstreams.get(upstream)
        return known is not None and fingerprint in known.parts

    def record_sent(
        self,
        upstream: UpstreamIncarnation,
        parts: tuple[FingerprintedPart, ...],
        cache_size: int,
    ) -> None:
        """Record the parts that this host sends to an upstream.

        Args:
            upstream: The upstream.
            parts: Parts of the prompt.
            cache_size: Size of the upstream's cache in tokens; 0 if unknown.
        """
        now = self._clock.now()
        for part in parts:
            self._use(upstream, part)
            self._sent.append(_SentPart(upstream, part, now))
        cached = self._upstreams.get(upstream)
        while cached and cache_size and cached.tokens > cache_size:
            cached.evict_oldest()

    def merge(self, prefixes: PrefixReport) -> None:
        """Merge the parts that another host has sent to upstreams."""
        for upstream, pairs in prefixes.items():
            for fingerprint, tokens in zip(
                pairs[::2], pairs[1::2], strict=False
            ):
                self._use(
                    upstream,
                    FingerprintedPart(PrefixFingerprint(fingerprint), tokens),
                )

    def recent(self, span: float) -> PrefixReport:
        """Return the parts that this host has sent to upstreams recently.

        Args:
            span: Age limit in seconds.
        """
        oldest = self._clock.now() - span
        self._sent = [
            each
            for each in self._sent[-MAX_REPORTED:]
            if each.sent_at >= oldest
        ]
        found: PrefixReport = {}
        for each in self._sent:
            reported = found.setdefault(each.upstream, [])
            reported.extend((each.part.fingerprint, each.part.tokens))
        return found

    def forget(self, upstream: UpstreamIncarnation) -> None:
        """Remove an upstream that has terminated."""
        self._upstreams.pop(upstream, None)

    def _use(
        self, upstream: UpstreamIncarnation, part: FingerprintedPart
    ) -> None:
        """Record that an upstream uses a part just now."""
        cached = self._upstreams.setdefault(upstream, _CachedParts())
        self._upstreams.move_to_end(upstream)
        if len(self._upstreams) > MAX_UPSTREAMS:
            self._upstreams.popitem(last=False)
        cached.use(part)
        if len(cached.parts) > MAX_PARTS:
            cached.evict_oldest()
