"""Hosts and engines of a trial: real decisions over modelled engines."""

import asyncio
import itertools
import random
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Any, Final

from fakes.batching import BatchSpeed

from experiments.trials.engine_model import EngineModel
from experiments.virtual_time import VirtualClock
from nutmegroad.configuration.in_force import (
    AcceptedConfiguration,
    Configuration,
)
from nutmegroad.contracts.decisions import (
    Admitter,
    Observers,
    RetryBudget,
    Selector,
)
from nutmegroad.contracts.documents import (
    Document,
    PresetEntry,
    PresetTask,
    WorkspaceEntry,
)
from nutmegroad.foundations.types import (
    Address,
    Digest,
    DomainId,
    HostId,
    PresetName,
    Revision,
    UpstreamId,
    UpstreamInfo,
    UpstreamKind,
    VersionId,
    WorkspaceId,
)
from nutmegroad.routing._demand import Demand
from nutmegroad.routing._slots import HostSlots, Identity
from nutmegroad.routing.admission import FairAdmitter
from nutmegroad.routing.directory import Directory
from nutmegroad.routing.fleet_load import FleetLoad
from nutmegroad.routing.plain_selectors import (
    LeastInFlight,
    RandomChoice,
    RoundRobin,
)
from nutmegroad.routing.policies import OpenAdmitter, UnboundedRetries
from nutmegroad.routing.retries import ProportionalRetries
from nutmegroad.routing.selection import ExpectedSelector
from nutmegroad.routing.shares import ShareLedger
from nutmegroad.routing.slot_exchange import SlotExchange
from nutmegroad.testing.virtual import MemoryMesh

VERSION: Final = VersionId('drafting@1')
TASK: Final = 'dossier'
DOMAINS: Final = ('shah-alam', 'petaling', 'cyberjaya')

#: Seconds by which an engine's report lags, and between two reads of it.
REPORT_LAG: Final = 0.5
REPORT_PERIOD: Final = 1.0

#: Seconds until the host list shows that an engine has gone.
LIST_LAG: Final = 5.0


@dataclass(frozen=True, slots=True)
class Setting:
    """Which policies a trial uses.

    Attributes:
        selector: Name of the selector.
        admitter: Name of the admitter.
        retries: Name of the retry budget.
    """

    selector: str
    admitter: str
    retries: str

    @property
    def name(self) -> str:
        """Return its name."""
        return f'{self.selector}/{self.admitter}'


@dataclass(frozen=True, slots=True)
class Size:
    """How large the fleet of a trial is.

    Attributes:
        engines: Engines in each domain.
        hosts: Hosts in each domain.
        queue_limit: Requests that may wait for each slot at a host.
        shares: Share of each workspace.
        speed: How fast engines are.
        length: Seconds in which requests come.
    """

    engines: int = 3
    hosts: int = 3
    queue_limit: float = 2.0
    shares: tuple[float, ...] = (1.0,) * 10
    speed: BatchSpeed = field(default_factory=BatchSpeed)
    length: float = 60


@dataclass(slots=True)
class Host:
    """An entry host's decisions.

    Attributes:
        directory: What it knows of engines.
        observers: Learn from attempts.
        selector: Chooses engines.
        admitter: Lets requests in.
        retries: Bounds retries.
        randomness: Of this host.
    """

    directory: Directory
    observers: Observers
    selector: Selector
    admitter: Admitter
    retries: RetryBudget
    randomness: random.Random


class Fleet:
    """All hosts and engines of a trial; a context.

    Args:
        setting: The policies.
        size: How large it is.
        clock: Virtual time.
        seed: Of all that is drawn.
    """

    def __init__(
        self,
        setting: Setting,
        size: Size,
        clock: VirtualClock,
        seed: int,
    ) -> None:
        self.hosts: list[Host] = []
        self.engines: dict[UpstreamId, EngineModel] = {}
        self._infos: list[UpstreamInfo] = []
        self._setting = setting
        self._size = size
        self._clock = clock
        self._randomness = random.Random(seed)
        self._stack = AsyncExitStack()
        self._gone: dict[UpstreamId, float] = {}

    async def __aenter__(self) -> 'Fleet':
        """Build everything."""
        mesh = await self._stack.enter_async_context(
            MemoryMesh(self._clock, random.Random(self._randomness.random())),
        )
        for domain in DOMAINS:
            for number in range(self._size.engines):
                self._add_engine(DomainId(domain), number)
        for domain in DOMAINS:
            for number in range(self._size.hosts):
                self._add_host(mesh, DomainId(domain), number)
        self._spawn(self._report_forever())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """End everything."""
        await self._stack.aclose()

    def in_domain(self, domain: str) -> list[EngineModel]:
        """Return the engines of a domain."""
        return [
            self.engines[info.upstream]
            for info in self._infos
            if info.domain == domain
        ]

    def fail_domain(self, domain: str) -> None:
        """Take a domain's engines away; the list shows it late."""
        for info in self._infos:
            if info.domain == domain:
                self.engines[info.upstream].fail()
                self._gone[info.upstream] = self._clock.now() + LIST_LAG

    def _add_engine(self, domain: DomainId, number: int) -> None:
        """Add an engine."""
        upstream = UpstreamId(f'{domain}-engine-{number}')
        address = Address('127.0.0.1', 1)
        kind = UpstreamKind.ENGINE
        self._infos.append(UpstreamInfo(upstream, domain, kind, address))
        self.engines[upstream] = EngineModel(
            self._clock,
            (VERSION,),
            self._size.speed,
        )

    def _add_host(
        self,
        mesh: MemoryMesh,
        domain: DomainId,
        number: int,
    ) -> None:
        """Add a host."""
        identity = Identity(HostId(f'{domain}-{number}'), domain)
        maker = _HostMaker(
            identity,
            self._setting,
            self._size,
            self._clock,
            random.Random(self._randomness.random()),
        )
        self.hosts.append(maker.make())
        if maker.admitter is not None:
            exchange = SlotExchange(
                mesh.join(identity.host, domain),
                maker.admitter,
                maker.fleet,
                maker.ledger,
                self._clock,
                random.Random(self._randomness.random()),
            )
            exchange.register_handlers()
            self._spawn(exchange.run())

    def _spawn(self, coroutine: Any) -> None:
        """Run a task until the fleet closes."""
        task = asyncio.create_task(coroutine)
        self._stack.callback(task.cancel)

    async def _report_forever(self) -> None:
        """Hand the engines' reports to the hosts, each at its own time."""
        pause = REPORT_PERIOD / len(self.hosts)
        for host in self.hosts:
            self._report(host)
        for later in itertools.cycle(self.hosts):
            await self._clock.sleep(pause)
            self._report(later)

    def _report(self, host: Host) -> None:
        """Hand the engines' reports to a host."""
        now = self._clock.now()
        listed = tuple(
            info
            for info in self._infos
            if self._gone.get(info.upstream, now + 1) > now
        )
        host.directory.update(listed)
        for info in listed:
            engine = self.engines[info.upstream]
            if not engine.is_down:
                report = engine.report(REPORT_LAG)
                host.directory.reported(info.upstream, report)


