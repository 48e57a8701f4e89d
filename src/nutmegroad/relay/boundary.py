"""What a host is given from outside: its settings and the platform."""

from dataclasses import dataclass

from nutmegroad.canary.steps import StatusWriter
from nutmegroad.fleet.stored import Store
from nutmegroad.foundations.types import Address, DomainId, HostId
from nutmegroad.relay.counters import RelayCounters
from nutmegroad.relay.tables import RowReader
from nutmegroad.routes.headers import HeaderNames


@dataclass(frozen=True, slots=True)
class HostTables:
    """Names of the platform's tables.

    Attributes:
        operator: What the operator writes.
        upstreams: The list of upstreams.
    """

    operator: str
    upstreams: str


@dataclass(frozen=True, slots=True)
class HostSettings:
    """What a host is told at start.

    Attributes:
        host: Its name.
        domain: The failure domain that it stands in.
        callers: Where it listens to callers.
        neighbours: Where it listens to hosts of its failure domain.
        ready: Where the balancer asks whether it is ready.
        ready_path: The path of that question.
        key_trust: Seconds for which keys hold unconfirmed; None for ever.
        repeat_ratio: Repeats for each request that the operator allows.
        repeat_window: Seconds over which repeats are counted.
        exposure: Share of a service's requests that a bad version may get.
        exposure_besides: Requests that it may get besides, in all.
        session_span: Seconds within which requests belong together.
        apply_bound: Seconds in which a configuration has to be in force.
        halt_bound: Seconds in which a bad version has to be halted.
        leaving_notice: Seconds for which an upstream serves on after it has
            said that it leaves.
        grace: Seconds from the signal to stop until the kill.
        metrics: Where metrics are shown; None for nowhere.
        link: The machine's link in Mbit/s; 0 if that is not known.
        first: Whether all hosts start for the first time.
        seed: Seed for randomness; None takes one from the system.
    """

    host: HostId
    domain: DomainId
    callers: Address
    neighbours: Address
    ready: Address
    ready_path: str
    key_trust: float | None
    repeat_ratio: float
    repeat_window: float
    exposure: float
    exposure_besides: float
    session_span: float
    apply_bound: float
    halt_bound: float
    leaving_notice: float
    grace: float
    metrics: Address | None = None
    link: float = 0
    first: bool = False
    seed: int | None = None


@dataclass(frozen=True, slots=True)
class Platform:
    """What an adapter brings.

    Attributes:
        store: The platform's store.
        names: What headers are called.
        reader: Decodes rows.
        status: Says how the operator is told of roll-outs.
        tables: Names of tables.
        counters: What is counted.
    """

    store: Store
    names: HeaderNames
    reader: RowReader
    status: StatusWriter
    tables: HostTables
    counters: RelayCounters
