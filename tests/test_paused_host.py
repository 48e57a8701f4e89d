"""A host that is paused and resumed acts on no outdated configuration."""

import asyncio
import signal
import unittest
from contextlib import AsyncExitStack
from typing import Any

import msgspec
from aiohttp import ClientSession
from experiments.deployment import (
    Rig,
    call_operator_api,
    operator_token,
    start,
    workspace_key,
)
from experiments.processes import Processes

from nutmegroad.contracts.documents import Role

VERSION = 'brief-small@2'
#: The head is polled so rarely that usually only the query after the pause
#: notifies the host of the withdrawal in time.
RIG = Rig(
    'lesen',
    ((VERSION,),),
    hosts=1,
    services=1,
    host_args=('--lame-duck=0.05', '--poll=3', '--lease=9'),
)


class PausedHostTest(unittest.IsolatedAsyncioTestCase):
    """A version is withdrawn while its host is paused with SIGSTOP.

    A request arrives during the pause. After SIGCONT the host must not
    execute it on the configuration that it had before the pause.
    """

    async def asyncSetUp(self) -> None:
        stack = AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        processes = await stack.enter_async_context(Processes())
        self.running = await start(processes, RIG)
        self.session = await stack.enter_async_context(ClientSession())
        self.host = self.running.hosts[1]
        stack.callback(self.host.signal, signal.SIGCONT)

    async def ask(self) -> tuple[int, Any]:
        url = f'http://{self.host.listening["callers"]}/v1/chat/completions'
        body = {
            'model': VERSION,
            'messages': [{'role': 'user', 'content': 'a form'}],
            'nutmegroad_tokens': 3,
        }
        headers = {'Authorization': f'Bearer {workspace_key("head-office")}'}
        async with self.session.post(url, json=body, headers=headers) as reply:
            return reply.status, msgspec.json.decode(await reply.read())

    async def withdraw(self) -> None:
        name = next(
            entry.name
            for entry in self.running.document.operators
            if entry.role is Role.OPERATE
        )
        done = await call_operator_api(
            self.running.operator_addresses[0],
            'withdrawals',
            {'version': VERSION},
            operator_token(name),
        )
        self.assertNotIn('error', done)

    async def test_version_withdrawn_during_the_pause_is_not_run(self) -> None:
        async with asyncio.timeout(20):
            while (await self.ask())[0] != 200:
                await asyncio.sleep(0.1)
        self.host.signal(signal.SIGSTOP)
        asking = asyncio.create_task(self.ask())
        await self.withdraw()
        # Longer than the minimum gap that counts as a pause.
        await asyncio.sleep(1.5)
        self.host.signal(signal.SIGCONT)
        status, body = await asking
        self.assertNotEqual(status, 200, body)
        self.assertTrue(body['error']['not_run'])
        async with asyncio.timeout(20):
            while (await self.ask())[1]['error']['name'] == 'HOST_PAUSED':
                await asyncio.sleep(0.1)
        _, later = await self.ask()
        self.assertEqual(later['error']['name'], 'VERSION_WITHDRAWN')

    async def test_request_after_a_pause_waits_for_the_confirmation(
        self,
    ) -> None:
        """It guards against 503 from a host that knows all it needs soon."""
        async with asyncio.timeout(20):
            while (await self.ask())[0] != 200:
                await asyncio.sleep(0.1)
        self.host.signal(signal.SIGSTOP)
        asking = asyncio.create_task(self.ask())
        # Longer than the minimum gap that counts as a pause.
        await asyncio.sleep(1.5)
        self.host.signal(signal.SIGCONT)
        status, body = await asking
        self.assertEqual(status, 200, body)
