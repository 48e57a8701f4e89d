"""Sessions that callers name themselves, each bound to one version.

A session has one row in the table, which is written once and never changed.
If requests start the same session at two hosts, the first write wins, and
the other host uses the winner's version before it sends anything. As a row
never changes, a cached copy is always valid. The row is cached by the host
that used it and by two hosts of the domain that rendezvous hashing selects,
so that known sessions continue while the table is unavailable.
"""

import asyncio
from collections import OrderedDict
from typing import ClassVar, Final
from urllib.parse import quote

import msgspec

from nutmegroad.callers.session_tokens import SessionToken
from nutmegroad.contracts.peers import Mesh, Message
from nutmegroad.contracts.platform import (
    ABSENT,
    Conflict,
    Row,
    RowKey,
    RowWrite,
    Table,
)
from nutmegroad.foundations.decoding import UndecodableError, decode_json
from nutmegroad.foundations.invariants import Invariants
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import HostId, WorkspaceId
from nutmegroad.membership.duties import Duties, DutyName

_LOG: Final = part_logger('sessions')

_PREFIX: Final = 'session/'

#: Maximum number of sessions that a host caches; the least recently used is
#: evicted.
MAX_CACHED: Final = 20_000

#: Number of hosts of a domain that are selected to cache a session.
CACHE_HOLDERS: Final = 2

#: Seconds to wait for the reply of another host's cache.
PEER_TIMEOUT: Final = 0.25

#: Seconds after which a caller should retry if the version of its session
#: cannot be determined.
UNKNOWN_RETRY_AFTER: Final = 2.0


class SessionQuestion(Message, frozen=True, tag='session-question'):
    """Asks another host for the cached row of a session.

    Attributes:
        key: Key of the row.
    """

    part: ClassVar[str] = 'sessions'

    key: str


class SessionMemory(Message, frozen=True, tag='session-memory'):
    """The cached row of a session.

    Attributes:
        key: Key of the row.
        text: Content of the row; empty if it is not cached.
    """

    part: ClassVar[str] = 'sessions'

    key: str
    text: str


class NamedSessions:
    """Finds and starts sessions by the names that callers gave them.

    Args:
        table: Stores the version of each session.
        mesh: Connects this host to the hosts that cache sessions.
        duties: Selects the hosts that cache a session.
        invariants: Checks that the row of a session never changes.
    """

    def __init__(
        self,
        table: Table,
        mesh: Mesh,
        duties: Duties,
        invariants: Invariants,
    ) -> None:
        self._table = table
        self._mesh = mesh
        self._duties = duties
        self._invariants = invariants
        self._cache: OrderedDict[str, str] = OrderedDict()
        mesh.handle(SessionQuestion, self._answer)
        mesh.handle(SessionMemory, self._store_from_peer)

    async def find(
        self,
        workspace: WorkspaceId,
        name: str,
    ) -> SessionToken | Refusal | None:
        """Find a session by its name.

        Returns:
            The session, None if there is none, or a refusal if the table is
            unavailable and no cache has the session.
        """
        key = _key(workspace, name)
        text = self._cached_text(key) or await self._ask_peers(key)
        if text:
            return self._store(key, text)
        row = await self._table.read(key)
        if isinstance(row, Refusal):
            return _unknown(name)
        if row.version == ABSENT:
            return None
        stored = self._store(key, row.text)
        return _unknown(name) if stored is None else stored

    async def begin(self, token: SessionToken) -> SessionToken | Refusal:
        """Start a session, or return the one that was started before."""
        key = _key(WorkspaceId(token.workspace), token.name)
        wanted = msgspec.json.encode(token).decode()
        written = await self._table.commit((RowWrite(key, wanted, ABSENT),))
        if isinstance(written, Conflict):
            row: Row | Refusal = written.row
        elif isinstance(written, Refusal):
            # The write may have taken effect, so the row that is stored
            # decides, whichever host wrote it.
            row = await self._table.read(key)
        else:
            row = written[0]
        if isinstance(row, Refusal) or row.version == ABSENT:
            return _unknown(token.name)
        stored = self._store(key, row.text)
        if stored is None:
            return _unknown(token.name)
        message = SessionMemory(key, row.text)
        for host in self._cache_peers(key):
            self._mesh.send(host, message)
        return stored

    def _store(self, key: str, text: str) -> SessionToken | None:
        """Cache the row of a session, and return the session.

        Returns:
            None, and nothing is cached, if the row is that of no session.
        """
        session = _session(text)
        if session is None:
            _LOG.warning('row %r is that of no session', key)
            return None
        before = self._cache.get(key)
        self._invariants.check(
            'session-row-never-changes',
            before is None or before == text,
            key,
        )
        self._cache[key] = text
        self._cache.move_to_end(key)
        if len(self._cache) > MAX_CACHED:
            self._cache.popitem(last=False)
        return session

    def _cached_text(self, key: str) -> str:
        """Return the row that this host has cached; empty if none."""
        return self._cache.get(key, '')

    async def _ask_peers(self, key: str) -> str:
        """Return the row from the first peer that has it; empty if none."""
        question = SessionQuestion(key)
        asks = [
            self._mesh.request(host, question, PEER_TIMEOUT)
            for host in self._cache_peers(key)
        ]
        for reply in await asyncio.gather(*asks):
            if isinstance(reply, SessionMemory) and _session(reply.text):
                return reply.text
        return ''

    def _cache_peers(self, key: str) -> tuple[HostId, ...]:
        """Return the connected peers that are selected to cache a session."""
        duty = DutyName(key)
        holders = self._duties.holders(duty, CACHE_HOLDERS)
        connected = {member.host for member in self._mesh.members()}
        return tuple(host for host in holders if host in connected)

    async def _answer(
        self,
        host: HostId,
        question: SessionQuestion,
    ) -> SessionMemory:
        """Answer another host from this host's cache."""
        return SessionMemory(question.key, self._cached_text(question.key))

    async def _store_from_peer(
        self,
        host: HostId,
        memory: SessionMemory,
    ) -> None:
        """Cache a session that another host has started."""
        self._store(memory.key, memory.text)


def _session(text: str) -> SessionToken | None:
    """Return the session of a row; None if the row is that of none."""
    try:
        return decode_json(text, SessionToken)
    except UndecodableError:
        return None


def _key(workspace: WorkspaceId, name: str) -> RowKey:
    """Return the key of a session's row."""
    # Slashes are escaped. Otherwise a slash in the workspace or the name
    # could give the key of another session.
    parts = (quote(part, safe='') for part in (workspace, name))
    return RowKey(_PREFIX + '/'.join(parts))


def _unknown(name: str) -> Refusal:
    """Return the refusal if a session's version cannot be determined."""
    return Refusal(
        ResultCode.TABLE_UNAVAILABLE,
        f'The version of the session {name!r} cannot be determined now, so '
        'the request was not sent. A session token works without the table.',
        retry_after=UNKNOWN_RETRY_AFTER,
    )
