"""Estimates of how much of a prompt an upstream must process or can fetch.

A prompt consists of parts; all but the last may be shared with other prompts.
The last shared part is the subject of the request. A part is cached for one
model, and it is usable only together with all parts before it. Parts cached by
another upstream of the service can be fetched from there, which is faster than
processing them with a slow model.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from xxhash import xxh3_64_intdigest, xxh32_intdigest

from nutmegroad.fleet.cached_prefixes import (
    CachedPrefixes,
    FingerprintedPart,
    PrefixFingerprint,
)
from nutmegroad.foundations.types import DomainId, ModelName, UpstreamId
from nutmegroad.routes.deployment import EngineFacts
from nutmegroad.routes.requests import Generation, PromptPart
from nutmegroad.upstreams.directory import Upstream
from nutmegroad.upstreams.latency_estimates import LatencyEstimates, LatencyKey

#: Fraction of the shared prompt tokens that the preferred upstream of a subject
#: is assumed to have cached even if no host has reported it. Hosts that choose
#: at the same time then choose the same upstream.
ASSUMED_CACHED_FRACTION: Final = 0.5

#: Minimum engine time in seconds that a fetch must save. A fetch uses the links
#: of two engines and costs as much as the bytes it moves.
MIN_FETCH_SAVING: Final = 0.1

#: Recent failure rate from which on nothing is fetched from an upstream.
MAX_FETCH_FAILURE_RATE: Final = 0.2


@dataclass(frozen=True, slots=True)
class PrefillEstimate:
    """What an upstream would process and fetch for one prompt.

    Attributes:
        tokens: Prompt tokens that it would process.
        seconds: Seconds until all of the prompt is processed or fetched.
        source: Upstream from which it would fetch cached parts; None if it
            would process all that it lacks.
    """

    tokens: int
    seconds: float
    source: Upstream | None = None

    @property
    def source_id(self) -> UpstreamId | None:
        """Return the id of the upstream to fetch from, or None."""
        return None if self.source is None else self.source.entry.upstream


#: The estimate for a call that generates no text and has no prompt.
NO_PREFILL: Final = PrefillEstimate(0, 0)


def fingerprint_parts(
    model: ModelName | None,
    parts: Iterable[PromptPart],
) -> tuple[FingerprintedPart, ...]:
    """Return the fingerprints of a prompt's parts for one model."""
    return tuple(
        FingerprintedPart(
            PrefixFingerprint(
                xxh32_intdigest(f'{model}/{each.part_id}'.encode())
            ),
            each.tokens,
        )
        for each in parts
    )


class PrefillEstimator:
    """Estimates the work for one prompt at each candidate upstream.

    Args:
        generation: Prompt and generation parameters of the request.
        key: Service and model whose latency estimates apply.
        facts: Properties of the service's engines; None if unknown.
        latencies: Latency estimates by service and model.
        held: Prefixes that upstreams have cached.
    """

    def __init__(
        self,
        generation: Generation,
        key: LatencyKey,
        facts: EngineFacts | None,
        latencies: LatencyEstimates,
        held: CachedPrefixes,
    ) -> None:
        self._generation = generation
        self._key = key
        self._facts = facts
        self._latencies = latencies
        self._held = held
        self._parts = fingerprint_parts(key.model, generation.shared_parts)
        self._shared = sum(part.tokens for part in self._parts)
        self._preferred: UpstreamId | None = None
        self._source: Upstream | None = None
        self._source_missing = self._shared

    def prepare(
        self,
        candidates: Iterable[Upstream],
        domain: DomainId,
        now: float,
    ) -> None:
        """Find the subject's preferred upstream and the best fetch source.

        The preferred upstream is determined by rendezvous hashing, among the
        upstreams of the local domain if there are any. The fetch source is the
        healthy upstream that lacks the fewest shared tokens.

        Args:
            candidates: The upstreams to choose from.
            domain: The host's failure domain.
            now: Clock seconds.
        """
        candidates = tuple(candidates)
        local = [each for each in candidates if each.entry.domain == domain]
        subject = self._generation.subject
        if subject is not None:
            preferred = min(
                local or candidates,
                key=lambda upstream: _rendezvous_hash(subject, upstream),
            )
            self._preferred = preferred.entry.upstream
        for upstream in candidates:
            missing = self._missing_tokens(upstream)
            if missing < self._source_missing and _may_fetch_from(
                upstream, now
            ):
                self._source = upstream
                self._source_missing = missing

    def estimate(self, upstream: Upstream) -> PrefillEstimate:
        """Return the estimate for one upstream."""
        missing = self._missing_tokens(upstream)
        with_fetch = self._with_fetch(upstream, missing)
        if with_fetch is not None:
            return with_fetch
        if upstream.entry.upstream == self._preferred:
            missing = min(
                missing, int(self._shared * (1 - ASSUMED_CACHED_FRACTION))
            )
        return self._without_fetch(missing)

    def _missing_tokens(self, upstream: Upstream) -> int:
        """Return how many shared tokens an upstream has not cached."""
        missing = self._shared
        for part in self._parts:
            if not self._held.is_cached(
                upstream.entry.incarnation, part.fingerprint
            ):
                break
            missing -= part.tokens
        return missing

    def _without_fetch(self, missing: int) -> PrefillEstimate:
        """Return the estimate without a fetch, for some missing tokens."""
        own = max(0, self._generation.prompt_tokens - self._shared)
        return PrefillEstimate(
            missing + own,
            self._latencies.prefill_seconds(self._key, missing + own),
        )

    def _with_fetch(
        self, upstream: Upstream, missing: int
    ) -> PrefillEstimate | None:
        """Return the estimate with a fetch, or None if a fetch does not pay."""
        if self._facts is None or self._facts.token_fetch_seconds is None:
            return None
        if self._source is None or self._source is upstream:
            return None
        alone = self._without_fetch(missing)
        after = self._without_fetch(self._source_missing)
        transfer = (
            missing - self._source_missing
        ) * self._facts.token_fetch_seconds
        if alone.seconds - after.seconds - transfer < MIN_FETCH_SAVING:
            return None
        return PrefillEstimate(
            after.tokens, after.seconds + transfer, self._source
        )


def _may_fetch_from(upstream: Upstream, now: float) -> bool:
    """Return whether cached parts may be fetched from an upstream."""
    health = upstream.health
    if not health.is_available(now):
        return False
    return health.failure_rate(now) < MAX_FETCH_FAILURE_RATE


def _rendezvous_hash(subject: str, upstream: Upstream) -> int:
    """Return the rendezvous hash of a subject and an upstream; lowest wins."""
    name = f'{subject}/{upstream.entry.upstream}'
    return xxh3_64_intdigest(name.encode())
