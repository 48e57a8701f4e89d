"""Stand-in for the table service: versioned rows, held in memory."""

from http import HTTPStatus
from operator import attrgetter
from typing import Final

from aiohttp import web

from fakes.bodies import json_reply, query_text, read_body
from fakes.faults import FaultKind, Faults, FaultTarget
from fakes.middleware import COMMIT_PATH
from nutmegroad.adapters._platform_bodies import (
    CommitBody,
    ConflictBody,
    RowsBody,
)
from nutmegroad.contracts.platform import (
    ABSENT,
    Conflict,
    Row,
    RowKey,
    RowVersion,
    RowWrite,
)

_TARGET: Final = FaultTarget('table')


class FakeTable:
    """A table whose rows change by compare-and-set only.

    Args:
        faults: Active faults; ``stale`` affects reads.
    """

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        self._rows: dict[RowKey, Row] = {}
        # Each row before its last write, for stale reads.
        self._previous: dict[RowKey, Row] = {}

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of the table to an application."""
        app.router.add_get('/table/row', self._handle_row)
        app.router.add_get('/table/rows', self._handle_rows)
        app.router.add_post(COMMIT_PATH, self._handle_commit)

    def row(self, key: RowKey) -> Row:
        """Return the current row, or one whose version is ``ABSENT``."""
        return self._rows.get(key) or Row(key, '', ABSENT)

    def commit(
        self,
        writes: tuple[RowWrite, ...],
    ) -> tuple[Row, ...] | Conflict:
        """Apply all writes or none.

        Returns:
            The new rows, or the first row that is not as expected.
        """
        for change in writes:
            row = self.row(change.key)
            if row.version != change.expected:
                return Conflict(row)
        return tuple(self._replace(write) for write in writes)

    def _replace(self, write: RowWrite) -> Row:
        previous = self.row(write.key)
        row = Row(write.key, write.text, RowVersion(previous.version + 1))
        self._previous[write.key] = previous
        self._rows[write.key] = row
        return row

    def _readable_rows(self) -> dict[RowKey, Row]:
        """Return the rows that a read sees, which may be stale."""
        if self._faults.hit(FaultKind.STALE, _TARGET):
            return self._previous
        return self._rows

    async def _handle_row(self, request: web.Request) -> web.Response:
        key = RowKey(query_text(request, 'key'))
        row = self._readable_rows().get(key) or Row(key, '', ABSENT)
        return json_reply(row)

    async def _handle_rows(self, request: web.Request) -> web.Response:
        prefix = query_text(request, 'prefix')
        rows = [
            row
            for row in self._readable_rows().values()
            if row.version != ABSENT and row.key.startswith(prefix)
        ]
        rows.sort(key=attrgetter('key'))
        return json_reply(RowsBody(tuple(rows)))

    async def _handle_commit(self, request: web.Request) -> web.Response:
        body = await read_body(request, CommitBody)
        keys = [write.key for write in body.writes]
        if len(set(keys)) < len(keys):
            raise web.HTTPBadRequest(text='commit writes the same row twice')
        outcome = self.commit(body.writes)
        if isinstance(outcome, Conflict):
            return json_reply(ConflictBody(outcome.row), HTTPStatus.CONFLICT)
        return json_reply(RowsBody(outcome))
