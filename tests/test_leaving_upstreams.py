"""An engine that leaves gets no new work, while the list says nothing."""

import asyncio
import unittest
from contextlib import AsyncExitStack
from typing import Any

import msgspec
from aiohttp import ClientSession
from experiments.deployment import (
    Rig,
    operate,
    operator_token,
    publish,
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
    """Three hosts and three engines."""

    async def asyncSetUp(self) -> None:
        stack = AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        processes = await stack.enter_async_context(Processes())
        self.running = await start(processes, RIG)
        self.session = await stack.enter_async_context(ClientSession())
        self.token = operator_token(self.running.document.operators[0].name)
        self.engine = 'petaling-engine-0'
        await self.until_all_say('live')

    @property
    def address(self) -> Address:
        """Where the engine listens."""
        return self.running.engines[self.engine].listening['main']

    async def presence_at(self, operators: Address) -> str:
        listed: Any = await operate(operators, 'upstreams', token=self.token)
        found = (row for row in listed if row['upstream'] == self.engine)
        row = next(found, {'presence': '', 'versions': ()})
        return str(row['presence']) if row['versions'] else ''

    async def until_all_say(self, presence: str) -> None:
        async with asyncio.timeout(20):
            for operators in self.running.operators:
                while await self.presence_at(operators) != presence:
                    await asyncio.sleep(0.05)

    async def say(self, *, leaving: bool) -> None:
        url = f'http://{self.address}/admin/leave'
        async with self.session.post(url, json={'leaving': leaving}) as said:
            said.raise_for_status()

    async def runs(self) -> int:
        url = f'http://{self.address}/admin/runs'
        async with self.session.get(url) as response:
            content = await response.read()
        return len(msgspec.json.decode(content)['runs'])

    async def ask(self, number: int) -> None:
        callers = self.running.callers
        url = f'http://{callers[number % len(callers)]}/v1/chat/completions'
        body = {
            'model': 'brief-small@2',
            'messages': [{'role': 'user', 'content': f'form {number}'}],
            'nutmegroad_tokens': 3,
        }
        headers = {'Authorization': f'Bearer {workspace_key("head-office")}'}
        async with self.session.post(url, json=body, headers=headers) as reply:
            content = await reply.read()
            self.assertEqual(reply.status, 200, content)

    async def count_new_runs(self) -> int:
        """Send requests to all hosts; count those that come to the engine."""
        before = await self.runs()
        await self.ask_all()
        return await self.runs() - before

    async def ask_all(self) -> None:
        # One at each host at a time: how many a host admits at once depends
        # on how fast the machine is, and is no matter of this test.
        hosts = len(self.running.callers)
        for first in range(0, 45, hosts):
            asks = (self.ask(first + host) for host in range(hosts))
            await asyncio.gather(*asks)

    async def list_it(self, *, leaving: bool) -> None:
        named = frozenset((self.engine,) if leaving else ())
        await publish(self.running, RIG, named)

    async def test_each_word_alone_takes_work_away_and_gives_it_back(
        self,
    ) -> None:
        self.assertGreater(await self.count_new_runs(), 0)
        # The engine says that it leaves and the list does not, and then
        # the other way about.
        for say in (self.say, self.list_it):
            with self.subTest(say.__name__):
                await say(leaving=True)
                await self.until_all_say('leaving')
                self.assertEqual(await self.count_new_runs(), 0)
                await say(leaving=False)
                await self.until_all_say('live')
                self.assertGreater(await self.count_new_runs(), 0)
