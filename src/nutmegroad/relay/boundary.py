"""Inputs of a host: its settings and the platform adapter."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from nutmegroad.canary.steps import StatusWriter
from nutmegroad.fleet.store_interface import Store
from nutmegroad.foundations.types import Address, DomainId, HostId, RegionId
from nutmegroad.relay.budgets import RepeatLimit
from nutmegroad.relay.counters import RelayCounters
from nutmegroad.routes.headers import HeaderNames
from nutmegroad.tables.row_reader import RowReader


@dataclass(frozen=True, slots=True)
class HostTables:
    """Names of the platform's tables.

    Attributes:
        operator: The table that the operator writes.
        upstreams: The list of upstreams.
    """

    operator: str
    upstreams: str


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of a host.

    Attributes:
        host: Its name.
        domain: Its failure domain.
        callers: Address of the callers' listener.
        peers: Address of the listener for hosts of its failure domain.
        ready: Address at which the balancer polls its readiness.
        ready_path: Path of the readiness check.
        key_validity: Seconds for which callers' keys stay valid without a
            confirmation; None if they never expire.
        repeat_limit: The operator's limit on the repeats of all hosts.
        exposure: Fraction of a service's requests that a bad version may
            receive.
        exposure_allowance: Number of requests that it may receive in addition.
        session_window: Seconds within which requests belong to one session.
        apply_bound: Seconds within which a configuration has to be in force.
        halt_bound: Seconds within which the rollout of a bad version has to be
            halted.
        evacuation_bound: Seconds within which an evacuation has to be in force.
        drain_notice: Seconds for which a draining upstream continues to
            serve.
        reconnect_bound: Seconds after its path to the store is open again
            within which a host has to have caught up.
        grace: Seconds from the signal to stop until the process is killed.
        memory_mb: Memory limit of the process in MB; 0 if not known.
        descriptors: Number of file descriptors that the process may have; 0 if
            not known.
        max_stall: Seconds for which a caller may take nothing of an answer
            that is ready for it.
        metrics: Address of the metrics page; None for no page.
        link_mbps: Bandwidth of the network link in Mbit/s; 0 if not known.
        first_start: Whether all hosts of the fleet start for the first time.
        regions: The region of each failure domain.
        seed: Seed for randomness; None takes one from the system.
    """

    host: HostId
    domain: DomainId
    callers: Address
    peers: Address
    ready: Address
    ready_path: str
    key_validity: float | None
    repeat_limit: RepeatLimit
    exposure: float
    exposure_allowance: float
    session_window: float
    apply_bound: float
    halt_bound: float
    evacuation_bound: float
    drain_notice: float
    grace: float
    reconnect_bound: float = 3.0
    max_stall: float = 30.0
    memory_mb: float = 0
    descriptors: int = 0
    metrics: Address | None = None
    link_mbps: float = 0
    first_start: bool = False
    regions: Mapping[DomainId, RegionId] = field(default_factory=dict)
    seed: int | None = None


@dataclass(frozen=True, slots=True)
class Platform:
    """What a deployment's adapter provides.

    Attributes:
        store: The platform's store.
        names: The deployment's header names.
        reader: Decodes rows of the store.
        status: Writes the status of rollouts for the operator.
        tables: Names of tables.
        counters: The host's metrics.
    """

    store: Store
    names: HeaderNames
    reader: RowReader
    status: StatusWriter
    tables: HostTables
    counters: RelayCounters
