"""Store access in which one host of a failure domain reads for all.

Each answer of the store has a cost, and each change would wake every host. A
host that follows another one therefore waits for the updates of that host, and
asks the store only for what these do not contain. Writes always go to the store
itself.
"""

from collections.abc import Awaitable, Callable
from typing import Final

from nutmegroad.fleet.store_clock import StoreClock
from nutmegroad.fleet.store_interface import (
    FLEET_TABLE,
    Committed,
    HistoryLost,
    RowCondition,
    RowPut,
    RowsRead,
    Store,
    VersionConflict,
)
from nutmegroad.fleet.store_probes import StoreProbes
from nutmegroad.fleet.table_updates import TableUpdate
from nutmegroad.fleet.update_link import UpdateLink
from nutmegroad.fleet.update_server import UpdateServer
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal

_LOG: Final = part_logger('news')

#: Seconds for which a host that starts waits for a snapshot from another host,
#: and for which a host whose link was lost waits for another host to follow:
#: the time of a connection within the failure domain and of the transfer of the
#: table. After that it asks the store.
SNAPSHOT_WAIT: Final = 0.5
SOURCE_WAIT: Final = 0.4

#: Seconds after the last calibration of its store clock after which a host asks
#: the store itself: by then two steady clocks have drifted by hundredths of a
#: second.
CALIBRATION_INTERVAL: Final = 60.0

#: Seconds between a host's own attempts while the store is unavailable and
#: another host reports when it is available again: the store may refuse this
#: host alone. Together with a call that hangs for a second, a change is still
#: known within the bound after an outage.
FOLLOWER_RETRY_INTERVAL: Final = 1.5

#: Seconds after which the follower of a table asks an unavailable store itself
#: although the probe for another table was not answered: the store may answer
#: for some tables only.
MAX_PROBE_WAIT: Final = 5.0


