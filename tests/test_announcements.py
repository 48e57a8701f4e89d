"""How hosts make themselves known."""

import asyncio
import unittest
from unittest.mock import AsyncMock, Mock

from nutmegroad.fleet.announcements import GATHERING, Announcement, HostRow
from nutmegroad.fleet.stored import Committed
from nutmegroad.foundations.types import HostId
from nutmegroad.testing.virtual import ManualClock

#: Where a host of the tests listens.
ROW = HostRow('127.0.0.1', 7, 'north')


class AnnounceTest(unittest.IsolatedAsyncioTestCase):
    """How a host makes itself known."""

    def announcement(self, store: Mock) -> Announcement:
        """Return a host that has not made itself known yet."""
        self.clock = ManualClock()
        return Announcement(HostId('me'), ROW, store, self.clock)

    async def test_host_that_starts_again_writes_nothing(self) -> None:
        """Pattern: power returns everywhere; its row is still there."""
        store = Mock(commit=AsyncMock())
        announcement = self.announcement(store)
        announcement.found(HostId('me'), ROW)
        announcement.listed()
        await announcement.make(first=False)
        await announcement.gathered()
        store.commit.assert_not_called()

    async def test_row_of_another_address_is_written_anew(self) -> None:
        """Pattern: a host is replaced under its name."""
        store = Mock(commit=AsyncMock(return_value=Committed(3, 1)))
        announcement = self.announcement(store)
        announcement.found(HostId('me'), HostRow('127.0.0.9', 7, 'north'))
        announcement.listed()
        await announcement.make(first=False)
        store.commit.assert_called_once()

    async def test_first_hosts_make_themselves_known_before_they_look(
        self,
    ) -> None:
        """Pattern: all hosts start at once, and find nobody to follow."""
        store = Mock(commit=AsyncMock(return_value=Committed(3, 1)))
        announcement = self.announcement(store)
        announcing = asyncio.create_task(announcement.make(first=True))
        looking = asyncio.create_task(announcement.gathered())
        await self.clock.settle()
        store.commit.assert_called_once()
        self.assertFalse(looking.done())
        await self.clock.advance(GATHERING)
        self.assertTrue(looking.done())
        await announcing


if __name__ == '__main__':
    unittest.main()
