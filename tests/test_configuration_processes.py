"""The configuration on separate processes, on loopback."""

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
    operate,
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
#: Seconds after which a wait has failed.
LIMIT: Final = 30


async def until(look: Callable[[], Awaitable[object]]) -> None:
    """Wait until something holds."""
    async with asyncio.timeout(LIMIT):
        while not await look():
            await asyncio.sleep(0.05)


class ProcessesTest(unittest.IsolatedAsyncioTestCase):
    """Three hosts, one in each domain, before one platform."""

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
        address = self.running.operators[host]
        return await operate(address, path, body, self.token)

    async def fault(self, kind: str, **more: Any) -> None:
        """Switch a fault of the platform on."""
        url = f'http://{self.running.platform.listening["main"]}/admin/faults'
        async with ClientSession() as session:
            await session.post(url, json={'kind': kind, **more})

    async def mend(self) -> None:
        url = f'http://{self.running.platform.listening["main"]}/admin/faults'
        async with ClientSession() as session:
            await session.delete(url)

    async def all_show(self, name: str, shown: object) -> None:
        """Wait until every host shows something in its status."""
        for host in range(len(self.running.hosts)):

            async def look(number: int = host) -> bool:
                status = await self.call(number, 'status')
                return bool(status.get(name) == shown)

            await until(look)

    async def ask(self, address: Address) -> Any:
        """Ask for an answer by the version."""
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

    async def test_two_operators_and_a_lost_reply(self) -> None:
        told = await asyncio.gather(
            self.call(0, 'preset', {'preset': 'peak', 'expected': 1}),
            self.call(1, 'preset', {'preset': 'maintenance', 'expected': 1}),
        )
        won = [body for body in told if 'revision' in body]
        lost = [body['error'] for body in told if 'error' in body]
        self.assertEqual(len(won), 1, told)
        self.assertEqual(lost[0]['name'], 'CONFIGURATION_CONFLICT')
        await self.all_show('preset', won[0]['preset'])
        await self.fault('lose_reply', scope='table', count=1)
        head = await self.call(2, 'preset', {'preset': 'ordinary'})
        self.assertIn('revision', head)
        moves = (await self.call(0, 'configuration/history'))['moves']
        self.assertEqual(moves[-1]['revision'], head['revision'])
        self.assertEqual(len(moves), 3)
        newest = head['revision']
        await self.all_show('revision', newest)
        # A table that shows rows as they were reverts no host.
        await self.fault('stale', scope='table')
        for _ in range(20):
            status = await self.call(1, 'status')
            self.assertEqual(status['revision'], newest)
            await asyncio.sleep(0.05)
        refused = await self.call(0, 'configuration', {'text': 'format = 1'})
        self.assertTrue(refused['problems'][0]['path'].startswith('$'))
        self.assertEqual((await self.call(0, 'status'))['revision'], newest)

    async def test_a_workspace_and_a_document_are_changed_whole_or_not(
        self,
    ) -> None:
        path = 'workspaces/training'
        bad = {'fields': {'versions': ['none@1'], 'share': 2.0}}
        refused = await self.call(1, path, bad)
        self.assertIn('versions[0]', refused['problems'][0]['path'])
        self.assertEqual((await self.call(1, path))['share'], 0.5)
        head = await self.call(1, path, {'fields': {'share': 2.0}})
        await self.all_show('revision', head['revision'])
        self.assertEqual((await self.call(2, path))['share'], 2)
        body = {'text': self.running.text}
        found = await self.call(0, 'configuration/diff', body)
        subjects = [one['subject'] for one in found]
        self.assertEqual(subjects, ['workspace training'])
        checked = await self.call(0, 'configuration/check', body)
        self.assertEqual(checked, {'valid': True, 'problems': []})
        presets = await self.call(2, 'presets')
        in_force = [one['name'] for one in presets if one['in_force']]
        self.assertEqual(in_force, ['ordinary'])
        unknown = await self.call(2, 'presets/none')
        self.assertEqual(unknown['error']['name'], 'PRESET_UNKNOWN')

    async def test_withdrawn_and_restarted_while_the_platform_is_down(
        self,
    ) -> None:
        await self.fault('down')
        told = await self.call(0, 'withdrawals', {'version': VERSION})
        self.assertIs(told['in_table'], False)
        self.assertIn('spreading', told['state'])
        await self.all_show('withdrawals', [VERSION])
        gone = self.running.hosts.pop(0)
        gone.signal(signal.SIGKILL)
        await gone.process.wait()
        host = await start_host(self.processes, RIG, self.running, gone.name)
        self.running.hosts.append(host)
        await self.all_show('withdrawals', [VERSION])
        await self.all_show('revision', 1)
        status, body = await self.ask(host.listening['callers'])
        self.assertNotEqual(status, HTTPStatus.OK, body)
        self.assertIs(body['error']['not_run'], True)
        await self.mend()
        await self.all_show('unrecorded', [])
        await self.all_show('revision', 2)
        progress = await self.call(0, 'configuration/progress?revision=2')
        self.assertIs(progress['everywhere'], True, progress)
        self.assertEqual(len(progress['domains']), 3)

    async def test_a_stopped_host_serves_nothing_that_was_withdrawn(
        self,
    ) -> None:
        paused = self.running.hosts[2]
        callers = paused.listening['callers']

        async def is_served() -> bool:
            return (await self.ask(callers))[0] == HTTPStatus.OK

        await until(is_served)
        paused.signal(signal.SIGSTOP)
        queued = asyncio.ensure_future(self.ask(callers))
        await self.call(0, 'withdrawals', {'version': VERSION})
        await asyncio.sleep(2 * LEASE)
        paused.signal(signal.SIGCONT)
        status, body = await queued
        self.assertNotEqual(status, HTTPStatus.OK, body)
        self.assertIs(body['error']['not_run'], True)
        names = {'HOST_PAUSED', 'VERSION_WITHDRAWN', 'NO_UPSTREAM', 'NO_PLAN'}
        self.assertIn(body['error']['name'], names)
