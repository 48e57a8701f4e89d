"""Tests of a relay host whose event loop was blocked or suspended.

They guard against answers that have arrived meanwhile, but count as overdue
because timers expire before the host has read its connections.
"""

import asyncio
import gc
import socket
import time
import unittest
from dataclasses import replace
from typing import Any

from fakes.opaque_worker import (
    EVENTS,
    ReceivedRequest,
    Script,
    ScriptFactory,
    plain,
    stream,
)

from nutmegroad.foundations.types import Address
from nutmegroad.relay.connections import Connector
from nutmegroad.relay.timeouts import MIN_TIMEOUT
from tests.relay_rig import Rig, route
from tests.test_relay_host import never_answer

#: Seconds for which the host is blocked: longer than the timeouts here.
BLOCKED = 0.6

#: Seconds after which it is blocked: shortly before the timeouts here.
BLOCKED_AFTER = 0.17

#: The same for the time within which an idle worker usually answers.
BLOCKED_BEFORE_REPEAT = MIN_TIMEOUT - 0.04


def block_later(seconds: float = BLOCKED_AFTER) -> None:
    """Block the event loop that the host and its workers share."""
    loop = asyncio.get_running_loop()
    loop.call_later(seconds, time.sleep, BLOCKED)


def answer_meanwhile(seconds: float = BLOCKED_AFTER) -> ScriptFactory:
    """Answer at the moment at which the event loop is blocked."""

    def make(seen: ReceivedRequest) -> Script:
        """Return a complete response."""
        block_later(seconds)
        return replace(plain()(seen), gap=seconds)

    return make


def continue_meanwhile(seen: ReceivedRequest) -> Script:
    """Send the events at the moment at which the event loop is blocked."""
    block_later()
    return stream(gap=BLOCKED_AFTER / 2)(seen)


class BlockedHostTest(unittest.IsolatedAsyncioTestCase):
    """A host with two workers in the process of the test."""

    async def asyncSetUp(self) -> None:
        self.rig = await self.enterAsyncContext(Rig(workers=2))
        await self.rig.start()
        # A full collection blocks the loop, too, for about as long as the time
        # between a request and the moment at which the tests block it.
        gc.collect()
        gc.freeze()
        self.addCleanup(gc.unfreeze)

    def all_workers(self, script: ScriptFactory) -> None:
        for worker in self.rig.workers:
            worker.default_script = script

    async def configure(self, *routes: dict[str, Any]) -> None:
        self.rig.configure(2, routes=routes)
        await self.rig.until(lambda: self.rig.host.configuration_version == 2)

    async def test_answer_at_the_routes_timeout_is_delivered(self) -> None:
        """It guards against 504 for an answer that is there to be read."""
        await self.configure(route('pay', 'non_idempotent', timeoutMs=200))
        self.all_workers(answer_meanwhile())
        status, _, body = await self.rig.ask('/pay/1')
        self.assertEqual((status, body), (200, b'fine'))

    async def test_missing_answer_is_refused_at_the_routes_timeout(
        self,
    ) -> None:
        """A host that was blocked still refuses what nobody answers."""
        await self.configure(route('pay', 'non_idempotent', timeoutMs=200))
        self.all_workers(never_answer)
        block_later()
        status, _, _ = await self.rig.ask('/pay/1')
        self.assertEqual(status, 504)

    async def test_answered_call_is_not_sent_again(self) -> None:
        """It guards against a second run of a call that was answered."""
        self.all_workers(plain())
        for number in range(20):
            # The host learns how soon the workers answer.
            await self.rig.ask('/look/1', f'l{number}')
        self.all_workers(answer_meanwhile(BLOCKED_BEFORE_REPEAT))
        status, _, _ = await self.rig.ask('/look/1', 'last')
        self.assertEqual((status, self.rig.seen('last')), (200, 1))

    async def test_stream_goes_on_at_its_worker(self) -> None:
        """It guards against a resumption of a stream that goes on."""
        await self.configure(
            route('draft', 'streaming', streamResume=True, gapAimMs=90),
        )
        self.all_workers(continue_meanwhile)
        status, _, body = await self.rig.ask('/draft/1', 'd1')
        self.assertEqual((status, body), (200, b''.join(EVENTS)))
        self.assertEqual(self.rig.seen('d1'), 1)


class ConnectTest(unittest.IsolatedAsyncioTestCase):
    async def test_connection_accepted_while_blocked_is_used(self) -> None:
        """It guards against upstreams that count as unreachable."""
        with socket.create_server(('127.0.0.1', 0)) as listener:
            address = Address('127.0.0.1', listener.getsockname()[1])
            loop = asyncio.get_running_loop()
            loop.call_soon(time.sleep, BLOCKED)
            connection = await Connector().open(address, BLOCKED / 2)
            connection.abort()
