"""Which upstream a request goes to.

Requests about one subject share parts of their prompts, and an upstream that
has read a part answers sooner. All hosts rank the upstreams of a subject
alike, by rendezvous hashing, so they meet without a word; a host leaves the
first for the next when it is busier than the others, or fails.
"""

import random
from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

from xxhash import xxh3_64_intdigest

from nutmegroad.clocks import Clock
from nutmegroad.relay.requests import CallerRequest
from nutmegroad.relay.upstreams import Upstream
from nutmegroad.types import UpstreamId

#: How many more own requests than the mean an upstream may have and still
#: be taken for its kept prompts: a quarter over the mean (bounded loads in
#: consistent hashing), and two since few requests spread unevenly.
OVER_MEAN: Final = 1.25
OVER_FEW: Final = 2

#: Own requests that a failing upstream counts as: one that fails all it
#: gets is taken when the others have so many more.
FAILURE_WEIGHT: Final = 8.0

#: Pace, against the usual, from which an upstream counts as slow.
SLOW: Final = 2.0


@dataclass(frozen=True, slots=True)
class Choice:
    """Where a request goes, and why.

    Attributes:
        upstream: The one chosen.
        why: The rule that decided.
        candidates: How many there were.
    """

    upstream: Upstream
    why: str
    candidates: int


class Selector:
    """Chooses upstreams.

    Args:
        clock: The host's clock.
        randomness: Breaks ties.
    """

    def __init__(self, clock: Clock, randomness: random.Random) -> None:
        self._clock = clock
        self._randomness = randomness

    def choose(
        self,
        request: CallerRequest,
        upstreams: Collection[Upstream],
        tried: Collection[UpstreamId],
    ) -> Choice | None:
        """Return where a request goes next, or None if nowhere.

        Args:
            request: The request.
            upstreams: Those that may run it.
            tried: Those that have failed with it; taken again only if
                there are no others.
        """
        now = self._clock.now()
        candidates = [
            upstream for upstream in upstreams if upstream.health.available(now)
        ]
        fresh = [
            upstream
            for upstream in candidates
            if upstream.entry.upstream not in tried
        ]
        candidates = fresh or candidates or list(upstreams)
        if not candidates:
            return None
        kept = self._keeper(request, candidates)
        if kept is not None:
            return Choice(kept, 'kept prompt', len(candidates))
        burdens = self._burdens(candidates)
        least = min(
            candidates,
            key=lambda upstream: burdens[upstream.entry.upstream],
        )
        return Choice(least, 'least busy', len(candidates))

    def _keeper(
        self,
        request: CallerRequest,
        candidates: list[Upstream],
    ) -> Upstream | None:
        """Return the upstream that likely keeps a request's prompt."""
        generation = request.generation
        if generation is None or generation.subject is None:
            return None
        subject = generation.subject
        burdens = self._burdens(candidates)
        mean = sum(burdens.values()) / len(burdens)
        bound = mean * OVER_MEAN + OVER_FEW
        ranked = sorted(
            candidates,
            key=lambda upstream: _rank(subject, upstream),
        )
        for upstream in ranked:
            if burdens[upstream.entry.upstream] <= bound:
                return upstream
        return None

    def _burdens(
        self,
        candidates: list[Upstream],
    ) -> dict[UpstreamId, float]:
        """Return own requests at upstreams, made heavier by trouble.

        Failures count as far as an upstream has more of them than the
        others: requests that fail wherever they go tell nothing of it.
        """
        now = self._clock.now()
        shares = {
            each.entry.upstream: each.health.failure_share(now)
            for each in candidates
        }
        usual = min(shares.values())
        burdens = {}
        for each in candidates:
            burden = each.running + self._randomness.random()
            if each.health.pace > SLOW:
                burden *= each.health.pace
            failing = shares[each.entry.upstream] - usual
            burdens[each.entry.upstream] = burden + FAILURE_WEIGHT * failing
        return burdens


def _rank(subject: str, upstream: Upstream) -> int:
    """Return an upstream's place for a subject; the least is the first."""
    return xxh3_64_intdigest(f'{subject}/{upstream.entry.upstream}'.encode())
