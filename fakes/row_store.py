"""Stand-in for the platform's row store, with fault injection.

It implements the documented interface of tables: conditional transactions,
range reads, and a feed that returns 410 after its history has been dropped.
"""

import asyncio
import base64
import time
from dataclasses import dataclass, field
from enum import Enum, unique

from aiohttp import web

_HTTP_GONE = 410
_HTTP_PRECONDITION_FAILED = 412
_MAX_ROWS = 500


@unique
class StoreFault(Enum):
    """Faults of the store.

    A busy store returns 503, a throttled one 429, and a silent one does not
    answer. One that loses replies drops the connection after a commit.
    """

    NONE = 'none'
    BUSY = 'busy'
    THROTTLED = 'throttled'
    SILENT = 'silent'
    LOSES_REPLIES = 'loses replies'


@dataclass(frozen=True, slots=True)
class _Row:
    """A row, or its removal.

    Attributes:
        table: Name of the table.
        part: Component of the row's identity besides table and key; empty for
            rows that are written by ``put``.
        key: Key within the table.
        value: Content of the row.
        ver: Version of the store that the row was written in.
        removed: Whether the row was removed.
    """

    table: str
    part: str
    key: str
    value: bytes
    ver: int
    removed: bool = False

    def to_json(self) -> dict[str, object]:
        """Return the row as a JSON object."""
        document: dict[str, object] = {
            'table': self.table,
            'part': self.part,
            'key': self.key,
            'value': base64.b64encode(self.value).decode(),
            'ver': self.ver,
        }
        if self.removed:
            document['removed'] = True
        return document


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Snapshot of a store.

    Attributes:
        rows: All rows by table, part and key.
        ver: Newest version.
    """

    rows: dict[tuple[str, str, str], _Row]
    ver: int


@dataclass(slots=True)
class RowStore:
    """A row store with an HTTP interface.

    Attributes:
        fault: Current fault.
        calls: Number of calls by kind: ``get``, ``feed`` and ``tx``.
        era: Number of restores from a snapshot, plus one; None for a store
            that reports no era.
        writes: Table, key and content of all writes, in order.
    """

    fault: StoreFault = StoreFault.NONE
    calls: dict[str, int] = field(default_factory=dict)
    era: int | None = None
    writes: list[tuple[str, str, bytes]] = field(default_factory=list)
    _rows: dict[tuple[str, str, str], _Row] = field(default_factory=dict)
    _history: list[_Row] = field(default_factory=list)
    _history_start: int = 0
    _ver: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def ver(self) -> int:
        """Newest version."""
        return self._ver

    def app(self) -> web.Application:
        """Return a web application that serves the store."""
        app = web.Application()
        app.router.add_get('/v1/rows-get', self._handle_get)
        app.router.add_get('/v1/rows-feed', self._handle_feed)
        app.router.add_post('/v1/rows-tx', self._handle_commit)
        return app

    def put(self, table: str, key: str, content: bytes) -> int:
        """Write a row, as an operator or an upstream does.

        Returns:
            The new version.
        """
        self._ver += 1
        self._apply_write(_Row(table, '', key, content, self._ver))
        self._notify_feeds()
        return self._ver

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._ver += 1
        self._apply_write(_Row(table, '', key, b'', self._ver, removed=True))
        self._notify_feeds()

    def content(self, table: str, key: str) -> bytes | None:
        """Return the content of a row, or None if there is no such row."""
        row = self._rows.get((table, '', key))
        return None if row is None else row.value

    def drop_history(self) -> None:
        """Drop the history: feeds from versions before the newest get 410."""
        self._history.clear()
        self._history_start = self._ver

    def snapshot(self) -> 'StoreCopy':
        """Return a snapshot of the store."""
        return StoreCopy(dict(self._rows), self._ver)

    def restore(self, copy: 'StoreCopy') -> None:
        """Restore the store from a snapshot and start the next era.

        Versions after the snapshot are assigned again. Feeds from such a
        version get 410 until it has been assigned again.
        """
        self._rows = dict(copy.rows)
        self._history = [row for row in self._history if row.ver <= copy.ver]
        self._ver = copy.ver
        self.era = (self.era or 0) + 1
        self._notify_feeds()

    def _apply_write(self, row: _Row) -> None:
        """Apply a write or a removal and add it to the history."""
        row_key = (row.table, row.part, row.key)
        if row.removed:
            self._rows.pop(row_key, None)
        else:
            self._rows[row_key] = row
        self._history.append(row)
        self.writes.append((row.table, row.key, row.value))

    def _notify_feeds(self) -> None:
        """Wake the feeds that wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _fault_response(self, call: str) -> web.Response | None:
        """Count a call; return an error response if the fault requires one."""
        self.calls[call] = self.calls.get(call, 0) + 1
        if self.fault is StoreFault.BUSY:
            return web.Response(status=503)
        if self.fault is StoreFault.THROTTLED:
            return web.Response(status=429)
        if self.fault is StoreFault.SILENT:
            await asyncio.sleep(3600)
        return None

    def _rows_response(
        self,
        rows: list[_Row],
        *,
        status: int = 200,
        more: bool = False,
    ) -> web.Response:
        """Return a JSON response with rows."""
        content = {
            'ver': self._ver,
            'nowMs': time.monotonic() * 1000,
            'rows': [row.to_json() for row in rows],
            'hasMore': more,
        }
        headers = {} if self.era is None else {'Store-Era': str(self.era)}
        return web.json_response(content, status=status, headers=headers)

    async def _handle_get(self, request: web.Request) -> web.Response:
        """Handle a range read of a table."""
        error = await self._fault_response('get')
        if error is not None:
            return error
        query = request.query
        start = query.get('from', '')
        limit = min(int(query.get('limit', _MAX_ROWS)), _MAX_ROWS)
        found = sorted(
            (
                row
                for row in self._rows.values()
                if row.table == query['table'] and row.key >= start
            ),
            key=lambda row: row.key,
        )
        return self._rows_response(found[:limit], more=len(found) > limit)

    async def _handle_feed(self, request: web.Request) -> web.Response:
        """Return the changes after a version, waiting for one if necessary."""
        error = await self._fault_response('feed')
        if error is not None:
            return error
        after = int(request.query['afterRevision'])
        if after < self._history_start or after > self._ver:
            return self._rows_response([], status=_HTTP_GONE)
        table = request.query['table']
        deadline = time.monotonic() + int(request.query['waitMs']) / 1000
        while True:
            if after > self._ver:
                return self._rows_response([], status=_HTTP_GONE)
            rows = [
                row
                for row in self._history
                if row.ver > after and row.table == table
            ]
            remaining = deadline - time.monotonic()
            if rows or remaining <= 0:
                return self._rows_response(rows)
            await self._wait_for_change(remaining)

    async def _wait_for_change(self, seconds: float) -> None:
        """Wait for a change, or until the time is over."""
        changed = self._changed
        try:
            async with asyncio.timeout(seconds):
                await changed.wait()
        except TimeoutError:
            return

    async def _handle_commit(self, request: web.Request) -> web.StreamResponse:
        """Apply all writes of a transaction, or none."""
        error = await self._fault_response('tx')
        if error is not None:
            return error
        body = await request.json()
        for row in body['expectedRevision']:
            row_key = (row['table'], row['part'], row['key'])
            current = self._rows.get(row_key)
            rows = [] if current is None else [current]
            current_version = sum(each.ver for each in rows)
            if current_version != row['ver']:
                return self._rows_response(
                    rows, status=_HTTP_PRECONDITION_FAILED
                )
        self._ver += 1
        for row in body['puts']:
            content = base64.b64decode(row['value'])
            self._apply_write(
                _Row(row['table'], row['part'], row['key'], content, self._ver),
            )
        self._notify_feeds()
        if self.fault is StoreFault.LOSES_REPLIES and request.transport:
            request.transport.abort()
        return self._rows_response([])