class _HostMaker:
    """Puts a host's decisions together."""

    def __init__(
        self,
        identity: Identity,
        setting: Setting,
        size: Size,
        clock: VirtualClock,
        randomness: random.Random,
    ) -> None:
        self.fleet = FleetLoad(clock)
        self.ledger = ShareLedger()
        self.admitter: FairAdmitter | None = None
        self._identity = identity
        self._setting = setting
        self._clock = clock
        self._randomness = randomness
        self._directory = Directory(clock)
        self._observers = Observers()
        self._configuration = Configuration(clock, 8)
        self._configuration.apply(accepted_for(size.shares, size.queue_limit))

    def make(self) -> Host:
        """Return the host."""
        return Host(
            self._directory,
            self._observers,
            self._selector(),
            self._admitter(),
            self._retries(),
            self._randomness,
        )

    def _selector(self) -> Selector:
        """Make the selector."""
        makers: dict[str, Callable[[], Selector]] = {
            'round-robin': lambda: RoundRobin(self._directory),
            'random': lambda: RandomChoice(self._directory, self._randomness),
            'least-in-flight': lambda: LeastInFlight(
                self._directory,
                self._randomness,
            ),
            'expected': self._expected,
        }
        return makers[self._setting.selector]()

    def _expected(self) -> Selector:
        """Make the selector by expected first token."""
        selector = ExpectedSelector(
            self._directory,
            self.fleet,
            self._clock,
            self._randomness,
            self._identity.domain,
        )
        self._observers.add(selector)
        return selector

    def _admitter(self) -> Admitter:
        """Make the admitter."""
        if self._setting.admitter == 'open':
            return OpenAdmitter()
        slots = HostSlots(
            self._identity,
            self._directory,
            self.fleet,
            self.ledger,
            self._clock,
        )
        demand = Demand(self._configuration, self.fleet, self._identity)
        self.admitter = FairAdmitter(
            slots,
            self._configuration,
            demand,
            self._clock,
            self._randomness,
        )
        self._observers.add(self.admitter)
        return self.admitter

    def _retries(self) -> RetryBudget:
        """Make the retry budget."""
        if self._setting.retries == 'unbounded':
            return UnboundedRetries()
        budget = ProportionalRetries(self._clock)
        self._observers.add(budget)
        return budget


def workspace_names(size: Size) -> list[WorkspaceId]:
    """Return the workspaces of a trial."""
    return names_for(size.shares)


def names_for(shares: tuple[float, ...]) -> list[WorkspaceId]:
    """Return a name for each share."""
    return [WorkspaceId(f'outlet-{n}') for n, _ in enumerate(shares)]


def accepted_for(
    shares: tuple[float, ...],
    queue_limit: float,
) -> AcceptedConfiguration:
    """Return a configuration with the trial's workspaces."""
    workspaces = tuple(
        WorkspaceEntry(
            name=name,
            key_hash='0' * 64,
            versions=(VERSION,),
            share=share,
        )
        for name, share in zip(names_for(shares), shares, strict=True)
    )
    preset = PresetEntry(
        name='peak',
        tasks=(PresetTask(task=TASK, versions=(VERSION,)),),
        queue_limit=queue_limit,
    )
    document = Document(
        format=1,
        name='trial',
        versions=(),
        tasks=(),
        workspaces=workspaces,
        presets=(preset,),
    )
    return AcceptedConfiguration(
        Revision(1),
        Digest(''),
        document,
        PresetName('peak'),
        'trial',
    )
