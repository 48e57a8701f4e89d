"""Sessions that callers name themselves, each held to one version.

A row of the table, written once and never changed, decides: of requests
that begin one session at two hosts, the first to write wins, and the other
takes the winner's version before it sends anything. As a row never changes
it may be remembered without end: here, and at two hosts of the domain that
are found by rendezvous hashing, so that known sessions go on without the
table.
"""

import asyncio
from collections import OrderedDict
from typing import ClassVar, Final
from urllib.parse import quote

import msgspec

from nutmegroad.callers.sessions import SessionToken
from nutmegroad.contracts.peers import Mesh, Message
from nutmegroad.contracts.platform import (
    ABSENT,
    Conflict,
    Row,
    RowKey,
    RowWrite,
    Table,
)
from nutmegroad.foundations.invariants import Invariants
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import HostId, WorkspaceId
from nutmegroad.membership.duties import Duties, DutyName

_PREFIX: Final = 'session/'

#: Sessions that a host remembers, the last used.
REMEMBERED: Final = 20_000

#: Hosts of a domain that remember each session.
HOLDERS: Final = 2

#: Seconds to wait for another host's memory.
PEER_TIMEOUT: Final = 0.25

#: Seconds after which a session that could not begin is worth another try.
COME_BACK: Final = 2.0


class SessionQuestion(Message, frozen=True, tag='session-question'):
    """Asks what another host remembers of a session.

    Attributes:
        key: Key of its row.
    """

    part: ClassVar[str] = 'sessions'

    key: str


class SessionMemory(Message, frozen=True, tag='session-memory'):
    """What a host remembers of a session.

    Attributes:
        key: Key of its row.
        text: Content of its row; empty if it is not known.
    """

    part: ClassVar[str] = 'sessions'

    key: str
    text: str


class SessionNames:
    """Finds and begins sessions by their callers' names.

    Args:
        table: Decides which version a session has.
        mesh: Reaches the hosts that remember.
        duties: Tells which hosts those are.
        invariants: What must always hold.
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
        self._known: OrderedDict[str, str] = OrderedDict()
        mesh.handle(SessionQuestion, self._answer)
        mesh.handle(SessionMemory, self._remember_for_others)

    async def find(
        self,
        workspace: WorkspaceId,
        name: str,
    ) -> SessionToken | Refusal | None:
        """Return a session, None if there is none, or why that is unknown."""
        key = _key(workspace, name)
        text = self._recall(key) or await self._ask_holders(key)
        if text:
            return self._take(key, text)
        row = await self._table.read(key)
        if isinstance(row, Refusal):
            return _unknown(name)
        return self._take(key, row.text) if row.version > ABSENT else None

    async def begin(self, token: SessionToken) -> SessionToken | Refusal:
        """Begin a session, or return the one that was begun before."""
        key = _key(WorkspaceId(token.workspace), token.name)
        wanted = msgspec.json.encode(token).decode()
        written = await self._table.commit((RowWrite(key, wanted, ABSENT),))
        if isinstance(written, Conflict):
            row: Row | Refusal = written.row
        elif isinstance(written, Refusal):
            # The write may have taken effect; whoever's row is there, counts.
            row = await self._table.read(key)
        else:
            row = written[0]
        if isinstance(row, Refusal) or row.version == ABSENT:
            return _unknown(token.name)
        held = self._take(key, row.text)
        message = SessionMemory(key, row.text)
        for host in self._holders(key):
            self._mesh.tell(host, message)
        return held

    def _take(self, key: str, text: str) -> SessionToken:
        """Remember a session's row."""
        before = self._known.get(key)
        self._invariants.check(
            'session-row-never-changes',
            before is None or before == text,
            key,
        )
        self._known[key] = text
        self._known.move_to_end(key)
        if len(self._known) > REMEMBERED:
            self._known.popitem(last=False)
        return msgspec.json.decode(text, type=SessionToken)

    def _recall(self, key: str) -> str:
        """Return what this host remembers; empty for nothing."""
        return self._known.get(key, '')

    async def _ask_holders(self, key: str) -> str:
        """Return what the first holder that knows remembers."""
        question = SessionQuestion(key)
        asks = [
            self._mesh.ask(host, question, PEER_TIMEOUT)
            for host in self._holders(key)
        ]
        for reply in await asyncio.gather(*asks):
            if isinstance(reply, SessionMemory) and _is_session(reply.text):
                return reply.text
        return ''

    def _holders(self, key: str) -> tuple[HostId, ...]:
        """Return the other hosts that remember a session."""
        duty = DutyName(key)
        holders = self._duties.holders(duty, HOLDERS)
        linked = {member.host for member in self._mesh.members()}
        return tuple(host for host in holders if host in linked)

    async def _answer(
        self,
        host: HostId,
        question: SessionQuestion,
    ) -> SessionMemory:
        """Tell another host what this one remembers."""
        return SessionMemory(question.key, self._recall(question.key))

    async def _remember_for_others(
        self,
        host: HostId,
        memory: SessionMemory,
    ) -> None:
        """Remember a session that another host has begun."""
        if _is_session(memory.text):
            self._take(memory.key, memory.text)


def _is_session(text: str) -> bool:
    """Tell whether another host's text is a session's row."""
    try:
        msgspec.json.decode(text, type=SessionToken)
    except msgspec.DecodeError:
        return False
    return True


def _key(workspace: WorkspaceId, name: str) -> RowKey:
    """Return the row of a session."""
    # A slash in either must not make it another session's key.
    parts = (quote(part, safe='') for part in (workspace, name))
    return RowKey(_PREFIX + '/'.join(parts))


def _unknown(name: str) -> Refusal:
    """Say that it can not be known which version a session has."""
    return Refusal(
        ResultCode.TABLE_UNAVAILABLE,
        f'Which version the session {name!r} has can not be known now, so '
        'the request was not sent. A session by token needs no table.',
        retry_after=COME_BACK,
    )
