"""Builds the objects that all executions of a host share."""

import random
from contextlib import AsyncExitStack
from dataclasses import dataclass

from nutmegroad.canary.gate import make_gate
from nutmegroad.canary.state import RolloutState
from nutmegroad.fleet.hosts import FleetHosts
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.process_memory import resident_bytes
from nutmegroad.ingress.connections import Limits
from nutmegroad.ingress.descriptors import (
    DescriptorAccount,
    descriptor_limit,
)
from nutmegroad.ingress.timeouts import ConnectionTimeouts
from nutmegroad.overload.memory_budget import (
    connection_memory,
    memory_budget,
)
from nutmegroad.overload.quick_refusals import QuickRefusals
from nutmegroad.relay.attempts import AttemptRunner
from nutmegroad.relay.boundary import HostSettings, Platform
from nutmegroad.relay.budgets import RepeatBudget
from nutmegroad.relay.connections import Connector
from nutmegroad.relay.context import RelayContext
from nutmegroad.relay.crashes import CrashMonitor
from nutmegroad.relay.dialer import Dialer
from nutmegroad.relay.end_checks import EndVerifier
from nutmegroad.relay.listener import BoundSockets, Listeners
from nutmegroad.relay.text_refusals import TextRefusals
from nutmegroad.upstreams.cold_starts import ColdStarts
from nutmegroad.upstreams.directory import Directory
from nutmegroad.upstreams.placement import Placement
from nutmegroad.upstreams.rate_shares import RateShares
from nutmegroad.upstreams.selection import Selector
from nutmegroad.upstreams.senders import SenderRanks


@dataclass(frozen=True, slots=True)
class HostComponents:
    """Components of a host that its executions are built on.

    Attributes:
        directory: All upstreams.
        rollouts: State of all rollouts.
        fleet: The other hosts.
        connector: Opens direct connections to upstreams.
        dialer: Opens connections to upstreams, by other hosts if necessary.
        placement: Failure domains and regions in which requests may run.
    """

    directory: Directory
    rollouts: RolloutState
    fleet: FleetHosts
    connector: Connector
    dialer: Dialer
    placement: Placement


def make_listeners(
    stack: AsyncExitStack,
    bound: BoundSockets | None,
    platform: Platform,
    limits: Limits,
    settings: HostSettings,
    clock: Clock,
) -> Listeners:
    """Return the listeners of a host, which close with a stack.

    Args:
        stack: The host's exit stack.
        bound: Sockets that listen already, if any.
        platform: What the deployment's adapter provides.
        limits: Returns the limits on callers' connections.
        settings: The host's settings.
        clock: The host's clock.
    """
    refusals = TextRefusals(platform.names)
    unserved = QuickRefusals(refusals, platform.counters)
    timeouts = ConnectionTimeouts(refusals, platform.counters, clock)
    account = DescriptorAccount(
        descriptor_limit(settings.descriptors),
        timeouts,
        clock,
        connection_memory(settings.memory_mb, resident_bytes()),
    )
    return Listeners(stack, bound, unserved, timeouts, limits, account, clock)


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
    fleet = components.fleet
    received_state = fleet.shared_state
    selector = Selector(
        clock,
        randomness,
        settings.domain,
        received_state.ledger,
        received_state.prefixes,
        received_state.domains,
        ColdStarts(clock, fleet.known_rank),
    )
    selector.brittle.share_with(fleet.known_rank, fleet.known_count)
    ranks = SenderRanks(
        fleet.peers.ring,
        fleet.domain_of,
        settings.regions,
        lambda: fleet.known_count() is not None,
    )
    shares = RateShares(
        settings.host, clock, received_state.limits, ranks.senders
    )
    selector.limited.share_with(settings.host, shares)
    dialer = components.dialer
    attempts = AttemptRunner(dialer, platform.names, selector, clock)
    components.directory.ended.add_listener(attempts.upstream_ended)
    components.directory.ended.add_listener(
        lambda upstream, _: shares.forget(upstream)
    )
    crashes = CrashMonitor(
        components.connector,
        EndVerifier(
            dialer, components.connector, components.directory, randomness
        ),
        received_state.crashes,
        fleet.crash_rows,
        clock,
        platform.counters,
        dialer.own_delay,
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
        RepeatBudget(clock, settings.repeat_limit, fleet.known_count),
        gate,
        clock,
        platform.counters,
        crashes,
        components.placement,
        memory_budget(settings.memory_mb, clock, resident_bytes),
    )
