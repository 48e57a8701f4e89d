"""Processes that promise at most once and billed once, and what to ask them."""

import asyncio
import signal
import unittest
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass
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

from nutmegroad.adapters._http_platform import HttpObjects
from nutmegroad.foundations.types import Address
from nutmegroad.records.billing import BILLING_PREFIX, BillingRecord, read_bills

RIG: Final = Rig('lesen', engines=(), hosts=1)
LOOK_UP: Final = '/v1/services/licence-portal/status/1'
RECEIPTS: Final = '/v1/services/licence-portal/receipts'
#: Seconds after which a test is given up; none of them waits so long.
LIMIT: Final = 60
AUTHORIZATION: Final = {'Authorization': f'Bearer {workspace_key("training")}'}


@dataclass(frozen=True, slots=True)
class Reply:
    """What a caller got; status 0 if the connection broke."""

    status: int
    request: str = ''
    first: str = ''
    body: bytes = b''

    @property
    def error(self) -> dict[str, Any]:
        """Return the refusal."""
        decoded: dict[str, Any] = msgspec.json.decode(self.body)['error']
        return decoded


class OnceProcessCase(unittest.TestCase):
    """Three hosts, three upstreams of a plain service, one platform.

    They are started once, on a loop that all tests share.
    """

    runner: asyncio.Runner
    stack: AsyncExitStack
    processes: Processes
    session: ClientSession
    running: Deployment
    platform: Address
    objects: HttpObjects
    answered: list[str]

    @classmethod
    def setUpClass(cls) -> None:
        """Start all processes."""
        cls.runner = asyncio.Runner()
        cls.addClassCleanup(cls.runner.close)
        cls.stack = AsyncExitStack()
        cls.addClassCleanup(lambda: cls.runner.run(cls.stack.aclose()))
        cls.runner.run(cls.open())

    @classmethod
    async def open(cls) -> None:
        """Start all processes, on the loop."""
        cls.processes = await cls.stack.enter_async_context(Processes())
        cls.session = await cls.stack.enter_async_context(ClientSession())
        cls.running = await start(cls.processes, RIG)
        cls.platform = cls.running.platform.listening['main']
        cls.objects = HttpObjects(cls.session, cls.platform)
        cls.answered = []

    def setUp(self) -> None:
        """Wait until the hosts know each other."""
        self.runner.run(self.linked(self.running))

    async def linked(self, running: Deployment) -> None:
        """Wait until each host knows the others."""
        for issuer in running.callers:
            for other in running.callers:
                await self.until(self.is_forwarded, issuer, other)

    async def is_forwarded(self, issuer: Address, other: Address) -> bool:
        """Tell whether a host hands a ticket's request on to its issuer."""
        ticket = await self.ticket(str(issuer))
        url = f'http://{other}{LOOK_UP}'
        headers = {**AUTHORIZATION, 'Nutmegroad-Ticket': ticket}
        async with self.session.get(url, headers=headers) as response:
            return response.status == 200

    async def has_ticket(self, address: str) -> bool:
        """Tell whether a host issues tickets."""
        return bool(await self.ticket(address))

    async def until(self, check: Any, *args: Any) -> None:
        """Wait until something holds."""
        async with asyncio.timeout(LIMIT):
            while not await check(*args):
                await asyncio.sleep(0.05)

    async def call(self, host: int, **headers: str) -> Reply:
        """Ask a host for a receipt."""
        named = {key.replace('_', '-'): text for key, text in headers.items()}
        url = f'http://{self.running.callers[host]}{RECEIPTS}'
        try:
            async with self.session.post(
                url,
                data=b'{"fee": 7}',
                headers={**AUTHORIZATION, **named},
            ) as response:
                reply = Reply(
                    response.status,
                    response.headers.get('Nutmegroad-Request', ''),
                    response.headers.get('Nutmegroad-First-Request', ''),
                    await response.read(),
                )
        except ClientError:
            return Reply(0)
        if reply.status == 200 and not reply.first:
            self.answered.append(reply.request)
        return reply

    async def keyed(self, host: int, key: str) -> Reply:
        """Ask with a key."""
        return await self.call(host, Idempotency_Key=key)

    async def ticket(self, address: str) -> str:
        """Take a ticket at a host."""
        url = f'http://{address}/v1/tickets'
        async with self.session.post(url, headers=AUTHORIZATION) as response:
            if response.status != 200:
                return ''
            return str(msgspec.json.decode(await response.read())['ticket'])

    async def fault(self, running: Running, **wanted: Any) -> None:
        """Switch a fault of a stand-in on, or all off."""
        url = f'http://{running.listening["main"]}/admin/faults'
        method = 'POST' if wanted else 'DELETE'
        async with self.session.request(
            method,
            url,
            json=wanted or None,
        ) as response:
            self.assertEqual(204, response.status)

    async def service_fault(self, **wanted: Any) -> None:
        """Switch a fault of all plain services on, or all off."""
        for service in self.running.services.values():
            await self.fault(service, **wanted)

    async def runs(self, key: str = '') -> int:
        """Return how often a receipt was issued."""
        total = 0
        for service in self.running.services.values():
            url = f'http://{service.listening["main"]}/admin/runs'
            async with self.session.get(url) as response:
                ran = (await response.json())['runs']
            ran = [run for run in ran if run['path'] == '/receipts']
            total += sum(1 for run in ran if run['key'] == key)
        return total

    async def commits(self) -> int:
        """Return how many commits have reached the table."""
        url = f'http://{self.platform}/admin/counts'
        async with self.session.get(url) as response:
            counts = await response.json()
        return int(counts.get('POST /table/commit', 0))

    async def more_commits(self, than: int) -> bool:
        """Tell whether more commits have reached the table."""
        return await self.commits() > than

    async def has_row(self, key: str) -> bool:
        """Tell whether an intent is written."""
        url = f'http://{self.platform}/table/row'
        query = {'key': f'intent/training/{key}'}
        async with self.session.get(url, params=query) as response:
            return bool((await response.json())['version'])

    async def has_run(self, key: str) -> bool:
        """Tell whether a receipt was issued."""
        return bool(await self.runs(key))

    async def kill(self, host: int) -> None:
        """End a host at once."""
        process = self.running.hosts[host].process
        process.send_signal(signal.SIGKILL)
        await process.wait()

    async def restart(self, host: int) -> None:
        """Start a host that was killed again, under its name."""
        name = self.running.hosts[host].name
        self.running.hosts[host] = await start_host(
            self.processes,
            RIG,
            self.running,
            name,
        )
        await publish(self.running, RIG)
        await self.until(self.has_ticket, str(self.running.callers[host]))

    async def gives_up(self, host: int, key: str) -> bool:
        """Tell whether a host says that the outcome is unknown."""
        reply = await self.keyed(host, key)
        self.assertEqual(409, reply.status, reply.body)
        self.assertFalse(reply.error['not_run'])
        return bool(reply.error['name'] == 'OUTCOME_UNKNOWN')

    async def is_billed(self, request: str) -> bool:
        """Tell whether a request has a record."""
        bills = await read_bills(self.objects)
        return isinstance(bills, dict) and request in bills

    async def check_bills(self) -> None:
        """Hold the bills to the answers: one record for each."""
        for request in self.answered:
            await self.until(self.is_billed, request)
        names = await self.objects.names(BILLING_PREFIX)
        assert isinstance(names, tuple)
        written: Counter[str] = Counter()
        for name in names:
            content = await self.objects.fetch(name)
            assert isinstance(content, bytes)
            decoded = msgspec.json.decode(content, type=list[BillingRecord])
            written.update({one.request for one in decoded})
            # No batch holds a request twice; a host and its receiver may both
            # have stored it.
            self.assertEqual(
                len(decoded),
                len({one.request for one in decoded}),
            )
        self.assertLessEqual(max(written.values()), 2)
        bills = await read_bills(self.objects)
        assert isinstance(bills, dict)
        self.assertLessEqual(set(self.answered), set(bills))
        self.assertEqual(len(self.answered), len(set(self.answered)))
