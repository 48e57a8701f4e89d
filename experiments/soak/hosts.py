"""Whole hosts of a randomised run: the kernel with every part.

The parts that would open sockets stand on memory instead; everything else
is what the daemon runs. Each host has a clock of its own, under which it
can be paused, and with which it stops for good when it is killed.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final, cast

from aiohttp.web import Application

from experiments.configuration.hosts import PausableMesh
from experiments.deployment import BOOTSTRAP_TOKEN, CLUSTER_KEY
from experiments.soak.platform import SoakHostPlatform, SoakPlatform
from experiments.soak.upstreams import (
    HostEngines,
    HostServices,
    UpstreamNetwork,
)
from nutmegroad.callers._http_listener import Listener
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.peers import Mesh, Message
from nutmegroad.contracts.platform import (
    HostList,
    Objects,
    Ratings,
    Table,
    Weights,
)
from nutmegroad.contracts.upstreams import EngineClient, ServiceClient
from nutmegroad.foundations._cost_metrics import CostPublisher
from nutmegroad.foundations.accounting import Account, Ledger
from nutmegroad.foundations.invariants import Invariants
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.types import Address, DomainId, HostId, Presence
from nutmegroad.kernel.core import Kernel, MakePart, Part
from nutmegroad.kernel.settings import Settings
from nutmegroad.membership.duties import Duties
from nutmegroad.membership.members import Members
from nutmegroad.testing.virtual import MemoryMesh, PausableClock

#: Seconds that a graceful stop may take; no request is given longer.
DRAIN_TIMEOUT: Final = 45.0
LAME_DUCK: Final = 1.0

_UNUSED_ADDRESS: Final = Address('127.0.0.1', 0)

#: Things that a part provides, by type.
_Instances = dict[type[Any], Any]

#: Told of each check of the program's own that failed.
ViolationCallback = Callable[[str, str], None]


@dataclass(slots=True)
class Environment:
    """What all hosts share.

    Attributes:
        network: Links between hosts.
        platform: The platform.
        world: The upstreams.
        alarm: Told of checks that failed.
        settings: Settings that differ from the usual.
    """

    network: MemoryMesh
    platform: SoakPlatform
    upstream_network: UpstreamNetwork
    on_violation: ViolationCallback
    settings: dict[str, Any] = field(default_factory=dict)


class ReportingInvariants:
    """Reports a check that failed and lets the host go on, as a daemon does.

    Args:
        alarm: Told of it.
    """

    def __init__(self, on_violation: ViolationCallback) -> None:
        self._on_violation = on_violation

    def check(self, name: str, held: bool, detail: str) -> bool:
        """Report a check that failed."""
        if not held:
            self._on_violation(name, detail)
        return held


class HostMesh(PausableMesh):
    """A host's links, which fall silent when it is killed.

    Attributes:
        is_alive: Whether the host was not killed.
    """

    is_alive = True

    def tell(self, host: HostId, message: Message) -> bool:
        """Queue a message."""
        return self.is_alive and super().tell(host, message)

    def tell_all(self, message: Message) -> int:
        """Queue a message to all."""
        return super().tell_all(message) if self.is_alive else 0


class MemoryMembers:
    """The membership, as the network in memory has it.

    Args:
        host: This host.
        domain: Its failure domain.
        network: The network.
    """

    def __init__(
        self,
        host: HostId,
        domain: DomainId,
        network: MemoryMesh,
    ) -> None:
        self.host = host
        self._domain = domain
        self._network = network

    def live_hosts(self) -> tuple[HostId, ...]:
        """Return the live hosts of this domain."""
        linked = [
            peer.host
            for peer in self._network.peers
            if peer.domain == self._domain
            and peer.presence is Presence.LIVE
            and self._network.is_linked(self.host, peer.host)
        ]
        return tuple(sorted({self.host, *linked}))

    def leave(self) -> None:
        """Tell all that this host takes no new work."""
        if self._network.peer(self.host) is not None:
            self._network.leave(self.host)


class MemoryListener:
    """Keeps the applications that a host would serve.

    Attributes:
        apps: Applications, in the order in which they came.
    """

    def __init__(self) -> None:
        self.apps: list[Application] = []

    async def listen(
        self,
        kernel: Kernel,
        app: Application,
        address: Address,
    ) -> Address:
        """Make an application ready."""
        app.freeze()
        await app.startup()
        self.apps.append(app)
        return address


@dataclass(slots=True)
class _ProvidedPart:
    """A part that provides things that are there already.

    Attributes:
        provides: Things by type.
        needs: Nothing.
    """

    provides: _Instances
    needs: tuple[type[Any], ...] = ()

    async def open(self, kernel: Kernel) -> None:
        """Provide them."""
        for kind, instance in self.provides.items():
            kernel.provide(kind, instance)


class SoakHost:
    """One run of a host.

    Args:
        host: Its id.
        domain: Its failure domain.
        around: What all hosts share.
        randomness: Its source of random numbers.

    Attributes:
        clock: Its clock.
        is_alive: It was neither killed nor has it stopped.
        paused: It stands still.
        began: Seconds at which this run began.
        stopping: Its graceful stop has begun.
        ended: Done once it is killed or closed.
    """

    def __init__(
        self,
        host: HostId,
        domain: DomainId,
        environment: Environment,
        randomness: random.Random,
    ) -> None:
        self.host = host
        self.domain = domain
        self.clock = PausableClock(environment.upstream_network.clock)
        self.is_alive = True
        self.is_open = False
        self.is_paused = False
        self.is_stopping = False
        self.started_at = self.clock.now()
        self.terminated = asyncio.get_running_loop().create_future()
        self._environment = environment
        settings = Settings(
            host=host,
            domain=domain,
            callers=_UNUSED_ADDRESS,
            operators=_UNUSED_ADDRESS,
            peers=_UNUSED_ADDRESS,
            platform=_UNUSED_ADDRESS,
            cluster_key=CLUSTER_KEY,
            bootstrap_token=BOOTSTRAP_TOKEN,
            lame_duck=LAME_DUCK,
            drain=DRAIN_TIMEOUT,
            **environment.settings,
        )
        self.kernel = Kernel(settings, self.clock, randomness)
        self.kernel.listening['peers'] = _UNUSED_ADDRESS
        self._listener = MemoryListener()
        peer = environment.network.join(host, domain, self.kernel.incarnation)
        self._mesh = HostMesh(peer, self.clock)

    @property
    def app(self) -> Application:
        """Return the application for callers."""
        return next(
            app
            for app in self._listener.apps
            if any('chat' in str(route) for route in app.router.resources())
        )

    @property
    def configuration(self) -> Configuration:
        """Return what is in force on this host."""
        return self.kernel.need(Configuration)

    @property
    def is_running(self) -> bool:
        """Tell whether it is open, alive and not paused."""
        return self.is_open and self.is_alive and not self.is_paused

    async def open(self) -> None:
        """Open all parts."""
        replacements = {
            name: _factory_of(part)
            for name, part in self._in_memory_parts().items()
        }
        await self.kernel.start(replacements)
        self.is_open = True

    def pause(self) -> None:
        """Stand still, as by SIGSTOP."""
        self.is_paused = True
        self.clock.pause()

    def resume(self) -> None:
        """Go on, as by SIGCONT."""
        self.is_paused = False
        self.clock.resume()

    def kill(self) -> None:
        """End at once, as by kill -9: nothing of it ever runs again.

        The others learn of it later, when the network removes it.
        """
        self.is_alive = False
        self._mesh.is_alive = False
        self.clock.pause()
        self._terminate()

    async def close(self) -> None:
        """Close all parts after a graceful stop, and leave the network."""
        await self.kernel.stack.aclose()
        self.is_alive = False
        self._mesh.is_alive = False
        self._environment.network.remove(self.host)
        self._terminate()

    def _terminate(self) -> None:
        """Break the connections of callers."""
        if not self.terminated.done():
            self.terminated.set_result(None)

    def _in_memory_parts(self) -> dict[str, Part]:
        """Return the parts that stand on memory, by whose place they take."""
        environment = self._environment
        platform = SoakHostPlatform(
            environment.platform, self.domain, self.clock
        )
        members = MemoryMembers(self.host, self.domain, environment.network)
        client_arguments = (
            environment.upstream_network,
            self.host,
            self.domain,
            self.clock,
        )
        metrics, ledger = Metrics(float), Ledger(float)
        provided: dict[str, _Instances] = {
            'metrics': {
                Metrics: metrics,
                Account: ledger,
                Ledger: ledger,
                CostPublisher: CostPublisher(ledger, metrics),
                Invariants: ReportingInvariants(environment.on_violation),
            },
            'platform': dict.fromkeys(
                (Table, Objects, HostList, Ratings, Weights),
                platform,
            ),
            'mesh': {
                Mesh: self._mesh,
                Members: cast(Members, members),
                Duties: Duties(members),
            },
            'upstreams': {
                EngineClient: HostEngines(*client_arguments),
                ServiceClient: HostServices(*client_arguments),
            },
            'listener': {Listener: self._listener},
        }
        return {
            name: _ProvidedPart(instances)
            for name, instances in provided.items()
        }


def _factory_of(part: Part) -> MakePart:
    """Return a factory of a part that is there already."""
    return lambda: part
