"""Applies updates of the platform's tables to a host's state."""

from collections.abc import Callable, Collection, Container
from dataclasses import dataclass
from typing import Final, Protocol

from nutmegroad.canary.order_book import OrderBook
from nutmegroad.canary.rollouts import RolloutOrder
from nutmegroad.fleet.heard_versions import HeardVersions
from nutmegroad.fleet.stored import RowsRead, StoredRow
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import ServiceName, UpstreamId
from nutmegroad.routes.belief import ConfigurationBelief
from nutmegroad.routes.deployment import NO_VERSION, RoutingTable
from nutmegroad.upstreams.directory import Directory, UpstreamEntry, has_left

_LOG: Final = part_logger('tables')

#: Seconds within which an entry that the store lost while it was unavailable
#: may reappear: the platform specifies about two, and half a second is for the
#: network.
RETURN_TIME: Final = 2.5

#: Seconds for which an entry that reappears in a restored list is ignored
#: unless it is written again. The store removes the entries of terminated
#: upstreams after three to four seconds.
DOUBTED: Final = 6.0

#: Fraction of the drain period for which an upstream is kept whose entry is
#: removed soon after the store was unavailable. The upstream may be draining in
#: fact; the rest of the period is for requests that are on their way to it.
NOTICE_PART: Final = 0.6


#: Maximum number of rejected entries that are logged for one reason, each once:
#: enough to see who writes them.
MOST_ALIKE: Final = 5


@dataclass(frozen=True, slots=True)
class Unreadable:
    """A row that can't be decoded.

    Attributes:
        reason: One sentence for a person.
    """

    reason: str


class RowReader(Protocol):
    """Decodes the platform's rows into the relay's types."""

    def operator_row(
        self,
        row: StoredRow,
    ) -> RoutingTable | RolloutOrder | Unreadable | None:
        """Return the content of an operator's row, or None if it is unknown."""

    def upstream_row(self, row: StoredRow) -> UpstreamEntry | Unreadable:
        """Return an upstream's entry."""

    def upstream_key(self, row: StoredRow) -> UpstreamId:
        """Return the upstream id of a row, even if its entry was removed."""


class OperatorSink:
    """Applies updates of the operator's table.

    Args:
        reader: Decodes rows.
        belief: The cached configuration.
        orders: The orders of rollouts.
        tell_services: Receives the services of each configuration in force.
        versions: Which configurations hosts have in force.
    """

    def __init__(
        self,
        reader: RowReader,
        belief: ConfigurationBelief,
        orders: OrderBook,
        tell_services: Callable[[Collection[ServiceName]], None],
        versions: HeardVersions,
    ) -> None:
        self._versions = versions
        self._reader = reader
        self._belief = belief
        self._orders = orders
        self._tell_services = tell_services
        # Whether the table has been read since the host started.
        self._has_read = False

    def replace(self, read: RowsRead) -> None:
        """Apply a full snapshot."""
        self.apply(read)
        self._has_read = True

    def apply(self, read: RowsRead) -> None:
        """Apply a table update."""
        for row in read.rows:
            if not row.removed:
                self._take(row)

    def confirm(self, moment: float, read: RowsRead) -> None:
        """Record that no newer configuration existed at a time."""
        # If the store's configuration is older than one that a host has in
        # force, the store has lost the writes since.
        if (
            self._belief.table is None
            or self._versions.shown < self._versions.newest
        ):
            return
        self._belief.confirm(moment)

    def lost(self) -> None:
        """Do nothing: the confirmation expires without an update."""

    def went_back(self) -> None:
        """Record that the operator's latest writes may be missing."""
        self._versions.shown = NO_VERSION
        self._belief.doubt()

    def _take(self, row: StoredRow) -> None:
        """Apply one row."""
        content = self._reader.operator_row(row)
        if isinstance(content, RoutingTable):
            self._versions.shown = content.version
            self._belief.take(content)
            self._versions.own = max(self._versions.own, content.version)
            if self._belief.table is content:
                self._tell_services(content.services)
        elif isinstance(content, RolloutOrder):
            self._orders.take(content, at_start=not self._has_read)
        elif isinstance(content, Unreadable):
            _LOG.decision(
                'operator row rejected',
                key=row.key,
                version=row.version,
                reason=content.reason,
            )


class Complaints:
    """Logs rejected entries, once for each entry and reason.

    A foreign writer may write an entry again with each update, or write new
    ones all the time.
    """

    def __init__(self) -> None:
        self._said: dict[UpstreamId, str] = {}

    def say(self, upstream: UpstreamId, reason: str) -> None:
        """Log a rejected entry, unless it or enough others were logged."""
        if self._said.get(upstream) == reason:
            return
        alike = sum(said == reason for said in self._said.values())
        if alike >= MOST_ALIKE:
            return
        self._said[upstream] = reason
        _LOG.decision(
            'upstream entry rejected',
            key=upstream,
            reason=reason,
            more_are_not_logged=alike + 1 == MOST_ALIKE,
        )

    def settle(self, upstream: UpstreamId) -> None:
        """Clear the reason of an entry that is valid again, or removed."""
        self._said.pop(upstream, None)


