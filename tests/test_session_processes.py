"""Tests of named sessions on real processes.

Guards against a session that changes its version when it starts at two hosts
at the same time, when a host is killed, or when the preset changes.
"""

import asyncio
import signal
import unittest
from contextlib import AsyncExitStack
from typing import Any, Final

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
    """A deployment of three hosts, one of which is killed."""

    async def asyncSetUp(self) -> None:
        stack = AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        processes = await stack.enter_async_context(Processes())
        self.running = await start(processes, RIG)
        self.session = await stack.enter_async_context(ClientSession())
        self.token = operator_token(self.running.document.operators[0].name)

    async def answering_version(
        self, host: Address, name: str, model: str
    ) -> str:
        """Send a request of a session to a host; return the version used."""
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

    async def start_session(self, name: str) -> str:
        """Begin a session at two hosts at once, for two versions."""
        one, two, _ = self.running.caller_addresses
        requests = (
            self.answering_version(one, name, MODELS[0]),
            self.answering_version(two, name, MODELS[1]),
        )
        versions = set(await asyncio.gather(*requests))
        self.assertEqual(len(versions), 1, name)
        return versions.pop()

    async def assert_bound(self, started: dict[str, str]) -> None:
        """Check that each host ignores a request for the other version."""
        for name, version in started.items():
            other = next(model for model in MODELS if model != version)
            for host in self.running.caller_addresses:
                self.assertEqual(
                    await self.answering_version(host, name, other), version
                )

    async def preset_in_force(self, operators: Address) -> str:
        """Return the name of the preset in force at a host."""
        token = self.token
        presets: Any = await call_operator_api(
            operators, 'presets', token=token
        )
        return next(str(one['name']) for one in presets if one['in_force'])

    async def test_session_keeps_its_version(self) -> None:
        versions = await asyncio.gather(
            *(self.start_session(name) for name in NAMES)
        )
        started = dict(zip(NAMES, versions, strict=True))
        await self.assert_bound(started)
        killed = self.running.hosts.pop(0)
        killed.signal(signal.SIGKILL)
        await killed.process.wait()
        await self.assert_bound(started)
        operators = self.running.operator_addresses
        body = {'preset': 'maintenance'}
        await call_operator_api(operators[0], 'preset', body, self.token)
        async with asyncio.timeout(30):
            for address in operators:
                while await self.preset_in_force(address) != 'maintenance':
                    await asyncio.sleep(0.05)
        await self.assert_bound(started)
