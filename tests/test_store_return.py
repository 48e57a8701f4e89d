"""A store that is restored from a backup which is some seconds old.

Its versions go back and are assigned again, so a reader that continues from one
of them would skip what it has missed; only the era shows the restore. Rows that
were added are missing, and rows that were removed are there again.
"""

import asyncio
import json
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Final

from nutmegroad.fleet.eras import EraStore, era_of, version_of
from nutmegroad.fleet.received_versions import VALIDITY, ReceivedVersions
from nutmegroad.fleet.store_interface import (
    FLEET_TABLE,
    Committed,
    HistoryLost,
    RowCondition,
    RowPut,
    RowsRead,
    StoredRow,
    VersionConflict,
)
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import UpstreamId
from nutmegroad.routes.cached_configuration import (
    KEY_VALIDITY_MARGIN,
    RESTORE_SETTLE_SECONDS,
    CachedConfiguration,
)
from nutmegroad.tables.upstream_table import (
    REAPPEAR_SECONDS,
    UNCONFIRMED_SECONDS,
)
from nutmegroad.testing.virtual import ManualClock
from nutmegroad.upstreams.directory import Directory
from tests.relay_rig import HOST, KEY, Rig, route
from tests.relay_samples import entry_row, upstream_sink

TABLE: Final = 'op'
#: Seconds for which unconfirmed keys are valid.
TRUST: Final = 5.0
UNAUTHENTICATED: Final = 401
UNAVAILABLE: Final = 503


@dataclass
class NumberedStore:
    """A store with its own versions and eras.

    Attributes:
        era: The era that its answers name.
        version: Its newest version.
        asked: Versions after which changes were requested.
        expected: Versions in the conditions that were received.
        meanwhile: Called while a call is under way.
    """

    era: int | None = 1
    version: int = 10
    asked: list[int] = field(default_factory=list)
    expected: list[int] = field(default_factory=list)
    meanwhile: Callable[[], None] = lambda: None

    async def snapshot(self, table: str) -> RowsRead | Refusal:
        """Return one row."""
        return self._read()

    async def changes(
        self,
        table: str,
        after: int,
        wait: float,
    ) -> RowsRead | HistoryLost | Refusal:
        """Return one row."""
        self.asked.append(after)
        found = self._read()
        self.meanwhile()
        return found

    async def commit(
        self,
        expected: tuple[RowCondition, ...],
        puts: tuple[RowPut, ...],
    ) -> Committed | VersionConflict | Refusal:
        """Accept the transaction."""
        self.expected.extend(row.version for row in expected)
        self.version += 1
        return Committed(self.version, 0, self.era)

    def _read(self) -> RowsRead:
        """Return one row at the newest version."""
        row = StoredRow('config', b'', self.version)
        return RowsRead((row,), self.version, 0, era=self.era)


class EraStoreTest(unittest.IsolatedAsyncioTestCase):
    """Versions of a store that goes back."""

    def setUp(self) -> None:
        """Create a store."""
        self.inner = NumberedStore()
        self.store = EraStore(self.inner)
        self.restores = 0
        self.store.subscribe_to_restores(self._count_restore)

    def _count_restore(self) -> None:
        """Count a restore."""
        self.restores += 1

    async def read(self) -> RowsRead:
        """Read the full table."""
        found = await self.store.snapshot(TABLE)
        assert isinstance(found, RowsRead)
        return found

    async def test_a_later_era_is_later_whatever_its_versions(self) -> None:
        """Positions grow, and name era and version."""
        before = await self.read()
        self.inner.era, self.inner.version = 2, 3
        after = await self.read()
        self.assertGreater(after.version, before.version)
        self.assertGreater(after.rows[0].version, before.rows[0].version)
        self.assertEqual(
            (era_of(after.version), version_of(after.version)), (2, 3)
        )
        self.assertEqual(self.restores, 1)

    async def test_a_feed_does_not_continue_past_a_restore(self) -> None:
        """The store answers as if nothing had happened."""
        before = await self.read()
        self.inner.era, self.inner.version = 2, 12
        found = await self.store.changes(TABLE, before.version, 1)
        self.assertIsInstance(found, HistoryLost)
        again = await self.store.changes(TABLE, before.version, 1)
        self.assertIsInstance(again, HistoryLost)
        self.assertEqual(self.inner.asked, [10])

    async def test_a_condition_of_the_previous_era_never_holds(self) -> None:
        """The version may have been assigned again to another content."""
        before = await self.read()
        self.inner.era, self.inner.version = 2, 9
        await self.read()
        expected = RowCondition(FLEET_TABLE, 'a', before.version)
        outcome = await self.store.commit((expected,), ())
        self.assertIsInstance(outcome, VersionConflict)
        self.assertEqual(self.inner.expected, [])
        fresh = await self.store.commit((replace(expected, version=0),), ())
        assert isinstance(fresh, Committed)
        self.assertEqual(era_of(fresh.version), 2)

    async def test_an_answer_from_before_the_restore_is_refused(self) -> None:
        """It was on its way when another answer showed the restore."""
        before = await self.read()
        self.inner.meanwhile = lambda: self.store.observe_position(2 << 43)
        found = await self.store.changes(TABLE, before.version, 1)
        self.assertIsInstance(found, Refusal)
        self.assertEqual(self.store.era, 2)

    async def test_eras_that_mean_nothing_change_nothing(self) -> None:
        """No era, or one that is lower than before."""
        before = await self.read()
        for era in (None, 0):
            self.inner.era = era
            with self.subTest(era=era):
                found = await self.store.changes(TABLE, before.version, 1)
                assert isinstance(found, RowsRead)
                self.assertEqual(era_of(found.version), 1)
        self.assertEqual(self.restores, 0)

    async def test_a_store_without_eras_keeps_its_versions(self) -> None:
        """Positions are equal to its versions."""
        self.inner.era = None
        self.assertEqual((await self.read()).version, self.inner.version)


