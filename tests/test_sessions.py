"""Tests of named sessions and session tokens.

Guards against two hosts that bind one session to different versions, and
against sessions that cross from one workspace to another.
"""

import asyncio
import random
import unittest
from dataclasses import dataclass, field
from typing import Any

from nutmegroad.callers.named_sessions import NamedSessions
from nutmegroad.callers.session_tokens import SessionSigner, SessionToken
from nutmegroad.contracts.platform import (
    ABSENT,
    Conflict,
    Row,
    RowKey,
    RowVersion,
    RowWrite,
)
from nutmegroad.foundations.invariants import StrictInvariants
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import DomainId, HostId, Ran, WorkspaceId
from nutmegroad.membership.duties import Duties
from nutmegroad.testing.virtual import ManualClock, MemoryMesh

DOMAIN = DomainId('shah-alam')
SHOP = WorkspaceId('shop')
UNAVAILABLE = Refusal(ResultCode.TABLE_UNAVAILABLE, 'down', Ran.UNKNOWN)


def make_token(version: str, name: str = 's') -> SessionToken:
    """Return the content of a new session."""
    return SessionToken(name, SHOP, 'tag', version, 0)


@dataclass
class MemoryTable:
    """An in-memory table that can be unavailable or lose write replies."""

    rows: dict[RowKey, Row] = field(default_factory=dict)
    is_unavailable: bool = False
    loses_replies: bool = False
    reads: int = 0

    async def read(self, key: RowKey) -> Row | Refusal:
        """Return a row, and count the read."""
        self.reads += 1
        await asyncio.sleep(0)
        if self.is_unavailable:
            return UNAVAILABLE
        return self.rows.get(key, Row(key, '', ABSENT))

    async def scan(self, prefix: str) -> tuple[Row, ...] | Refusal:
        """Return no rows."""
        return ()

    async def commit(
        self,
        writes: tuple[RowWrite, ...],
    ) -> tuple[Row, ...] | Conflict | Refusal:
        """Write one row."""
        await asyncio.sleep(0)
        if self.is_unavailable:
            return UNAVAILABLE
        write = writes[0]
        present = self.rows.get(write.key)
        if present is not None:
            return Conflict(present)
        row = Row(write.key, write.text, RowVersion(1))
        self.rows[write.key] = row
        return UNAVAILABLE if self.loses_replies else (row,)


@dataclass(frozen=True)
class AllLive:
    """A membership in which all hosts are always live."""

    host: HostId
    hosts: tuple[HostId, ...]

    def live_hosts(self) -> tuple[HostId, ...]:
        """Return all hosts."""
        return self.hosts


class NamedSessionTest(unittest.IsolatedAsyncioTestCase):
    """Three hosts of a failure domain that share a table."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.mesh = MemoryMesh(self.clock, random.Random(2))
        await self.enterAsyncContext(self.mesh)
        hosts = tuple(HostId(name) for name in ('a', 'b', 'c'))
        self.sessions = [self.make_sessions(host, hosts) for host in hosts]

    def make_sessions(
        self, host: HostId, hosts: tuple[HostId, ...]
    ) -> NamedSessions:
        return NamedSessions(
            self.table,
            self.mesh.join(host, DOMAIN),
            Duties(AllLive(host, hosts)),
            StrictInvariants(),
        )

    async def run_until_done(self, work: Any) -> Any:
        """Run a coroutine while the clock advances by a second."""
        task = asyncio.create_task(work)
        await self.clock.advance(1)
        return await task

    async def find(self, host: int, name: str = 's') -> Any:
        return await self.run_until_done(self.sessions[host].find(SHOP, name))

    async def begin(self, host: int, version: str, name: str = 's') -> Any:
        work = self.sessions[host].begin(make_token(version, name))
        return await self.run_until_done(work)

    async def test_concurrent_starts_agree_on_one_version(
        self,
    ) -> None:
        both_starts = asyncio.gather(
            self.sessions[0].begin(make_token('v@1')),
            self.sessions[1].begin(make_token('v@2')),
        )
        await self.clock.advance(1)
        one, other = await both_starts
        assert isinstance(one, SessionToken)
        self.assertEqual(one, other)
        self.assertEqual(await self.find(2), one)

    async def test_row_is_read_after_a_lost_reply(self) -> None:
        self.table.loses_replies = True
        started = await self.begin(0, 'v@1')
        self.assertEqual(started, make_token('v@1'))

    async def test_known_session_continues_without_the_table(
        self,
    ) -> None:
        await self.begin(0, 'v@1')
        self.table.is_unavailable = True
        for host in range(3):
            with self.subTest(host=host):
                self.assertEqual(await self.find(host), make_token('v@1'))

    async def test_new_session_is_refused_without_the_table(self) -> None:
        self.table.is_unavailable = True
        outcomes = [await self.find(0), await self.begin(0, 'v@1')]
        for outcome in outcomes:
            assert isinstance(outcome, Refusal)
            self.assertIs(outcome.ran, Ran.NOT_RUN)
            self.assertGreater(outcome.retry_after, 0)

    async def test_cached_session_is_not_read_again(self) -> None:
        await self.begin(0, 'v@1')
        reads = self.table.reads
        for other in ('b', 'c'):
            self.mesh.cut(HostId('a'), HostId(other))
        await self.find(0)
        self.assertEqual(self.table.reads, reads)

    async def test_unknown_session_is_none(self) -> None:
        self.assertIsNone(await self.find(0))

    async def test_workspaces_have_separate_sessions(self) -> None:
        await self.begin(0, 'v@1')
        other = self.sessions[0].find(WorkspaceId('other'), 's')
        self.assertIsNone(await self.run_until_done(other))

    async def test_slash_in_a_name_stays_within_the_workspace(self) -> None:
        await self.begin(0, 'v@1', 'x/s')
        other = self.sessions[1].find(WorkspaceId('shop/x'), 's')
        self.assertIsNone(await self.run_until_done(other))


class TokenTest(unittest.TestCase):
    """Signed session tokens."""

    def test_token_is_valid_for_its_workspace_and_key_only(self) -> None:
        token = make_token('v@1')
        text = SessionSigner('a-key-of-the-deployment').sign(
            SHOP,
            'tag',  # type: ignore[arg-type]
            token.claim,
        )
        same = SessionSigner('a-key-of-the-deployment')
        other = SessionSigner('another-key-altogether')
        self.assertEqual(same.read(text, SHOP), token)
        refusals = (
            same.read(text, WorkspaceId('other')),
            other.read(text, SHOP),
            same.read(f'{text}x', SHOP),
        )
        for refusal in refusals:
            self.assertIsInstance(refusal, Refusal)
