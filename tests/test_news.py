"""What goes over a link between hosts, and news of a table put together."""

import asyncio
import random
import unittest

from nutmegroad.fleet.news import (
    Alive,
    FrameError,
    Known,
    News,
    StoreLost,
    Whole,
    encode,
    receive,
)
from nutmegroad.fleet.stored import StoredRow

TABLE = 'op'


class FramesTest(unittest.IsolatedAsyncioTestCase):
    """What goes over a link."""

    async def receive(self, *texts: bytes) -> object:
        """Return the first frame of some bytes."""
        reader = asyncio.StreamReader()
        for text in texts:
            reader.feed_data(text)
        reader.feed_eof()
        return await receive(reader)

    async def test_frames_pass_whole(self) -> None:
        """Small, without rows, and large enough to be compressed."""
        rows = tuple(StoredRow(f'k{n}', b'x' * 90, n) for n in range(99))
        frames = (
            Alive(),
            StoreLost(TABLE),
            News(TABLE, 1, 2, 3.5, (StoredRow('k', b'\0', 2, removed=True),)),
            News(TABLE, 0, 99, 3.5, rows),
            Whole(TABLE, 99, 3.5, rows),
            Known({TABLE: 7}),
        )
        for frame in frames:
            with self.subTest(frame=type(frame), rows=len(str(frame))):
                text = encode(frame)
                assert text is not None
                half = len(text) // 2
                found = await self.receive(text[:half], text[half:])
                self.assertEqual(found, frame)

    async def test_what_is_no_frame_is_refused(self) -> None:
        """Too long, empty, not ours, and cut."""
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

    async def test_what_is_too_large_is_left_to_the_store(self) -> None:
        """Pattern: a configuration grows, and the reader's link is slow."""
        noise = random.Random(1)
        rows = tuple(
            StoredRow(str(number), noise.randbytes(100), number)
            for number in range(1000)
        )
        self.assertIsNotNone(encode(News(TABLE, 0, 9, 1, rows[:10])))
        self.assertIsNone(encode(News(TABLE, 0, 9, 1, rows)))


class NewsTest(unittest.TestCase):
    """News of a table, put together."""

    def test_gap_has_to_be_read(self) -> None:
        """A host that has missed a version is told nothing of it."""
        news = News(TABLE, 5, 7, 1, (StoredRow('k', b'', 7),))
        self.assertIsNone(news.after(4))
        found = news.after(5)
        assert found is not None
        self.assertTrue(found.relayed)
        self.assertEqual(len(found.rows), 1)
        again = news.after(7)
        assert again is not None
        self.assertEqual(again.rows, ())

    def test_news_that_were_not_taken_are_joined(self) -> None:
        """Unless something between them was missed."""
        first = News(TABLE, 5, 7, 1, (StoredRow('a', b'', 7),))
        joined = first.joined(News(TABLE, 7, 9, 2, (StoredRow('b', b'', 9),)))
        self.assertEqual(
            (joined.base, joined.version, joined.store_time, len(joined.rows)),
            (5, 9, 2, 2),
        )
        later = News(TABLE, 8, 9, 2)
        self.assertEqual(first.joined(later), later)


if __name__ == '__main__':
    unittest.main()