class OlderListTest(unittest.IsolatedAsyncioTestCase):
    """The list of upstreams as it was some seconds ago."""

    def setUp(self) -> None:
        """List an upstream that serves, one that drains, one that has left."""
        self.clock = ManualClock(100)
        self.directory = Directory(self.clock)
        self.sink = upstream_sink(self.directory, self.clock)
        self.sink.update_services(('s',))  # type: ignore[arg-type]
        self.sink.replace(self.rows('abc'))
        self.sink.apply(self.rows('b', 2, state='draining'))
        gone = StoredRow('c', b'', 3, removed=True)
        self.sink.apply(RowsRead((gone,), 3, 0))
        self.sink.apply(self.rows('d', 4))

    def rows(self, names: str, version: int = 1, **more: object) -> RowsRead:
        """Return entries."""
        found = tuple(entry_row(name, version, **more) for name in names)
        return RowsRead(found, version, 0)

    def go_back(self) -> None:
        """Restore the list to its first state."""
        self.sink.on_store_restored()
        self.sink.replace(self.rows('abc', 5))

    @property
    def taking(self) -> str:
        """Return the names of the upstreams that get work."""
        found = self.directory.of_service('s')  # type: ignore[arg-type]
        return ''.join(sorted(each.entry.upstream for each in found))

    async def test_removed_upstream_gets_no_work_again(self) -> None:
        """A missing upstream stays until its next write would have been due."""
        self.go_back()
        self.assertEqual(self.taking, 'ad')
        await self.clock.advance(REAPPEAR_SECONDS)
        self.directory.remove_missing()
        self.assertEqual(self.taking, 'a')

    def test_upstream_that_writes_again_is_listed(self) -> None:
        """Its new entry counts, whatever this host knew of it."""
        self.go_back()
        self.sink.apply(self.rows('c', 6))
        self.sink.apply(self.rows('d', 7))
        self.assertEqual(self.taking, 'acd')

    async def test_rows_that_the_store_keeps_are_used_in_the_end(self) -> None:
        """The store drops upstreams that do not write."""
        self.go_back()
        gone = StoredRow('c', b'', 6, removed=True)
        self.sink.apply(RowsRead((gone,), 6, 0))
        await self.clock.advance(UNCONFIRMED_SECONDS)
        self.sink.confirm(self.clock.now(), RowsRead((), 6, 0))
        known = self.directory.find(UpstreamId('b'))
        assert known is not None
        self.assertFalse(known.entry.draining)
        self.assertIsNone(self.directory.find(UpstreamId('c')))


class SettlingTest(unittest.IsolatedAsyncioTestCase):
    """Keys while the store may lack the operator's last writes."""

    async def test_an_older_copy_confirms_nothing_until_it_has_settled(
        self,
    ) -> None:
        """Keys expire by the last confirmation from before, and no later."""
        clock = ManualClock(100)
        belief = CachedConfiguration(clock, TRUST)
        belief.confirm(100)
        belief.ignore_confirmations()
        await clock.advance(RESTORE_SETTLE_SECONDS / 2)
        belief.confirm(clock.now())
        self.assertEqual(belief.age, RESTORE_SETTLE_SECONDS / 2)
        await clock.advance(
            TRUST * (1 - KEY_VALIDITY_MARGIN)
            - RESTORE_SETTLE_SECONDS / 2
            + 0.01
        )
        self.assertFalse(belief.keys_valid)
        belief.confirm(clock.now())
        self.assertTrue(belief.keys_valid)


