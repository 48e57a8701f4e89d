"""Tests of the registration of hosts in the store."""

import asyncio
import unittest
from unittest.mock import AsyncMock, Mock

from nutmegroad.fleet.host_registration import (
    STARTUP_WAIT,
    HostRegistration,
    HostRow,
)
from nutmegroad.fleet.store_interface import Committed
from nutmegroad.foundations.types import HostId
from nutmegroad.testing.virtual import ManualClock

#: Row of the host under test.
ROW = HostRow('127.0.0.1', 7, 'north')


class RegistrationTest(unittest.IsolatedAsyncioTestCase):
    """When a host writes its row."""

    def registration(self, store: Mock) -> HostRegistration:
        """Return a host that has not registered yet."""
        self.clock = ManualClock()
        return HostRegistration(HostId('me'), ROW, store, self.clock)

    async def test_host_that_starts_again_writes_nothing(self) -> None:
        """Pattern: power returns everywhere; the host's row is still there."""
        store = Mock(commit=AsyncMock())
        registration = self.registration(store)
        registration.observe_row(HostId('me'), ROW)
        registration.on_hosts_loaded()
        await registration.register(first=False)
        await registration.wait_for_startup()
        store.commit.assert_not_called()

    async def test_row_of_another_address_is_written_anew(self) -> None:
        """Pattern: a host is replaced by another one with its name."""
        store = Mock(commit=AsyncMock(return_value=Committed(3, 1)))
        registration = self.registration(store)
        registration.observe_row(HostId('me'), HostRow('127.0.0.9', 7, 'north'))
        registration.on_hosts_loaded()
        await registration.register(first=False)
        store.commit.assert_called_once()

    async def test_first_hosts_register_before_they_select_a_source(
        self,
    ) -> None:
        """Pattern: all hosts start at once and find no host to follow."""
        store = Mock(commit=AsyncMock(return_value=Committed(3, 1)))
        registration = self.registration(store)
        registering = asyncio.create_task(registration.register(first=True))
        waiting = asyncio.create_task(registration.wait_for_startup())
        await self.clock.settle()
        store.commit.assert_called_once()
        self.assertFalse(waiting.done())
        await self.clock.advance(STARTUP_WAIT)
        self.assertTrue(waiting.done())
        await registering


if __name__ == '__main__':
    unittest.main()
