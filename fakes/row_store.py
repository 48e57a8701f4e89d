"""A stand-in for the platform's store of rows, with faults to switch on.

It speaks what the users' pages say of tables: conditional transactions,
ranges, and a feed that answers 410 once its history is dropped.
"""

import asyncio
import base64
import time
from dataclasses import dataclass, field
from enum import Enum, unique

from aiohttp import web

_GONE = 410
_MOVED = 412
_MOST_ROWS = 500


@unique
class StoreFault(Enum):
    """What is wrong with the store."""

    NONE = 'none'
    BUSY = 'busy'
    THROTTLED = 'throttled'
    SILENT = 'silent'
    LOSES_REPLIES = 'loses replies'


@dataclass(frozen=True, slots=True)
class _Row:
    """A row as it is kept."""

    table: str
    part: str
    key: str
    value: bytes
    ver: int
    removed: bool = False

    def shown(self) -> dict[str, object]:
        """Return it as JSON."""
        found: dict[str, object] = {
            'table': self.table,
            'part': self.part,
            'key': self.key,
            'value': base64.b64encode(self.value).decode(),
            'ver': self.ver,
        }
        if self.removed:
            found['removed'] = True
        return found


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """What a store held at one moment.

    Attributes:
        rows: All rows by table, part and key.
        ver: The newest version.
    """

    rows: dict[tuple[str, str, str], _Row]
    ver: int


@dataclass(slots=True)
class RowStore:
    """Tables of rows behind HTTP.

    Attributes:
        fault: What is wrong with it now.
        calls: How often each call was made.
        era: How often it has come back from a copy, and one more; None for a
            store that names no era.
        writes: Table, key and content of each row as it was written.
    """

    fault: StoreFault = StoreFault.NONE
    calls: dict[str, int] = field(default_factory=dict)
    era: int | None = None
    writes: list[tuple[str, str, bytes]] = field(default_factory=list)
    _rows: dict[tuple[str, str, str], _Row] = field(default_factory=dict)
    _history: list[_Row] = field(default_factory=list)
    _forgotten: int = 0
    _ver: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def ver(self) -> int:
        """Return the newest version."""
        return self._ver

    def app(self) -> web.Application:
        """Return the web application."""
        app = web.Application()
        app.router.add_get('/v1/rows-get', self._get)
        app.router.add_get('/v1/rows-feed', self._feed)
        app.router.add_post('/v1/rows-tx', self._commit)
        return app

    def put(self, table: str, key: str, content: bytes) -> int:
        """Write a row as the operator or an upstream does."""
        self._ver += 1
        self._keep(_Row(table, '', key, content, self._ver))
        self._wake()
        return self._ver

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._ver += 1
        self._keep(_Row(table, '', key, b'', self._ver, removed=True))
        self._wake()

    def content(self, table: str, key: str) -> bytes | None:
        """Return what a row holds, or None."""
        row = self._rows.get((table, '', key))
        return None if row is None else row.value

    def forget(self) -> None:
        """Drop the history: feeds from before now get 410."""
        self._history.clear()
        self._forgotten = self._ver

    def copy(self) -> 'StoreCopy':
        """Return what the store holds now."""
        return StoreCopy(dict(self._rows), self._ver)

    def come_back(self, copy: 'StoreCopy') -> None:
        """Come back from a copy, in the next era.

        Its versions are given out again. Feeds from versions that it does not
        have get 410, until they are given out once more.
        """
        self._rows = dict(copy.rows)
        self._history = [row for row in self._history if row.ver <= copy.ver]
        self._ver = copy.ver
        self.era = (self.era or 0) + 1
        self._wake()

    def _keep(self, row: _Row) -> None:
        """Put a row in place and note the change."""
        name = (row.table, row.part, row.key)
        if row.removed:
            self._rows.pop(name, None)
        else:
            self._rows[name] = row
        self._history.append(row)
        self.writes.append((row.table, row.key, row.value))

    def _wake(self) -> None:
        """Let feeds that wait look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _troubled(self, call: str) -> web.Response | None:
        """Count a call, and let it fail as the fault has it."""
        self.calls[call] = self.calls.get(call, 0) + 1
        if self.fault is StoreFault.BUSY:
            return web.Response(status=503)
        if self.fault is StoreFault.THROTTLED:
            return web.Response(status=429)
        if self.fault is StoreFault.SILENT:
            await asyncio.sleep(3600)
        return None

    def _answer(
        self,
        rows: list[_Row],
        *,
        status: int = 200,
        more: bool = False,
    ) -> web.Response:
        """Return rows as JSON."""
        content = {
            'ver': self._ver,
            'nowMs': time.monotonic() * 1000,
            'rows': [row.shown() for row in rows],
            'hasMore': more,
        }
        headers = {} if self.era is None else {'Store-Era': str(self.era)}
        return web.json_response(content, status=status, headers=headers)

    async def _get(self, request: web.Request) -> web.Response:
        """Return a range of a table."""
        trouble = await self._troubled('get')
        if trouble is not None:
            return trouble
        query = request.query
        begin = query.get('from', '')
        limit = min(int(query.get('limit', _MOST_ROWS)), _MOST_ROWS)
        found = sorted(
            (
                row
                for row in self._rows.values()
                if row.table == query['table'] and row.key >= begin
            ),
            key=lambda row: row.key,
        )
        return self._answer(found[:limit], more=len(found) > limit)

    async def _feed(self, request: web.Request) -> web.Response:
        """Return what has changed, at once or when something does."""
        trouble = await self._troubled('feed')
        if trouble is not None:
            return trouble
        after = int(request.query['afterRevision'])
        if after < self._forgotten or after > self._ver:
            return self._answer([], status=_GONE)
        table = request.query['table']
        until = time.monotonic() + int(request.query['waitMs']) / 1000
        while True:
            if after > self._ver:
                return self._answer([], status=_GONE)
            rows = [
                row
                for row in self._history
                if row.ver > after and row.table == table
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return self._answer(rows)
            await self._pause(left)

    async def _pause(self, seconds: float) -> None:
        """Wait for a change, or for the time to be over."""
        changed = self._changed
        try:
            async with asyncio.timeout(seconds):
                await changed.wait()
        except TimeoutError:
            return

    async def _commit(self, request: web.Request) -> web.StreamResponse:
        """Do all of a transaction or none of it."""
        trouble = await self._troubled('tx')
        if trouble is not None:
            return trouble
        body = await request.json()
        for row in body['expectedRevision']:
            name = (row['table'], row['part'], row['key'])
            kept = self._rows.get(name)
            rows = [] if kept is None else [kept]
            present = sum(each.ver for each in rows)
            if present != row['ver']:
                return self._answer(rows, status=_MOVED)
        self._ver += 1
        for row in body['puts']:
            content = base64.b64decode(row['value'])
            self._keep(
                _Row(row['table'], row['part'], row['key'], content, self._ver),
            )
        self._wake()
        if self.fault is StoreFault.LOSES_REPLIES and request.transport:
            request.transport.abort()
        return self._answer([])
