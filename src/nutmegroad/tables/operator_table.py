"""Applies updates of the operator's table to a host's state."""

from collections.abc import Callable, Collection

from nutmegroad.canary.rollout_registry import RolloutRegistry
from nutmegroad.canary.rollouts import RolloutOrder
from nutmegroad.fleet.received_versions import ReceivedVersions
from nutmegroad.fleet.store_interface import RowsRead, StoredRow
from nutmegroad.foundations.types import ServiceName
from nutmegroad.routes.cached_configuration import CachedConfiguration
from nutmegroad.routes.deployment import NO_VERSION, RoutingTable
from nutmegroad.tables.row_guard import RowGuard
from nutmegroad.tables.row_reader import RowReader, Unreadable
from nutmegroad.upstreams.placement import EvacuationOrder, Evacuations


class OperatorSink:
    """Applies updates of the operator's table.

    Args:
        reader: Decodes rows.
        configuration: The cached configuration.
        orders: Registry that receives the operator's rollout orders.
        evacuations: Receives the operator's evacuation orders.
        update_services: Receives the services of each configuration in force.
        versions: Versions of the configurations that hosts have in force.
        guard: Isolates the rows of the table.
    """

    def __init__(
        self,
        reader: RowReader,
        configuration: CachedConfiguration,
        orders: RolloutRegistry,
        evacuations: Evacuations,
        update_services: Callable[[Collection[ServiceName]], None],
        versions: ReceivedVersions,
        guard: RowGuard,
    ) -> None:
        self._guard = guard
        self._versions = versions
        self._reader = reader
        self._configuration = configuration
        self._orders = orders
        self._evacuations = evacuations
        self._update_services = update_services
        # Whether the table has been read since the host started.
        self._has_read = False
        # Whether the newest configuration in the store could be applied.
        self._is_applied = True

    def replace(self, read: RowsRead) -> None:
        """Apply a full snapshot."""
        self.apply(read)
        domains = map(self._reader.evacuated_domain, read.rows)
        self._evacuations.replace([each for each in domains if each])
        self._has_read = True

    def apply(self, read: RowsRead) -> None:
        """Apply a table update."""
        self._guard.apply(read.rows, self._apply)

    def confirm(self, moment: float, read: RowsRead) -> None:
        """Record that no newer configuration existed at a clock time."""
        # If the store's configuration is older than one that a host has in
        # force, the store has lost the writes since then.
        if (
            not self._is_applied
            or self._configuration.table is None
            or self._versions.in_store < self._versions.newest
        ):
            return
        self._configuration.confirm(moment)

    def on_store_unavailable(self) -> None:
        """Do nothing: the confirmation expires without an update."""

    def on_store_restored(self) -> None:
        """Record that the operator's latest writes may be missing."""
        self._versions.in_store = NO_VERSION
        self._configuration.ignore_confirmations()
        self._evacuations.on_store_restored()

    def _apply_removal(self, row: StoredRow) -> None:
        """Apply the removal of a row."""
        domain = self._reader.evacuated_domain(row)
        if domain is not None:
            self._evacuations.end(domain)

    def _apply(self, row: StoredRow) -> None:
        """Apply one row."""
        if row.removed:
            self._apply_removal(row)
            return
        if self._reader.is_configuration(row):
            # Until it is in force, nothing confirms the one before it: keys
            # may have been revoked since.
            self._is_applied = False
        content = self._reader.operator_row(row)
        if isinstance(content, RoutingTable):
            self._versions.in_store = content.version
            self._configuration.update(content)
            self._versions.own = max(self._versions.own, content.version)
            if self._configuration.table is content:
                self._update_services(content.services)
            self._is_applied = True
        elif isinstance(content, RolloutOrder):
            self._orders.apply_order(content, at_start=not self._has_read)
        elif isinstance(content, EvacuationOrder):
            self._evacuations.begin(content)
        elif isinstance(content, Unreadable):
            self._guard.reject(row.key, content.reason)
            return
        self._guard.clear(row.key)
