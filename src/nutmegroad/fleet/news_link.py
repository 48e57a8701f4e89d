"""Follows another host's news of the platform's tables.

One host of a failure domain reads the store for all: the first in an order
that all hosts see alike. The others follow it; one that finds nobody before it
reads the store itself, and so does everybody whose link is silent and who
finds no other in time. A host only ever follows one before it, so there are
no circles.
"""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from xxhash import xxh3_64_intdigest

from nutmegroad.fleet.announcements import HostRow
from nutmegroad.fleet.news import (
    LINK_ENDS,
    Alive,
    Frame,
    Known,
    News,
    StoreLost,
    Whole,
    encode,
    receive,
)
from nutmegroad.fleet.stored import RowsRead
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import HostId

_LOG: Final = part_logger('news')

#: Seconds for a connection within the failure domain.
CONNECT_TIMEOUT: Final = 0.3

#: Seconds without a frame after which the link counts as lost: three signs of
#: life.
SILENCE: Final = 1.2

#: Seconds for which a host that was lost is not followed; doubles up to the
#: second with each further loss.
FIRST_ASIDE: Final = 2.0
LONGEST_ASIDE: Final = 30.0

#: Seconds between looks whether there is somebody to follow.
LOOK: Final = 1.0


@dataclass(slots=True)
class _Aside:
    """A host that is not followed for a while.

    Attributes:
        until: Clock seconds.
        pause: Seconds of the last pause.
    """

    until: float
    pause: float


class _Table:
    """What has been heard of one table and not been taken yet."""

    def __init__(self) -> None:
        self.news: News | None = None
        self.heard = asyncio.Event()
        self._whole: Whole | None = None

    @property
    def is_whole(self) -> bool:
        """Tell whether all rows were heard and not taken yet."""
        return self._whole is not None

    def put(self, news: News | None) -> None:
        """Add what was heard; None if the one who tells has lost the store."""
        known = self.news
        if known is None and news is None:
            return
        if known is not None and news is not None:
            news = known.joined(news)
        if news is None:
            self._whole = None
        self.news = news
        self.heard.set()

    def put_whole(self, whole: Whole) -> None:
        """Take all rows in; what was heard before is in them."""
        self._whole = whole
        self.news = whole.marker()
        self.heard.set()

    def take_whole(self) -> RowsRead | None:
        """Return all rows, once, if they were heard."""
        whole = self._whole
        self._whole = None
        return None if whole is None else whole.read()

    def after(self, version: int) -> RowsRead | None:
        """Return what was heard beyond a version, once, or None."""
        self.heard.clear()
        whole = self.take_whole()
        news = self._take()
        if whole is not None and whole.version > version:
            return whole
        if news is None or news.version < version:
            return None
        return news.after(version)

    def _take(self) -> News | None:
        """Return what was heard, once."""
        found = self.news
        if found is not None:
            self.news = found.marker()
        return found


