"""Every host is replaced under load, as processes, and nothing is lost."""

import asyncio
import signal
import unittest
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec
from aiohttp import ClientError, ClientSession
from experiments.deployment import (
    Deployment,
    Rig,
    publish,
    start,
    start_host,
    workspace_key,
)
from experiments.processes import Processes, Running

TOKENS: Final = 40
CALLERS: Final = 12
RIG: Final = Rig(
    'lesen',
    (('brief-small@2', 'brief-medium@4'),),
    hosts=2,
    services=1,
    engine_args=('--step-base=0.005', '--report-lag=0.2'),
    host_args=('--lame-duck=0.6', '--drain=10'),
)


@dataclass
class Balancer:
    """Knows which hosts are ready, a little late, as a balancer does.

    Attributes:
        running: The deployment.
        ready: Hosts to which requests may go.
    """

    running: Deployment
    ready: list[Running] = field(default_factory=list)

    async def watch(self, session: ClientSession) -> None:
        """Look at readiness again and again."""
        while True:
            hosts = tuple(self.running.hosts)
            looks = await asyncio.gather(
                *(self._is_ready(session, host) for host in hosts),
            )
            self.ready = [
                host for host, good in zip(hosts, looks, strict=True) if good
            ]
            await asyncio.sleep(0.1)

    async def _is_ready(self, session: ClientSession, host: Running) -> bool:
        url = f'http://{host.listening["operators"]}/readyz'
        try:
            async with session.get(url) as response:
                return response.status == 200
        except ClientError:
            return False


@dataclass
class Load:
    """Callers that each send one request after another.

    Attributes:
        balancer: Says where to.
        outcomes: What came of them.
    """

    balancer: Balancer
    outcomes: Counter[str] = field(default_factory=Counter)
    stopped: bool = False

    async def run(self, session: ClientSession, caller: int) -> None:
        """Send until told to stop."""
        number = caller
        while not self.stopped:
            number += CALLERS
            ready = self.balancer.ready
            host = ready[number % len(ready)]
            try:
                outcome = await self._ask(session, host, number)
            except ClientError as error:
                outcome = f'{host.name}: {type(error).__name__} {error}'
            self.outcomes[outcome] += 1

    async def _ask(
        self,
        session: ClientSession,
        host: Running,
        number: int,
    ) -> str:
        body: dict[str, Any] = {
            'model': 'checklist-tag',
            'messages': [{'role': 'user', 'content': f'form {number}'}],
            'max_tokens': TOKENS,
            'nutmegroad_tokens': TOKENS,
            'stream': True,
        }
        headers = {'Authorization': f'Bearer {workspace_key("head-office")}'}
        url = f'http://{host.listening["callers"]}/v1/chat/completions'
        async with session.post(url, json=body, headers=headers) as response:
            content = await response.read()
        if response.status != 200:
            return f'{response.status} {content.decode()}'
        if not content.endswith(b'data: [DONE]\n\n'):
            return f'cut: {content[-200:].decode()}'
        words = content.count(b'"content":')
        return 'whole' if words == TOKENS else f'{words} words'


class ReplacementTest(unittest.IsolatedAsyncioTestCase):
    """Six hosts, replaced one after another."""

    async def asyncSetUp(self) -> None:
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.processes = await self.stack.enter_async_context(Processes())
        self.running = await start(self.processes, RIG)
        self.session = await self.stack.enter_async_context(ClientSession())
        self.balancer = Balancer(self.running)
        watching = asyncio.create_task(self.balancer.watch(self.session))
        self.stack.callback(watching.cancel)
        async with asyncio.timeout(10):
            while len(self.balancer.ready) < len(self.running.hosts):
                await asyncio.sleep(0.05)

    async def add(self, old: Running) -> Running:
        """Start a host's successor."""
        name = f'{old.name}x'
        return await start_host(self.processes, RIG, self.running, name)

    async def add_all(self) -> None:
        """Start all successors, and wait until callers may go to them."""
        hosts = self.running.hosts
        fresh = await asyncio.gather(*(self.add(old) for old in hosts))
        hosts.extend(fresh)
        await publish(self.running, RIG)
        while len(self.balancer.ready) < len(hosts):
            await asyncio.sleep(0.05)

    async def stop(self, old: Running) -> int:
        """Stop a host that has a successor."""
        old.signal(signal.SIGTERM)
        # A second one must not cut what is still open.
        await asyncio.sleep(0.3)
        old.signal(signal.SIGTERM)
        code = await old.process.wait()
        self.running.hosts.remove(old)
        return code

    async def test_it_loses_doubles_and_cuts_nothing(self) -> None:
        load = Load(self.balancer)
        callers = [
            asyncio.create_task(load.run(self.session, number))
            for number in range(CALLERS)
        ]
        hosts = tuple(self.running.hosts)
        await self.add_all()
        codes = [await self.stop(host) for host in hosts]
        load.stopped = True
        await asyncio.gather(*callers)
        whole = load.outcomes.pop('whole')
        # In full: what went wrong has to be told by the one run that shows it.
        self.assertEqual(load.outcomes, Counter(), str(load.outcomes))
        self.assertEqual(set(codes), {0})
        self.assertGreater(whole, 50)
        self.assertEqual(await self.count_runs(), whole)

    async def count_runs(self) -> int:
        """Return how many answers the engines wrote."""
        total = 0
        for engine in self.running.engines.values():
            url = f'http://{engine.listening["main"]}/admin/runs'
            async with self.session.get(url) as response:
                runs = msgspec.json.decode(await response.read())['runs']
            total += len(runs)
        return total
