"""Tests of the configuration with separate processes on loopback."""

import asyncio
import signal
import unittest
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, Final

from aiohttp import ClientSession
from experiments.deployment import (
    Deployment,
    Rig,
    call_operator_api,
    operator_token,
    start,
    start_host,
    workspace_key,
)
from experiments.processes import Processes

from nutmegroad.foundations.types import Address

LEASE: Final = 3
VERSION: Final = 'galley-small@5'
RIG: Final = Rig(
    'cascade',
    engines=((VERSION,),),
    hosts=1,
    host_args=(f'--lease={LEASE}', '--poll=0.4', '--heartbeat=0.4'),
)
#: Seconds after which waiting for a condition fails.
TIME_LIMIT: Final = 30


async def wait_until(condition: Callable[[], Awaitable[object]]) -> None:
    """Poll a condition until it holds; fail after ``TIME_LIMIT``."""
    async with asyncio.timeout(TIME_LIMIT):
        while not await condition():
            await asyncio.sleep(0.05)


class ProcessesTest(unittest.IsolatedAsyncioTestCase):
    """Three hosts, one in each domain, with one platform."""

    async def asyncSetUp(self) -> None:
        self.processes = await self.enterAsyncContext(Processes())
        self.running: Deployment = await start(self.processes, RIG)
        self.token = operator_token(self.running.document.operators[0].name)

    async def call(
        self,
        host: int,
        path: str,
        body: dict[str, Any] | None = None,
    ) -> Any:
        address = self.running.operator_addresses[host]
        return await call_operator_api(address, path, body, self.token)

    async def fault(self, kind: str, **more: Any) -> None:
        """Inject a fault into the platform."""
        url = f'http://{self.running.platform.listening["main"]}/admin/faults'
        async with ClientSession() as session:
            await session.post(url, json={'kind': kind, **more})

    async def clear_faults(self) -> None:
        """Remove all faults from the platform."""
        url = f'http://{self.running.platform.listening["main"]}/admin/faults'
        async with ClientSession() as session:
            await session.delete(url)

    async def wait_for_status(self, name: str, expected: object) -> None:
        """Wait until a field of every host's status has a value."""
        for host in range(len(self.running.hosts)):

            async def has_value(number: int = host) -> bool:
                status = await self.call(number, 'status')
                return bool(status.get(name) == expected)

            await wait_until(has_value)

    async def send_request(self, address: Address) -> Any:
        """Send a model request for the version; return status and body."""
        headers = {'Authorization': f'Bearer {workspace_key("training")}'}
        body = {
            'model': VERSION,
            'max_tokens': 4,
            'messages': [{'role': 'user', 'content': 'swap?'}],
        }
        url = f'http://{address}/v1/chat/completions'
        async with (
            ClientSession(headers=headers) as session,
            session.post(url, json=body) as response,
        ):
            return response.status, await response.json()

    async def test_concurrent_changes_lost_reply_and_stale_table(self) -> None:
        replies = await asyncio.gather(
            self.call(0, 'preset', {'preset': 'peak', 'expected': 1}),
            self.call(1, 'preset', {'preset': 'maintenance', 'expected': 1}),
        )
        succeeded = [body for body in replies if 'revision' in body]
        refused = [body['error'] for body in replies if 'error' in body]
        self.assertEqual(len(succeeded), 1, replies)
        self.assertEqual(refused[0]['name'], 'CONFIGURATION_CONFLICT')
        await self.wait_for_status('preset', succeeded[0]['preset'])
        await self.fault('lose_reply', scope='table', count=1)
        head = await self.call(2, 'preset', {'preset': 'ordinary'})
        self.assertIn('revision', head)
        moves = (await self.call(0, 'configuration/history'))['moves']
        self.assertEqual(moves[-1]['revision'], head['revision'])
        self.assertEqual(len(moves), 3)
        newest = head['revision']
        await self.wait_for_status('revision', newest)
        # A table that returns old rows does not revert any host.
        await self.fault('stale', scope='table')
        for _ in range(20):
            status = await self.call(1, 'status')
            self.assertEqual(status['revision'], newest)
            await asyncio.sleep(0.05)
        rejected = await self.call(0, 'configuration', {'text': 'format = 1'})
        self.assertTrue(rejected['problems'][0]['path'].startswith('$'))
        self.assertEqual((await self.call(0, 'status'))['revision'], newest)

    async def test_invalid_change_is_rejected_as_a_whole(
        self,
    ) -> None:
        path = 'workspaces/training'
        bad = {'fields': {'versions': ['none@1'], 'share': 2.0}}
        rejected = await self.call(1, path, bad)
        self.assertIn('versions[0]', rejected['problems'][0]['path'])
        self.assertEqual((await self.call(1, path))['share'], 0.5)
        head = await self.call(1, path, {'fields': {'share': 2.0}})
        await self.wait_for_status('revision', head['revision'])
        self.assertEqual((await self.call(2, path))['share'], 2)
        body = {'text': self.running.text}
        found = await self.call(0, 'configuration/diff', body)
        subjects = [difference['subject'] for difference in found]
        self.assertEqual(subjects, ['workspace training'])
        checked = await self.call(0, 'configuration/check', body)
        self.assertEqual(checked, {'valid': True, 'problems': []})
        presets = await self.call(2, 'presets')
        in_force = [preset['name'] for preset in presets if preset['in_force']]
        self.assertEqual(in_force, ['ordinary'])
        unknown = await self.call(2, 'presets/none')
        self.assertEqual(unknown['error']['name'], 'PRESET_UNKNOWN')

    async def test_withdrawal_and_restart_while_the_platform_is_down(
        self,
    ) -> None:
        await self.fault('down')
        withdrawal = await self.call(0, 'withdrawals', {'version': VERSION})
        self.assertIs(withdrawal['in_table'], False)
        self.assertIn('spreading', withdrawal['state'])
        await self.wait_for_status('withdrawals', [VERSION])
        killed = self.running.hosts.pop(0)
        killed.signal(signal.SIGKILL)
        await killed.process.wait()
        host = await start_host(self.processes, RIG, self.running, killed.name)
        self.running.hosts.append(host)
        await self.wait_for_status('withdrawals', [VERSION])
        await self.wait_for_status('revision', 1)
        status, body = await self.send_request(host.listening['callers'])
        self.assertNotEqual(status, HTTPStatus.OK, body)
        self.assertIs(body['error']['not_run'], True)
        await self.clear_faults()
        await self.wait_for_status('unrecorded', [])
        await self.wait_for_status('revision', 2)
        progress = await self.call(0, 'configuration/progress?revision=2')
        self.assertIs(progress['everywhere'], True, progress)
        self.assertEqual(len(progress['domains']), 3)

    async def test_paused_host_does_not_serve_withdrawn_version(
        self,
    ) -> None:
        paused = self.running.hosts[2]
        callers = paused.listening['callers']

        async def is_served() -> bool:
            return (await self.send_request(callers))[0] == HTTPStatus.OK

        await wait_until(is_served)
        paused.signal(signal.SIGSTOP)
        queued = asyncio.ensure_future(self.send_request(callers))
        await self.call(0, 'withdrawals', {'version': VERSION})
        await asyncio.sleep(2 * LEASE)
        paused.signal(signal.SIGCONT)
        status, body = await queued
        self.assertNotEqual(status, HTTPStatus.OK, body)
        self.assertIs(body['error']['not_run'], True)
        names = {'HOST_PAUSED', 'VERSION_WITHDRAWN', 'NO_UPSTREAM', 'NO_PLAN'}
        self.assertIn(body['error']['name'], names)
