"""Tests of what the links are made of, each by itself."""

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
    """Return who a host is."""
    domain = DomainId('east')
    return Identity(HostId(host), Incarnation(host), 1, domain, '::', 1)


class StubConnection(Connection):
    """A connection that only notes what is done with it."""

    def __init__(self, host: str, *, initiator: bool) -> None:
        streams: Any = (None, None)
        identity = identity_of(host)
        super().__init__(identity, streams, ManualClock(), initiator=initiator)
        self.done: list[str] = []

    def rest(self) -> None:
        self.done.append('rests')

    def finish(self) -> None:
        self.done.append('finished')

    def abort(self) -> None:
        self.done.append('aborted')


class PeerTableTest(unittest.TestCase):
    """Which of two connections between two hosts is used."""

    def test_both_ends_keep_the_same_one_and_read_the_other(self) -> None:
        orders = itertools.product(((0, 1), (1, 0)), repeat=2)
        for order_at_a, order_at_b in orders:
            with self.subTest(at_a=order_at_a, at_b=order_at_b):
                self.assertEqual(self.kept_at('a', 'b', order_at_a), 0)
                self.assertEqual(self.kept_at('b', 'a', order_at_b), 0)

    def kept_at(self, own: str, other: str, order: tuple[int, int]) -> int:
        """Return the number of the kept connection; ``a`` began number 0."""
        table = PeerTable(HostId(own), ManualClock(), LinkLimits())
        connections = [
            StubConnection(other, initiator=(own == 'a')),
            StubConnection(other, initiator=(own == 'b')),
        ]
        for number in order:
            table.enter(connections[number])
        peer = table.get(HostId(other))
        assert peer is not None
        kept = connections.index(cast(StubConnection, peer.connection))
        self.assertEqual(connections[kept].done, [])
        spare = connections[1 - kept]
        self.assertEqual(spare.done, ['rests'])
        table.used(peer, spare)
        self.assertEqual(spare.done, ['rests'])
        table.used(peer, peer.connection)
        self.assertEqual(spare.done, ['rests', 'finished'])
        self.assertEqual(connections[kept].done, [])
        return kept

    def test_the_spare_one_ends_with_a_kept_one_that_was_never_used(
        self,
    ) -> None:
        table = PeerTable(HostId('b'), ManualClock(), LinkLimits())
        spare = StubConnection('a', initiator=True)
        kept = StubConnection('a', initiator=False)
        table.enter(spare)
        table.enter(kept)
        self.assertTrue(table.leave(kept))
        self.assertEqual(spare.done, ['rests', 'aborted'])


class OutboxTest(unittest.TestCase):
    """What a full queue does."""

    def test_a_replaceable_message_makes_room(self) -> None:
        queue = SendQueue(2, 100)
        old = QueuedFrame(b'old', '', replaceable=True)
        firm = QueuedFrame(b'firm', '')
        self.assertTrue(queue.put(firm))
        self.assertTrue(queue.put(old))
        self.assertTrue(queue.put(firm))
        self.assertFalse(queue.put(old))
        self.assertEqual(asyncio.run(queue.take_all()), (firm, firm))

    def test_bytes_are_bounded_too(self) -> None:
        queue = SendQueue(100, 10)
        self.assertTrue(queue.put(QueuedFrame(b'a' * 10, '')))
        self.assertFalse(queue.put(QueuedFrame(b'a', '')))


class UnpackerTest(unittest.TestCase):
    """What a stream may hold."""

    def test_an_object_may_arrive_in_pieces(self) -> None:
        unpacker = Unpacker(100)
        plain = ['a' * 20, 7]
        packed = pack(plain)
        found = [
            thing
            for place in range(len(packed))
            for thing in unpacker.feed(packed[place : place + 1])
        ]
        self.assertEqual(found, [(plain, len(packed))])

    def test_an_array_in_pieces_is_bounded(self) -> None:
        unpacker = Unpacker(1000)
        list(unpacker.feed(b'\xdc\x10\x00'))
        with self.assertRaises(StreamError):
            for _ in range(300):
                list(unpacker.feed(pack('a' * 10)))


class BackoffTest(unittest.TestCase):
    """Waits between tries."""

    def test_waits_double_up_to_a_bound_with_jitter(self) -> None:
        backoff = Backoff(1, 8, random.Random(3))
        for failures, bound in enumerate((1, 2, 4, 8, 8, 8)):
            waits = {backoff.delay(failures) for _ in range(50)}
            self.assertLessEqual(max(waits), bound)
            self.assertGreaterEqual(min(waits), bound / 2)
            self.assertGreater(len(waits), 40)
