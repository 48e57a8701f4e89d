"""Readiness check: a host is not ready before it can serve callers."""

import unittest
from contextlib import AsyncExitStack
from dataclasses import replace

from nutmegroad.foundations.types import UpstreamId
from nutmegroad.routing.directory import Directory
from tests.host_fixture import HostFixture, two_version_settings


class ReadinessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        stack = AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        self.host = HostFixture(two_version_settings())
        await self.host.open(stack)

    async def readiness(self) -> tuple[int, str]:
        operators = self.host.kernel.listening['operators']
        url = f'http://{operators}/readyz'
        async with self.host.session.get(url) as response:
            return response.status, await response.text()

    async def test_host_without_upstreams_is_not_ready(self) -> None:
        self.assertEqual(await self.readiness(), (200, 'ready\n'))
        self.host.kernel.need(Directory).update(())
        self.assertEqual(
            await self.readiness(),
            (503, 'no upstreams yet\n'),
        )

    async def test_host_with_an_unreported_engine_is_not_ready(self) -> None:
        directory = self.host.kernel.need(Directory)
        known = directory.states()[0].info
        unreported = replace(known, upstream=UpstreamId('fresh'))
        directory.update((unreported,), whole=False)
        self.assertEqual(
            await self.readiness(),
            (503, 'no upstreams yet\n'),
        )
