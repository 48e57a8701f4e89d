"""Tests that replacing all host processes under load loses no request."""

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
    publish_host_list,
    start,
    start_host,
    workspace_key,
)
from experiments.processes import Processes, RunningProcess

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

#: Seconds after the beginning of a poll during which its result is used. A
#: host that stops takes requests for its lame duck time only, so a balancer
#: that lags by more sends to hosts that have ended.
MAX_POLL_AGE: Final = 0.4


@dataclass
class Balancer:
    """Polls which hosts are ready; lags a little, as a load balancer does.

    Attributes:
        running: The deployment.
        ready: Hosts that were ready at the last poll.
        polled_at: Event loop time at which the last poll began.
    """

    running: Deployment
    ready: list[RunningProcess] = field(default_factory=list)
    polled_at: float = float('-inf')

    async def choose(self, number: int) -> RunningProcess:
        """Return the ready host for a request number.

        Callers share this process's event loop. If it was blocked, the list is
        older than that of a balancer, and the next poll is awaited.
        """
        loop = asyncio.get_running_loop()
        while loop.time() - self.polled_at > MAX_POLL_AGE:
            await asyncio.sleep(0.01)
        return self.ready[number % len(self.ready)]

    async def watch(self, session: ClientSession) -> None:
        """Poll the readiness of all hosts until cancelled."""
        while True:
            hosts = tuple(self.running.hosts)
            began = asyncio.get_running_loop().time()
            readiness = await asyncio.gather(
                *(self._is_ready(session, host) for host in hosts),
            )
            self.ready = [
                host
                for host, is_ready in zip(hosts, readiness, strict=True)
                if is_ready
            ]
            self.polled_at = began
            await asyncio.sleep(0.1)

    async def _is_ready(
        self, session: ClientSession, host: RunningProcess
    ) -> bool:
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
        balancer: Knows the hosts that are ready.
        outcomes: Number of requests by outcome; 'whole' is a complete
            answer.
        stopped: Whether the callers send no further requests.
    """

    balancer: Balancer
    outcomes: Counter[str] = field(default_factory=Counter)
    stopped: bool = False

    async def run(self, session: ClientSession, caller: int) -> None:
        """Send requests as one caller until the load is stopped."""
        number = caller
        while not self.stopped:
            number += CALLERS
            host = await self.balancer.choose(number)
            try:
                outcome = await self._send(session, host, number)
            except ClientError as error:
                outcome = f'{host.name}: {type(error).__name__} {error}'
            self.outcomes[outcome] += 1

    async def _send(
        self,
        session: ClientSession,
        host: RunningProcess,
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
        pieces = content.count(b'"content":')
        return 'whole' if pieces == TOKENS else f'{pieces} pieces'


class ReplacementTest(unittest.IsolatedAsyncioTestCase):
    """Six hosts in three domains, replaced one after another."""

    async def asyncSetUp(self) -> None:
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.processes = await self.stack.enter_async_context(Processes())
        self.running = await start(self.processes, RIG)
        self.session = await self.stack.enter_async_context(ClientSession())
        self.balancer = Balancer(self.running)
        polling = asyncio.create_task(self.balancer.watch(self.session))
        self.stack.callback(polling.cancel)
        async with asyncio.timeout(10):
            while len(self.balancer.ready) < len(self.running.hosts):
                await asyncio.sleep(0.05)

    async def start_successor(self, old: RunningProcess) -> RunningProcess:
        """Start the successor of a host."""
        name = f'{old.name}x'
        return await start_host(self.processes, RIG, self.running, name)

    async def start_successors(self) -> None:
        """Start all successors, and wait until they are ready."""
        hosts = self.running.hosts
        successors = await asyncio.gather(
            *(self.start_successor(old) for old in hosts)
        )
        hosts.extend(successors)
        await publish_host_list(self.running, RIG)
        while len(self.balancer.ready) < len(hosts):
            await asyncio.sleep(0.05)

    async def stop(self, old: RunningProcess) -> int:
        """Stop a host that has a successor; return its exit code."""
        old.signal(signal.SIGTERM)
        # A second signal must not interrupt requests in progress.
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
        await self.start_successors()
        codes = [await self.stop(host) for host in hosts]
        load.stopped = True
        await asyncio.gather(*callers)
        complete = load.outcomes.pop('whole')
        # The message lists all outcomes, since a failure may not recur.
        self.assertEqual(load.outcomes, Counter(), str(load.outcomes))
        self.assertEqual(set(codes), {0})
        self.assertGreater(complete, 50)
        self.assertEqual(await self.count_runs(), complete)

    async def count_runs(self) -> int:
        """Return the number of requests that the engines have run."""
        total = 0
        for engine in self.running.engines.values():
            url = f'http://{engine.listening["main"]}/admin/runs'
            async with self.session.get(url) as response:
                runs = msgspec.json.decode(await response.read())['runs']
            total += len(runs)
        return total
