"""Test case for at-most-once execution and billing with real processes."""

import asyncio
import signal
import unittest
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
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

from nutmegroad.adapters._http_platform import HttpObjects
from nutmegroad.foundations.types import Address
from nutmegroad.records.billing import BILLING_PREFIX, BillingRecord, read_bills

RIG: Final = Rig('lesen', engines=(), hosts=1)
STATUS_PATH: Final = '/v1/services/licence-portal/status/1'
RECEIPTS_PATH: Final = '/v1/services/licence-portal/receipts'
#: Seconds after which a wait fails the test; a passing test waits less.
WAIT_TIMEOUT: Final = 60
#: Number of lines that are shown of the log of a process that has ended.
LAST_LINES: Final = 30
AUTHORIZATION: Final = {'Authorization': f'Bearer {workspace_key("training")}'}


@dataclass(frozen=True, slots=True)
class Reply:
    """A reply to a caller.

    Attributes:
        status: The HTTP status; 0 if the connection broke.
        request: The id of the request.
        first_request: The id of the request whose answer is repeated, or ''.
        body: The content.
    """

    status: int
    request: str = ''
    first_request: str = ''
    body: bytes = b''

    @property
    def error(self) -> dict[str, Any]:
        """Return the body's error object."""
        decoded: dict[str, Any] = msgspec.json.decode(self.body)['error']
        return decoded


