"""Tests that a draining engine process gets no new requests.

Either the engine's reports or the host list alone say that it is leaving.
"""

import asyncio
import unittest
from contextlib import AsyncExitStack
from typing import Any

import msgspec
from aiohttp import ClientSession
from experiments.deployment import (
    Rig,
    call_operator_api,
    operator_token,
    publish_host_list,
    start,
    workspace_key,
)
from experiments.processes import Processes

from nutmegroad.foundations.types import Address

RIG = Rig(
    'lesen',
    (('brief-small@2',),),
    hosts=1,
    services=1,
    engine_args=('--step-base=0.001', '--report-lag=0.1'),
    host_args=('--lame-duck=0.05',),
)


class LeavingTest(unittest.IsolatedAsyncioTestCase):
    """Three hosts and three engines, of which one drains and returns."""

    async def asyncSetUp(self) -> None:
        stack = AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        processes = await stack.enter_async_context(Processes())
        self.running = await start(processes, RIG)
        self.session = await stack.enter_async_context(ClientSession())
        self.token = operator_token(self.running.document.operators[0].name)
        self.engine = 'petaling-engine-0'
        await self.wait_for_presence('live')

    @property
    def address(self) -> Address:
        """The address of the engine under test."""
        return self.running.engines[self.engine].listening['main']

    async def presence_at(self, operators: Address) -> str:
        rows: Any = await call_operator_api(
            operators, 'upstreams', token=self.token
        )
        found = (row for row in rows if row['upstream'] == self.engine)
        row = next(found, {'presence': '', 'versions': ()})
        return str(row['presence']) if row['versions'] else ''

    async def wait_for_presence(self, presence: str) -> None:
        async with asyncio.timeout(20):
            for operators in self.running.operator_addresses:
                while await self.presence_at(operators) != presence:
                    await asyncio.sleep(0.05)

    async def set_engine_leaving(self, *, leaving: bool) -> None:
        url = f'http://{self.address}/admin/leave'
        async with self.session.post(
            url, json={'leaving': leaving}
        ) as response:
            response.raise_for_status()

    async def count_runs(self) -> int:
        url = f'http://{self.address}/admin/runs'
        async with self.session.get(url) as response:
            content = await response.read()
        return len(msgspec.json.decode(content)['runs'])

    async def send(self, number: int) -> None:
        callers = self.running.caller_addresses
        url = f'http://{callers[number % len(callers)]}/v1/chat/completions'
        body = {
            'model': 'brief-small@2',
            'messages': [{'role': 'user', 'content': f'form {number}'}],
            'nutmegroad_tokens': 3,
        }
        headers = {'Authorization': f'Bearer {workspace_key("head-office")}'}
        async with self.session.post(
            url, json=body, headers=headers
        ) as response:
            content = await response.read()
            self.assertEqual(response.status, 200, content)

    async def count_new_runs(self) -> int:
        """Send requests to all hosts; return how many the engine runs."""
        before = await self.count_runs()
        await self.send_to_all()
        return await self.count_runs() - before

    async def send_to_all(self) -> None:
        # Each host gets one request at a time: how many it admits
        # concurrently depends on the speed of the machine.
        hosts = len(self.running.caller_addresses)
        for first in range(0, 45, hosts):
            requests = (self.send(first + host) for host in range(hosts))
            await asyncio.gather(*requests)

    async def set_listed_leaving(self, *, leaving: bool) -> None:
        leaving_names = frozenset((self.engine,) if leaving else ())
        await publish_host_list(self.running, RIG, leaving_names)

    async def test_each_word_alone_takes_work_away_and_gives_it_back(
        self,
    ) -> None:
        self.assertGreater(await self.count_new_runs(), 0)
        # First only the engine says that it is leaving, then only the list.
        for set_leaving in (self.set_engine_leaving, self.set_listed_leaving):
            with self.subTest(set_leaving.__name__):
                await set_leaving(leaving=True)
                await self.wait_for_presence('leaving')
                self.assertEqual(await self.count_new_runs(), 0)
                await set_leaving(leaving=False)
                await self.wait_for_presence('live')
                self.assertGreater(await self.count_new_runs(), 0)
