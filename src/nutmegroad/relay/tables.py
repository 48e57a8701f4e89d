"""The platform's tables, and what they change in what a host believes."""

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

#: Seconds that an entry which the store has lost while it was away has for
#: coming back: the platform says about two, and half a second for the way.
RETURN_TIME: Final = 2.5

#: Seconds for which an entry that an older list has again is kept out, unless
#: it is written: the store drops those of dead upstreams after three to four.
DOUBTED: Final = 6.0

#: Part of the notice that leaving upstreams give for which an entry is kept
#: that is removed soon after the store came back: it may as well be one that
#: leaves. The rest is for requests that are on their way.
NOTICE_PART: Final = 0.6


#: Entries that are kept out for one cause and logged, each once: enough to see
#: who writes them.
MOST_ALIKE: Final = 5


@dataclass(frozen=True, slots=True)
class Unreadable:
    """A row that can't be understood.

    Attributes:
        reason: One sentence for a person.
    """

    reason: str


class RowReader(Protocol):
    """Decodes the platform's rows into our types."""

    def operator_row(
        self,
        row: StoredRow,
    ) -> RoutingTable | RolloutOrder | Unreadable | None:
        """Return what the operator has written, or None if unknown."""

    def upstream_row(self, row: StoredRow) -> UpstreamEntry | Unreadable:
        """Return an upstream's entry."""

    def upstream_key(self, row: StoredRow) -> UpstreamId:
        """Return whose entry a row is; the entry may be gone."""


class OperatorSink:
    """Takes in what the operator writes.

    Args:
        reader: Decodes rows.
        belief: The configuration in force.
        orders: The orders of roll-outs.
        tell_services: Told which services the configuration in force names.
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
        # Whether the table was read since the host has started.
        self._has_read = False

    def replace(self, read: RowsRead) -> None:
        """Take the whole table in."""
        self.apply(read)
        self._has_read = True

    def apply(self, read: RowsRead) -> None:
        """Take changes in."""
        for row in read.rows:
            if not row.removed:
                self._take(row)

    def confirm(self, moment: float, read: RowsRead) -> None:
        """Note that nothing newer existed at a moment."""
        # A store that shows an older one than some host has in force has lost
        # what was written since.
        if (
            self._belief.table is None
            or self._versions.shown < self._versions.newest
        ):
            return
        self._belief.confirm(moment)

    def lost(self) -> None:
        """Do nothing: the belief grows old by itself."""

    def went_back(self) -> None:
        """Note that the operator's last writes may be missing."""
        self._versions.shown = NO_VERSION
        self._belief.doubt()

    def _take(self, row: StoredRow) -> None:
        """Take one row in."""
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
                'operator row kept out',
                key=row.key,
                version=row.version,
                reason=content.reason,
            )


class Complaints:
    """Says once for each cause why an entry is kept out.

    Another writer may write at every turn of the feed, or ever new entries.
    """

    def __init__(self) -> None:
        self._said: dict[UpstreamId, str] = {}

    def say(self, upstream: UpstreamId, reason: str) -> None:
        """Log a cause, unless it was said, here or of enough others."""
        if self._said.get(upstream) == reason:
            return
        alike = sum(said == reason for said in self._said.values())
        if alike >= MOST_ALIKE:
            return
        self._said[upstream] = reason
        _LOG.decision(
            'upstream kept out',
            key=upstream,
            reason=reason,
            more_are_not_logged=alike + 1 == MOST_ALIKE,
        )

    def settle(self, upstream: UpstreamId) -> None:
        """Note that nothing is wrong with an entry any more."""
        self._said.pop(upstream, None)


class UpstreamSink:
    """Takes in the list of upstreams.

    An entry that is removed is gone. One that is missing right after the
    store was away may be about to come back. One that no upstream of the
    configuration has written names nobody, whatever else it says: its address
    may be that of an upstream which is well.

    Args:
        reader: Decodes rows.
        directory: All upstreams.
        clock: The host's clock.
        notice: Seconds for which an upstream serves on when it leaves.
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
        # Entries of services that the configuration does not name, as yet.
        self._unnamed: dict[UpstreamId, UpstreamEntry] = {}
        self._complaints = Complaints()
        # Entries that an older list has and this host knew to be over, with
        # the version that they have there.
        self._doubted: dict[UpstreamId, tuple[UpstreamEntry, int]] = {}
        self._doubted_until = float('-inf')
        self.listed = False

    def know_services(self, services: Collection[ServiceName]) -> None:
        """Take in which services the configuration in force names."""
        self._services = frozenset(services)
        for entry in tuple(self._unnamed.values()):
            self._put(entry)

    def replace(self, read: RowsRead) -> None:
        """Take the whole list in."""
        first = self._back()
        listed = [self._reader.upstream_key(row) for row in read.rows]
        for upstream in self._directory.others(listed):
            self._gone(upstream, first=first)
        for unnamed in self._unnamed.keys() - set(listed):
            self._unnamed.pop(unnamed)
        self._take(read, first=first)
        self.listed = True

    def apply(self, read: RowsRead) -> None:
        """Take changes in."""
        self._take(read, first=self._back())

    def confirm(self, moment: float, read: RowsRead) -> None:
        """Note that the store answers."""
        self._back()
        if self._doubted and self._clock.now() >= self._doubted_until:
            self._believe()

    def lost(self) -> None:
        """Note that the store is away."""
        self._away = True

    def went_back(self) -> None:
        """Note that the list is some seconds older than it was.

        Entries of the last seconds are missing, and come back as after an
        outage. Those of upstreams that had left are there again.
        """
        self._away = True
        self._doubted_until = self._clock.now() + DOUBTED

    def _take(self, read: RowsRead, *, first: bool) -> None:
        """Take rows in."""
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
        """Take an entry in, if it is of a service that is named."""
        upstream = entry.upstream
        if self._services is None:
            self._unnamed[upstream] = entry
        elif entry.service in self._services:
            self._unnamed.pop(upstream, None)
            self._complaints.settle(upstream)
            self._directory.put(entry)
        else:
            self._keep_out(upstream, 'its service is not named')
            self._unnamed[upstream] = entry

    def _is_over(self, entry: UpstreamEntry, version: int) -> bool:
        """Tell whether an entry is of a state that this host knew to be over.

        An upstream that is there writes its entry again; what has left does
        not, and the store drops it after a while.
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
        _LOG.decision('entry of an older list kept out', upstream=upstream)
        return True

    def _believe(self) -> None:
        """Take in entries that the store has kept: their upstreams live."""
        for entry, _ in self._doubted.values():
            self._put(entry)
        self._doubted.clear()

    def _keep_out(self, upstream: UpstreamId, reason: str) -> None:
        """Hold an entry for nobody's, and say so once."""
        self._unnamed.pop(upstream, None)
        self._directory.remove(upstream, reason)
        self._complaints.say(upstream, reason)

    def _back(self) -> bool:
        """Note that the store answers; tell if it is the first answer."""
        first = self._away
        if first:
            self._away = False
            self._returned = self._clock.now()
        return first

    def _gone(self, upstream: UpstreamId, *, first: bool) -> None:
        """Forget an upstream, or wait for it after an outage."""
        if first:
            self._directory.missing(upstream, RETURN_TIME)
        elif self._clock.now() - self._returned < RETURN_TIME:
            self._directory.missing(upstream, self._patience)
        else:
            self._directory.remove(upstream, 'not listed any more')
