"""Selection of the upstream whose answer is expected to start first.

The estimate is based on the prompts queued at each upstream, the parts of the
request's own prompt that are cached there, how many of its slots are taken, and
the results of this host's exchanges with it. Requests about one subject share
prompt parts. All hosts of a failure domain prefer the same upstream for a
subject, by rendezvous hashing, so most of these requests go to one upstream,
without any messages between the hosts.
"""

import random
from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

from nutmegroad.fleet.cached_prefixes import CachedPrefixes
from nutmegroad.fleet.domain_monitor import DomainMonitor
from nutmegroad.fleet.loads import Load, LoadLedger
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import (
    DomainId,
    ModelName,
    ServiceName,
    UpstreamIncarnation,
)
from nutmegroad.routes.deployment import ColdStart, EngineFacts
from nutmegroad.routes.requests import CallerRequest
from nutmegroad.upstreams.brittle_limits import BrittleLimits
from nutmegroad.upstreams.cold_starts import ColdStarts
from nutmegroad.upstreams.directory import Upstream
from nutmegroad.upstreams.latency_estimates import LatencyEstimates, LatencyKey
from nutmegroad.upstreams.limited_upstreams import LimitedUpstreams
from nutmegroad.upstreams.prefixes import (
    NO_PREFILL,
    PrefillEstimate,
    PrefillEstimator,
)

#: Penalty for an upstream in a remote failure domain, as a fraction of the
#: request's target latency. Traffic between domains is expensive, a remote
#: answer that is no later than a local one is no better, and a late answer
#: loses most of its value.
REMOTE_PENALTY: Final = 0.12

#: Penalty for an upstream that fails all its requests while the best candidate
#: fails none, as a fraction of the target latency. Scaled by the failure rate
#: in excess of the best candidate's.
FAILURE_PENALTY: Final = 2.0

#: Penalty for an upstream in a failure domain that is probably cut off, as a
#: fraction of the target latency; equal to that for failing all requests. If
#: all other upstreams are full it is still tried, since it may be reachable.
CUT_OFF_PENALTY: Final = 2.0

#: Penalty for an upstream whose slots are all taken, as a fraction of the
#: target latency. Scaled by the square of the fraction of slots taken.
FULL_SLOTS_PENALTY: Final = 0.5

#: Penalty for each tenth of an engine's memory that is requested beyond its
#: capacity, as a fraction of the target latency. The engine then preempts
#: requests and processes their prompts again.
MEMORY_PENALTY: Final = 0.5

#: Fraction of an engine's memory from which it counts as full. The rest is for
#: requests that peers have just sent and this host does not know of yet.
MEMORY_FULL_FRACTION: Final = 0.9

#: Ratio of measured to estimated time from which an upstream counts as slow.
SLOW_RATIO: Final = 2.0

#: Maximum of the random seconds that are added to each estimate, so that hosts
#: choose at random between upstreams whose estimates are nearly equal.
TIE_SECONDS: Final = 0.002

_TENTH: Final = 0.1


@dataclass(frozen=True, slots=True)
class Choice:
    """The upstream selected for a request, and the estimates behind it.

    Attributes:
        upstream: The selected upstream.
        expected_seconds: Seconds until its answer should start.
        prefill: What the upstream processes and fetches for the prompt.
        tokens: Tokens that the request adds to the upstream's memory.
        held_tokens: Tokens that other requests occupy there.
        running: Number of requests there, as far as is known.
        queued_seconds: Seconds of prompt processing queued there.
        candidates: Number of candidates.
        borrowed: Whether another host has to send the request within its share
            of a brittle or limited upstream.
    """

    upstream: Upstream
    expected_seconds: float
    prefill: PrefillEstimate
    tokens: int
    held_tokens: int
    running: int
    queued_seconds: float
    candidates: int
    borrowed: bool = False

    @property
    def load(self) -> Load:
        """Return the load that the request adds to the upstream."""
        return Load(1, self.prefill.seconds, self.tokens)


@dataclass(frozen=True, slots=True)
class SelectionQuery:
    """A request for which an upstream is to be selected.

    Attributes:
        request: The caller's request.
        service: The service that is to answer.
        model: The model to request; None to pass on the model named by the
            caller.
        facts: Properties of the service's engines; None for a plain service.
        cold_start: Behaviour of its upstreams after they start; None if they
            need no protection.
        unlimited_only: Whether upstreams that name a limit are left out.
    """

    request: CallerRequest
    service: ServiceName
    model: ModelName | None
    facts: EngineFacts | None
    cold_start: ColdStart | None = None
    unlimited_only: bool = False

    @property
    def key(self) -> LatencyKey:
        """Return the key of the latency estimates that apply."""
        return LatencyKey(self.service, self.model)


