"""How much of a prompt an upstream has to read, and what it may fetch.

A part is kept for one model, and only with all parts before it. What another
upstream of the service keeps can be fetched from there, which is quicker than
reading it where a model reads slowly.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from xxhash import xxh3_64_intdigest, xxh32_intdigest

from nutmegroad.fleet.prefix_marks import HeldPrefixes, MarkedPart, PrefixMark
from nutmegroad.foundations.types import DomainId, ModelName, UpstreamId
from nutmegroad.routes.deployment import EngineFacts
from nutmegroad.routes.requests import Generation, PromptPart
from nutmegroad.upstreams.directory import Upstream
from nutmegroad.upstreams.estimates import PaceKey, Paces

#: Part of the shared tokens that the first upstream of a subject is taken to
#: keep though nobody has told so: hosts that choose at the same moment then
#: meet there.
LIKELY_KEPT: Final = 0.5

#: Seconds of an engine's time that a fetch has to spare: it takes two engines'
#: links and costs as much as what it moves, so it has to bring more. Fetching
#: was worth 0.014 (standard error 0.005) of a day's whole worth by nine paired
#: days, before hosts told each other of sends at once; beside that nothing is
#: shown (0.004 less, 0.005).
FETCH_SPARES: Final = 0.1

#: Recent share of failures from which nothing is fetched from an upstream.
FETCH_FAILURES: Final = 0.2


@dataclass(frozen=True, slots=True)
class Reading:
    """What an upstream would do about a prompt.

    Attributes:
        tokens: Tokens that it reads.
        seconds: Seconds until it has read or fetched all of it.
        source: Where it fetches from; None if it reads what it lacks.
    """

    tokens: int
    seconds: float
    source: Upstream | None = None

    @property
    def source_id(self) -> UpstreamId | None:
        """Return the id of the upstream that it fetches from, or None."""
        return None if self.source is None else self.source.entry.upstream


#: The reading of a call that is no generation.
NOTHING: Final = Reading(0, 0)


def marked(
    model: ModelName | None,
    parts: Iterable[PromptPart],
) -> tuple[MarkedPart, ...]:
    """Return a prompt's parts as one model reads them."""
    return tuple(
        MarkedPart(
            PrefixMark(xxh32_intdigest(f'{model}/{each.part}'.encode())),
            each.tokens,
        )
        for each in parts
    )


class PromptReadings:
    """What each upstream would do about one prompt.

    Args:
        generation: The request's generation.
        key: What it is read as.
        facts: What is known of the engines; None for nothing.
        paces: How fast models read.
        held: What upstreams hold.
    """

    def __init__(
        self,
        generation: Generation,
        key: PaceKey,
        facts: EngineFacts | None,
        paces: Paces,
        held: HeldPrefixes,
    ) -> None:
        self._generation = generation
        self._key = key
        self._facts = facts
        self._paces = paces
        self._held = held
        self._parts = marked(key.model, generation.shared)
        self._shared = sum(part.tokens for part in self._parts)
        self._first: UpstreamId | None = None
        self._source: Upstream | None = None
        self._source_lacks = self._shared

    def look(
        self,
        candidates: Iterable[Upstream],
        domain: DomainId,
        now: float,
    ) -> None:
        """Find where the subject is at home, and who holds most of it.

        Args:
            candidates: The upstreams to choose from.
            domain: The host's failure domain.
            now: Clock seconds.
        """
        candidates = tuple(candidates)
        near = [each for each in candidates if each.entry.domain == domain]
        subject = self._generation.subject
        if subject is not None:
            first = min(
                near or candidates,
                key=lambda upstream: _place(subject, upstream),
            )
            self._first = first.entry.upstream
        for upstream in candidates:
            lacks = self._lacks(upstream)
            if lacks < self._source_lacks and _is_sound(upstream, now):
                self._source = upstream
                self._source_lacks = lacks

    def at(self, upstream: Upstream) -> Reading:
        """Return what one upstream would do."""
        lacks = self._lacks(upstream)
        fetching = self._fetching(upstream, lacks)
        if fetching is not None:
            return fetching
        if upstream.entry.upstream == self._first:
            lacks = min(lacks, int(self._shared * (1 - LIKELY_KEPT)))
        return self._reading(lacks)

    def _lacks(self, upstream: Upstream) -> int:
        """Return the shared tokens that an upstream does not hold."""
        lacks = self._shared
        for part in self._parts:
            if not self._held.holds(upstream.entry.incarnation, part.mark):
                break
            lacks -= part.tokens
        return lacks

    def _reading(self, lacks: int) -> Reading:
        """Return the reading of an upstream that lacks shared tokens."""
        own = max(0, self._generation.prompt_tokens - self._shared)
        return Reading(lacks + own, self._paces.work(self._key, lacks + own))

    def _fetching(self, upstream: Upstream, lacks: int) -> Reading | None:
        """Return the reading with a fetch; None if that does not pay."""
        if self._facts is None or self._facts.fetch_time is None:
            return None
        if self._source is None or self._source is upstream:
            return None
        alone = self._reading(lacks)
        after = self._reading(self._source_lacks)
        moving = (lacks - self._source_lacks) * self._facts.fetch_time
        if alone.seconds - after.seconds - moving < FETCH_SPARES:
            return None
        return Reading(after.tokens, after.seconds + moving, self._source)


def _is_sound(upstream: Upstream, now: float) -> bool:
    """Tell whether something may be fetched from an upstream."""
    health = upstream.health
    if not health.available(now):
        return False
    return health.failure_share(now) < FETCH_FAILURES


def _place(subject: str, upstream: Upstream) -> int:
    """Return an upstream's place for a subject; the least is the first."""
    name = f'{subject}/{upstream.entry.upstream}'
    return xxh3_64_intdigest(name.encode())