class SharedStore:
    """A store that is read through another host where there is one.

    Args:
        store: The platform's store.
        link: Follows another host.
        server: Sends updates to the followers of this host.
        store_clock: The store's clock.
        clock: The host's clock.
        wait_for_startup: Waits, where all hosts of the fleet start for the
            first time, until those that start together have registered.
        on_position: Called with each position in the store that another host
            sends.
    """

    def __init__(
        self,
        store: Store,
        link: UpdateLink,
        server: UpdateServer,
        store_clock: StoreClock,
        clock: Clock,
        wait_for_startup: Callable[[], Awaitable[None]],
        on_position: Callable[[int], None],
    ) -> None:
        self._on_position = on_position
        self._wait_for_startup = wait_for_startup
        self._awaited_tables: set[str] = set()
        self._store = store
        self._link = link
        self._server = server
        self._store_clock = store_clock
        self._clock = clock
        self._probes = StoreProbes()

    async def snapshot(self, table: str) -> RowsRead | Refusal:
        """Return all rows of a table as of one point in time.

        A host that starts reads the table of hosts from the store itself: the
        table names the hosts that it may follow, and the answer calibrates its
        store clock.
        """
        await self._wait_for_startup()
        if table != FLEET_TABLE or self._store_clock.age < CALIBRATION_INTERVAL:
            received = await self._snapshot_from_peer(table)
            if received is not None:
                self._probes.record_answer()
                self._on_position(received.version)
                self._server.send_snapshot(table, received)
                return received
        asked = self._clock.now()
        found = await self._store.snapshot(table)
        if isinstance(found, Refusal):
            self._record_failure(table, asked)
        else:
            self._probes.record_answer()
            self._store_clock.calibrate(asked, found.store_time)
            self._server.send_snapshot(table, found)
        return found

    async def changes(
        self,
        table: str,
        after: int,
        wait: float,
        updates_until: float,
    ) -> RowsRead | HistoryLost | Refusal:
        """Return the changes after a version, or wait for one.

        Keep-alives of another host say nothing about its connection to the
        store, which it may have lost without noticing. Its updates are
        therefore awaited only as long as the last ones are recent enough by the
        store's own time. A change is then known in time, whatever happens to
        that host.

        Args:
            table: The table.
            after: The version that is known.
            wait: Seconds that the store is asked to wait.
            updates_until: Clock time in seconds until which updates from
                another host are awaited.
        """
        remaining = max(0, updates_until - self._clock.now())
        await self._link.wait_until_decided(min(remaining, SOURCE_WAIT))
        if self._link.serves(table):
            received = await self._changes_from_peer(
                table, after, updates_until
            )
            if received is not None:
                self._probes.record_answer()
                self._on_position(received.version)
                self._forward(table, after, received)
                return received
            # The missed changes can be read immediately, and only an answer
            # that the store does not hold back calibrates the clock.
            wait = 0
        asked = self._clock.now()
        found = await self._store.changes(table, after, wait)
        if isinstance(found, Refusal):
            self._record_failure(table, asked)
            return found
        self._probes.record_answer()
        if isinstance(found, RowsRead):
            self._store_clock.calibrate(asked, found.store_time)
            self._send_update(table, after, found)
        return found

    async def pause_after_failure(self, table: str, seconds: float) -> None:
        """Wait after a failure before the store is asked again.

        The wait ends early when another host reports that the store is
        available again. Only one table's follower asks at these intervals.

        Args:
            table: The table that could not be read.
            seconds: Time to wait if no other host can report that the store is
                available again.
        """
        if self._probes.claim(table):
            await self._pause_probe(table, seconds)
            return
        update = self._link.wait(table, MAX_PROBE_WAIT)
        await self._probes.wait(MAX_PROBE_WAIT, update)

    async def commit(
        self,
        expected: tuple[RowCondition, ...],
        puts: tuple[RowPut, ...],
    ) -> Committed | VersionConflict | Refusal:
        """Write all rows if all conditions hold, otherwise none."""
        return await self._store.commit(expected, puts)

    async def _pause_probe(self, table: str, seconds: float) -> None:
        """Wait before this table's follower asks the store again."""
        if self._link.source is None or self._link.serves(table):
            # Either no host is followed, or the followed one has not reported
            # the store as unavailable, so it won't report its return either.
            await self._probes.wait(seconds, self._clock.sleep(seconds))
        else:
            pause = max(seconds, FOLLOWER_RETRY_INTERVAL)
            await self._probes.wait(pause, self._link.wait(table, pause))

    def _record_failure(self, table: str, asked: float) -> None:
        """Record and report a call that the store did not answer."""
        self._server.outages.record_failure(asked)
        self._server.send_unavailable(table)

    async def _snapshot_from_peer(self, table: str) -> RowsRead | None:
        """Return a snapshot from another host, or None to ask the store.

        As long as no host is followed, only the first snapshot of a table is
        awaited: a host that starts while the store is unavailable must not
        notice its return later because of the wait.
        """
        if table in self._awaited_tables and self._link.source is None:
            return None
        self._awaited_tables.add(table)
        return await self._link.snapshot(table, SNAPSHOT_WAIT)

    async def _changes_from_peer(
        self,
        table: str,
        after: int,
        until: float,
    ) -> RowsRead | None:
        """Return changes from another host, or None to ask the store."""
        if self._store_clock.age > CALIBRATION_INTERVAL:
            return None
        received = await self._link.changes(table, after, until)
        if received is None and self._clock.now() >= until:
            _LOG.decision(
                'table updates too old',
                host=self._link.source,
                table=table,
                after=after,
            )
        return received

    def _forward(self, table: str, base: int, read: RowsRead) -> None:
        """Forward to the followers what another host has sent."""
        if read.is_snapshot:
            self._server.send_snapshot(table, read)
        else:
            self._send_update(table, base, read)

    def _send_update(self, table: str, base: int, read: RowsRead) -> None:
        """Send changes to the followers of this host."""
        self._server.send_update(
            TableUpdate(table, base, read.version, read.store_time, read.rows),
        )
