"""Engine selection by the earliest expected first token."""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from nutmegroad.contracts.decisions import (
    AttemptEnd,
    AttemptStart,
    Choice,
    Observers,
)
from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.contracts.upstreams import UpstreamState
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    AttemptId,
    DomainId,
    UpstreamId,
    VersionId,
)
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.routing._engine_pools import (
    EnginePools,
    Pool,
    can_serve,
    ids_of,
    sample,
    slots_of,
)
from nutmegroad.routing._engine_search import (
    Candidate,
    Search,
    describe_choice,
    log_no_engine,
)
from nutmegroad.routing._estimates import EngineView, VersionSpeed
from nutmegroad.routing._prefixes import PrefixTracker
from nutmegroad.routing.directory import Directory
from nutmegroad.routing.fleet_load import FleetLoad
from nutmegroad.routing.plain_selectors import no_engine

#: Engines sampled per choice, besides those with the prefix cached.
SAMPLE_SIZE: Final = 3

#: Seconds by which an engine in a remote failure domain must be faster than
#: the best local one to be selected.
SPILL_MARGIN: Final = 0.05

#: Maximum number of choices remembered until their attempt starts.
_MAX_EXPECTED: Final = 1000


@dataclass(slots=True)
class _Pending:
    """What was expected of an attempt when its engine was selected."""

    load: float  # Estimated number of requests at the engine.
    slots: int  # Number of slots of the engine.
    cached: bool  # Whether the engine was expected to have the prefix cached.
    prefix: int  # The prefix of the prompt.
    uncached: int  # Estimated prompt tokens that are not cached.


