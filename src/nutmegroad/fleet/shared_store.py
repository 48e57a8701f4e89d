"""The platform's store, read by one host of a failure domain for all.

Each answer of the store costs, and each change would wake every host. So a
host that follows another waits for its news, and asks the store only for what
these can't tell. What is written always goes to the store itself.
"""

from collections.abc import Awaitable, Callable
from typing import Final

from nutmegroad.fleet.news import News
from nutmegroad.fleet.news_link import NewsLink
from nutmegroad.fleet.news_server import NewsServer
from nutmegroad.fleet.store_clock import StoreClock
from nutmegroad.fleet.stored import (
    FLEET_TABLE,
    Committed,
    HistoryLost,
    RowExpected,
    RowPut,
    RowsMoved,
    RowsRead,
    Store,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal

_LOG: Final = part_logger('news')

#: Seconds for which a host that starts waits to be told a table whole, and one
#: that has lost whom it followed waits for another: a connection within the
#: failure domain and the table's way; the store is asked then.
WHOLE_WAIT: Final = 0.5
RELINK_WAIT: Final = 0.4

#: Seconds after which a host asks the store itself to set its clock by it:
#: two steady clocks have drifted by hundredths of a second by then.
RESYNC: Final = 60.0

#: Seconds between own tries while the store is away and another host tells as
#: soon as it is back: the store may turn just that host away. With a call that
#: hangs for a second, a change is known within the bound after an outage.
LINKED_RETRY: Final = 1.5


class SharedStore:
    """A store that is read through another host where there is one.

    Args:
        store: The platform's store.
        link: Follows another host.
        server: Tells those who follow this one.
        store_clock: The store's clock.
        clock: The host's clock.
        gathered: Waits, where all hosts start for the first time, until those
            that start together have made themselves known.
        heard: Told of each position in the store that another host tells.
    """

    def __init__(
        self,
        store: Store,
        link: NewsLink,
        server: NewsServer,
        store_clock: StoreClock,
        clock: Clock,
        gathered: Callable[[], Awaitable[None]],
        heard: Callable[[int], None],
    ) -> None:
        self._heard = heard
        self._gathered = gathered
        self._waited: set[str] = set()
        self._store = store
        self._link = link
        self._server = server
        self._store_clock = store_clock
        self._clock = clock

    async def snapshot(self, table: str) -> RowsRead | Refusal:
        """Return all rows of a table as of one moment.

        The table of hosts a host reads itself when it starts: by it, it finds
        whom to follow, and what time it is at the store.
        """
        await self._gathered()
        if table != FLEET_TABLE or self._store_clock.age < RESYNC:
            told = await self._whole_told(table)
            if told is not None:
                self._heard(told.version)
                self._server.tell_whole(table, told)
                return told
        asked = self._clock.now()
        found = await self._store.snapshot(table)
        if isinstance(found, Refusal):
            self._server.tell_lost(table)
        else:
            self._store_clock.answered(asked, found.store_time)
            self._server.tell_whole(table, found)
        return found

    async def changes(
        self,
        table: str,
        after: int,
        wait: float,
        told_until: float,
    ) -> RowsRead | HistoryLost | Refusal:
        """Return what has changed, or wait for a change, as a follower asks.

        Another host's signs of life say nothing of its way to the store, which
        it may have lost without knowing. So its news are waited for only as
        long as the last ones are young enough, by the store's own time; a
        change is then known in time whatever becomes of that host.
        """
        left = max(0, told_until - self._clock.now())
        await self._link.settle(min(left, RELINK_WAIT))
        if self._link.serves(table):
            told = await self._changes_told(table, after, told_until)
            if told is not None:
                self._heard(told.version)
                self._pass_on(table, after, told)
                return told
            # What was missed is there to be read; and only an answer that
            # was not held back shows what time it is at the store.
            wait = 0
        asked = self._clock.now()
        found = await self._store.changes(table, after, wait)
        if isinstance(found, Refusal):
            self._server.tell_lost(table)
        elif isinstance(found, RowsRead):
            self._store_clock.answered(asked, found.store_time)
            self._tell(table, after, found)
        return found

    async def rest(self, table: str, seconds: float) -> None:
        """Wait before the store is asked again after a failure.

        News from another host, that the store is back, end it sooner.
        """
        if self._link.source is None or self._link.serves(table):
            # Nobody tells, or one who does not know of the failure.
            await self._clock.sleep(seconds)
        else:
            await self._link.wait(table, max(seconds, LINKED_RETRY))

    async def commit(
        self,
        expected: tuple[RowExpected, ...],
        puts: tuple[RowPut, ...],
    ) -> Committed | RowsMoved | Refusal:
        """Write all rows if all expectations hold, else none."""
        return await self._store.commit(expected, puts)

    async def _whole_told(self, table: str) -> RowsRead | None:
        """Return a table as another host tells it, or None to ask the store.

        A table is waited for once: a host that starts while the store is away
        must not find it back later for that.
        """
        if table in self._waited and self._link.source is None:
            return None
        self._waited.add(table)
        return await self._link.whole(table, WHOLE_WAIT)

    async def _changes_told(
        self,
        table: str,
        after: int,
        until: float,
    ) -> RowsRead | None:
        """Return what another host tells, or None to ask the store."""
        if self._store_clock.age > RESYNC:
            return None
        told = await self._link.changes(table, after, until)
        if told is None and self._clock.now() >= until:
            _LOG.decision(
                'news too old',
                host=self._link.source,
                table=table,
                after=after,
            )
        return told

    def _pass_on(self, table: str, base: int, read: RowsRead) -> None:
        """Tell on what another host has told."""
        if read.whole:
            self._server.tell_whole(table, read)
        else:
            self._tell(table, base, read)

    def _tell(self, table: str, base: int, read: RowsRead) -> None:
        """Tell those who follow this host what it has learnt."""
        self._server.tell(
            News(table, base, read.version, read.store_time, read.rows),
        )
