"""Tests of connections to upstreams by way of another host."""

import asyncio
import unittest

import msgspec
from fakes.opaque_worker import BodyEnd, framed

from nutmegroad.fleet.frames import encode_message, read_frame
from nutmegroad.fleet.table_updates import KnownVersions
from nutmegroad.fleet.tunnel_messages import (
    TunnelOpened,
    TunnelRefused,
    TunnelReply,
    TunnelRequest,
)
from tests.cut_rig import Cut, CutRig, holding

#: A request that names a tenant, as only hosts may.
FORGED = (
    b'POST /pay/1 HTTP/1.1\r\nHost: router.example\r\n'
    b'Nutmegroad-Request-Id: forged\r\nNutmegroad-Tenant: others\r\n'
    b'Nutmegroad-Expect-Instance: w-0\r\n\r\n'
)


class TunnelCase(unittest.IsolatedAsyncioTestCase):
    """Two hosts and a worker behind a link."""

    async def asyncSetUp(self) -> None:
        """Start the fleet."""
        self.rig = await self.enterAsyncContext(CutRig(1, 2))
        await self.rig.start()
        self.worker = self.rig.workers[0]

    async def link(
        self, handshake: msgspec.Struct
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect to the second host's listener for hosts."""
        peers = self.rig._settings[1].peers
        reader, writer = await asyncio.open_connection(peers.ip, peers.port)
        self.addCleanup(writer.close)
        writer.write(encode_message(msgspec.msgpack.encode(handshake)) or b'')
        return reader, writer

    def request(self, **changes: object) -> TunnelRequest:
        """Return a request for a tunnel, as the first host sends it."""
        rows = self.rig.hosts[0]._fleet.peers.local_hosts
        key = next(iter(rows.values())).key
        request = TunnelRequest(
            key, 'host-1', 'w-0', self.rig.address_of(0), 1, 'r'
        )
        return msgspec.structs.replace(request, **changes)

    async def reply(self, **changes: object) -> TunnelReply:
        """Return the reply to a request for a tunnel."""
        reader, _ = await self.link(self.request(**changes))
        message = (await read_frame(reader)).message()
        return msgspec.msgpack.decode(message, type=TunnelReply)


class AccessTest(TunnelCase):
    """Who may use the links between hosts."""

    # A caller who found the port could have named any tenant to a worker.
    async def test_caller_without_the_key_reaches_no_worker(self) -> None:
        """The key is in the store, which callers can't read."""
        for key in ('', 'guessed'):
            reader, writer = await self.link(self.request(key=key))
            writer.write(FORGED)
            self.assertEqual(await reader.read(), b'')
        self.assertEqual(self.rig.seen('forged'), 0)

    # Whoever connected was sent the tables, with the keys of all callers and
    # now also those of hosts.
    async def test_caller_without_the_key_reads_no_table(self) -> None:
        """Nothing is sent before the key has been checked."""
        for key in ('', 'guessed'):
            reader, _ = await self.link(KnownVersions({}, key=key))
            self.assertEqual(await reader.read(), b'')

    async def test_host_with_the_key_is_served(self) -> None:
        """The same requests, with the key of the receiver's row."""
        self.assertIsInstance(await self.reply(), TunnelOpened)
        reader, _ = await self.link(
            KnownVersions({}, key=self.request().key),
        )
        self.assertTrue(await reader.read(1))

    async def test_only_listed_upstreams_are_connected_to(self) -> None:
        """Neither an unknown id nor another address."""
        for changes in (
            {'upstream': 'w-7'},
            {'address': str(self.rig.settings.ready)},
        ):
            with self.subTest(changes):
                self.assertIsInstance(
                    await self.reply(**changes), TunnelRefused
                )

    async def test_upstreams_that_take_no_new_work_are_not(self) -> None:
        """The other host may not know yet that it drains."""
        host = self.rig.hosts[1]
        known = host._directory.of_service('desk')[0]
        self.rig.register(0, state='draining')
        await self.rig.until(lambda: known.entry.draining)
        self.assertIsInstance(await self.reply(), TunnelRefused)


class ExchangeTest(TunnelCase):
    """Exchanges of a host that is cut off."""

    async def asyncSetUp(self) -> None:
        """Cut the first host off, and let it find out."""
        await super().asyncSetUp()
        self.rig.cut(0, Cut.RESET)
        await self.rig.ask('/look/1', 'first')

    async def test_orderly_end_completes_a_body(self) -> None:
        """A body without a length ends with the worker's connection."""
        self.worker.default_script = framed(
            b'whole', BodyEnd.CONNECTION, content_type='text/plain'
        )
        status, _, body = await self.rig.ask('/look/1', 'r')
        self.assertEqual((status, body), (200, b'whole'))

    # An answer that a worker had broken off would have reached its caller as
    # complete, since a tunnel that is closed looks like an orderly end.
    async def test_reset_does_not_complete_a_body(self) -> None:
        """The reset of the worker's connection is passed on."""
        self.worker.default_script = framed(
            b'half', BodyEnd.CONNECTION, content_type='text/plain', reset=True
        )
        status, _, body = await self.rig.ask('/look/1', 'r')
        self.assertNotEqual(status, 200, body)

    async def test_caller_who_leaves_ends_the_work(self) -> None:
        """The worker's connection is closed with the caller's."""
        self.worker.default_script = holding(asyncio.Event())
        asking = asyncio.ensure_future(self.rig.ask('/look/1', 'r'))
        await self.rig.until(lambda: self.rig.seen('r'))
        asking.cancel()
        host = self.rig.hosts[1]
        await self.rig.until(lambda: host.status.tunnels == 0)

    async def test_host_that_stops_ends_its_tunnels_first(self) -> None:
        """A request that it has passed on is answered."""
        released = asyncio.Event()
        self.worker.default_script = holding(released)
        asking = asyncio.ensure_future(self.rig.ask('/pay/1', 'r'))
        await self.rig.until(lambda: self.rig.seen('r'))
        stopping = asyncio.ensure_future(self.rig.hosts[1].stop())
        await asyncio.sleep(0)
        self.assertIsInstance(await self.reply(), TunnelRefused)
        released.set()
        status, _, _ = await asking
        self.assertEqual(status, 200)
        await stopping


class DomainTest(unittest.IsolatedAsyncioTestCase):
    """All hosts of a failure domain are cut off."""

    async def test_hosts_of_another_domain_help(self) -> None:
        """Hosts of the same domain are asked first, in vain."""
        rig = await self.enterAsyncContext(CutRig(3, 4, ('north', 'south')))
        await rig.start()
        for host in (0, 2):
            rig.cut(host, Cut.RESET)
        for number in range(6):
            for host in (0, 2):
                name = f'r{host}-{number}'
                await rig.ask('/look/1', f'look-{name}', host=host)
        for host in (0, 2):
            status, _, _ = await rig.ask('/pay/1', f'pay-{host}', host=host)
            self.assertEqual(status, 200)


if __name__ == '__main__':
    unittest.main()
