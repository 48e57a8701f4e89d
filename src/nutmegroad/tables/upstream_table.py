"""Applies updates of the platform's list of upstreams to the directory."""

from collections.abc import Collection, Container
from functools import partial
from typing import Final

from nutmegroad.fleet.store_interface import RowsRead, StoredRow
from nutmegroad.fleet.store_probes import OutageRecord
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import ServiceName, UpstreamId
from nutmegroad.tables.row_guard import RowGuard
from nutmegroad.tables.row_reader import RowReader, Unreadable
from nutmegroad.upstreams.directory import Directory, UpstreamEntry, has_left

_LOG: Final = part_logger('tables')

#: Seconds within which an entry that the store lost while it was unavailable
#: may reappear: the platform specifies about two, and half a second is for the
#: network.
REAPPEAR_SECONDS: Final = 2.5

#: Fraction of the bound on catching up after which a missing upstream gets no
#: more requests; the rest is for those that were just dispatched.
RECONNECT_FRACTION: Final = 0.95

#: Seconds for which an entry that reappears in a restored list is ignored
#: unless it is written again. The store removes the entries of terminated
#: upstreams after three to four seconds.
UNCONFIRMED_SECONDS: Final = 6.0

#: Fraction of the drain period for which an upstream is kept if its entry is
#: removed soon after the store was unavailable. The upstream may in fact be
#: draining; the rest of the period is for requests that are on their way to it.
DRAIN_FRACTION: Final = 0.6


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
        reconnect_bound: Seconds after the store is reachable again within
            which upstreams that have left have to be removed.
        outages: When the store last did not answer.
        guard: Isolates the rows of the list.
    """

    def __init__(
        self,
        reader: RowReader,
        directory: Directory,
        clock: Clock,
        notice: float,
        reconnect_bound: float,
        outages: OutageRecord,
        guard: RowGuard,
    ) -> None:
        self._guard = guard
        self._reconnect_bound = reconnect_bound
        self._outages = outages
        self._reader = reader
        self._directory = directory
        self._clock = clock
        self._removal_delay = min(REAPPEAR_SECONDS, notice * DRAIN_FRACTION)
        self._unavailable = False
        # Clock seconds until which a missing entry may reappear.
        self._reappear_until = float('-inf')
        # None before the first configuration.
        self._services: Container[ServiceName] | None = None
        # Entries of services that the configuration does not name yet, and
        # whether each was new to the list.
        self._pending_entries: dict[UpstreamId, tuple[UpstreamEntry, bool]] = {}
        # Entries of a restored list that this host knew to be outdated, with
        # their versions in that list.
        self._unconfirmed: dict[UpstreamId, tuple[UpstreamEntry, int]] = {}
        self._unconfirmed_until = float('-inf')
        # Clock seconds at which the list was last restored from a backup.
        self._restored_at = float('-inf')
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
            # The store has kept them, so they are valid.
            for entry, _ in self._unconfirmed.values():
                self._put(entry, is_new=self.listed)
            self._unconfirmed.clear()

    def on_store_unavailable(self) -> None:
        """Record that the store is unavailable."""
        self._unavailable = True

    def on_store_restored(self) -> None:
        """Record that the list was restored from a backup, some seconds old.

        Entries of the last seconds are missing, and reappear as after an
        outage. Entries of upstreams that had left are listed again.
        """
        self._unavailable = True
        self._restored_at = self._clock.now()
        self._unconfirmed_until = self._restored_at + UNCONFIRMED_SECONDS

    def _apply(self, read: RowsRead, *, after_outage: bool) -> None:
        """Apply rows."""
        self._guard.apply(
            read.rows,
            partial(self._apply_row, after_outage=after_outage),
            self._drop,
        )

    def _apply_row(self, row: StoredRow, *, after_outage: bool) -> None:
        """Apply one row.

        Raises:
            ValueError: If the entry can't be read.
        """
        upstream = self._reader.upstream_key(row)
        if row.removed:
            self._unconfirmed.pop(upstream, None)
            self._pending_entries.pop(upstream, None)
            self._guard.clear(upstream)
            self._remove_or_keep(upstream, after_outage=after_outage)
            return
        entry = self._reader.upstream_row(row)
        if isinstance(entry, Unreadable):
            raise ValueError(entry.reason)
        if not self._is_outdated(entry, row.version):
            self._put(entry, is_new=self.listed)

    def _drop(self, upstream: str) -> None:
        """Remove the upstream of an entry that is rejected.

        What was known of it is dropped, too: the entry may have said that the
        upstream is leaving. A live upstream writes its entry again.
        """
        self._pending_entries.pop(UpstreamId(upstream), None)
        self._directory.remove(UpstreamId(upstream), 'entry rejected')

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
            self._guard.clear(upstream)
            self._directory.put(entry, is_new=is_new)
        else:
            self._drop(upstream)
            self._guard.reject(upstream, 'service is not in the configuration')
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

    def _mark_available(self) -> bool:
        """Record that the store responds.

        Returns:
            Whether this is its first response after it was unavailable.
        """
        after_outage = self._unavailable
        if after_outage:
            self._unavailable = False
            self._reappear_until = self._end_of_reappearance()
        return after_outage

    def _remove_or_keep(
        self, upstream: UpstreamId, *, after_outage: bool
    ) -> None:
        """Remove an upstream, or keep it for a time after an outage."""
        grace_period = self._reappear_until - self._clock.now()
        if not after_outage:
            grace_period = min(grace_period, self._removal_delay)
        if grace_period > 0:
            self._directory.mark_missing(upstream, grace_period)
        else:
            self._directory.remove(upstream, 'no longer listed')

    def _end_of_reappearance(self) -> float:
        """Return the clock seconds until which a missing entry may reappear.

        To a host whose own path was cut, an upstream that left looks like one
        whose entry the store has lost. The store may have been reachable since
        the last failed call, so the bound counts from there.
        """
        last_failed = max(self._outages.last_failed, self._restored_at)
        return min(
            self._clock.now() + REAPPEAR_SECONDS,
            last_failed + self._reconnect_bound * RECONNECT_FRACTION,
        )
