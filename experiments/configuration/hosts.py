"""Several hosts' real configuration objects in one process, on one clock."""

import asyncio
import random
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any, Final

from experiments.configuration.memory_platform import (
    HostPlatform,
    MemoryPlatform,
)
from nutmegroad.configuration.announcements import Announcer
from nutmegroad.configuration.changes import ConfigurationChanges
from nutmegroad.configuration.heads import HeadStore
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.configuration.peer_queries import PeerQueries
from nutmegroad.configuration.poller import ConfigurationPoller, PollTiming
from nutmegroad.configuration.progress import ChangeProgress
from nutmegroad.contracts.documents import (
    Document,
    PresetEntry,
    VersionEntry,
    WorkspaceEntry,
)
from nutmegroad.contracts.peers import Handler, Member, Mesh, Message, Sent
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import DomainId, Epoch, HostId, WorkspaceId
from nutmegroad.testing.virtual import ManualClock, MemoryMesh, PausableClock

LEASE: Final = 8.0
POLL: Final = 2.0
PRESETS: Final = ('ordinary', 'peak', 'maintenance')
WORKSPACE: Final = WorkspaceId('desk')
VERSIONS: Final = ('small@1', 'small@2', 'large@1', 'large@2')


def make_document(number: int, epoch: Epoch = Epoch(0)) -> Document:
    """Return a small document that differs by its number."""
    return Document(
        format=1,
        name=f'trial-{number}',
        versions=tuple(
            VersionEntry(id=name, price_in=1, price_out=1, epoch=epoch)
            for name in VERSIONS
        ),
        tasks=(),
        workspaces=(
            WorkspaceEntry(
                name=WORKSPACE,
                key_hash='0' * 64,
                versions=VERSIONS,
            ),
        ),
        presets=tuple(PresetEntry(name=name, tasks=()) for name in PRESETS),
    )


class PausableMesh:
    """A host's mesh that stands still while the host is paused.

    Args:
        mesh: The mesh behind.
        clock: The host's clock.
    """

    def __init__(self, mesh: Mesh, clock: PausableClock) -> None:
        self._mesh = mesh
        self._clock = clock

    def members(self) -> tuple[Member, ...]:
        """Return the other hosts."""
        return self._mesh.members()

    def handle(self, kind: type[Sent], handler: Handler[Sent]) -> None:
        """Register a handler, which waits while the host is paused."""

        async def handle(host: HostId, message: Sent) -> Message | None:
            """Wait for the host to run."""
            await self._clock.sleep(0)
            return await handler(host, message)

        self._mesh.handle(kind, handle)

    def tell(self, host: HostId, message: Message) -> bool:
        """Queue a message."""
        return self._mesh.tell(host, message)

    def tell_all(self, message: Message) -> int:
        """Queue a message to all."""
        return self._mesh.tell_all(message)

    async def ask(
        self,
        host: HostId,
        message: Message,
        timeout: float,
    ) -> Message | Refusal:
        """Ask, and see the reply when the host runs."""
        reply = await self._mesh.ask(host, message, timeout)
        await self._clock.sleep(0)
        return reply


@dataclass(frozen=True, slots=True)
class HostNames:
    """What a host is called.

    Attributes:
        host: Its id.
        domain: Its failure domain.
    """

    host: HostId
    domain: DomainId


class TrialHost:
    """One incarnation of a host: the real objects on a pausable clock.

    Args:
        names: Its id and domain.
        clock: The clock of all hosts.
        platform: The platform.
        mesh: Its links to the others.
        randomness: Source of jitter and nonces.
    """

    def __init__(
        self,
        names: HostNames,
        clock: Clock,
        platform: MemoryPlatform,
        mesh: Mesh,
        randomness: random.Random,
    ) -> None:
        self.names = names
        self.clock = PausableClock(clock)
        self.paused = False
        self._tasks: list[asyncio.Task[Any]] = []
        self.mesh = PausableMesh(mesh, self.clock)
        services = HostPlatform(platform, names.domain, self.clock)
        self.configuration = Configuration(self.clock, LEASE)
        self.store = HeadStore(
            services,
            services,
            lambda: f'{randomness.getrandbits(96):024x}',
        )
        self.confirmations = PeerQueries(
            self.mesh,
            self.configuration,
            self.clock,
            randomness,
            names.domain,
        )
        timing = PollTiming(self.clock, randomness, POLL)
        self.poller = ConfigurationPoller(
            self.store,
            self.configuration,
            self.confirmations,
            timing,
        )
        self.announcer = Announcer(
            self.mesh,
            self.configuration,
            self.confirmations,
            self.poller,
            self.clock,
            randomness,
            POLL,
        )
        self.progress = ChangeProgress(
            self.mesh,
            self.configuration,
            names.host,
            names.domain,
        )
        self.changes = ConfigurationChanges(
            self.store, self.poller, self.configuration
        )

    def start(self) -> None:
        """Begin to poll and to compare."""
        self._tasks.extend(
            asyncio.ensure_future(work)
            for work in (self.poller.run(), self.announcer.run())
        )

    def pause(self) -> None:
        """Stop as by SIGSTOP."""
        self.paused = True
        self.clock.pause()

    def resume(self) -> None:
        """Go on as by SIGCONT."""
        self.paused = False
        self.clock.resume()

    async def stop(self) -> None:
        """End, without a word to anybody."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class Fleet:
    """Hosts of three domains on one clock, one network, one platform.

    Args:
        size: Hosts in each domain.
        randomness: Source of all that is drawn.
        domains: The domains.
    """

    def __init__(
        self,
        size: int,
        randomness: random.Random,
        domains: tuple[str, ...] = ('east', 'west', 'north'),
    ) -> None:
        self.randomness = randomness
        self.clock = ManualClock()
        self.platform = MemoryPlatform(self.clock, randomness)
        self.network = MemoryMesh(self.clock, randomness)
        self.domains = tuple(DomainId(name) for name in domains)
        self.hosts: dict[HostId, TrialHost] = {}
        self._names = [
            HostNames(HostId(f'{domain}-{number}'), domain)
            for domain in self.domains
            for number in range(size)
        ]
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> 'Fleet':
        """Start all hosts; nothing is in force yet."""
        await self._stack.enter_async_context(self.network)
        self._stack.push_async_callback(self.platform.aclose)
        self._stack.push_async_callback(self._stop)
        for names in self._names:
            self.begin(names)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop all hosts."""
        await self._stack.aclose()

    def begin(self, names: HostNames) -> TrialHost:
        """Start a host, or a new incarnation of one."""
        host = TrialHost(
            names,
            self.clock,
            self.platform,
            self.network.join(names.host, names.domain),
            self.randomness,
        )
        self.hosts[names.host] = host
        host.start()
        return host

    async def restart(self, host: HostId) -> TrialHost:
        """End a host and start it anew, with nothing kept."""
        old = self.hosts.pop(host)
        old.resume()
        self.network.remove(host)
        await old.stop()
        return self.begin(old.names)

    async def _stop(self) -> None:
        for host in self.hosts.values():
            await host.stop()
