"""Applies updates of the platform's tables to a host's state."""

from collections.abc import Callable, Collection, Container
from dataclasses import dataclass
from typing import Final, Protocol

from nutmegroad.canary.rollout_registry import RolloutRegistry
from nutmegroad.canary.rollouts import RolloutOrder
from nutmegroad.fleet.received_versions import ReceivedVersions
from nutmegroad.fleet.store_interface import RowsRead, StoredRow
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import DomainId, ServiceName, UpstreamId
from nutmegroad.routes.cached_configuration import CachedConfiguration
from nutmegroad.routes.deployment import NO_VERSION, RoutingTable
from nutmegroad.upstreams.directory import Directory, UpstreamEntry, has_left
from nutmegroad.upstreams.placement import EvacuationOrder, Evacuations

_LOG: Final = part_logger('tables')

#: Seconds within which an entry that the store lost while it was unavailable
#: may reappear: the platform specifies about two, and half a second is for the
#: network.
REAPPEAR_SECONDS: Final = 2.5

#: Seconds for which an entry that reappears in a restored list is ignored
#: unless it is written again. The store removes the entries of terminated
#: upstreams after three to four seconds.
UNCONFIRMED_SECONDS: Final = 6.0

#: Fraction of the drain period for which an upstream is kept if its entry is
#: removed soon after the store was unavailable. The upstream may in fact be
#: draining; the rest of the period is for requests that are on their way to it.
DRAIN_FRACTION: Final = 0.6


#: Maximum number of rejected entries that are logged for one reason, each once:
#: enough to see who writes them.
MAX_LOGGED_PER_REASON: Final = 5


@dataclass(frozen=True, slots=True)
class Unreadable:
    """A row that can't be decoded.

    Attributes:
        reason: What is wrong with it, for the log.
    """

    reason: str


#: What a row of the operator's table holds; None if that is unknown.
OperatorContent = (
    RoutingTable | RolloutOrder | EvacuationOrder | Unreadable | None
)


class RowReader(Protocol):
    """Decodes the platform's rows into the relay's types."""

    def operator_row(
        self,
        row: StoredRow,
    ) -> OperatorContent:
        """Return the content of an operator's row, or None if it is unknown."""

    def evacuated_domain(self, row: StoredRow) -> DomainId | None:
        """Return the domain of an evacuation order, even of a removed one.

        None if the row is no evacuation order.
        """

    def upstream_row(self, row: StoredRow) -> UpstreamEntry | Unreadable:
        """Return an upstream's entry."""

    def upstream_key(self, row: StoredRow) -> UpstreamId:
        """Return the upstream id of a row, even if its entry was removed."""