class UpstreamSink:
    """Applies updates of the list of upstreams.

    An upstream is removed with its entry. An entry that is missing right after
    the store was unavailable may reappear. An entry that was not written by an
    upstream of the configuration is rejected whatever it says: its address may
    be that of a healthy upstream.

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
        self._patience = min(RETURN_TIME, notice * NOTICE_PART)
        self._away = False
        self._returned = float('-inf')
        # None before the first configuration.
        self._services: Container[ServiceName] | None = None
        # Entries of services that the configuration does not name yet.
        self._unnamed: dict[UpstreamId, UpstreamEntry] = {}
        self._complaints = Complaints()
        # Entries of a restored list that this host knew to be outdated, with
        # their versions in that list.
        self._doubted: dict[UpstreamId, tuple[UpstreamEntry, int]] = {}
        self._doubted_until = float('-inf')
        self.listed = False

    def know_services(self, services: Collection[ServiceName]) -> None:
        """Set the services that the configuration in force names."""
        self._services = frozenset(services)
        for entry in tuple(self._unnamed.values()):
            self._put(entry)

    def replace(self, read: RowsRead) -> None:
        """Apply a full snapshot."""
        first = self._back()
        listed = [self._reader.upstream_key(row) for row in read.rows]
        for upstream in self._directory.others(listed):
            self._gone(upstream, first=first)
        for unnamed in self._unnamed.keys() - set(listed):
            self._unnamed.pop(unnamed)
        self._take(read, first=first)
        self.listed = True

    def apply(self, read: RowsRead) -> None:
        """Apply a table update."""
        self._take(read, first=self._back())

    def confirm(self, moment: float, read: RowsRead) -> None:
        """Record that the store responds."""
        self._back()
        if self._doubted and self._clock.now() >= self._doubted_until:
            self._believe()

    def lost(self) -> None:
        """Record that the store is unavailable."""
        self._away = True

    def went_back(self) -> None:
        """Record that the list was restored from a backup, some seconds old.

        Entries of the last seconds are missing, and reappear as after an
        outage. Entries of upstreams that had left are listed again.
        """
        self._away = True
        self._doubted_until = self._clock.now() + DOUBTED

    def _take(self, read: RowsRead, *, first: bool) -> None:
        """Apply rows."""
        for row in read.rows:
            upstream = self._reader.upstream_key(row)
            if row.removed:
                self._doubted.pop(upstream, None)
                self._unnamed.pop(upstream, None)
                self._complaints.settle(upstream)
                self._gone(upstream, first=first)
                continue
            entry = self._reader.upstream_row(row)
            if isinstance(entry, Unreadable):
                self._keep_out(upstream, entry.reason)
            elif not self._is_over(entry, row.version):
                self._put(entry)

    def _put(self, entry: UpstreamEntry) -> None:
        """Apply an entry if the configuration names its service."""
        upstream = entry.upstream
        if self._services is None:
            self._unnamed[upstream] = entry
        elif entry.service in self._services:
            self._unnamed.pop(upstream, None)
            self._complaints.settle(upstream)
            self._directory.put(entry)
        else:
            self._keep_out(upstream, 'service is not in the configuration')
            self._unnamed[upstream] = entry

    def _is_over(self, entry: UpstreamEntry, version: int) -> bool:
        """Return whether an entry is outdated, as far as this host knew.

        A live upstream writes its entry again. One that has left does not, and
        the store removes its entry after some seconds.
        """
        if self._clock.now() >= self._doubted_until:
            return False
        upstream = entry.upstream
        known = self._doubted.get(upstream)
        if known is not None and version > known[1]:
            self._doubted.pop(upstream)
            return False
        if known is not None or not has_left(self._directory, entry):
            return known is not None
        self._doubted[upstream] = entry, version
        _LOG.decision('entry of a restored list ignored', upstream=upstream)
        return True

    def _believe(self) -> None:
        """Apply ignored entries that the store has kept: they are valid."""
        for entry, _ in self._doubted.values():
            self._put(entry)
        self._doubted.clear()

    def _keep_out(self, upstream: UpstreamId, reason: str) -> None:
        """Remove a rejected entry from the directory, and log it once."""
        self._unnamed.pop(upstream, None)
        self._directory.remove(upstream, reason)
        self._complaints.say(upstream, reason)

    def _back(self) -> bool:
        """Record that the store responds.

        Returns:
            Whether this is its first response after it was unavailable.
        """
        first = self._away
        if first:
            self._away = False
            self._returned = self._clock.now()
        return first

    def _gone(self, upstream: UpstreamId, *, first: bool) -> None:
        """Remove an upstream, or keep it for a time after an outage."""
        if first:
            self._directory.missing(upstream, RETURN_TIME)
        elif self._clock.now() - self._returned < RETURN_TIME:
            self._directory.missing(upstream, self._patience)
        else:
            self._directory.remove(upstream, 'no longer listed')
