"""Connections to the platform's store that become silent for good."""

import asyncio
import unittest
from contextlib import AsyncExitStack

from aiohttp.web import AppRunner, TCPSite
from fakes.ports import reserve_port
from fakes.row_store import RowStore

from nutmegroad.fleet.store_interface import RowsRead
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import Address
from nutmegroad.relay.counters import RelayCounters
from nutmegroad_platform.store import PlatformStore
from tests.tcp_proxies import HoldingProxy


class SilentConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Kept connections after a cut of the path to the store."""

    async def test_call_after_one_that_hung_uses_a_new_connection(self) -> None:
        """A host noticed seconds late that its path was open again.

        One call after the other hung on a connection from before the cut.
        """
        stack = await self.enterAsyncContext(AsyncExitStack())
        runner = AppRunner(RowStore().app(), shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        port = reserve_port()
        await TCPSite(runner, '127.0.0.1', port).start()
        # It forwards one reply on each connection.
        proxy = await stack.enter_async_context(
            HoldingProxy(Address('127.0.0.1', port))
        )
        client = await stack.enter_async_context(
            PlatformStore(proxy.address, RelayCounters())
        )
        await asyncio.gather(*(client.snapshot('t') for _ in range(3)))
        self.assertIsInstance(await client.snapshot('t'), Refusal)
        self.assertIsInstance(await client.snapshot('t'), RowsRead)
        proxy.released.set()
