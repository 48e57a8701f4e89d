"""The tables of the platform that a host follows."""

from dataclasses import dataclass

from nutmegroad.canary.state import RolloutState
from nutmegroad.fleet.feed_timing import bounded_timing, operator_timing
from nutmegroad.fleet.followers import TableFollower
from nutmegroad.fleet.hosts import FleetHosts
from nutmegroad.fleet.store_interface import FLEET_TABLE
from nutmegroad.foundations.supervision import TaskLabel
from nutmegroad.relay.boundary import HostSettings, Platform
from nutmegroad.routes.cached_configuration import CachedConfiguration
from nutmegroad.tables.fleet_table import FleetSink
from nutmegroad.tables.operator_table import OperatorSink
from nutmegroad.tables.row_guard import RowGuard
from nutmegroad.tables.upstream_table import UpstreamSink
from nutmegroad.upstreams.placement import Evacuations


@dataclass(frozen=True, slots=True)
class PlatformState:
    """What receives the tables of the platform.

    Attributes:
        configuration: The cached configuration.
        evacuations: Receives the operator's evacuation orders.
        upstreams: Receives the list of upstreams.
    """

    configuration: CachedConfiguration
    evacuations: Evacuations
    upstreams: UpstreamSink


def make_followers(
    settings: HostSettings,
    platform: Platform,
    fleet: FleetHosts,
    rollouts: RolloutState,
    state: PlatformState,
) -> tuple[TableFollower, ...]:
    """Return the followers of the platform's tables."""
    on_rejected = platform.counters.row_rejected
    operator = OperatorSink(
        platform.reader,
        state.configuration,
        rollouts.registry,
        state.evacuations,
        state.upstreams.update_services,
        fleet.shared_state.versions,
        RowGuard(platform.tables.operator, on_rejected),
    )
    source = fleet.tables
    return (
        source.follow(
            platform.tables.operator,
            operator,
            operator_timing(
                settings.key_validity,
                min(settings.apply_bound, settings.evacuation_bound),
            ),
        ),
        source.follow(
            platform.tables.upstreams,
            state.upstreams,
            bounded_timing(settings.drain_notice),
        ),
        source.follow(
            FLEET_TABLE,
            FleetSink(rollouts, fleet, RowGuard(FLEET_TABLE, on_rejected)),
            bounded_timing(settings.halt_bound),
        ),
    )


def table_task(table: str) -> TaskLabel:
    """Return the name of the task that follows a table."""
    return TaskLabel(f'table {table}')
