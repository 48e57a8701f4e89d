"""Tests of sockets that listen before the program is loaded."""

import asyncio
import os
import subprocess
import sys
import tempfile
import unittest
from contextlib import AsyncExitStack
from pathlib import Path
from unittest.mock import patch

from aiohttp import ClientSession, web
from fakes.ports import reserve_port

from nutmegroad.foundations.clocks import BootClock
from nutmegroad.foundations.types import Address
from nutmegroad.ingress.connections import ConnectionLimits
from nutmegroad.ingress.descriptors import DescriptorAccount
from nutmegroad.ingress.timeouts import ConnectionTimeouts
from nutmegroad.overload.quick_refusals import QuickRefusals
from nutmegroad.relay.counters import RelayCounters
from nutmegroad.relay.listener import Listeners
from nutmegroad.relay.text_refusals import TextRefusals
from nutmegroad_platform.early_sockets import EarlySockets, open_early
from nutmegroad_platform.fields import SETTINGS_VARIABLE
from nutmegroad_platform.names import HEADERS

ROOT = Path(__file__).resolve().parent.parent


def open_for(text: str) -> EarlySockets:
    """Open the sockets that a settings file names."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.conf'
        path.write_text(text, encoding='utf-8')
        with patch.dict(os.environ, {SETTINGS_VARIABLE: str(path)}):
            return open_early()


async def answer(request: web.BaseRequest) -> web.StreamResponse:
    """Answer a caller."""
    return web.Response(text='served')


class EarlySocketsTest(unittest.IsolatedAsyncioTestCase):
    """Callers that connect while a host is loading."""

    async def test_caller_who_connects_early_is_served(self) -> None:
        """Callers connect while killed hosts start again.

        Without early sockets, 395 connection attempts failed on one day, half
        of them while hosts were loading; many callers have only one more
        attempt.
        """
        callers, ready = reserve_port(), reserve_port()
        sockets = open_for(
            f'listen.front=127.0.0.1:{callers}\n'
            f'listen.ready=127.0.0.1:{ready}\n',
        )
        self.assertEqual(sockets.problems, [])
        for bound in sockets.bound.values():
            self.addCleanup(bound.close)
        async with ClientSession() as client, AsyncExitStack() as stack:
            asked = asyncio.create_task(
                client.get(f'http://127.0.0.1:{callers}/'),
            )
            await asyncio.sleep(0)
            clock = BootClock()
            writers = TextRefusals(HEADERS), RelayCounters()
            timeouts = ConnectionTimeouts(*writers, clock)
            listeners = Listeners(
                stack,
                sockets.bound,
                QuickRefusals(*writers),
                timeouts,
                ConnectionLimits,
                DescriptorAccount(1024, timeouts, clock),
                clock,
            )
            listeners.open(
                Address('127.0.0.1', callers),
                answer,
            )
            response = await asked
            self.assertEqual(await response.text(), 'served')
            response.close()

    def test_socket_that_cannot_be_opened_is_reported(self) -> None:
        """The problem names field and value; the other socket is opened."""
        port = reserve_port()
        sockets = open_for(
            f'listen.front=127.0.0.1:{port}\nlisten.ready=nowhere\n',
        )
        for bound in sockets.bound.values():
            self.addCleanup(bound.close)
        self.assertEqual(list(sockets.bound), [f'127.0.0.1:{port}'])
        self.assertIn("listen.ready is 'nowhere'", sockets.problems[0])

    def test_missing_file_is_reported(self) -> None:
        """The program itself then fails with its own message."""
        with patch.dict(os.environ, {SETTINGS_VARIABLE: '/nowhere'}):
            sockets = open_early()
        self.assertEqual(sockets.bound, {})
        self.assertIn('/nowhere', sockets.problems[0])

    def test_opening_loads_next_to_nothing(self) -> None:
        """With more imports the sockets would open no earlier than the host."""
        code = (
            'import sys, nutmegroad_platform.early_sockets;'
            'print([name for name in ("aiohttp", "asyncio", "msgspec",'
            ' "nutmegroad") if name in sys.modules])'
        )
        found = subprocess.run(
            [sys.executable, '-S', '-c', code],
            env={'PYTHONPATH': str(ROOT / 'platform')},
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual(found.stdout.strip(), '[]')
