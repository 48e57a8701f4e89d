"""The fleet of a selection trial: real policies over modelled engines."""

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

#: Age of an engine's report when a host reads it, and seconds between reads.
REPORT_LAG: Final = 0.5
REPORT_PERIOD: Final = 1.0

#: Seconds until the list of upstreams shows that an engine has failed.
LIST_LAG: Final = 5.0


@dataclass(frozen=True, slots=True)
class Setting:
    """The policies of a trial.

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
        """Name of the setting on the command line and in the table."""
        return f'{self.selector}/{self.admitter}'


@dataclass(frozen=True, slots=True)
class Size:
    """Size of the fleet and length of a trial.

    Attributes:
        engines: Engines in each failure domain.
        hosts: Hosts in each failure domain.
        queue_limit: Requests that may wait at a host for each slot.
        shares: Quota share of each workspace.
        speed: Batching times of all engines.
        length: Seconds during which requests arrive.
    """

    engines: int = 3
    hosts: int = 3
    queue_limit: float = 2.0
    shares: tuple[float, ...] = (1.0,) * 10
    speed: BatchSpeed = field(default_factory=BatchSpeed)
    length: float = 60


@dataclass(slots=True)
class Host:
    """The policies of one entry host.

    Attributes:
        directory: The engines that the host knows, with their reports.
        observers: Policies that are notified of attempts.
        selector: Selects an engine for each attempt.
        admitter: Admits or queues requests.
        retries: Limits retries.
        randomness: Source of the host's random draws.
    """

    directory: Directory
    observers: Observers
    selector: Selector
    admitter: Admitter
    retries: RetryBudget
    randomness: random.Random


class Fleet:
    """All hosts and engines of a trial; a context manager.

    Args:
        setting: The policies.
        size: The size of the fleet.
        clock: Virtual clock.
        seed: Seeds all random draws.
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
        self._removed_at: dict[UpstreamId, float] = {}

    async def __aenter__(self) -> 'Fleet':
        """Create engines and hosts, and start their tasks."""
        mesh = await self._stack.enter_async_context(
            MemoryMesh(self._clock, random.Random(self._randomness.random())),
        )
        for domain in DOMAINS:
            for number in range(self._size.engines):
                self._add_engine(DomainId(domain), number)
        for domain in DOMAINS:
            for number in range(self._size.hosts):
                self._add_host(mesh, DomainId(domain), number)
        self._start_task(self._report_forever())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Cancel all tasks and close the mesh."""
        await self._stack.aclose()

    def fail_domain(self, domain: str) -> None:
        """Fail a domain's engines; the list drops them after ``LIST_LAG``."""
        for info in self._infos:
            if info.domain == domain:
                self.engines[info.upstream].fail()
                self._removed_at[info.upstream] = self._clock.now() + LIST_LAG

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
        builder = _HostBuilder(
            identity,
            self._setting,
            self._size,
            self._clock,
            random.Random(self._randomness.random()),
        )
        self.hosts.append(builder.build())
        if builder.admitter is not None:
            exchange = SlotExchange(
                mesh.join(identity.host, domain),
                builder.admitter,
                builder.fleet,
                builder.ledger,
                self._clock,
                random.Random(self._randomness.random()),
            )
            exchange.register_handlers()
            self._start_task(exchange.run())

    def _start_task(self, coroutine: Any) -> None:
        """Run a background task until the fleet closes."""
        task = asyncio.create_task(coroutine)
        self._stack.callback(task.cancel)

    async def _report_forever(self) -> None:
        """Report the engines to the hosts, to one host after another."""
        interval = REPORT_PERIOD / len(self.hosts)
        for host in self.hosts:
            self._report(host)
        for host in itertools.cycle(self.hosts):
            await self._clock.sleep(interval)
            self._report(host)

    def _report(self, host: Host) -> None:
        """Pass the list and the reports of engines to a host."""
        now = self._clock.now()
        infos = tuple(
            info
            for info in self._infos
            if self._removed_at.get(info.upstream, now + 1) > now
        )
        host.directory.update(infos)
        for info in infos:
            engine = self.engines[info.upstream]
            if not engine.is_down:
                report = engine.report(REPORT_LAG)
                host.directory.reported(info.upstream, report)


class _HostBuilder:
    """Builds the policies of a host."""

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

    def build(self) -> Host:
        """Return the host with its policies."""
        return Host(
            self._directory,
            self._observers,
            self._build_selector(),
            self._build_admitter(),
            self._build_retries(),
            self._randomness,
        )

    def _build_selector(self) -> Selector:
        """Return the selector of the setting."""
        factories: dict[str, Callable[[], Selector]] = {
            'round-robin': lambda: RoundRobin(self._directory),
            'random': lambda: RandomChoice(self._directory, self._randomness),
            'least-in-flight': lambda: LeastInFlight(
                self._directory,
                self._randomness,
            ),
            'expected': self._build_expected,
        }
        return factories[self._setting.selector]()

    def _build_expected(self) -> Selector:
        """Return the selector by expected time to the first token."""
        selector = ExpectedSelector(
            self._directory,
            self.fleet,
            self._clock,
            self._randomness,
            self._identity.domain,
        )
        self._observers.add(selector)
        return selector

    def _build_admitter(self) -> Admitter:
        """Return the admitter of the setting."""
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

    def _build_retries(self) -> RetryBudget:
        """Return the retry budget of the setting."""
        if self._setting.retries == 'unbounded':
            return UnboundedRetries()
        budget = ProportionalRetries(self._clock)
        self._observers.add(budget)
        return budget


def workspace_names(size: Size) -> list[WorkspaceId]:
    """Return the names of a trial's workspaces."""
    return names_for(size.shares)


def names_for(shares: tuple[float, ...]) -> list[WorkspaceId]:
    """Return the workspace name for each share."""
    return [WorkspaceId(f'outlet-{n}') for n, _ in enumerate(shares)]


def accepted_for(
    shares: tuple[float, ...],
    queue_limit: float,
) -> AcceptedConfiguration:
    """Return a configuration with one workspace for each share."""
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
