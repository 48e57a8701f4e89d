"""A named session on real processes: two hosts at once, a kill, a switch."""

import asyncio
import signal
import unittest
from contextlib import AsyncExitStack
from typing import Any, Final

import msgspec
from aiohttp import ClientSession
from experiments.deployment import (
    Rig,
    operate,
    operator_token,
    start,
    workspace_key,
)
from experiments.processes import Processes

from nutmegroad.foundations.types import Address

MODELS: Final = ('brief-small@2', 'brief-medium@4')
RIG: Final = Rig(
    'lesen',
    (MODELS,),
    hosts=1,
    engine_args=('--step-base=0.001', '--report-lag=0.1'),
    host_args=('--lame-duck=0.05',),
)
NAMES: Final = tuple(f'desk-{number}' for number in range(8))


class SessionProcessTest(unittest.IsolatedAsyncioTestCase):
    """Three hosts, of which one is killed."""

    async def asyncSetUp(self) -> None:
        stack = AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        processes = await stack.enter_async_context(Processes())
        self.running = await start(processes, RIG)
        self.session = await stack.enter_async_context(ClientSession())
        self.token = operator_token(self.running.document.operators[0].name)

    async def ask(self, host: Address, name: str, model: str) -> str:
        """Return the version that answers a session at a host."""
        url = f'http://{host}/v1/chat/completions'
        body = {
            'model': model,
            'messages': [{'role': 'user', 'content': f'form of {name}'}],
            'nutmegroad_task': 'checklist-tag',
            'nutmegroad_tokens': 3,
        }
        headers = {
            'Authorization': f'Bearer {workspace_key("head-office")}',
            'Nutmegroad-Session': name,
        }
        async with self.session.post(url, json=body, headers=headers) as reply:
            content = await reply.read()
        self.assertEqual(reply.status, 200, content)
        return str(msgspec.json.decode(content)['model'])

    async def begin(self, name: str) -> str:
        """Begin a session at two hosts at once, for two versions."""
        one, two, _ = self.running.callers
        asks = (self.ask(one, name, MODELS[0]), self.ask(two, name, MODELS[1]))
        versions = set(await asyncio.gather(*asks))
        self.assertEqual(len(versions), 1, name)
        return versions.pop()

    async def assert_kept(self, begun: dict[str, str]) -> None:
        """Ask for the other version at the hosts that are left."""
        for name, version in begun.items():
            other = next(model for model in MODELS if model != version)
            for host in self.running.callers:
                self.assertEqual(await self.ask(host, name, other), version)

    async def preset_at(self, operators: Address) -> str:
        """Return the preset that a host has in force."""
        token = self.token
        presets: Any = await operate(operators, 'presets', token=token)
        return next(str(one['name']) for one in presets if one['in_force'])

    async def test_it_keeps_one_version_from_first_to_last(self) -> None:
        versions = await asyncio.gather(*(self.begin(name) for name in NAMES))
        begun = dict(zip(NAMES, versions, strict=True))
        await self.assert_kept(begun)
        killed = self.running.hosts.pop(0)
        killed.signal(signal.SIGKILL)
        await killed.process.wait()
        await self.assert_kept(begun)
        operators = self.running.operators
        body = {'preset': 'maintenance'}
        await operate(operators[0], 'preset', body, self.token)
        async with asyncio.timeout(30):
            for address in operators:
                while await self.preset_at(address) != 'maintenance':
                    await asyncio.sleep(0.05)
        await self.assert_kept(begun)
