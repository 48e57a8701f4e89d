"""Tests of the components of links in isolation."""

import asyncio
import itertools
import random
import unittest
from typing import Any, cast

from nutmegroad.foundations.types import DomainId, HostId, Incarnation
from nutmegroad.membership._connection import Connection, QueuedFrame, SendQueue
from nutmegroad.membership._dialer import Backoff
from nutmegroad.membership._handshake import Identity
from nutmegroad.membership._link_context import LinkLimits
from nutmegroad.membership._peer_table import PeerTable
from nutmegroad.membership._wire import StreamError, Unpacker, pack
from nutmegroad.testing.virtual import ManualClock


def identity_of(host: str) -> Identity:
    """Return the identity of a host."""
    domain = DomainId('east')
    return Identity(HostId(host), Incarnation(host), 1, domain, '::', 1)


class StubConnection(Connection):
    """A connection that records the calls to it."""

    def __init__(self, host: str, *, is_initiator: bool) -> None:
        streams: Any = (None, None)
        identity = identity_of(host)
        super().__init__(
            identity, streams, ManualClock(), is_initiator=is_initiator
        )
        self.done: list[str] = []

    def stop_writing(self) -> None:
        self.done.append('rests')

    def close_writing(self) -> None:
        self.done.append('finished')

    def abort(self) -> None:
        self.done.append('aborted')


class PeerTableTest(unittest.TestCase):
    """Which of two connections between two hosts is used."""

    def test_both_ends_use_the_same_connection_and_read_the_other(self) -> None:
        orders = itertools.product(((0, 1), (1, 0)), repeat=2)
        for order_at_a, order_at_b in orders:
            with self.subTest(at_a=order_at_a, at_b=order_at_b):
                self.assertEqual(
                    self.index_of_retained('a', 'b', order_at_a), 0
                )
                self.assertEqual(
                    self.index_of_retained('b', 'a', order_at_b), 0
                )

    def index_of_retained(
        self, own: str, other: str, order: tuple[int, int]
    ) -> int:
        """Return the index of the connection in use; ``a`` opened number 0."""
        table = PeerTable(HostId(own), ManualClock(), LinkLimits())
        connections = [
            StubConnection(other, is_initiator=(own == 'a')),
            StubConnection(other, is_initiator=(own == 'b')),
        ]
        for number in order:
            table.add(connections[number])
        peer = table.get(HostId(other))
        assert peer is not None
        retained = connections.index(cast(StubConnection, peer.connection))
        self.assertEqual(connections[retained].done, [])
        redundant = connections[1 - retained]
        self.assertEqual(redundant.done, ['rests'])
        table.note_received(peer, redundant)
        self.assertEqual(redundant.done, ['rests'])
        table.note_received(peer, peer.connection)
        self.assertEqual(redundant.done, ['rests', 'finished'])
        self.assertEqual(connections[retained].done, [])
        return retained

    def test_redundant_connection_ends_with_the_unused_main_one(
        self,
    ) -> None:
        table = PeerTable(HostId('b'), ManualClock(), LinkLimits())
        redundant = StubConnection('a', is_initiator=True)
        retained = StubConnection('a', is_initiator=False)
        table.add(redundant)
        table.add(retained)
        self.assertTrue(table.remove(retained))
        self.assertEqual(redundant.done, ['rests', 'aborted'])


class SendQueueTest(unittest.TestCase):
    """Limits of the send queue."""

    def test_replaceable_message_is_dropped_from_a_full_queue(self) -> None:
        queue = SendQueue(2, 100)
        old = QueuedFrame(b'old', '', replaceable=True)
        required = QueuedFrame(b'firm', '')
        self.assertTrue(queue.put(required))
        self.assertTrue(queue.put(old))
        self.assertTrue(queue.put(required))
        self.assertFalse(queue.put(old))
        self.assertEqual(asyncio.run(queue.take_all()), (required, required))

    def test_queued_bytes_are_bounded(self) -> None:
        queue = SendQueue(100, 10)
        self.assertTrue(queue.put(QueuedFrame(b'a' * 10, '')))
        self.assertFalse(queue.put(QueuedFrame(b'a', '')))


class UnpackerTest(unittest.TestCase):
    """Limits of the unpacker."""

    def test_an_object_may_arrive_in_pieces(self) -> None:
        unpacker = Unpacker(100)
        original = ['a' * 20, 7]
        packed = pack(original)
        unpacked = [
            unpacked_object
            for index in range(len(packed))
            for unpacked_object in unpacker.feed(packed[index : index + 1])
        ]
        self.assertEqual(unpacked, [(original, len(packed))])

    def test_an_array_in_pieces_is_bounded(self) -> None:
        unpacker = Unpacker(1000)
        list(unpacker.feed(b'\xdc\x10\x00'))
        with self.assertRaises(StreamError):
            for _ in range(300):
                list(unpacker.feed(pack('a' * 10)))


class BackoffTest(unittest.TestCase):
    """Delays between connection attempts."""

    def test_delays_double_up_to_a_maximum_with_jitter(self) -> None:
        backoff = Backoff(1, 8, random.Random(3))
        for failures, bound in enumerate((1, 2, 4, 8, 8, 8)):
            delays = {backoff.delay(failures) for _ in range(50)}
            self.assertLessEqual(max(delays), bound)
            self.assertGreaterEqual(min(delays), bound / 2)
            self.assertGreater(len(delays), 40)
