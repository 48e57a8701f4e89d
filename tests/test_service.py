"""Tests of the service stand-in: it executes and records every call."""

import unittest
from contextlib import AsyncExitStack
from typing import Any

from aiohttp import ClientError, ClientSession
from fakes.service import FakeService


class ServiceTest(unittest.IsolatedAsyncioTestCase):
    """Calls with and without faults."""

    async def asyncSetUp(self) -> None:
        """Start a service and open an HTTP client."""
        stack = AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        self.service = await stack.enter_async_context(FakeService())
        self.session = await stack.enter_async_context(ClientSession())
        self.url = f'http://{self.service.address}'

    async def fault(self, **order: Any) -> None:
        """Activate a fault for one call."""
        url = f'{self.url}/admin/faults'
        async with self.session.post(url, json={'count': 1, **order}) as reply:
            self.assertEqual(204, reply.status)

    async def call(self) -> int:
        """Make a call; return its HTTP status."""
        async with self.session.post(
            f'{self.url}/fees/receipt',
            headers={'Idempotency-Key': 'k1'},
        ) as response:
            return response.status

    async def test_repeated_call_is_executed_each_time(self) -> None:
        await self.call()
        await self.call()
        async with self.session.get(f'{self.url}/admin/runs') as response:
            runs = (await response.json())['runs']
        self.assertEqual(['k1', 'k1'], [entry['key'] for entry in runs])
        self.assertEqual('/fees/receipt', runs[0]['path'])

    async def test_faults_before_and_after_execution(self) -> None:
        cases = (('down', 0), ('lose_reply', 1))
        for kind, ran in cases:
            with self.subTest(kind):
                self.service.runs.clear()
                await self.fault(kind=kind)
                with self.assertRaises(ClientError):
                    await self.call()
                self.assertEqual(ran, len(self.service.runs))

    async def test_calls_with_error_or_late_reply_are_executed(self) -> None:
        await self.fault(kind='error')
        self.assertEqual(500, await self.call())
        await self.fault(kind='late', delay=0.01)
        self.assertEqual(200, await self.call())
        self.assertEqual(2, len(self.service.runs))


if __name__ == '__main__':
    unittest.main()
