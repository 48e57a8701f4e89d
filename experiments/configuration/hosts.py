"""Simulated hosts that run the real configuration code in one process.

The hosts share one clock, and a platform and a network in memory.
"""

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

#: Seconds for which a host may use a configuration after confirming it.
LEASE: Final = 8.0
#: Average seconds between polls of the head row, and between announcements
#: to peers.
POLL: Final = 2.0
#: Names in the documents of ``make_document``.
PRESETS: Final = ('ordinary', 'peak', 'maintenance')
WORKSPACE: Final = WorkspaceId('desk')
VERSIONS: Final = ('small@1', 'small@2', 'large@1', 'large@2')


def make_document(number: int, epoch: Epoch = Epoch(0)) -> Document:
    """Return a small configuration with one workspace.

    Args:
        number: Makes the document different from others; part of its name.
        epoch: Epoch of every version.
    """
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
    """A host's mesh that blocks while the host is paused.

    Args:
        mesh: The mesh that carries the messages.
        clock: The host's clock.
    """

    def __init__(self, mesh: Mesh, clock: PausableClock) -> None:
        self._mesh = mesh
        self._clock = clock

    def members(self) -> tuple[Member, ...]:
        """Return the other hosts that are live or draining."""
        return self._mesh.members()

    def handle(self, kind: type[Sent], handler: Handler[Sent]) -> None:
        """Register a handler that runs only while the host is not paused."""

        async def handle(host: HostId, message: Sent) -> Message | None:
            """Call the handler when the host is not paused."""
            await self._clock.sleep(0)
            return await handler(host, message)

        self._mesh.handle(kind, handle)

    def send(self, host: HostId, message: Message) -> bool:
        """Queue a message to a host; return false if it is not linked."""
        return self._mesh.send(host, message)

    def broadcast(self, message: Message) -> int:
        """Queue a message to all linked hosts; return their number."""
        return self._mesh.broadcast(message)

    async def request(
        self,
        host: HostId,
        message: Message,
        timeout: float,
    ) -> Message | Refusal:
        """Send a request; return its reply when the host is not paused."""
        reply = await self._mesh.request(host, message, timeout)
        await self._clock.sleep(0)
        return reply


@dataclass(frozen=True, slots=True)
class HostPlacement:
    """A host's id and the failure domain that it runs in.

    Attributes:
        host: The host's id.
        domain: The host's failure domain.
    """

    host: HostId
    domain: DomainId


class ConfigurationHost:
    """One incarnation of a host, reduced to its configuration code.

    Args:
        placement: The host's id and failure domain.
        clock: The clock that all hosts share.
        platform: The platform that all hosts share.
        mesh: The host's links to the others.
        randomness: Source of jitter and of the head's nonces.

    Attributes:
        placement: As above.
        clock: The host's view of the shared clock; can be paused.
        paused: Whether the host is paused.
        mesh: The host's links; they block while the host is paused.
        configuration: The configuration in force on the host.
        store: Reads and writes the head row and the documents.
        peer_queries: Queries peers about their configuration.
        poller: Polls the head row.
        announcer: Announces the configuration to peers.
        progress: Reports how far a change has reached.
        changes: Operators' changes made at this host.
    """

    def __init__(
        self,
        placement: HostPlacement,
        clock: Clock,
        platform: MemoryPlatform,
        mesh: Mesh,
        randomness: random.Random,
    ) -> None:
        self.placement = placement
        self.clock = PausableClock(clock)
        self.paused = False
        self._tasks: list[asyncio.Task[Any]] = []
        self.mesh = PausableMesh(mesh, self.clock)
        services = HostPlatform(platform, placement.domain, self.clock)
        self.configuration = Configuration(self.clock, LEASE)
        self.store = HeadStore(
            services,
            services,
            lambda: f'{randomness.getrandbits(96):024x}',
        )
        self.peer_queries = PeerQueries(
            self.mesh,
            self.configuration,
            self.clock,
            randomness,
            placement.domain,
        )
        timing = PollTiming(self.clock, randomness, POLL)
        self.poller = ConfigurationPoller(
            self.store,
            self.configuration,
            self.peer_queries,
            timing,
        )
        self.announcer = Announcer(
            self.mesh,
            self.configuration,
            self.peer_queries,
            self.poller,
            self.clock,
            randomness,
            POLL,
        )
        self.progress = ChangeProgress(
            self.mesh,
            self.configuration,
            placement.host,
            placement.domain,
        )
        self.changes = ConfigurationChanges(
            self.store, self.poller, self.configuration
        )

    def start(self) -> None:
        """Start to poll the platform and to announce to peers."""
        self._tasks.extend(
            asyncio.ensure_future(loop)
            for loop in (self.poller.run(), self.announcer.run())
        )

    def pause(self) -> None:
        """Suspend the host, as SIGSTOP does."""
        self.paused = True
        self.clock.pause()

    def resume(self) -> None:
        """Continue a paused host, as SIGCONT does."""
        self.paused = False
        self.clock.resume()

    async def stop(self) -> None:
        """Stop without notifying any peer."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class Fleet:
    """Hosts that share one clock, one network and one platform.

    Args:
        size: Hosts in each failure domain.
        randomness: Source of all random choices, so that a seed determines
            the whole run.
        domains: Names of the failure domains.

    Attributes:
        randomness: As above.
        clock: The clock that all hosts share; it moves only when advanced.
        platform: The platform in memory.
        network: The network in memory.
        domains: The failure domains.
        hosts: The running incarnation of each host.
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
        self.hosts: dict[HostId, ConfigurationHost] = {}
        self._placements = [
            HostPlacement(HostId(f'{domain}-{number}'), domain)
            for domain in self.domains
            for number in range(size)
        ]
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> 'Fleet':
        """Start all hosts; no configuration is in force yet."""
        await self._stack.enter_async_context(self.network)
        self._stack.push_async_callback(self.platform.aclose)
        self._stack.push_async_callback(self._stop)
        for placement in self._placements:
            self.start_host(placement)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop all hosts."""
        await self._stack.aclose()

    def start_host(self, placement: HostPlacement) -> ConfigurationHost:
        """Start a host, or a new incarnation of it."""
        host = ConfigurationHost(
            placement,
            self.clock,
            self.platform,
            self.network.join(placement.host, placement.domain),
            self.randomness,
        )
        self.hosts[placement.host] = host
        host.start()
        return host

    async def restart(self, host: HostId) -> ConfigurationHost:
        """Replace a host by a new incarnation without any state."""
        old = self.hosts.pop(host)
        old.resume()
        self.network.remove(host)
        await old.stop()
        return self.start_host(old.placement)

    async def _stop(self) -> None:
        for host in self.hosts.values():
            await host.stop()
