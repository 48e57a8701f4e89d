"""Sessions that callers name are held to one version by the table."""

import asyncio
import random
import unittest
from dataclasses import dataclass, field
from typing import Any

from nutmegroad.callers.session_names import SessionNames
from nutmegroad.callers.sessions import SessionSigner, SessionToken
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
DOWN = Refusal(ResultCode.TABLE_UNAVAILABLE, 'down', Ran.UNKNOWN)


def token_of(version: str, name: str = 's') -> SessionToken:
    """Return what a session would be begun with."""
    return SessionToken(name, SHOP, 'tag', version, 0)


@dataclass
class MemoryTable:
    """A table of one row a key, which can be down or lose replies."""

    rows: dict[RowKey, Row] = field(default_factory=dict)
    is_down: bool = False
    loses_replies: bool = False
    reads: int = 0

    async def read(self, key: RowKey) -> Row | Refusal:
        """Return a row."""
        self.reads += 1
        await asyncio.sleep(0)
        if self.is_down:
            return DOWN
        return self.rows.get(key, Row(key, '', ABSENT))

    async def scan(self, prefix: str) -> tuple[Row, ...] | Refusal:
        """Find nothing."""
        return ()

    async def commit(
        self,
        writes: tuple[RowWrite, ...],
    ) -> tuple[Row, ...] | Conflict | Refusal:
        """Write one row."""
        await asyncio.sleep(0)
        if self.is_down:
            return DOWN
        write = writes[0]
        present = self.rows.get(write.key)
        if present is not None:
            return Conflict(present)
        row = Row(write.key, write.text, RowVersion(1))
        self.rows[write.key] = row
        return DOWN if self.loses_replies else (row,)


@dataclass(frozen=True)
class Everybody:
    """A membership in which all hosts are live."""

    host: HostId
    hosts: tuple[HostId, ...]

    def live_hosts(self) -> tuple[HostId, ...]:
        """Return all hosts."""
        return self.hosts


class NamesTest(unittest.IsolatedAsyncioTestCase):
    """Three hosts of a domain and one table."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.mesh = MemoryMesh(self.clock, random.Random(2))
        await self.enterAsyncContext(self.mesh)
        hosts = tuple(HostId(name) for name in ('a', 'b', 'c'))
        self.names = [self.join(host, hosts) for host in hosts]

    def join(self, host: HostId, hosts: tuple[HostId, ...]) -> SessionNames:
        return SessionNames(
            self.table,
            self.mesh.join(host, DOMAIN),
            Duties(Everybody(host, hosts)),
            StrictInvariants(),
        )

    async def run_work(self, work: Any) -> Any:
        task = asyncio.create_task(work)
        await self.clock.advance(1)
        return await task

    async def find(self, host: int, name: str = 's') -> Any:
        return await self.run_work(self.names[host].find(SHOP, name))

    async def begin(self, host: int, version: str, name: str = 's') -> Any:
        work = self.names[host].begin(token_of(version, name))
        return await self.run_work(work)

    async def test_first_requests_at_two_hosts_end_on_one_version(
        self,
    ) -> None:
        both = asyncio.gather(
            self.names[0].begin(token_of('v@1')),
            self.names[1].begin(token_of('v@2')),
        )
        await self.clock.advance(1)
        one, other = await both
        assert isinstance(one, SessionToken)
        self.assertEqual(one, other)
        self.assertEqual(await self.find(2), one)

    async def test_a_lost_reply_is_read_back(self) -> None:
        self.table.loses_replies = True
        held = await self.begin(0, 'v@1')
        self.assertEqual(held, token_of('v@1'))

    async def test_a_known_session_goes_on_at_all_without_the_table(
        self,
    ) -> None:
        await self.begin(0, 'v@1')
        self.table.is_down = True
        for host in range(3):
            with self.subTest(host=host):
                self.assertEqual(await self.find(host), token_of('v@1'))

    async def test_a_new_session_without_the_table_is_not_run(self) -> None:
        self.table.is_down = True
        outcomes = [await self.find(0), await self.begin(0, 'v@1')]
        for outcome in outcomes:
            assert isinstance(outcome, Refusal)
            self.assertIs(outcome.ran, Ran.NOT_RUN)
            self.assertGreater(outcome.retry_after, 0)

    async def test_what_is_remembered_costs_no_read(self) -> None:
        await self.begin(0, 'v@1')
        reads = self.table.reads
        for other in ('b', 'c'):
            self.mesh.cut(HostId('a'), HostId(other))
        await self.find(0)
        self.assertEqual(self.table.reads, reads)

    async def test_a_session_that_nobody_began_is_none(self) -> None:
        self.assertIsNone(await self.find(0))

    async def test_sessions_of_two_workspaces_are_two(self) -> None:
        await self.begin(0, 'v@1')
        other = self.names[0].find(WorkspaceId('other'), 's')
        self.assertIsNone(await self.run_work(other))

    async def test_a_slash_does_not_reach_another_workspace(self) -> None:
        await self.begin(0, 'v@1', 'x/s')
        other = self.names[1].find(WorkspaceId('shop/x'), 's')
        self.assertIsNone(await self.run_work(other))


class TokenTest(unittest.TestCase):
    """Tokens that any host can read."""

    def test_a_token_holds_for_its_workspace_and_key_only(self) -> None:
        held = token_of('v@1')
        text = SessionSigner('a-key-of-the-deployment').sign(
            SHOP,
            'tag',  # type: ignore[arg-type]
            held.claim,
        )
        same = SessionSigner('a-key-of-the-deployment')
        other = SessionSigner('another-key-altogether')
        self.assertEqual(same.read(text, SHOP), held)
        wrongs = (
            same.read(text, WorkspaceId('other')),
            other.read(text, SHOP),
            same.read(f'{text}x', SHOP),
        )
        for wrong in wrongs:
            self.assertIsInstance(wrong, Refusal)
