"""Tests of the frames on a link between hosts, and of merging updates."""

import asyncio
import random
import unittest

from nutmegroad.fleet.frames import MAX_FRAME_BYTES, FrameError
from nutmegroad.fleet.store_interface import StoredRow
from nutmegroad.fleet.table_updates import (
    KeepAlive,
    KnownVersions,
    StoreUnavailable,
    TableSnapshot,
    TableUpdate,
    encode,
    encode_update,
    receive,
)

TABLE = 'op'


class FramesTest(unittest.IsolatedAsyncioTestCase):
    """Frames on a link."""

    async def receive(self, *texts: bytes) -> object:
        """Return the first frame of some bytes."""
        reader = asyncio.StreamReader()
        for text in texts:
            reader.feed_data(text)
        reader.feed_eof()
        return await receive(reader)

    async def test_frames_pass_unchanged(self) -> None:
        """Small ones, ones without rows, and ones that are compressed."""
        rows = tuple(StoredRow(f'k{n}', b'x' * 90, n) for n in range(99))
        frames = (
            KeepAlive(),
            StoreUnavailable(TABLE),
            TableUpdate(
                TABLE, 1, 2, 3.5, (StoredRow('k', b'\0', 2, removed=True),)
            ),
            TableUpdate(TABLE, 0, 99, 3.5, rows),
            TableSnapshot(TABLE, 99, 3.5, rows),
            KnownVersions({TABLE: 7}),
        )
        for frame in frames:
            with self.subTest(frame=type(frame), rows=len(str(frame))):
                text = encode(frame)
                assert text is not None
                half = len(text) // 2
                found = await self.receive(text[:half], text[half:])
                self.assertEqual(found, frame)

    async def test_invalid_frames_are_refused(self) -> None:
        """Too long, empty, malformed, and cut short."""
        cases = (
            (b'\xff\xff\xff\xff', FrameError),
            (b'\0\0\0\0', FrameError),
            (b'\0\0\0\2px', FrameError),
            (b'\0\0\0\2zx', FrameError),
            (b'\0\0\0\5px', EOFError),
        )
        for text, expected in cases:
            with self.subTest(text=text), self.assertRaises(expected):
                await self.receive(text)

    async def test_too_large_frames_are_left_to_the_store(self) -> None:
        """Pattern: a configuration grows, and the reader's link is slow."""
        noise = random.Random(1)
        rows = tuple(
            StoredRow(str(number), noise.randbytes(100), number)
            for number in range(MAX_FRAME_BYTES // 100)
        )
        self.assertIsNotNone(encode(TableUpdate(TABLE, 0, 9, 1, rows[:10])))
        too_large = TableUpdate(TABLE, 0, 9, 1, rows)
        self.assertIsNone(encode(too_large))
        encoded = encode_update(too_large, outage_age=0)
        self.assertEqual(encoded.for_limit(MAX_FRAME_BYTES), encoded.marker)


class TableUpdateTest(unittest.TestCase):
    """Updates of a table, merged."""

    def test_gap_has_to_be_read(self) -> None:
        """A host that has missed a version gets no update."""
        update = TableUpdate(TABLE, 5, 7, 1, (StoredRow('k', b'', 7),))
        self.assertIsNone(update.changes_after(4))
        found = update.changes_after(5)
        assert found is not None
        self.assertTrue(found.relayed)
        self.assertEqual(len(found.rows), 1)
        again = update.changes_after(7)
        assert again is not None
        self.assertEqual(again.rows, ())

    def test_unread_updates_are_merged(self) -> None:
        """Updates are not merged if one between them is missing."""
        first = TableUpdate(TABLE, 5, 7, 1, (StoredRow('a', b'', 7),))
        merged = first.merged_with(
            TableUpdate(TABLE, 7, 9, 2, (StoredRow('b', b'', 9),))
        )
        self.assertEqual(
            (merged.base, merged.version, merged.store_time, len(merged.rows)),
            (5, 9, 2, 2),
        )
        later = TableUpdate(TABLE, 8, 9, 2)
        self.assertEqual(first.merged_with(later), later)


if __name__ == '__main__':
    unittest.main()