class OperatorSink:
    """Applies updates of the operator's table.

    Args:
        reader: Decodes rows.
        configuration: The cached configuration.
        orders: Registry that receives the operator's rollout orders.
        evacuations: Receives the operator's evacuation orders.
        update_services: Receives the services of each configuration in force.
        versions: Versions of the configurations that hosts have in force.
    """

    def __init__(
        self,
        reader: RowReader,
        configuration: CachedConfiguration,
        orders: RolloutRegistry,
        evacuations: Evacuations,
        update_services: Callable[[Collection[ServiceName]], None],
        versions: ReceivedVersions,
    ) -> None:
        self._versions = versions
        self._reader = reader
        self._configuration = configuration
        self._orders = orders
        self._evacuations = evacuations
        self._update_services = update_services
        # Whether the table has been read since the host started.
        self._has_read = False

    def replace(self, read: RowsRead) -> None:
        """Apply a full snapshot."""
        self.apply(read)
        domains = map(self._reader.evacuated_domain, read.rows)
        self._evacuations.replace([each for each in domains if each])
        self._has_read = True

    def apply(self, read: RowsRead) -> None:
        """Apply a table update."""
        for row in read.rows:
            if row.removed:
                self._apply_removal(row)
            else:
                self._apply(row)

    def confirm(self, moment: float, read: RowsRead) -> None:
        """Record that no newer configuration existed at a clock time."""
        # If the store's configuration is older than one that a host has in
        # force, the store has lost the writes since then.
        if (
            self._configuration.table is None
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
        content = self._reader.operator_row(row)
        if isinstance(content, RoutingTable):
            self._versions.in_store = content.version
            self._configuration.update(content)
            self._versions.own = max(self._versions.own, content.version)
            if self._configuration.table is content:
                self._update_services(content.services)
        elif isinstance(content, RolloutOrder):
            self._orders.apply_order(content, at_start=not self._has_read)
        elif isinstance(content, EvacuationOrder):
            self._evacuations.begin(content)
        elif isinstance(content, Unreadable):
            _LOG.decision(
                'operator row rejected',
                key=row.key,
                version=row.version,
                reason=content.reason,
            )


class RejectionLog:
    """Logs rejected entries, once for each entry and reason.

    A program that is not an upstream of this fleet may write an entry again
    with each update, or write new ones continually.
    """

    def __init__(self) -> None:
        self._logged: dict[UpstreamId, str] = {}

    def log(self, upstream: UpstreamId, reason: str) -> None:
        """Log a rejected entry, unless it or enough others were logged."""
        if self._logged.get(upstream) == reason:
            return
        same_reason_count = sum(
            logged == reason for logged in self._logged.values()
        )
        if same_reason_count >= MAX_LOGGED_PER_REASON:
            return
        self._logged[upstream] = reason
        _LOG.decision(
            'upstream entry rejected',
            key=upstream,
            reason=reason,
            more_are_not_logged=same_reason_count + 1 == MAX_LOGGED_PER_REASON,
        )

    def clear(self, upstream: UpstreamId) -> None:
        """Clear the reason of an entry that is valid again, or removed."""
        self._logged.pop(upstream, None)


class UpstreamSink:
    """Applies updates of the list of upstreams.

    An upstream is removed with its entry. An entry that is missing right after
    the store was unavailable may reappear. An entry that was not written by an
    upstream of the configuration is rejected whatever its content: its address
    may be that of a healthy upstream.

    Args:
        reader: Decodes rows.
        directory: All upstreams.
        clock: The host's clock.
        notice: Seconds for which a draining upstream continues to serve.
    """

    def __init__(
        self,
        reader: RowReader,
        directory: Directory,
        clock: Clock,
        notice: float,
    ) -> None:
        self._reader = reader
        self._directory = directory
        self._clock = clock
        self._removal_delay = min(REAPPEAR_SECONDS, notice * DRAIN_FRACTION)
        self._unavailable = False
        self._available_since = float('-inf')
        # None before the first configuration.
        self._services: Container[ServiceName] | None = None
        # Entries of services that the configuration does not name yet, and
        # whether each was new to the list.
        self._pending_entries: dict[UpstreamId, tuple[UpstreamEntry, bool]] = {}
        self._rejections = RejectionLog()
        # Entries of a restored list that this host knew to be outdated, with
        # their versions in that list.
        self._unconfirmed: dict[UpstreamId, tuple[UpstreamEntry, int]] = {}
        self._unconfirmed_until = float('-inf')
        #: Whether a full snapshot of the list has been applied.
        self.listed = False

    def update_services(self, services: Collection[ServiceName]) -> None:
        """Set the services that the configuration in force names."""
        self._services = frozenset(services)
        for entry, is_new in tuple(self._pending_entries.values()):
            self._put(entry, is_new=is_new)

    def replace(self, read: RowsRead) -> None:
        """Apply a full snapshot."""
        after_outage = self._mark_available()
        listed = [self._reader.upstream_key(row) for row in read.rows]
        for upstream in self._directory.unlisted(listed):
            self._remove_or_keep(upstream, after_outage=after_outage)
        for pending in self._pending_entries.keys() - set(listed):
            self._pending_entries.pop(pending)
        self._apply(read, after_outage=after_outage)
        self.listed = True

    def apply(self, read: RowsRead) -> None:
        """Apply a table update."""
        self._apply(read, after_outage=self._mark_available())

    def confirm(self, moment: float, read: RowsRead) -> None:
        """Record that the store responds."""
        self._mark_available()
        if self._unconfirmed and self._clock.now() >= self._unconfirmed_until:
            self._accept_unconfirmed()

    def on_store_unavailable(self) -> None:
        """Record that the store is unavailable."""
        self._unavailable = True

    def on_store_restored(self) -> None:
        """Record that the list was restored from a backup, some seconds old.

        Entries of the last seconds are missing, and reappear as after an
        outage. Entries of upstreams that had left are listed again.
        """
        self._unavailable = True
        self._unconfirmed_until = self._clock.now() + UNCONFIRMED_SECONDS

    def _apply(self, read: RowsRead, *, after_outage: bool) -> None:
        """Apply rows."""
        for row in read.rows:
            upstream = self._reader.upstream_key(row)
            if row.removed:
                self._unconfirmed.pop(upstream, None)
                self._pending_entries.pop(upstream, None)
                self._rejections.clear(upstream)
                self._remove_or_keep(upstream, after_outage=after_outage)
                continue
            entry = self._reader.upstream_row(row)
            if isinstance(entry, Unreadable):
                self._reject(upstream, entry.reason)
            elif not self._is_outdated(entry, row.version):
                self._put(entry, is_new=self.listed)

    def _put(self, entry: UpstreamEntry, *, is_new: bool) -> None:
        """Apply an entry if the configuration names its service.

        Args:
            entry: The entry.
            is_new: Whether it was not in the first list that this host read,
                so that its upstream may have just started.
        """
        upstream = entry.upstream
        if self._services is None:
            self._pending_entries[upstream] = entry, is_new
        elif entry.service in self._services:
            self._pending_entries.pop(upstream, None)
            self._rejections.clear(upstream)
            self._directory.put(entry, is_new=is_new)
        else:
            self._reject(upstream, 'service is not in the configuration')
            self._pending_entries[upstream] = entry, is_new

    def _is_outdated(self, entry: UpstreamEntry, version: int) -> bool:
        """Return whether an entry of a restored list is likely outdated.

        It is if this host had recorded that the upstream left or was draining.
        A live upstream writes its entry again. One that has left does not, and
        the store removes its entry after some seconds.
        """
        if self._clock.now() >= self._unconfirmed_until:
            return False
        upstream = entry.upstream
        known = self._unconfirmed.get(upstream)
        if known is not None and version > known[1]:
            self._unconfirmed.pop(upstream)
            return False
        if known is not None or not has_left(self._directory, entry):
            return known is not None
        self._unconfirmed[upstream] = entry, version
        _LOG.decision('entry of a restored list ignored', upstream=upstream)
        return True

    def _accept_unconfirmed(self) -> None:
        """Apply ignored entries that the store has kept: they are valid."""
        for entry, _ in self._unconfirmed.values():
            self._put(entry, is_new=self.listed)
        self._unconfirmed.clear()

    def _reject(self, upstream: UpstreamId, reason: str) -> None:
        """Remove a rejected entry from the directory, and log it once."""
        self._pending_entries.pop(upstream, None)
        self._directory.remove(upstream, reason)
        self._rejections.log(upstream, reason)

    def _mark_available(self) -> bool:
        """Record that the store responds.

        Returns:
            Whether this is its first response after it was unavailable.
        """
        after_outage = self._unavailable
        if after_outage:
            self._unavailable = False
            self._available_since = self._clock.now()
        return after_outage

    def _remove_or_keep(
        self, upstream: UpstreamId, *, after_outage: bool
    ) -> None:
        """Remove an upstream, or keep it for a time after an outage."""
        if after_outage:
            self._directory.mark_missing(upstream, REAPPEAR_SECONDS)
        elif self._clock.now() - self._available_since < REAPPEAR_SECONDS:
            self._directory.mark_missing(upstream, self._removal_delay)
        else:
            self._directory.remove(upstream, 'no longer listed')
