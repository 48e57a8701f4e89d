"""Tests of rollouts and orders with processes that are killed and paused."""

import asyncio
import signal
import unittest
from collections.abc import Awaitable, Callable
from typing import Any, Final

import msgspec
from aiohttp import ClientSession
from experiments.deployment import (
    Deployment,
    Rig,
    call_operator_api,
    operator_token,
    start,
)
from experiments.processes import Processes, RunningProcess

from nutmegroad.contracts.documents import Role

VERSION: Final = 'galley-large@4'
LOADED: Final = ('galley-small@5', 'galley-large@3')
#: Polls of a condition before a test fails, 0.1 s apart.
MAX_POLLS: Final = 600


class ProcessCase(unittest.IsolatedAsyncioTestCase):
    """A deployment with one engine in each domain."""

    async def asyncSetUp(self) -> None:
        """Create the process group and an HTTP client."""
        self.processes = Processes()
        await self.processes.__aenter__()
        self.addAsyncCleanup(self.processes.__aexit__, None, None, None)
        self.session = ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def start(self, hosts: int, *engine_args: str) -> Deployment:
        """Start a deployment with hosts in each domain."""
        rig = Rig(
            'cascade',
            engines=(LOADED,),
            hosts=hosts,
            services=1,
            engine_args=engine_args,
        )
        self.running = await start(self.processes, rig)
        operators = self.running.document.operators
        name = next(
            operator.name
            for operator in operators
            if operator.role is Role.OPERATE
        )
        self.token = operator_token(name)
        return self.running

    async def read_row(self, key: str) -> Any:
        """Return the content of a row of the platform's table."""
        address = self.running.platform.listening['main']
        url = f'http://{address}/table/row'
        async with self.session.get(url, params={'key': key}) as response:
            row = msgspec.json.decode(await response.read())
        return msgspec.json.decode(row['text'] or '{}')

    async def fencing_number(self, lease: str) -> int:
        """Return a lease's fencing number; 0 before it is first taken."""
        row = await self.read_row(f'leases/{lease}')
        return int(row.get('number', 0))

    async def holder_of(self, lease: str) -> RunningProcess:
        """Wait until a host holds a lease, and return it."""

        async def is_held() -> bool:
            return await self.fencing_number(lease) > 0

        await self.wait_for(is_held)
        row = await self.read_row(f'leases/{lease}')
        name = row['holder'].rpartition('.')[0]
        return next(host for host in self.running.hosts if host.name == name)

    async def send_action(self, host: RunningProcess, action: str) -> Any:
        """Perform an operator's action on the rollout."""
        body = {'version': VERSION, 'action': action}
        address = host.listening['operators']
        return await call_operator_api(address, 'rollouts', body, self.token)

    async def rollout_status(self, host: RunningProcess) -> Any:
        """Return the state of rollouts as a host knows it."""
        address = host.listening['operators']
        return await call_operator_api(address, 'rollouts', None, self.token)

    async def wait_for(self, condition: Callable[[], Awaitable[bool]]) -> None:
        """Poll a condition until it is true."""
        for _ in range(MAX_POLLS):
            if await condition():
                return
            await asyncio.sleep(0.1)
        self.fail('The condition did not become true in time.')


class RolloutProcessTest(ProcessCase):
    async def test_it_outlives_its_holder_and_halts_without_platform(
        self,
    ) -> None:
        await self.start(1)
        await self.send_action(self.running.hosts[0], 'start')
        await self.wait_for(self.is_claimed)
        before = await self.read_row(f'rollouts/{VERSION}')
        holder = await self.holder_of('rollouts')
        holder.signal(signal.SIGKILL)
        self.running.hosts.remove(holder)

        async def is_taken_over() -> bool:
            row = await self.read_row(f'rollouts/{VERSION}')
            return bool(row['fencing'] > before['fencing'])

        await self.wait_for(is_taken_over)
        await self.halt_without_platform()

    async def halt_without_platform(self) -> None:
        """Abort the rollout after the platform was killed."""
        self.running.platform.signal(signal.SIGKILL)
        await self.send_action(self.running.hosts[0], 'abort')
        await self.wait_for(self.is_halted_everywhere)

    async def is_claimed(self) -> bool:
        """Return whether a lease holder has claimed the rollout."""
        row = await self.read_row(f'rollouts/{VERSION}')
        return bool(row.get('fencing', 0) > 0)

    async def is_halted_everywhere(self) -> bool:
        """Return whether the version is quarantined on all hosts."""
        statuses = [
            await self.rollout_status(host) for host in self.running.hosts
        ]
        return all(
            any(
                record[0] == VERSION and record[3] % 2
                for record in status['quarantines']
            )
            for status in statuses
        )


class OrderProcessTest(ProcessCase):
    async def test_a_resumed_holder_sends_no_orders(self) -> None:
        await self.start(
            2,
            '--checks-fencing=no',
            '--loadable',
            'galley-medium@2',
            'galley-large@3',
            VERSION,
        )
        lease = 'orders/kent-hall'

        paused = await self.holder_of(lease)
        number = await self.fencing_number(lease)
        paused.signal(signal.SIGSTOP)

        async def is_taken_over() -> bool:
            return await self.fencing_number(lease) > number

        await self.wait_for(is_taken_over)
        # Gives both hosts something to order while the paused one resumes.
        await self.send_action(self.running_host(paused), 'start')
        await self.wait_for(self.has_new_orders(number))
        await self.check_resumed(paused)

    async def check_resumed(self, paused: RunningProcess) -> None:
        """Resume a host; check that its fencing number is not used again."""
        paused.signal(signal.SIGCONT)
        await asyncio.sleep(3)
        numbers = [order['fencing'] for order in await self.orders()]
        self.assertEqual(numbers, sorted(numbers))

    def running_host(self, paused: RunningProcess) -> RunningProcess:
        """Return a host that is not paused."""
        hosts = self.running.hosts
        return next(host for host in hosts if host is not paused)

    def has_new_orders(self, number: int) -> Callable[[], Awaitable[bool]]:
        """Return a condition: an order has a higher fencing number."""

        async def condition() -> bool:
            orders = await self.orders()
            return any(order['fencing'] > number for order in orders)

        return condition

    async def orders(self) -> list[dict[str, Any]]:
        """Return the orders that an engine of the domain received."""
        engine = self.running.engines['kent-hall-engine-0']
        url = f'http://{engine.listening["main"]}/admin/runs'
        async with self.session.get(url) as response:
            orders = msgspec.json.decode(await response.read())['orders']
        return list(orders)