class ReceivedVersionsTest(unittest.IsolatedAsyncioTestCase):
    """A host that has just started and knows only the backup."""

    async def test_a_copy_is_not_confirmed_while_others_have_more(self) -> None:
        """The newer version expires once no host sends it any more."""
        clock = ManualClock(100)
        heard = ReceivedVersions(clock)
        heard.own = 9
        heard.receive(10)
        self.assertEqual(heard.newest, 10)
        heard.receive(8)
        self.assertEqual(heard.newest, 10)
        await clock.advance(VALIDITY)
        self.assertEqual(heard.newest, 9)


class RestoreTest(unittest.IsolatedAsyncioTestCase):
    """Hosts on loopback whose store is restored from a backup."""

    async def asyncSetUp(self) -> None:
        """Start two hosts with a store that names its era."""
        self.rig = await self.enterAsyncContext(Rig(workers=2, hosts=2))
        self.rig.store.era = 1
        await self.rig.start()

    async def until_version(self, version: int) -> None:
        """Wait until all hosts have a configuration in force."""
        await self.rig.until(
            lambda: all(
                host.configuration_version == version for host in self.rig.hosts
            ),
        )

    async def test_a_configuration_never_goes_back(self) -> None:
        """The next one is in force though its version was assigned before."""
        copy = self.rig.store.snapshot()
        self.rig.configure(version=2, tenants=[])
        await self.until_version(2)
        self.rig.store.restore(copy)
        for host in (0, 1):
            status, _, _ = await self.rig.ask('/look/1', host=host)
            self.assertEqual(status, UNAUTHENTICATED)
        added = route('new', 'idempotent', allowAnonymous=True)
        self.rig.configure(version=3, routes=[added], tenants=[])
        await self.until_version(3)
        for host in (0, 1):
            status, _, _ = await self.rig.ask('/new/1', f'r{host}', host=host)
            self.assertEqual(status, 200)

    async def test_a_host_that_starts_takes_no_key_by_the_copy(self) -> None:
        """It receives the newer version from hosts that have it in force."""
        copy = self.rig.store.snapshot()
        self.rig.configure(version=2, tenants=[])
        await self.until_version(2)
        self.rig.store.restore(copy)
        # By then the hosts that it reads tables from have those of the backup.
        await asyncio.sleep(1)
        number = await self.rig.add_host()
        # Longer than an unconfirmed key is valid; idle hosts have to send, too.
        await asyncio.sleep(TRUST + 1)
        self.assertFalse(self.rig.hosts[number].keys_valid)
        status, _, _ = await self.rig.ask('/look/1', host=number)
        self.assertEqual(status, UNAVAILABLE)

    async def test_a_change_at_a_version_given_out_again_is_seen(self) -> None:
        """A feed that continued from that version would never return it."""
        copy = self.rig.store.snapshot()
        for version in (2, 3, 4):
            self.rig.configure(version=version)
        await self.until_version(4)
        position = self.rig.store.ver
        self.rig.store.restore(copy)
        self.rig.configure(version=9)
        while self.rig.store.ver <= position:
            self.rig.store.put('other', 'row', b'')
        await self.until_version(9)

    async def test_a_host_whose_row_is_lost_registers_again(self) -> None:
        """Hosts that start later find it."""
        copy = self.rig.store.snapshot()
        number = await self.rig.add_host()
        key = f'host/host-{number + 1}'
        await self.rig.until(lambda: self.rig.store.content(FLEET_TABLE, key))
        self.rig.store.restore(copy)
        self.assertIsNone(self.rig.store.content(FLEET_TABLE, key))
        await self.rig.until(lambda: self.rig.store.content(FLEET_TABLE, key))
        row = self.rig.store.content(FLEET_TABLE, key)
        self.assertEqual(json.loads(row or b'')['domain'], 'north')

    async def test_keys_and_routes_hold_through_two_returns(self) -> None:
        """Nothing that was served before is refused for long."""
        for _ in range(2):
            self.rig.store.restore(self.rig.store.snapshot())
        for number in range(4):
            status, _, _ = await self.rig.ask(
                '/look/1',
                f'r{number}',
                host=number % 2,
            )
            self.assertEqual(status, 200, (HOST, KEY))
