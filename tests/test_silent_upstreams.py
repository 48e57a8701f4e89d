"""Tests of sound upstreams that send nothing for a second or so, and go on.

That is no failure: such an upstream still works on its requests, so an exchange
that is given up may be executed twice, or loses a request that may not be.
"""

import asyncio
import math
import socket
import unittest
from dataclasses import replace

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
from tests.relay_case import RelayCase

#: Seconds for which a sound upstream may be silent.
SILENCE = 1.5

#: Seconds within which the loss of an upstream has to show: until then hosts
#: that were cut off may refuse their callers.
DETECTION = 3.0

#: Headers of a request for a generation.
GENERATION = {
    'Nutmegroad-Model': 'small',
    'Nutmegroad-Token-Usage': '10,10',
    'Nutmegroad-Deadline-Ms': '12000',
}


def pausing(make: ScriptFactory) -> ScriptFactory:
    """Return a factory whose scripts pause before and after the first event."""

    def make_pausing(request: ReceivedRequest) -> Script:
        """Return a script in two parts."""
        script = make(request)
        parts = b''.join(script.pieces[:2]), b''.join(script.pieces[2:])
        return replace(script, pieces=parts, gap=SILENCE)

    return make_pausing


class KeepAliveTest(unittest.IsolatedAsyncioTestCase):
    """When the kernel gives an open exchange up."""

    # Exchanges with sound upstreams were reset after a second without
    # acknowledgements: the user timeout also ends the keep-alive probes.
    async def test_a_second_of_silence_does_not_end_an_exchange(self) -> None:
        """Nor is the loss of an upstream noticed too late."""
        server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        connection = await Connector().open(Address('127.0.0.1', port), 1)
        self.addCleanup(connection.abort)
        assert connection.transport is not None
        sock: socket.socket = connection.transport.get_extra_info('socket')
        idle, interval, user_timeout = (
            sock.getsockopt(socket.IPPROTO_TCP, option)
            for option in (
                socket.TCP_KEEPIDLE,
                socket.TCP_KEEPINTVL,
                socket.TCP_USER_TIMEOUT,
            )
        )
        # Linux checks at each probe whether the user timeout has passed since
        # the peer last sent anything; the silence may begin just before the
        # first probe.
        probes = math.ceil((user_timeout / 1000 - idle) / interval)
        given_up = idle + max(1, probes) * interval
        self.assertGreater(given_up - idle, SILENCE)
        self.assertLessEqual(given_up, DETECTION)
        self.assertGreater(user_timeout / 1000, SILENCE)


class SilentUpstreamTest(RelayCase):
    """Workers that pause in the middle of their work."""

    async def test_single_call_waits_for_its_answer(self) -> None:
        """It was sent once, and may still be executed."""
        self.all_workers(pausing(plain()))
        status, _, body = await self.rig.ask('/pay/1', 'r')
        self.assertEqual((status, body), (200, b'fine'))
        self.assertEqual(self.rig.seen('r'), 1)

    async def test_stream_goes_on_after_a_pause(self) -> None:
        """No other worker is asked while the first may go on."""
        events = (EVENTS[0], EVENTS[1])
        self.all_workers(pausing(stream(events)))
        status, _, body = await self.rig.ask(
            '/draft/1', 'r', headers=GENERATION
        )
        self.assertEqual((status, body), (200, b''.join(events)))
        self.assertEqual(self.rig.seen('r'), 1)


if __name__ == '__main__':
    unittest.main()