class NewsLink:
    """Follows the news of one host before this one, if there is any.

    Args:
        host: This host.
        own: This host, as the others see it.
        near: Returns the other hosts of the failure domain.
        clock: The host's clock.
    """

    def __init__(
        self,
        host: HostId,
        own: HostRow,
        near: Callable[[], Mapping[HostId, HostRow]],
        clock: Clock,
    ) -> None:
        self._host = host
        self._own = own
        self._near = near
        self._clock = clock
        self._aside: dict[HostId, _Aside] = {}
        self._tables: dict[str, _Table] = {}
        self._known: dict[str, int] = {}
        # Set once the other hosts are known, and while it is decided whether
        # one of them is followed.
        self._begun = asyncio.Event()
        self._settled = asyncio.Event()
        #: The host that is followed; None if there is none.
        self.source: HostId | None = None

    def begin(self) -> None:
        """Note that the other hosts are known now."""
        self._begun.set()

    async def settle(self, seconds: float) -> None:
        """Wait until it is decided whether a host is followed."""
        try:
            async with asyncio.timeout(seconds):
                await self._settled.wait()
        except TimeoutError:
            return

    async def whole(self, table: str, seconds: float) -> RowsRead | None:
        """Return all rows of a table as another host tells them.

        Returns:
            None if the store has to be asked.
        """
        self._known.pop(table, None)
        known = self._tables.setdefault(table, _Table())
        try:
            async with asyncio.timeout(seconds):
                await self._settled.wait()
                while self.source is not None and not known.is_whole:
                    known.heard.clear()
                    await known.heard.wait()
        except TimeoutError:
            return None
        return known.take_whole()

    def serves(self, table: str) -> bool:
        """Tell whether news of a table can be waited for."""
        known = self._tables.get(table)
        return self.source is not None and bool(known and known.news)

    async def wait(self, table: str, seconds: float) -> bool:
        """Wait for news of a table; tell whether anything was heard."""
        known = self._tables.setdefault(table, _Table())
        if known.news is None:
            # That it was lost is known; only its return is news.
            known.heard.clear()
        try:
            async with asyncio.timeout(seconds):
                await known.heard.wait()
        except TimeoutError:
            return False
        return True

    async def changes(
        self,
        table: str,
        after: int,
        until: float,
    ) -> RowsRead | None:
        """Return what has changed since a version, or wait for it.

        Args:
            table: The table.
            after: The version that is known.
            until: Clock seconds until which news are waited for; what was heard
                before is taken also later.

        Returns:
            None if the store has to be asked: nothing came in time, the link
            was lost, or this host has missed something.
        """
        self._known[table] = after
        while self.serves(table) and not self._has_missed(table, after):
            left = max(0, until - self._clock.now())
            if not await self.wait(table, left):
                return None
            found = self._tables[table].after(after)
            if found is not None:
                return found
        return None

    async def run(self) -> None:
        """Follow somebody, if there is anybody, until cancelled."""
        await self._begun.wait()
        while True:
            source = self._choose()
            if source is None:
                self._settled.set()
                await self._clock.sleep(LOOK)
                continue
            self._settled.clear()
            reason = await self._follow(source)
            self._put_aside(source, reason)

    def _has_missed(self, table: str, after: int) -> bool:
        """Tell whether a host that knows a version needs more than news."""
        known = self._tables[table]
        if known.is_whole or known.news is None:
            return False
        return known.news.base > after

    def _choose(self) -> HostId | None:
        """Return whom to follow, or None to read the store."""
        now = self._clock.now()
        ranks = {
            _rank(host, each): host
            for host, each in self._near().items()
            if self._is_followed(host, now)
        }
        first = min(ranks, default=None)
        if first is None or first >= _rank(self._host, self._own):
            return None
        return ranks[first]

    def _is_followed(self, host: HostId, now: float) -> bool:
        """Tell whether a host was not lost a short while ago."""
        aside = self._aside.get(host)
        return aside is None or now >= aside.until

    async def _follow(self, source: HostId) -> str:
        """Follow a host until it is lost, and return why."""
        row = self._near()[source]
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                reader, writer = await asyncio.open_connection(
                    row.ip,
                    row.port,
                )
        except (OSError, TimeoutError) as problem:
            return f'no connection: {problem!r}'
        try:
            writer.write(encode(Known(self._known)) or b'')
            return await self._read(source, reader)
        finally:
            self._lose()
            writer.transport.abort()

    async def _read(
        self,
        source: HostId,
        reader: asyncio.StreamReader,
    ) -> str:
        """Take frames in until there are no more, and return why."""
        while True:
            try:
                async with asyncio.timeout(SILENCE):
                    frame = await receive(reader)
            except LINK_ENDS as problem:
                return repr(problem)
            if self.source is None:
                self.source = source
                self._settled.set()
                self._aside.pop(source, None)
                _LOG.decision('following', host=source)
            self._take(frame)

    def _take(self, frame: Frame) -> None:
        """Take a frame in."""
        if isinstance(frame, (Alive, Known)):
            return
        table = self._tables.setdefault(frame.table, _Table())
        if isinstance(frame, Whole):
            table.put_whole(frame)
        elif isinstance(frame, StoreLost):
            if table.news is not None:
                _LOG.decision(
                    'store lost by another',
                    host=self.source,
                    table=frame.table,
                )
            table.put(None)
        else:
            table.put(frame)

    def _lose(self) -> None:
        """Wake all who wait: the store has to be asked."""
        self.source = None
        self._settled.clear()
        for table in self._tables.values():
            table.put(None)

    def _put_aside(self, host: HostId, reason: str) -> None:
        """Follow a host no more for a while."""
        known = self._aside.get(host)
        pause = FIRST_ASIDE
        if known is not None:
            pause = min(LONGEST_ASIDE, known.pause * 2)
        self._aside[host] = _Aside(self._clock.now() + pause, pause)
        _LOG.decision('not following', host=host, reason=reason, pause=pause)


def _rank(host: HostId, near: HostRow) -> tuple[float, int]:
    """Return a host's place among those that read for others.

    Fast links first: whoever tells many sends the same to each. Else by a
    hash of the name, the same on every host.
    """
    return -near.link, xxh3_64_intdigest(host.encode())
