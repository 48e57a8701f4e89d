"""What happens to a deployment in a randomised run."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import Final

from experiments.configuration.memory_platform import TableFaults
from experiments.soak.hosts import SoakHost, Surroundings
from experiments.soak.judge import Judge
from experiments.soak.operators import LONG, SHORT, Operators
from experiments.soak.upstreams import Upstream, restarted
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

#: Seconds between events, on average.
GAP: Final = 6.0
#: Seconds after which hosts take a silent one for gone.
SILENCE: Final = 3.0

#: Something that happens, from its beginning to its end.
Event = Callable[[], Awaitable[None]]


@dataclass(slots=True)
class Events:
    """Draws and carries out events.

    Attributes:
        document: The document at the start.
        around: What all hosts share.
        judge: Told of each event.
        clock: The time of all.
        randomness: Draws them.
        hosts: The present run of each host.
        pending: Events that are not over.
    """

    document: Document
    around: Surroundings
    judge: Judge
    clock: Clock
    randomness: random.Random
    hosts: dict[HostId, SoakHost]
    pending: set[asyncio.Task[None]] = field(default_factory=set)
    _busy: set[str] = field(default_factory=set)
    _operators: Operators = field(init=False)

    def __post_init__(self) -> None:
        """Let operators change things, too."""
        self._operators = Operators(
            self.document,
            self.judge,
            self.clock,
            self.randomness,
            self.hosts,
        )

    async def run(self) -> None:
        """Let events happen until cancelled."""
        events = self._events()
        while True:
            await self.clock.sleep(self.randomness.expovariate(1 / GAP))
            drawn = self.randomness.choices(
                tuple(events),
                tuple(events.values()),
            )[0]
            self.start(drawn())

    def start(self, event: Awaitable[None]) -> None:
        """Run an event in a task of its own."""
        task = asyncio.ensure_future(event)
        self.pending.add(task)
        task.add_done_callback(self._ended)

    async def begin_host(self, host: HostId, domain: DomainId) -> SoakHost:
        """Start a host, or a new run of one."""
        run = SoakHost(
            host,
            domain,
            self.around,
            random.Random(self.randomness.getrandbits(64)),
        )
        self.hosts[host] = run
        # Cuts made or healed while it was away are not known for it.
        for other in self.hosts:
            self.around.network.heal(host, other)
        for cut in sorted(self.around.world.cut):
            self.around.network.cut_domain(cut, noticed=True)
        await run.open()
        return run

    async def look_at_list(self) -> None:
        """Keep the platform's host list in step, with a lag."""
        while True:
            self.around.platform.listing = Listing(
                (),
                tuple(
                    upstream.info
                    for upstream in self.around.world.upstreams.values()
                ),
            )
            await self.clock.sleep(self.randomness.uniform(0.5, 6))

    def _events(self) -> dict[Event, int]:
        """Return the events and how often each is drawn."""
        return {
            self._kill: 3,
            self._pause: 4,
            self._cut: 3,
            self._platform_down: 2,
            self._platform_bad: 3,
            self._stop: 3,
            self._operators.operate: 12,
            self._operators.withdraw: 3,
            self._upstream_leaves: 4,
            self._upstream_crashes: 3,
            self._upstream_freezes: 2,
            self._version_bad: 1,
        }

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.pending.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.judge.fault(f'an event failed: {task.exception()!r}')

    def _one_in_two(self) -> bool:
        return bool(self.randomness.getrandbits(1))

    async def _last(self, spans: tuple[float, float]) -> None:
        await self.clock.sleep(self.randomness.uniform(*spans))

    def _take(self, names: list[str]) -> str | None:
        """Return one that nothing happens to now, and keep it."""
        free = [name for name in names if name not in self._busy]
        if not free:
            return None
        name = self.randomness.choice(sorted(free))
        self._busy.add(name)
        return name

    def _take_host(self) -> SoakHost | None:
        name = self._take(list(self.hosts))
        return None if name is None else self.hosts[HostId(name)]

    async def _kill(self) -> None:
        """Kill a host, and start another in its place."""
        host = self._take_host()
        if host is None:
            return
        event = self.judge.disturb(f'killed {host.kernel.incarnation}')
        host.kill()
        if self._one_in_two():
            await self.clock.sleep(SILENCE)
        self.around.network.remove(host.host)
        await self._last(SHORT)
        await self.begin_host(host.host, host.domain)
        event.until = self.clock.now()
        self._busy.discard(host.host)

    async def _pause(self) -> None:
        """Let a host stand still, shorter or longer than its lease."""
        host = self._take_host()
        if host is None:
            return
        event = self.judge.disturb(f'paused {host.host}')
        host.pause()
        await self._last(self.randomness.choice((SHORT, LONG)))
        host.resume()
        event.until = self.clock.now()
        self._busy.discard(host.host)

    async def _stop(self) -> None:
        """Stop a host gracefully, and start another in its place."""
        host = self._take_host()
        if host is None:
            return
        event = self.judge.disturb(f'stopped {host.kernel.incarnation}')
        host.stopping = True
        left = await host.kernel.need(GracefulStop).run()
        if left:
            self.judge.fault(f'the stop of {host.host} cut {left} requests')
        await host.close()
        await self._last(SHORT)
        await self.begin_host(host.host, host.domain)
        event.until = self.clock.now()
        self._busy.discard(host.host)

    async def _cut(self) -> None:
        """Cut a domain off from the others and from the platform."""
        if self._take(['cut']) is None:
            return
        domains = sorted({host.domain for host in self.hosts.values()})
        domain = self.randomness.choice(domains)
        with_platform = self._one_in_two()
        event = self.judge.disturb(f'cut {domain}')
        self._part(domain, with_platform)
        await self.clock.sleep(SILENCE)
        self.around.network.cut_domain(domain, noticed=True)
        await self._last(self.randomness.choice((SHORT, LONG)))
        self._heal(domain)
        event.until = self.clock.now()
        self._busy.discard('cut')

    def _part(self, domain: DomainId, with_platform: bool) -> None:
        """Part a domain from the others, maybe from the platform too."""
        self.around.world.cut.add(domain)
        self.around.network.cut_domain(domain)
        if with_platform:
            self.around.platform.faults.cut.add(domain)
            self.judge.unreachable[domain] = self.clock.now()

    def _heal(self, domain: DomainId) -> None:
        """Let a domain reach everything again."""
        self.around.network.heal_domain(domain)
        self.around.world.cut.discard(domain)
        self.around.platform.faults.cut.discard(domain)
        self.judge.unreachable.pop(domain, None)

    async def _platform_down(self) -> None:
        """Let the platform be down."""
        if self._take(['platform']) is None:
            return
        event = self.judge.disturb('down platform')
        self.judge.unreachable['platform'] = self.clock.now()
        self.around.platform.faults.down = True
        await self._last(self.randomness.choice((SHORT, LONG)))
        self.around.platform.faults.down = False
        self.judge.unreachable.pop('platform')
        event.until = self.clock.now()
        self._busy.discard('platform')

    async def _platform_bad(self) -> None:
        """Let the platform be slow, lose calls and replies, and lag."""
        if self._take(['platform']) is None:
            return
        event = self.judge.disturb('bad platform')
        self._spoil(self.around.platform.faults)
        await self._last(LONG)
        self._clear(self.around.platform.faults)
        event.until = self.clock.now()
        self._busy.discard('platform')

    def _spoil(self, weather: TableFaults) -> None:
        """Let the platform be slow, or lose things, or lag."""
        weather.delay = self.randomness.choice(((0.001, 0.02), (0.1, 1.2)))
        weather.drop = self.randomness.choice((0, 0.2))
        weather.lose_reply = self.randomness.choice((0, 0.4))
        weather.lag = self.judge.history.lag
        weather.stale = 0.5 if weather.lag else 0

    def _clear(self, weather: TableFaults) -> None:
        """Let the platform be well."""
        weather.delay = (0.001, 0.02)
        weather.drop = 0
        weather.lose_reply = 0
        weather.stale = 0

    def _take_upstream(self, kind: UpstreamKind | None) -> Upstream | None:
        names = [
            str(name)
            for name, upstream in self.around.world.upstreams.items()
            if kind is None or upstream.info.kind is kind
        ]
        name = self._take(names)
        if name is None:
            return None
        return self.around.world.upstreams[UpstreamId(name)]

    async def _upstream_leaves(self) -> None:
        """Let an upstream leave, go, and come back elsewhere."""
        upstream = self._take_upstream(None)
        if upstream is None:
            return
        self.judge.note(f'{upstream.info.upstream} leaves')
        self.judge.counts['upstreams leaving'] += 1
        upstream.leaving = True
        upstream.info = replace(upstream.info, presence=Presence.LEAVING)
        await self._last(LONG)
        upstream.is_down = True
        await self._last(SHORT)
        self._bring_back(upstream)

    async def _upstream_crashes(self) -> None:
        """Let an upstream crash and come back elsewhere."""
        upstream = self._take_upstream(None)
        if upstream is None:
            return
        self.judge.note(f'{upstream.info.upstream} crashes')
        self.judge.counts['upstreams crashed'] += 1
        upstream.is_down = True
        await self._last(SHORT)
        self._bring_back(upstream)

    async def _upstream_freezes(self) -> None:
        """Let an upstream stand still."""
        upstream = self._take_upstream(None)
        if upstream is None:
            return
        self.judge.note(f'{upstream.info.upstream} freezes')
        self.judge.counts['upstreams frozen'] += 1
        upstream.is_frozen = True
        await self._last(SHORT)
        upstream.is_frozen = False
        self._busy.discard(str(upstream.info.upstream))

    def _bring_back(self, upstream: Upstream) -> None:
        """Let an upstream be there again."""
        restarted(upstream)
        self.judge.returned(upstream.info.upstream)
        self.judge.note(f'{upstream.info.upstream} is back')
        self._busy.discard(str(upstream.info.upstream))

    async def _version_bad(self) -> None:
        """Let a version turn bad: its answers are rated low."""
        version = self.randomness.choice(self.document.versions).id
        self.judge.note(f'{version} turns bad')
        self.around.platform.bad.add(version)
        await self._last(LONG)
        self.around.platform.bad.discard(version)