class Selector:
    """Selects upstreams for requests.

    Args:
        clock: The host's clock.
        randomness: Breaks ties.
        domain: The host's failure domain.
        ledger: Current load of each upstream.
        prefixes: Prompt prefixes cached by each upstream.
        silence: Tracks when the last message from each failure domain was
            received.
        cold_starts: Limits the requests to cold upstreams.
    """

    @property
    def limited(self) -> LimitedUpstreams:
        """Limits the requests to upstreams that say how many they take."""
        return self._limited

    def __init__(
        self,
        clock: Clock,
        randomness: random.Random,
        domain: DomainId,
        ledger: LoadLedger,
        prefixes: CachedPrefixes,
        silence: DomainMonitor,
        cold_starts: ColdStarts,
    ) -> None:
        self.silence = silence
        self.cold_starts = cold_starts
        self.brittle = BrittleLimits(clock, ledger)
        self._limited = LimitedUpstreams(clock)
        self.latencies = LatencyEstimates()
        self.prefixes = prefixes
        self.ledger = ledger
        self._clock = clock
        self._domain = domain
        self._randomness = randomness

    def choose(
        self,
        query: SelectionQuery,
        upstreams: Collection[Upstream],
        tried: Collection[UpstreamIncarnation],
    ) -> Choice | None:
        """Return the best upstream for a request, or None if there is none.

        While all upstreams are unreachable, only an occasional request is
        allowed to probe one; all others are better refused immediately.

        Args:
            query: The request, its service and model.
            upstreams: Upstreams that may execute it.
            tried: Incarnations that have already failed with the request;
                selected again only if there are no others.
        """
        now = self._clock.now()
        candidates = self._candidates(query, upstreams, tried)
        if not candidates:
            return None
        estimator = self._prefill_estimator(query, candidates)
        best_rate = min(each.health.failure_rate(now) for each in candidates)
        best: tuple[float, Choice] | None = None
        for upstream in candidates:
            prefill = (
                NO_PREFILL
                if estimator is None
                else estimator.estimate(upstream)
            )
            choice = self._estimate(query, upstream, prefill, len(candidates))
            cost = self._cost(query, choice, best_rate)
            if best is None or cost < best[0]:
                best = (cost, choice)
        return None if best is None else best[1]

    def is_cut_off(self, upstream: Upstream) -> bool:
        """Return whether an upstream's remote domain is probably cut off."""
        domain = upstream.entry.domain
        return domain != self._domain and self.silence.is_suspected(domain)

    def _candidates(
        self,
        query: SelectionQuery,
        upstreams: Collection[Upstream],
        tried: Collection[UpstreamIncarnation],
    ) -> list[Upstream]:
        """Return the candidates of the first group that has any."""
        now = self._clock.now()
        usable = self.cold_starts.usable(upstreams, query.cold_start)
        if query.unlimited_only:
            usable = self.limited.without_limit(usable)
        key = query.request.content
        for group in self.limited.by_preference(usable, key):
            candidates = _candidates(self.brittle.usable(group), tried, now)
            if candidates:
                return candidates
        return []

    def _estimate(
        self,
        query: SelectionQuery,
        upstream: Upstream,
        prefill: PrefillEstimate,
        candidates: int,
    ) -> Choice:
        """Return the choice of one upstream, with its estimates."""
        load = self.ledger.load(upstream.entry.incarnation)
        base = self.latencies.base_seconds(query.key)
        queue = max(0, load.running + 1 - upstream.entry.slots)
        waiting = base * queue / max(1, upstream.entry.slots)
        generation = query.request.generation
        tokens = 0
        if generation is not None:
            tokens = generation.prompt_tokens + generation.expected_tokens
        return Choice(
            upstream,
            load.prefill_seconds + prefill.seconds + base + waiting,
            prefill,
            tokens,
            load.tokens,
            load.running,
            load.prefill_seconds,
            candidates,
            self._is_borrowed(query.request, upstream),
        )

    def _is_borrowed(self, request: CallerRequest, upstream: Upstream) -> bool:
        """Return whether another host has to send a request."""
        may_send = self.limited.may_send(upstream, request.content)
        return not (may_send and self.brittle.has_share(upstream))

    def _cost(
        self, query: SelectionQuery, choice: Choice, best_rate: float
    ) -> float:
        """Return the expected seconds of a choice plus its penalties.

        Args:
            query: The request.
            choice: The estimate for one upstream.
            best_rate: Failure rate of the best candidate.
        """
        upstream = choice.upstream
        health = upstream.health
        target = query.request.route.target_latency
        slowness = (
            health.latency_ratio if health.latency_ratio > SLOW_RATIO else 1
        )
        cost = (
            choice.expected_seconds * slowness
            + self._randomness.random() * TIE_SECONDS
        )
        if upstream.entry.domain != self._domain:
            cost += target * REMOTE_PENALTY
        if self.is_cut_off(upstream):
            cost += target * CUT_OFF_PENALTY
        failing = health.failure_rate(self._clock.now()) - best_rate
        cost += target * FAILURE_PENALTY * failing
        occupancy = choice.running / max(1, upstream.entry.slots)
        cost += target * FULL_SLOTS_PENALTY * occupancy * occupancy
        return cost + target * MEMORY_PENALTY * _excess_memory(
            query.facts, choice
        )

    def _prefill_estimator(
        self,
        query: SelectionQuery,
        candidates: list[Upstream],
    ) -> PrefillEstimator | None:
        """Return the prompt estimates; None if the request has no prompt."""
        generation = query.request.generation
        if generation is None:
            return None
        estimator = PrefillEstimator(
            generation,
            query.key,
            query.facts,
            self.latencies,
            self.prefixes,
        )
        estimator.prepare(candidates, self._domain, self._clock.now())
        return estimator


def _candidates(
    upstreams: Collection[Upstream],
    tried: Collection[UpstreamIncarnation],
    now: float,
) -> list[Upstream]:
    """Return the candidates of the best non-empty category.

    The categories are: available and not yet tried; available; and those that
    are not known to be unreachable right now.
    """
    usable = [each for each in upstreams if each.health.is_available(now)]
    untried = [each for each in usable if each.entry.incarnation not in tried]
    possible = [
        each for each in upstreams if not each.health.is_unreachable(now)
    ]
    return untried or usable or possible


def _excess_memory(facts: EngineFacts | None, choice: Choice) -> float:
    """Return the requested memory beyond the limit, in tenths of the total."""
    if facts is None or not facts.cache_tokens:
        return 0
    fraction = (choice.held_tokens + choice.tokens) / facts.cache_tokens
    return max(0, fraction - MEMORY_FULL_FRACTION) / _TENTH
