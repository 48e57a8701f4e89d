"""Roll-outs and orders of real processes that are killed and stopped."""

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
    operate,
    operator_token,
    start,
)
from experiments.processes import Processes, Running

from nutmegroad.contracts.documents import Role

VERSION: Final = 'galley-large@4'
LOADED: Final = ('galley-small@5', 'galley-large@3')
#: Looks at a state that comes about by itself, a tenth of a second apart.
LOOKS: Final = 600


class ProcessCase(unittest.IsolatedAsyncioTestCase):
    """A deployment with one engine in each domain."""

    async def asyncSetUp(self) -> None:
        """Own processes and a client."""
        self.processes = Processes()
        await self.processes.__aenter__()
        self.addAsyncCleanup(self.processes.__aexit__, None, None, None)
        self.session = ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def start(self, hosts: int, *engine_args: str) -> Deployment:
        """Start the deployment."""
        rig = Rig(
            'cascade',
            engines=(LOADED,),
            hosts=hosts,
            services=1,
            engine_args=engine_args,
        )
        self.running = await start(self.processes, rig)
        operators = self.running.document.operators
        name = next(one.name for one in operators if one.role is Role.OPERATE)
        self.token = operator_token(name)
        return self.running

    async def row(self, key: str) -> Any:
        """Return the content of a row of the platform's table."""
        address = self.running.platform.listening['main']
        url = f'http://{address}/table/row'
        async with self.session.get(url, params={'key': key}) as response:
            row = msgspec.json.decode(await response.read())
        return msgspec.json.decode(row['text'] or '{}')

    async def number(self, lease: str) -> int:
        """Return a lease's fencing number; 0 before it is first taken."""
        row = await self.row(f'leases/{lease}')
        return int(row.get('number', 0))

    async def holder_of(self, lease: str) -> Running:
        """Wait until a host holds a lease, and return it."""

        async def is_held() -> bool:
            return await self.number(lease) > 0

        await self.wait_for(is_held)
        row = await self.row(f'leases/{lease}')
        name = row['holder'].rpartition('.')[0]
        return next(one for one in self.running.hosts if one.name == name)

    async def act(self, host: Running, action: str) -> Any:
        """Do something with the roll-out as an operator."""
        body = {'version': VERSION, 'action': action}
        address = host.listening['operators']
        return await operate(address, 'rollouts', body, self.token)

    async def status(self, host: Running) -> Any:
        """Return what a host knows of roll-outs."""
        address = host.listening['operators']
        return await operate(address, 'rollouts', None, self.token)

    async def wait_for(self, look: Callable[[], Awaitable[bool]]) -> None:
        """Look until something holds."""
        for _ in range(LOOKS):
            if await look():
                return
            await asyncio.sleep(0.1)
        self.fail('It did not come about.')


class RolloutProcessTest(ProcessCase):
    async def test_it_outlives_its_holder_and_halts_without_platform(
        self,
    ) -> None:
        await self.start(1)
        await self.act(self.running.hosts[0], 'start')
        await self.wait_for(self.is_claimed)
        before = await self.row(f'rollouts/{VERSION}')
        holder = await self.holder_of('rollouts')
        holder.signal(signal.SIGKILL)
        self.running.hosts.remove(holder)

        async def is_picked_up() -> bool:
            row = await self.row(f'rollouts/{VERSION}')
            return bool(row['fencing'] > before['fencing'])

        await self.wait_for(is_picked_up)
        await self.halt_without_platform()

    async def halt_without_platform(self) -> None:
        """Abort the roll-out with the platform gone."""
        self.running.platform.signal(signal.SIGKILL)
        await self.act(self.running.hosts[0], 'abort')
        await self.wait_for(self.is_halted_everywhere)

    async def is_claimed(self) -> bool:
        """Tell whether a holder has claimed the roll-out."""
        row = await self.row(f'rollouts/{VERSION}')
        return bool(row.get('fencing', 0) > 0)

    async def is_halted_everywhere(self) -> bool:
        """Tell whether all hosts have the version in quarantine."""
        found = [await self.status(host) for host in self.running.hosts]
        return all(
            any(
                record[0] == VERSION and record[3] % 2
                for record in one['quarantines']
            )
            for one in found
        )


class OrderProcessTest(ProcessCase):
    async def test_a_holder_that_wakes_up_orders_nothing(self) -> None:
        await self.start(
            2,
            '--checks-fencing=no',
            '--loadable',
            'galley-medium@2',
            'galley-large@3',
            VERSION,
        )
        lease = 'orders/kent-hall'

        asleep = await self.holder_of(lease)
        number = await self.number(lease)
        asleep.signal(signal.SIGSTOP)

        async def is_taken_over() -> bool:
            return await self.number(lease) > number

        await self.wait_for(is_taken_over)
        # Give both something to order while one of them wakes up.
        await self.act(self.awake(asleep), 'start')
        await self.wait_for(self.has_new_orders(number))
        await self.wake(asleep)

    async def wake(self, asleep: Running) -> None:
        """Wake a host, and demand that its number is not used again."""
        asleep.signal(signal.SIGCONT)
        await asyncio.sleep(3)
        numbers = [order['fencing'] for order in await self.orders()]
        self.assertEqual(numbers, sorted(numbers))

    def awake(self, asleep: Running) -> Running:
        """Return a host that was not stopped."""
        hosts = self.running.hosts
        return next(host for host in hosts if host is not asleep)

    def has_new_orders(self, number: int) -> Callable[[], Awaitable[bool]]:
        """Return a look for orders above a fencing number."""

        async def look() -> bool:
            orders = await self.orders()
            return any(order['fencing'] > number for order in orders)

        return look

    async def orders(self) -> list[dict[str, Any]]:
        """Return the orders that an engine of the domain got."""
        engine = self.running.engines['kent-hall-engine-0']
        url = f'http://{engine.listening["main"]}/admin/runs'
        async with self.session.get(url) as response:
            orders = msgspec.json.decode(await response.read())['orders']
        return list(orders)
