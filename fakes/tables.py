"""The table service's stand-in: rows with versions, in memory."""

from http import HTTPStatus
from operator import attrgetter
from typing import Final

from aiohttp import web

from fakes.bodies import json_reply, query_text, read_body
from fakes.faults import FaultKind, Faults, FaultTarget
from fakes.gates import COMMIT_PATH
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
    """Rows that change by compare-and-set only.

    Args:
        faults: Says which reads are stale.
    """

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        self._rows: dict[RowKey, Row] = {}
        # Each row as it was before its last write, for stale reads.
        self._earlier: dict[RowKey, Row] = {}

    def add_routes(self, app: web.Application) -> None:
        """Answer the table's calls in an application."""
        app.router.add_get('/table/row', self._answer_row)
        app.router.add_get('/table/rows', self._answer_rows)
        app.router.add_post(COMMIT_PATH, self._answer_commit)

    def row(self, key: RowKey) -> Row:
        """Return a row as it stands."""
        return self._rows.get(key) or Row(key, '', ABSENT)

    def commit(
        self,
        writes: tuple[RowWrite, ...],
    ) -> tuple[Row, ...] | Conflict:
        """Do all the writes or none, and return the new rows."""
        for wanted in writes:
            row = self.row(wanted.key)
            if row.version != wanted.expected:
                return Conflict(row)
        return tuple(self._replace(write) for write in writes)

    def _replace(self, write: RowWrite) -> Row:
        earlier = self.row(write.key)
        row = Row(write.key, write.text, RowVersion(earlier.version + 1))
        self._earlier[write.key] = earlier
        self._rows[write.key] = row
        return row

    def _shown(self) -> dict[RowKey, Row]:
        """Return the rows that a read sees."""
        if self._faults.hit(FaultKind.STALE, _TARGET):
            return self._earlier
        return self._rows

    async def _answer_row(self, request: web.Request) -> web.Response:
        key = RowKey(query_text(request, 'key'))
        row = self._shown().get(key) or Row(key, '', ABSENT)
        return json_reply(row)

    async def _answer_rows(self, request: web.Request) -> web.Response:
        prefix = query_text(request, 'prefix')
        found = [
            row
            for row in self._shown().values()
            if row.version != ABSENT and row.key.startswith(prefix)
        ]
        found.sort(key=attrgetter('key'))
        return json_reply(RowsBody(tuple(found)))

    async def _answer_commit(self, request: web.Request) -> web.Response:
        body = await read_body(request, CommitBody)
        keys = [write.key for write in body.writes]
        if len(set(keys)) < len(keys):
            raise web.HTTPBadRequest(text='A commit writes a row twice.')
        outcome = self.commit(body.writes)
        if isinstance(outcome, Conflict):
            return json_reply(ConflictBody(outcome.row), HTTPStatus.CONFLICT)
        return json_reply(RowsBody(outcome))
