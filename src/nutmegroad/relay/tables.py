"""The platform's tables, and what they change in what a host believes."""

from dataclasses import dataclass
from typing import Final, Protocol

from nutmegroad.canary.rollouts import RolloutOrder
from nutmegroad.canary.state import RolloutState
from nutmegroad.fleet.stored import RowsRead, StoredRow
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import UpstreamId
from nutmegroad.routes.belief import ConfigurationBelief
from nutmegroad.routes.deployment import RoutingTable
from nutmegroad.upstreams.directory import Directory, UpstreamEntry

_LOG: Final = part_logger('tables')

#: Seconds that an entry which the store has lost while it was away has for
#: coming back: the platform says about two, and half a second for the way.
RETURN_TIME: Final = 2.5

#: Part of the notice that leaving upstreams give for which an entry is kept
#: that is removed soon after the store came back: it may as well be one that
#: leaves. The rest is for requests that are on their way.
NOTICE_PART: Final = 0.6


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
        rollouts: The roll-outs.
    """

    def __init__(
        self,
        reader: RowReader,
        belief: ConfigurationBelief,
        rollouts: RolloutState,
    ) -> None:
        self._reader = reader
        self._belief = belief
        self._rollouts = rollouts

    def replace(self, read: RowsRead) -> None:
        """Take the whole table in."""
        self.apply(read)

    def apply(self, read: RowsRead) -> None:
        """Take changes in."""
        for row in read.rows:
            if not row.removed:
                self._take(row)

    def confirm(self, moment: float, read: RowsRead) -> None:
        """Note that nothing newer existed at a moment."""
        if self._belief.table is not None:
            self._belief.confirm(moment)

    def lost(self) -> None:
        """Do nothing: the belief grows old by itself."""

    def _take(self, row: StoredRow) -> None:
        """Take one row in."""
        content = self._reader.operator_row(row)
        if isinstance(content, RoutingTable):
            self._belief.take(content)
        elif isinstance(content, RolloutOrder):
            self._rollouts.order(content)
        elif isinstance(content, Unreadable):
            _LOG.decision(
                'operator row kept out',
                key=row.key,
                version=row.version,
                reason=content.reason,
            )


class UpstreamSink:
    """Takes in the list of upstreams.

    An entry that is removed is gone. One that is missing right after the
    store was away may be about to come back.

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
        self.listed = False

    def replace(self, read: RowsRead) -> None:
        """Take the whole list in."""
        first = self._back()
        listed = [self._reader.upstream_key(row) for row in read.rows]
        for upstream in self._directory.others(listed):
            self._gone(upstream, first=first)
        self._take(read, first=first)
        self.listed = True

    def apply(self, read: RowsRead) -> None:
        """Take changes in."""
        self._take(read, first=self._back())

    def confirm(self, moment: float, read: RowsRead) -> None:
        """Note that the store answers."""
        self._back()

    def lost(self) -> None:
        """Note that the store is away."""
        self._away = True

    def _take(self, read: RowsRead, *, first: bool) -> None:
        """Take rows in."""
        for row in read.rows:
            if row.removed:
                self._gone(self._reader.upstream_key(row), first=first)
                continue
            entry = self._reader.upstream_row(row)
            if isinstance(entry, Unreadable):
                _LOG.decision(
                    'upstream kept out',
                    key=row.key,
                    reason=entry.reason,
                )
                continue
            self._directory.put(entry)

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