class ExpectedSelector:
    """Samples a few engines and selects the earliest expected first token.

    Args:
        directory: The upstreams.
        fleet: Load digests of other hosts and domains.
        clock: The host's clock.
        randomness: Samples engines.
        domain: The failure domain of this host.
    """

    def __init__(
        self,
        directory: Directory,
        fleet: FleetLoad,
        clock: Clock,
        randomness: random.Random,
        domain: DomainId,
    ) -> None:
        self._pools = EnginePools(directory, clock, domain)
        self._directory = directory
        self._fleet = fleet
        self._clock = clock
        self._randomness = randomness
        self._domain = domain
        self._views: dict[UpstreamId, tuple[UpstreamState, EngineView]] = {}
        self._speeds: dict[VersionId, VersionSpeed] = {}
        self._prefixes = PrefixTracker()
        self._expected: dict[tuple[str, UpstreamId], _Pending] = {}
        self._pending: dict[AttemptId, _Pending] = {}

    def choose(
        self,
        request: ModelRequest,
        version: VersionId,
        excluded: frozenset[UpstreamId],
    ) -> Choice | Refusal:
        """Return the engine with the earliest expected first token."""
        pool = self._pools.pool(version)
        search = self._search(request, version, excluded, pool)
        if search.best is None:
            current = self._pools.refreshed(version)
            if current is not pool:
                search = self._search(request, version, excluded, current)
        if search.best is None:
            log_no_engine(search, self._directory.states())
            limited = self._directory.limits.refusal_for(
                self._directory.engines(version)
            )
            return no_engine(version) if limited is None else limited
        return self._chosen(search, search.best)

    def started(self, start: AttemptStart) -> None:
        """Record the start of an attempt."""
        view = self._view_by_name(start.upstream)
        if view is not None:
            view.count_attempt(self._clock.now(), 1)
            view.health.started(start.attempt)
        key = (start.request, start.upstream)
        pending = self._expected.pop(key, None)
        if pending is None:
            return
        self._pending[start.attempt] = pending
        self._prefixes.add(start.version, pending.prefix, start.upstream)

    def ended(self, end: AttemptEnd) -> None:
        """Learn from the end of an attempt."""
        start = end.start
        pending = self._pending.pop(start.attempt, None)
        view = self._view_by_name(start.upstream)
        if view is None:
            return
        now = self._clock.now()
        view.count_attempt(now, -1)
        view.health.ended(start.attempt, end.code, now)
        if pending is not None and end.code is ResultCode.OK:
            self._learn(end, pending, view)

    def _learn(
        self,
        end: AttemptEnd,
        pending: _Pending,
        view: EngineView,
    ) -> None:
        """Update the speed estimates from a complete answer."""
        speed = self._speed(end.start.version)
        speed.service_time.add(pending.load, end.seconds)
        if end.first_token is None or end.output_tokens <= 1:
            return
        step = (end.seconds - end.first_token) / (end.output_tokens - 1)
        usual = speed.token_interval.at(pending.load)
        speed.token_interval.add(pending.load, step)
        view.add_ratio(step / usual, self._clock.now())
        if pending.load < pending.slots and pending.uncached:
            prefill = max(0, end.first_token - step) / pending.uncached
            speed.prefill.add(prefill)
        if end.cached_tokens:
            speed.add_cached(end.cached_tokens)
        if pending.cached and not end.cached_tokens:
            # The engine had evicted the prefix.
            self._prefixes.discard(
                end.start.version,
                pending.prefix,
                end.start.upstream,
            )

    def _search(
        self,
        request: ModelRequest,
        version: VersionId,
        excluded: frozenset[UpstreamId],
        pool: Pool,
    ) -> Search:
        """Search some engines for the best one."""
        search = Search(
            request,
            version,
            excluded,
            self._clock.now(),
            self._speed(version),
        )
        domains = pool.domains
        local = domains.get(self._domain, [])
        self._evaluate(search, self._holders(search, pool))
        self._evaluate(search, sample(local, SAMPLE_SIZE, self._randomness))
        if search.best is None:  # Rare: all sampled engines are unusable.
            self._evaluate(search, local)
        if _is_full(search):
            self._spill(search, domains)
        if search.best is None:
            self._last_resort(search, local)
        return search

    def _holders(self, search: Search, pool: Pool) -> list[UpstreamState]:
        """Return local engines that probably have the prefix cached.

        The first is assigned by the hash ring, alike for all hosts of the
        domain. This host has sent the prefix to the others.
        """
        prefix = search.request.prefix
        assigned = pool.ring.engine_for(prefix) if pool.ring else None
        states = [] if assigned is None else [assigned]
        for name in self._prefixes.holders(search.version, prefix):
            state = self._directory.state(name)
            if state is None or state.info.domain != self._domain:
                continue
            if state is not assigned:
                states.append(state)
        search.cached = ids_of(states)
        return states

    def _evaluate(
        self,
        search: Search,
        states: Iterable[UpstreamState],
    ) -> None:
        """Evaluate engines and keep the best."""
        for state in states:
            reason = self._exclusion_reason(search, state)
            if reason:
                search.exclusions.append(f'{state.info.upstream} {reason}')
                continue
            search.consider(self._estimate(search, state))

    def _exclusion_reason(self, search: Search, state: UpstreamState) -> str:
        """Return why an engine may not be used; empty if it may."""
        if state.info.upstream in search.excluded:
            return 'failed before'
        if not can_serve(state, search.version):
            return 'draining or version not loaded'
        if not self._directory.limits.may_send(state.info):
            return 'takes no more requests now'
        health = self._view(state).health
        if not health.admits(search.now, state.report_requested_at):
            return 'ejected'
        return ''

    def _estimate(self, search: Search, state: UpstreamState) -> Candidate:
        """Return an engine with its expected seconds to the first token."""
        view = self._view(state)
        speed = search.speed
        load = view.load(state)
        slots = slots_of(state) * view.health.slot_fraction(search.now)
        wait = _queue_length(load, slots) * speed.service_time.at(load) / slots
        cached = state.info.upstream in search.cached
        saved = speed.saved_tokens if cached else 0
        uncached = max(0, search.request.prompt_tokens - saved)
        prefill = uncached * speed.prefill.level
        seconds = wait + prefill + speed.token_interval.at(load)
        seconds *= view.slowness(search.now)
        return Candidate(state, load, seconds, cached)

    def _spill(
        self,
        search: Search,
        domains: dict[DomainId, list[UpstreamState]],
    ) -> None:
        """Consider remote failure domains that are not shedding load."""
        local = search.best
        search.best = None
        for domain, states in domains.items():
            if domain == self._domain:
                continue
            if self._fleet.is_shedding(domain):
                search.exclusions.append(f'{domain} is shedding load')
                continue
            self._evaluate(
                search, sample(states, SAMPLE_SIZE, self._randomness)
            )
        other = search.best
        if other is None or local is None:
            search.best = other if local is None else local
            return
        if other.seconds + SPILL_MARGIN >= local.seconds:
            search.best = local

    def _last_resort(
        self,
        search: Search,
        local: list[UpstreamState],
    ) -> None:
        """Use an ejected engine rather than none.

        When all engines have failed, all are ejected. None is then more
        suspect than another, and the first to recover must not get all work.
        """
        for state in sample(local, SAMPLE_SIZE, self._randomness):
            if state.info.upstream in search.excluded:
                continue
            may_send = self._directory.limits.may_send(state.info)
            if may_send and can_serve(state, search.version):
                search.consider(self._estimate(search, state))

    def _chosen(self, search: Search, best: Candidate) -> Choice:
        """Return the choice, and remember the expectations about it."""
        request = search.request
        upstream = best.state.info.upstream
        saved = search.speed.saved_tokens if best.cached else 0
        if len(self._expected) >= _MAX_EXPECTED:
            # Only choices that no attempt has ever followed are left here.
            self._expected.clear()
        self._expected[request.request, upstream] = _Pending(
            best.load,
            slots_of(best.state),
            best.cached,
            request.prefix,
            max(0, int(request.prompt_tokens - saved)),
        )
        return Choice(best.state, best.seconds, describe_choice(search, best))

    def _speed(self, version: VersionId) -> VersionSpeed:
        """Return the speed estimates of a version."""
        known = self._speeds.get(version)
        if known is None:
            known = VersionSpeed()
            self._speeds[version] = known
        return known

    def _view(self, state: UpstreamState) -> EngineView:
        """Return an engine's estimates; a new incarnation starts afresh."""
        upstream = state.info.upstream
        known = self._views.get(upstream)
        if known is not None and known[0] is state:
            return known[1]
        self._prefixes.forget(upstream)
        view = EngineView(state, self._randomness)
        self._views[upstream] = (state, view)
        return view

    def _view_by_name(self, upstream: UpstreamId) -> EngineView | None:
        """Return the estimates of an engine that was chosen before."""
        known = self._views.get(upstream)
        return None if known is None else known[1]


@register('selector', 'expected')
def expected_selector(kernel: Kernel) -> ExpectedSelector:
    """Create the selector of a host."""
    selector = ExpectedSelector(
        kernel.need(Directory),
        kernel.need(FleetLoad),
        kernel.clock,
        kernel.randomness,
        kernel.settings.domain,
    )
    kernel.need(Observers).add(selector)
    return selector


def _is_full(search: Search) -> bool:
    """Return whether none of the evaluated engines has a free slot."""
    best = search.best
    return best is None or best.load >= slots_of(best.state)


def _queue_length(load: float, slots: float) -> float:
    """Return the expected number of requests ahead in an engine's queue.

    Load is known with a delay, so a nearly full engine may be full when the
    request arrives. The result is the excess of load over slots, smoothed by
    about the standard deviation of the load.
    """
    spread = math.sqrt(slots) / 2
    return spread * math.log1p(math.exp((load - slots + 1) / spread))
