"""Complete hosts of a randomized run: the kernel with every part.

Parts that would open sockets are replaced by in-memory implementations;
everything else is the code of the daemon. Each host has its own clock. A host
is paused by pausing that clock, and killed by stopping it permanently.
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
from nutmegroad.kernel.core import Kernel, Part, PartFactory
from nutmegroad.kernel.settings import Settings
from nutmegroad.membership.duties import Duties
from nutmegroad.membership.members import Members
from nutmegroad.overload.acceptor import UnservedHandler
from nutmegroad.testing.virtual import MemoryMesh, PausableClock

#: Maximum duration of a graceful stop, in seconds; no request has a longer
#: deadline.
DRAIN_TIMEOUT: Final = 45.0
LAME_DUCK: Final = 1.0

_UNUSED_ADDRESS: Final = Address('127.0.0.1', 0)

#: Instances that a part provides, by type.
_Instances = dict[type[Any], Any]

#: Called with the name and the details of each invariant that is violated.
ViolationCallback = Callable[[str, str], None]


@dataclass(slots=True)
class Environment:
    """Resources that all hosts share.

    Attributes:
        network: Links between hosts.
        platform: The platform.
        upstream_network: The upstreams and their reachability.
        on_violation: Called when an invariant of the daemon is violated.
        settings: Further settings, with values other than their defaults.
    """

    network: MemoryMesh
    platform: SoakPlatform
    upstream_network: UpstreamNetwork
    on_violation: ViolationCallback
    settings: dict[str, Any] = field(default_factory=dict)


class ReportingInvariants:
    """Reports violated invariants and lets the host continue, like a daemon.

    Args:
        on_violation: Called for each violated invariant.
    """

    def __init__(self, on_violation: ViolationCallback) -> None:
        self._on_violation = on_violation

    def check(self, name: str, held: bool, detail: str) -> bool:
        """Report the invariant if it is violated; return whether it holds."""
        if not held:
            self._on_violation(name, detail)
        return held


class HostMesh(PausableMesh):
    """Links of a host, which send nothing any more once it has been killed.

    Attributes:
        is_alive: Whether the host has neither been killed nor closed.
    """

    is_alive = True

    def send(self, host: HostId, message: Message) -> bool:
        """Queue a message to one host."""
        return self.is_alive and super().send(host, message)

    def broadcast(self, message: Message) -> int:
        """Queue a message to all hosts."""
        return super().broadcast(message) if self.is_alive else 0


class MemoryMembers:
    """Membership of a host, derived from the in-memory network.

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
        """Announce to all peers that this host takes no new work."""
        if self._network.peer(self.host) is not None:
            self._network.leave(self.host)


class MemoryListener:
    """Records the applications that a host would serve over HTTP.

    Attributes:
        apps: The applications, in the order in which they were passed.
    """

    def __init__(self) -> None:
        self.apps: list[Application] = []

    async def listen(
        self,
        kernel: Kernel,
        app: Application,
        address: Address,
        unserved: UnservedHandler | None = None,
    ) -> Address:
        """Start an application without opening a socket."""
        app.freeze()
        await app.startup()
        self.apps.append(app)
        return address


@dataclass(slots=True)
class _ProvidedPart:
    """A part that provides existing instances.

    Attributes:
        provides: The instances by type.
        needs: Types that the part requires: none.
    """

    provides: _Instances
    needs: tuple[type[Any], ...] = ()

    async def open(self, kernel: Kernel) -> None:
        """Provide the instances."""
        for kind, instance in self.provides.items():
            kernel.provide(kind, instance)


class SoakHost:
    """One incarnation of a host.

    Args:
        host: Its id.
        domain: Its failure domain.
        environment: The resources that all hosts share.
        randomness: Its source of random numbers.

    Attributes:
        clock: Its clock.
        is_alive: Whether it has neither been killed nor stopped.
        is_open: Whether all parts have been started.
        is_paused: Whether it is paused.
        started_at: Time at which this incarnation started, in seconds.
        is_stopping: Whether its graceful stop has begun.
        terminated: Done once it is killed or closed.
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
        """The application for callers."""
        return next(
            app
            for app in self._listener.apps
            if any('chat' in str(route) for route in app.router.resources())
        )

    @property
    def configuration(self) -> Configuration:
        """The configuration in force on this host."""
        return self.kernel.need(Configuration)

    @property
    def is_running(self) -> bool:
        """Whether it is open, alive and not paused."""
        return self.is_open and self.is_alive and not self.is_paused

    async def open(self) -> None:
        """Start all parts."""
        replacements = {
            name: _factory_of(part)
            for name, part in self._in_memory_parts().items()
        }
        await self.kernel.start(replacements)
        self.is_open = True

    def pause(self) -> None:
        """Pause the host, as SIGSTOP does."""
        self.is_paused = True
        self.clock.pause()

    def resume(self) -> None:
        """Resume the host, as SIGCONT does."""
        self.is_paused = False
        self.clock.resume()

    def kill(self) -> None:
        """Terminate immediately, as SIGKILL does: none of its code runs again.

        Its peers notice this later, when the host is removed from the network.
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
        """Return the in-memory parts by the names of those they replace."""
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


def _factory_of(part: Part) -> PartFactory:
    """Return a factory that returns an existing part."""
    return lambda: part