class AtMostOnceProcessCase(unittest.TestCase):
    """Three hosts, three upstreams of a plain service and one platform.

    The processes are started once per class, on an event loop that all its
    tests share.
    """

    runner: asyncio.Runner
    stack: AsyncExitStack
    logs: Path
    processes: Processes
    session: ClientSession
    running: Deployment
    platform: Address
    objects: HttpObjects
    answered: list[str]

    @classmethod
    def setUpClass(cls) -> None:
        """Create the event loop and start all processes."""
        cls.runner = asyncio.Runner()
        cls.addClassCleanup(cls.runner.close)
        cls.stack = AsyncExitStack()
        cls.addClassCleanup(lambda: cls.runner.run(cls.stack.aclose()))
        cls.runner.run(cls.start_processes())

    @classmethod
    async def start_processes(cls) -> None:
        """Start all processes."""
        logs = cls.stack.enter_context(TemporaryDirectory())
        cls.logs = Path(logs)
        cls.processes = await cls.stack.enter_async_context(Processes(cls.logs))
        cls.session = await cls.stack.enter_async_context(ClientSession())
        cls.running = await start(cls.processes, RIG)
        cls.platform = cls.running.platform.listening['main']
        cls.objects = HttpObjects(cls.session, cls.platform)
        cls.answered = []

    def setUp(self) -> None:
        """Wait until the hosts are connected to each other."""
        self.assert_running()
        self.addCleanup(self.assert_running)
        self.runner.run(self.wait_for_links(self.running))

    def assert_running(self) -> None:
        """Check that no process has ended by itself; show its last lines."""
        for running in self.running.hosts:
            code = running.process.returncode
            if code is not None:
                log = self.logs / f'{running.name}.log'
                lines = log.read_text().splitlines()[-LAST_LINES:]
                self.fail(
                    '\n'.join((f'{running.name} ended with {code}:', *lines))
                )

    async def wait_for_links(self, running: Deployment) -> None:
        """Wait until each host forwards requests to all others."""
        for issuer in running.caller_addresses:
            for other in running.caller_addresses:
                await self.wait_until(self.is_forwarded, issuer, other)

    async def is_forwarded(self, issuer: Address, other: Address) -> bool:
        """Return whether a host forwards a ticket's request to the issuer."""
        ticket = await self.issue_ticket(str(issuer))
        url = f'http://{other}{STATUS_PATH}'
        headers = {**AUTHORIZATION, 'Nutmegroad-Ticket': ticket}
        async with self.session.get(url, headers=headers) as response:
            return response.status == 200

    async def issues_tickets(self, address: str) -> bool:
        """Return whether a host issues tickets."""
        return bool(await self.issue_ticket(address))

    async def wait_until(self, check: Any, *args: Any) -> None:
        """Wait until a check returns true."""
        async with asyncio.timeout(WAIT_TIMEOUT):
            while not await check(*args):
                await asyncio.sleep(0.05)

    async def post_receipt(self, host: int, **headers: str) -> Reply:
        """Request a receipt from a host, with additional headers.

        The ids of successful first replies are added to ``answered``.
        """
        extra = {key.replace('_', '-'): text for key, text in headers.items()}
        url = f'http://{self.running.caller_addresses[host]}{RECEIPTS_PATH}'
        try:
            async with self.session.post(
                url,
                data=b'{"fee": 7}',
                headers={**AUTHORIZATION, **extra},
            ) as response:
                reply = Reply(
                    response.status,
                    response.headers.get('Nutmegroad-Request', ''),
                    response.headers.get('Nutmegroad-First-Request', ''),
                    await response.read(),
                )
        except ClientError:
            return Reply(0)
        if reply.status == 200 and not reply.first_request:
            self.answered.append(reply.request)
        return reply

    async def call_with_key(self, host: int, key: str) -> Reply:
        """Request a receipt with an idempotency key."""
        return await self.post_receipt(host, Idempotency_Key=key)

    async def issue_ticket(self, address: str) -> str:
        """Return a ticket that a host issued, or '' if it refused."""
        url = f'http://{address}/v1/tickets'
        async with self.session.post(url, headers=AUTHORIZATION) as response:
            if response.status != 200:
                return ''
            return str(msgspec.json.decode(await response.read())['ticket'])

    async def set_fault(self, running: RunningProcess, **fault: Any) -> None:
        """Enable a fault of a stand-in; without arguments, clear all."""
        url = f'http://{running.listening["main"]}/admin/faults'
        method = 'POST' if fault else 'DELETE'
        async with self.session.request(
            method,
            url,
            json=fault or None,
        ) as response:
            self.assertEqual(204, response.status)

    async def set_service_faults(self, **fault: Any) -> None:
        """Enable a fault of all plain services, or clear all."""
        for service in self.running.services.values():
            await self.set_fault(service, **fault)

    async def count_runs(self, key: str = '') -> int:
        """Return the number of receipts issued for an idempotency key."""
        total = 0
        for service in self.running.services.values():
            url = f'http://{service.listening["main"]}/admin/runs'
            async with self.session.get(url) as response:
                ran = (await response.json())['runs']
            ran = [run for run in ran if run['path'] == '/receipts']
            total += sum(1 for run in ran if run['key'] == key)
        return total

    async def count_commits(self) -> int:
        """Return the number of commits that have reached the table."""
        url = f'http://{self.platform}/admin/counts'
        async with self.session.get(url) as response:
            counts = await response.json()
        return int(counts.get('POST /table/commit', 0))

    async def has_more_commits(self, than: int) -> bool:
        """Return whether more commits have reached the table."""
        return await self.count_commits() > than

    async def has_intent(self, key: str) -> bool:
        """Return whether the intent of a key has been written."""
        url = f'http://{self.platform}/table/row'
        query = {'key': f'intent/training/{key}'}
        async with self.session.get(url, params=query) as response:
            return bool((await response.json())['version'])

    async def has_run(self, key: str) -> bool:
        """Return whether a receipt was issued for a key."""
        return bool(await self.count_runs(key))

    async def kill(self, host: int) -> None:
        """Kill a host without a graceful stop."""
        process = self.running.hosts[host].process
        process.send_signal(signal.SIGKILL)
        await process.wait()

    async def restart(self, host: int) -> None:
        """Restart a stopped host under the same name."""
        name = self.running.hosts[host].name
        self.running.hosts[host] = await start_host(
            self.processes,
            RIG,
            self.running,
            name,
        )
        await publish_host_list(self.running, RIG)
        await self.wait_until(
            self.issues_tickets, str(self.running.caller_addresses[host])
        )

    async def has_unknown_outcome(self, host: int, key: str) -> bool:
        """Return whether a host reports that the outcome is unknown."""
        reply = await self.call_with_key(host, key)
        self.assertEqual(409, reply.status, reply.body)
        self.assertFalse(reply.error['not_run'])
        return bool(reply.error['name'] == 'OUTCOME_UNKNOWN')

    async def is_billed(self, request: str) -> bool:
        """Return whether a request has a billing record."""
        bills = await read_bills(self.objects)
        return isinstance(bills, dict) and request in bills

    async def check_bills(self) -> None:
        """Check that each answered request is billed once."""
        for request in self.answered:
            await self.wait_until(self.is_billed, request)
        names = await self.objects.names(BILLING_PREFIX)
        assert isinstance(names, tuple)
        written: Counter[str] = Counter()
        for name in names:
            content = await self.objects.fetch(name)
            assert isinstance(content, bytes)
            decoded = msgspec.json.decode(content, type=list[BillingRecord])
            written.update({record.request for record in decoded})
            # No batch contains a request twice, but a host and the receiver
            # of its record copies may both have stored it.
            self.assertEqual(
                len(decoded),
                len({record.request for record in decoded}),
            )
        self.assertLessEqual(max(written.values()), 2)
        bills = await read_bills(self.objects)
        assert isinstance(bills, dict)
        self.assertLessEqual(set(self.answered), set(bills))
        self.assertEqual(len(self.answered), len(set(self.answered)))
