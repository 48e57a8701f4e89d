"""Link on which a host follows the table updates of another host.

One host of a failure domain reads the store for the others: the first in a
ranking that all hosts compute alike. The others form a tree below it, in the
order of the ranking: each connects to its parent and receives its updates. So
no host sends to more than a few others, however many there are. A host reads
the store itself if no host ranks before it, and also while its link is
unresponsive and no other host to follow is found in time. A host only ever
follows one that ranks before it, so there are no cycles.
"""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from xxhash import xxh3_64_intdigest

from nutmegroad.fleet.frames import LINK_ERRORS, MAX_FRAME_BYTES
from nutmegroad.fleet.host_registration import HostRow
from nutmegroad.fleet.store_interface import RowsRead
from nutmegroad.fleet.store_probes import OutageRecord
from nutmegroad.fleet.table_updates import (
    KeepAlive,
    KnownVersions,
    StoreUnavailable,
    TableMessage,
    TableSnapshot,
    TableUpdate,
    encode,
    receive,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.timeouts import ReadTimeout
from nutmegroad.foundations.types import HostId

_LOG: Final = part_logger('news')

#: Seconds for a connection attempt within the failure domain.
CONNECT_TIMEOUT: Final = 0.3

#: Seconds without a frame after which the link counts as lost: three keep-alive
#: intervals.
READ_TIMEOUT: Final = 1.2

#: Seconds for which a host is not followed after its link was lost. The time
#: doubles with each further loss, up to the maximum.
MIN_EXCLUSION: Final = 2.0
MAX_EXCLUSION: Final = 30.0

#: Number of hosts that follow the same host. Their traffic, a few updates a
#: second, has to fit on the slowest link beside that of the callers.
MAX_FOLLOWERS: Final = 8

#: Seconds between checks for a host to follow.
CHECK_INTERVAL: Final = 1.0


@dataclass(slots=True)
class _Exclusion:
    """Period during which a host is not followed.

    Attributes:
        until: Clock time in seconds at which the period ends.
        pause: Length of the period in seconds.
    """

    until: float
    pause: float


class _PendingUpdates:
    """Received updates of one table that have not been read yet."""

    def __init__(self) -> None:
        self.update: TableUpdate | None = None
        self.received = asyncio.Event()
        self._snapshot: TableSnapshot | None = None

    @property
    def has_snapshot(self) -> bool:
        """Whether a snapshot was received and not read yet."""
        return self._snapshot is not None

    def put(self, update: TableUpdate | None) -> None:
        """Add a received update.

        Args:
            update: The update; None if the sender has lost the store.
        """
        known = self.update
        if known is None and update is None:
            return
        if known is not None and update is not None:
            update = known.merged_with(update)
        if update is None:
            self._snapshot = None
        self.update = update
        self.received.set()

    def put_snapshot(self, snapshot: TableSnapshot) -> None:
        """Store a received snapshot; it contains all earlier updates."""
        self._snapshot = snapshot
        self.update = snapshot.marker()
        self.received.set()

    def take_snapshot(self) -> RowsRead | None:
        """Return and remove the received snapshot, if there is one."""
        snapshot = self._snapshot
        self._snapshot = None
        return None if snapshot is None else snapshot.to_rows_read()

    def after(self, version: int) -> RowsRead | None:
        """Return and remove what was received beyond a version, or None."""
        self.received.clear()
        snapshot = self.take_snapshot()
        update = self._take_update()
        if snapshot is not None and snapshot.version > version:
            return snapshot
        if update is None or update.version < version:
            return None
        return update.changes_after(version)

    def _take_update(self) -> TableUpdate | None:
        """Return and remove the received update."""
        found = self.update
        if found is not None:
            self.update = found.marker()
        return found


class UpdateLink:
    """Follows the table updates of one host that ranks before this one.

    Args:
        host: This host.
        own: This host's row in the fleet table.
        local_hosts: Returns the other hosts of the failure domain.
        clock: The host's clock.
        outages: When the store last did not answer.
    """

    def __init__(
        self,
        host: HostId,
        own: HostRow,
        local_hosts: Callable[[], Mapping[HostId, HostRow]],
        clock: Clock,
        outages: OutageRecord,
    ) -> None:
        self._outages = outages
        self._host = host
        self._own = own
        self._local_hosts = local_hosts
        self._clock = clock
        self._exclusions: dict[HostId, _Exclusion] = {}
        self._tables: dict[str, _PendingUpdates] = {}
        self._known_versions: dict[str, int] = {}
        # Set once the other hosts are known.
        self._started = asyncio.Event()
        # Set as long as it is settled which host is followed, if any.
        self._decided = asyncio.Event()
        #: The host that is followed; None if there is none.
        self.source: HostId | None = None

    def start(self) -> None:
        """Record that the other hosts are known, so one can be selected."""
        self._started.set()

    async def wait_until_decided(self, seconds: float) -> None:
        """Wait until it is decided whether a host is followed.

        Args:
            seconds: Maximum time to wait.
        """
        try:
            async with asyncio.timeout(seconds):
                await self._decided.wait()
        except TimeoutError:
            return

    async def snapshot(self, table: str, seconds: float) -> RowsRead | None:
        """Return the full snapshot of a table as another host sends it.

        Args:
            table: The table.
            seconds: Maximum time to wait.

        Returns:
            None if the store has to be asked.
        """
        self._known_versions.pop(table, None)
        pending = self._tables.setdefault(table, _PendingUpdates())
        try:
            async with asyncio.timeout(seconds):
                await self._decided.wait()
                while self.source is not None and not pending.has_snapshot:
                    pending.received.clear()
                    await pending.received.wait()
        except TimeoutError:
            return None
        return pending.take_snapshot()

    def serves(self, table: str) -> bool:
        """Return whether updates of a table can be awaited on this link."""
        pending = self._tables.get(table)
        return self.source is not None and bool(pending and pending.update)

    async def wait(self, table: str, seconds: float) -> bool:
        """Wait for an update of a table.

        Args:
            table: The table.
            seconds: Maximum time to wait.

        Returns:
            Whether anything was received.
        """
        pending = self._tables.setdefault(table, _PendingUpdates())
        if pending.update is None:
            # It was reported before that the store is unavailable; wait until
            # the followed host can read it again.
            pending.received.clear()
        try:
            async with asyncio.timeout(seconds):
                await pending.received.wait()
        except TimeoutError:
            return False
        return True

    async def changes(
        self,
        table: str,
        after: int,
        until: float,
    ) -> RowsRead | None:
        """Return the changes after a version, or wait for one.

        Args:
            table: The table.
            after: The version that is known.
            until: Clock time in seconds until which updates are awaited. After
                that, only updates that were received already are returned.

        Returns:
            None if the store has to be asked: nothing came in time, the link
            was lost, the followed host has lost the store, or this host has
            missed a change.
        """
        self._known_versions[table] = after
        while self.serves(table) and not self._has_missed(table, after):
            remaining = max(0, until - self._clock.now())
            if not await self.wait(table, remaining):
                return None
            found = self._tables[table].after(after)
            if found is not None:
                return found
        return None

    async def run(self) -> None:
        """Follow a host whenever there is one to follow, until cancelled."""
        await self._started.wait()
        while True:
            source = self._select_source()
            if source is None:
                self._decided.set()
                await self._clock.sleep(CHECK_INTERVAL)
                continue
            self._decided.clear()
            reason = await self._follow(source)
            self._exclude(source, reason)

    def _has_missed(self, table: str, after: int) -> bool:
        """Return whether the updates leave a gap after a known version."""
        pending = self._tables[table]
        if pending.has_snapshot or pending.update is None:
            return False
        return pending.update.base > after

    def _select_source(self) -> HostId | None:
        """Return the host to follow, or None to read the store."""
        now = self._clock.now()
        by_rank = {
            _rank(host, row): host
            for host, row in self._local_hosts().items()
            if self._may_follow(host, now)
        }
        own_rank = _rank(self._host, self._own)
        before = sorted(rank for rank in by_rank if rank < own_rank)
        if not before:
            return None
        return by_rank[before[(len(before) - 1) // MAX_FOLLOWERS]]

    def _may_follow(self, host: HostId, now: float) -> bool:
        """Return whether a host is not excluded from being followed."""
        exclusion = self._exclusions.get(host)
        return exclusion is None or now >= exclusion.until

    async def _follow(self, source: HostId) -> str:
        """Follow a host until the link is lost.

        Returns:
            The reason for the loss.
        """
        row = self._local_hosts()[source]
        try:
            async with ReadTimeout(CONNECT_TIMEOUT):
                reader, writer = await asyncio.open_connection(
                    row.ip,
                    row.port,
                )
        except (OSError, TimeoutError) as error:
            return f'connection attempt failed: {error!r}'
        try:
            handshake = KnownVersions(
                self._known_versions, MAX_FRAME_BYTES, row.key
            )
            writer.write(encode(handshake) or b'')
            return await self._read(source, reader)
        finally:
            self._record_loss()
            writer.transport.abort()

    async def _read(
        self,
        source: HostId,
        reader: asyncio.StreamReader,
    ) -> str:
        """Handle frames until the link is lost.

        Returns:
            The reason for the loss.
        """
        while True:
            try:
                async with ReadTimeout(READ_TIMEOUT):
                    frame = await receive(reader)
            except LINK_ERRORS as error:
                return repr(error)
            if self.source is None:
                self.source = source
                self._decided.set()
                self._exclusions.pop(source, None)
                _LOG.decision('following table updates of host', host=source)
            self._handle(frame)

    def _handle(self, frame: TableMessage) -> None:
        """Handle a message."""
        if isinstance(frame, (KeepAlive, KnownVersions)):
            return
        table = self._tables.setdefault(frame.table, _PendingUpdates())
        if isinstance(frame, TableSnapshot):
            self._outages.merge_age(frame.outage_age)
            table.put_snapshot(frame)
        elif isinstance(frame, StoreUnavailable):
            if table.update is not None:
                _LOG.decision(
                    'followed host lost the store',
                    host=self.source,
                    table=frame.table,
                )
            table.put(None)
        else:
            self._outages.merge_age(frame.outage_age)
            table.put(frame)

    def _record_loss(self) -> None:
        """Record the loss of the link and wake all who wait on it."""
        self.source = None
        self._decided.clear()
        for table in self._tables.values():
            table.put(None)

    def _exclude(self, host: HostId, reason: str) -> None:
        """Exclude a host from being followed for a while."""
        previous = self._exclusions.get(host)
        pause = MIN_EXCLUSION
        if previous is not None:
            pause = min(MAX_EXCLUSION, previous.pause * 2)
        self._exclusions[host] = _Exclusion(self._clock.now() + pause, pause)
        _LOG.decision('host excluded', host=host, reason=reason, pause=pause)


def _rank(host: HostId, row: HostRow) -> tuple[float, int]:
    """Return the sort key by which hosts are chosen to read for others.

    Hosts with fast links come first, since a host with many followers sends
    each of them the same. Ties are broken by a hash of the name, which is equal
    on every host.
    """
    return -row.link, xxh3_64_intdigest(host.encode())
