"""Tests of tables that exceed a frame of 64 KiB.

Pattern: a fleet with thousands of upstreams starts at once. If no host can pass
the table on, each reads all of its pages, and together they exceed the store's
rate.
"""

import random
import unittest
from unittest.mock import patch

import msgspec

from nutmegroad.fleet import update_link
from nutmegroad.fleet.frames import MAX_FRAME_BYTES
from nutmegroad.fleet.host_registration import HostRow
from nutmegroad.fleet.store_interface import RowsRead, StoredRow
from nutmegroad.fleet.table_updates import (
    BASE_FRAME_BYTES,
    KnownVersions,
    TableUpdate,
    encode_update,
)
from tests.shared_store_rig import TABLE, Host, SharedReadingCase

#: Rows of the table, and bytes of each that don't compress: as much as the
#: entries of three thousand upstreams after compression.
ROW_COUNT = 100
ROW_BYTES = 900


class LargeTableTest(SharedReadingCase):
    """Hosts that start while another one has read a large table."""

    async def asyncSetUp(self) -> None:
        """Start the hosts, with a large table in the store."""
        await super().asyncSetUp()
        self.platform.version = ROW_COUNT
        self.platform.random_bytes = ROW_BYTES

    def add_host(self) -> Host:
        """Start a host that ranks behind all others."""
        added = Host('f', self.platform, self.hosts)
        added.row = HostRow('127.0.0.1', added.row.port, 'north', -1)
        added.link._own = added.row
        self.run_host(added)
        return added

    async def test_large_table_is_passed_on_to_a_host_that_starts(self) -> None:
        """The host that starts makes no call to the store."""
        await self.served_follower()
        before = self.platform.calls
        found = await self.add_host().store.snapshot(TABLE)
        assert isinstance(found, RowsRead)
        self.assertEqual((found.relayed, len(found.rows)), (True, ROW_COUNT))
        self.assertEqual(self.platform.calls, before)

    async def test_host_with_a_smaller_limit_asks_the_store(self) -> None:
        """Pattern: a host of an earlier version follows one of this version.

        It drops its link if it receives a larger frame than it accepts.
        """
        self.enterContext(
            patch.object(update_link, 'MAX_FRAME_BYTES', BASE_FRAME_BYTES)
        )
        await self.served_follower()
        added = self.add_host()
        found = await added.store.snapshot(TABLE)
        assert isinstance(found, RowsRead)
        self.assertEqual((found.relayed, len(found.rows)), (False, ROW_COUNT))
        self.assertIsNotNone(added.link.source)


class FrameLimitTest(unittest.TestCase):
    """Choice of a frame by the follower's limit."""

    def test_frames_keep_to_the_limit(self) -> None:
        """A frame that is too large gives way to its marker."""
        content = random.Random(1).randbytes(BASE_FRAME_BYTES)
        update = TableUpdate(TABLE, 1, 2, 0, (StoredRow('k', content, 2),))
        encoded = encode_update(update, outage_age=0)
        self.assertEqual(encoded.for_limit(MAX_FRAME_BYTES), encoded.frame)
        self.assertEqual(encoded.for_limit(BASE_FRAME_BYTES), encoded.marker)

    def test_handshake_without_a_limit_has_the_base_limit(self) -> None:
        """Pattern: a follower of an earlier version, which states none."""
        earlier = msgspec.msgpack.encode(('k', {TABLE: 3}))
        known = msgspec.msgpack.decode(earlier, type=KnownVersions)
        self.assertEqual(known, KnownVersions({TABLE: 3}, BASE_FRAME_BYTES))


if __name__ == '__main__':
    unittest.main()
