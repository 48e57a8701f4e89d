"""Faults and operator actions that occur during a randomized run."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import Final

from experiments.configuration.memory_platform import TableFaults
from experiments.soak.hosts import Environment, SoakHost
from experiments.soak.judge import Judge
from experiments.soak.operators import LONG_SPAN, SHORT_SPAN, Operators
from experiments.soak.upstreams import Upstream, restart_upstream
from nutmegroad.contracts.documents import Document
from nutmegroad.contracts.platform import Listing
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import (
    DomainId,
    HostId,
    Presence,
    UpstreamId,
    UpstreamKind,
)
from nutmegroad.kernel.stops import GracefulStop

#: Mean number of seconds between events.
MEAN_EVENT_GAP: Final = 6.0
#: Seconds without contact after which hosts regard a peer as unresponsive.
FAILURE_TIMEOUT: Final = 3.0

#: Carries out an event, from its beginning to its end.
EventAction = Callable[[], Awaitable[None]]


@dataclass(slots=True)
class EventScheduler:
    """Draws events at random and carries them out.

    Attributes:
        document: The initial configuration document.
        environment: The resources that all hosts share.
        judge: Notified of each event.
        clock: Virtual clock.
        randomness: Source of the random choices.
        hosts: The present incarnation of each host.
        pending: Tasks of events that have not ended.
    """

    document: Document
    environment: Environment
    judge: Judge
    clock: Clock
    randomness: random.Random
    hosts: dict[HostId, SoakHost]
    pending: set[asyncio.Task[None]] = field(default_factory=set)
    _reserved: set[str] = field(default_factory=set)
    _operators: Operators = field(init=False)

    def __post_init__(self) -> None:
        """Create the operators, whose actions are events, too."""
        self._operators = Operators(
            self.document,
            self.judge,
            self.clock,
            self.randomness,
            self.hosts,
        )

    async def run(self) -> None:
        """Start events at random times until cancelled."""
        weights = self._event_weights()
        while True:
            await self.clock.sleep(
                self.randomness.expovariate(1 / MEAN_EVENT_GAP)
            )
            action = self.randomness.choices(
                tuple(weights),
                tuple(weights.values()),
            )[0]
            self.start(action())

    def start(self, action: Awaitable[None]) -> None:
        """Carry out an event in a task of its own."""
        task = asyncio.ensure_future(action)
        self.pending.add(task)
        task.add_done_callback(self._on_done)

    async def start_host(self, host: HostId, domain: DomainId) -> SoakHost:
        """Start a host, or a new incarnation of one."""
        incarnation = SoakHost(
            host,
            domain,
            self.environment,
            random.Random(self.randomness.getrandbits(64)),
        )
        self.hosts[host] = incarnation
        # The links of a new incarnation do not reflect partitions that began
        # or ended while the host was down.
        for other in self.hosts:
            self.environment.network.heal(host, other)
        upstream_network = self.environment.upstream_network
        for cut in sorted(upstream_network.partitioned_domains):
            self.environment.network.cut_domain(cut, noticed=True)
        await incarnation.open()
        return incarnation

    async def refresh_host_list(self) -> None:
        """Update the platform's host list at intervals of 0.5 to 6 seconds."""
        while True:
            upstreams = self.environment.upstream_network.upstreams.values()
            self.environment.platform.listing = Listing(
                (),
                tuple(upstream.info for upstream in upstreams),
            )
            await self.clock.sleep(self.randomness.uniform(0.5, 6))

    def _event_weights(self) -> dict[EventAction, int]:
        """Return the events with their relative frequencies."""
        return {
            self._kill_host: 3,
            self._pause_host: 4,
            self._cut_domain: 3,
            self._take_platform_down: 2,
            self._degrade_platform: 3,
            self._stop_host: 3,
            self._operators.change_concurrently: 12,
            self._operators.withdraw: 3,
            self._drain_upstream: 4,
            self._crash_upstream: 3,
            self._freeze_upstream: 2,
            self._degrade_version: 1,
        }

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self.pending.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.judge.fail(f'an event failed: {task.exception()!r}')

    def _coin_flip(self) -> bool:
        return bool(self.randomness.getrandbits(1))

    async def _sleep_within(self, bounds: tuple[float, float]) -> None:
        await self.clock.sleep(self.randomness.uniform(*bounds))

    def _reserve(self, names: list[str]) -> str | None:
        """Reserve a target of no present event; None if there is none."""
        free = [name for name in names if name not in self._reserved]
        if not free:
            return None
        name = self.randomness.choice(sorted(free))
        self._reserved.add(name)
        return name

    def _reserve_host(self) -> SoakHost | None:
        name = self._reserve(list(self.hosts))
        return None if name is None else self.hosts[HostId(name)]

    async def _kill_host(self) -> None:
        """Kill a host, and start a new incarnation of it."""
        host = self._reserve_host()
        if host is None:
            return
        disturbance = self.judge.record_disturbance(
            f'killed {host.kernel.incarnation}'
        )
        host.kill()
        if self._coin_flip():
            await self.clock.sleep(FAILURE_TIMEOUT)
        self.environment.network.remove(host.host)
        await self._sleep_within(SHORT_SPAN)
        await self.start_host(host.host, host.domain)
        disturbance.until = self.clock.now()
        self._reserved.discard(host.host)

    async def _pause_host(self) -> None:
        """Pause a host, for a time shorter or longer than its lease."""
        host = self._reserve_host()
        if host is None:
            return
        disturbance = self.judge.record_disturbance(f'paused {host.host}')
        host.pause()
        await self._sleep_within(
            self.randomness.choice((SHORT_SPAN, LONG_SPAN))
        )
        host.resume()
        disturbance.until = self.clock.now()
        self._reserved.discard(host.host)

    async def _stop_host(self) -> None:
        """Stop a host gracefully, and start a new incarnation of it."""
        host = self._reserve_host()
        if host is None:
            return
        disturbance = self.judge.record_disturbance(
            f'stopped {host.kernel.incarnation}'
        )
        host.is_stopping = True
        interrupted = await host.kernel.need(GracefulStop).run()
        if interrupted:
            self.judge.fail(
                f'the stop of {host.host} interrupted {interrupted} requests'
            )
        await host.close()
        await self._sleep_within(SHORT_SPAN)
        await self.start_host(host.host, host.domain)
        disturbance.until = self.clock.now()
        self._reserved.discard(host.host)

    async def _cut_domain(self) -> None:
        """Cut a domain off from the others, and maybe from the platform."""
        if self._reserve(['cut']) is None:
            return
        domains = sorted({host.domain for host in self.hosts.values()})
        domain = self.randomness.choice(domains)
        with_platform = self._coin_flip()
        disturbance = self.judge.record_disturbance(f'cut {domain}')
        self._partition(domain, with_platform)
        await self.clock.sleep(FAILURE_TIMEOUT)
        self.environment.network.cut_domain(domain, noticed=True)
        await self._sleep_within(
            self.randomness.choice((SHORT_SPAN, LONG_SPAN))
        )
        self._heal_partition(domain)
        disturbance.until = self.clock.now()
        self._reserved.discard('cut')

    def _partition(self, domain: DomainId, with_platform: bool) -> None:
        """Cut the links of a domain, optionally also those to the platform."""
        self.environment.upstream_network.partitioned_domains.add(domain)
        self.environment.network.cut_domain(domain)
        if with_platform:
            self.environment.platform.faults.cut.add(domain)
            self.judge.unreachable_since[domain] = self.clock.now()

    def _heal_partition(self, domain: DomainId) -> None:
        """Restore all links of a domain."""
        self.environment.network.heal_domain(domain)
        self.environment.upstream_network.partitioned_domains.discard(domain)
        self.environment.platform.faults.cut.discard(domain)
        self.judge.unreachable_since.pop(domain, None)

    async def _take_platform_down(self) -> None:
        """Make the platform unavailable."""
        if self._reserve(['platform']) is None:
            return
        disturbance = self.judge.record_disturbance('down platform')
        self.judge.unreachable_since['platform'] = self.clock.now()
        self.environment.platform.faults.down = True
        await self._sleep_within(
            self.randomness.choice((SHORT_SPAN, LONG_SPAN))
        )
        self.environment.platform.faults.down = False
        self.judge.unreachable_since.pop('platform')
        disturbance.until = self.clock.now()
        self._reserved.discard('platform')

    async def _degrade_platform(self) -> None:
        """Slow the platform down, lose calls and replies, and add lag."""
        if self._reserve(['platform']) is None:
            return
        disturbance = self.judge.record_disturbance('bad platform')
        self._set_platform_faults(self.environment.platform.faults)
        await self._sleep_within(LONG_SPAN)
        self._clear_platform_faults(self.environment.platform.faults)
        disturbance.until = self.clock.now()
        self._reserved.discard('platform')

    def _set_platform_faults(self, faults: TableFaults) -> None:
        """Choose the faults of the platform at random."""
        faults.delay = self.randomness.choice(((0.001, 0.02), (0.1, 1.2)))
        faults.drop = self.randomness.choice((0, 0.2))
        faults.lose_reply = self.randomness.choice((0, 0.4))
        faults.lag = self.judge.history.max_lag
        faults.stale = 0.5 if faults.lag else 0

    def _clear_platform_faults(self, faults: TableFaults) -> None:
        """Restore the normal behaviour of the platform."""
        faults.delay = (0.001, 0.02)
        faults.drop = 0
        faults.lose_reply = 0
        faults.stale = 0

    def _reserve_upstream(self, kind: UpstreamKind | None) -> Upstream | None:
        upstreams = self.environment.upstream_network.upstreams
        names = [
            str(name)
            for name, upstream in upstreams.items()
            if kind is None or upstream.info.kind is kind
        ]
        name = self._reserve(names)
        if name is None:
            return None
        return upstreams[UpstreamId(name)]

    async def _drain_upstream(self) -> None:
        """Drain an upstream, shut it down, restart it at another address."""
        upstream = self._reserve_upstream(None)
        if upstream is None:
            return
        self.judge.log_event(f'{upstream.info.upstream} leaves')
        self.judge.counts['upstreams leaving'] += 1
        upstream.leaving = True
        upstream.info = replace(upstream.info, presence=Presence.LEAVING)
        await self._sleep_within(LONG_SPAN)
        upstream.is_down = True
        await self._sleep_within(SHORT_SPAN)
        self._restore_upstream(upstream)

    async def _crash_upstream(self) -> None:
        """Crash an upstream and restart it at another address."""
        upstream = self._reserve_upstream(None)
        if upstream is None:
            return
        self.judge.log_event(f'{upstream.info.upstream} crashes')
        self.judge.counts['upstreams crashed'] += 1
        upstream.is_down = True
        await self._sleep_within(SHORT_SPAN)
        self._restore_upstream(upstream)

    async def _freeze_upstream(self) -> None:
        """Freeze an upstream: it accepts connections, but does not answer."""
        upstream = self._reserve_upstream(None)
        if upstream is None:
            return
        self.judge.log_event(f'{upstream.info.upstream} freezes')
        self.judge.counts['upstreams frozen'] += 1
        upstream.is_frozen = True
        await self._sleep_within(SHORT_SPAN)
        upstream.is_frozen = False
        self._reserved.discard(str(upstream.info.upstream))

    def _restore_upstream(self, upstream: Upstream) -> None:
        """Restart an upstream that was shut down or crashed."""
        restart_upstream(upstream)
        self.judge.upstream_restarted(upstream.info.upstream)
        self.judge.log_event(f'{upstream.info.upstream} is back')
        self._reserved.discard(str(upstream.info.upstream))

    async def _degrade_version(self) -> None:
        """Give the answers of a version low ratings."""
        version = self.randomness.choice(self.document.versions).id
        self.judge.log_event(f'{version} turns bad')
        self.environment.platform.low_rated.add(version)
        await self._sleep_within(LONG_SPAN)
        self.environment.platform.low_rated.discard(version)
