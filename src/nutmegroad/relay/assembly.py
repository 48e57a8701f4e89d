"""Builds the objects that all executions of a host share."""

import random
from dataclasses import dataclass

from nutmegroad.canary.gate import make_gate
from nutmegroad.canary.state import RolloutState
from nutmegroad.fleet.crash_rows import CrashRows
from nutmegroad.fleet.peer_gossip import SharedState
from nutmegroad.foundations.clocks import Clock
from nutmegroad.relay.attempts import AttemptRunner
from nutmegroad.relay.boundary import HostSettings, Platform
from nutmegroad.relay.budgets import RepeatBudget
from nutmegroad.relay.context import RelayContext
from nutmegroad.relay.crashes import CrashMonitor
from nutmegroad.relay.dialer import Dialer
from nutmegroad.relay.end_checks import EndVerifier
from nutmegroad.relay.pools import ConnectionPool
from nutmegroad.upstreams.brittle_limits import HostCount
from nutmegroad.upstreams.cold_starts import ColdStarts, HostRank
from nutmegroad.upstreams.directory import Directory
from nutmegroad.upstreams.placement import Placement
from nutmegroad.upstreams.selection import Selector


@dataclass(frozen=True, slots=True)
class HostComponents:
    """Components of a host that its executions are built on.

    Attributes:
        directory: All upstreams.
        rollouts: State of all rollouts.
        received_state: State received from other hosts.
        pool: Idle connections to upstreams.
        dialer: Opens connections to upstreams.
        crash_rows: Stored rows of harmful requests.
        placement: Failure domains and regions in which requests may run.
        host_rank: This host's rank for a duty.
        host_count: Returns the number of hosts, including this one; None before
            they are known.
    """

    directory: Directory
    rollouts: RolloutState
    received_state: SharedState
    pool: ConnectionPool
    dialer: Dialer
    crash_rows: CrashRows
    placement: Placement
    host_rank: HostRank
    host_count: HostCount


def assemble(
    settings: HostSettings,
    platform: Platform,
    components: HostComponents,
    clock: Clock,
    randomness: random.Random,
) -> RelayContext:
    """Return the objects that executions share.

    Args:
        settings: The host's settings.
        platform: What the deployment's adapter provides.
        components: The components to build on.
        clock: The host's clock.
        randomness: Breaks ties between upstreams.
    """
    received_state = components.received_state
    selector = Selector(
        clock,
        randomness,
        settings.domain,
        received_state.ledger,
        received_state.prefixes,
        received_state.domains,
        ColdStarts(clock, components.host_rank),
    )
    selector.brittle.share_with(components.host_rank, components.host_count)
    dialer = components.dialer
    attempts = AttemptRunner(
        components.pool, dialer, platform.names, selector, clock
    )
    components.directory.ended.add_listener(attempts.upstream_ended)
    crashes = CrashMonitor(
        components.pool,
        EndVerifier(dialer, components.pool, components.directory, randomness),
        received_state.crashes,
        components.crash_rows,
        clock,
        platform.counters,
    )
    components.directory.ended.add_listener(crashes.upstream_ended)
    gate = make_gate(
        components.directory,
        components.rollouts,
        clock,
        settings.session_window,
        received_state.sessions,
        components.placement,
    )
    dialer.paths.on_detour(gate.on_detour)
    return RelayContext(
        attempts,
        selector,
        components.directory,
        RepeatBudget(clock, settings.repeat_limit, components.host_count),
        gate,
        clock,
        platform.counters,
        crashes,
        components.placement,
    )
