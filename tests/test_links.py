"""Tests of the links between hosts over loopback sockets."""

import asyncio
import random
import time
import unittest
from asyncio import StreamWriter
from collections.abc import Callable
from typing import Any, ClassVar

from nutmegroad.contracts.peers import Member, Message
from nutmegroad.foundations.accounting import Ledger
from nutmegroad.foundations.clocks import Clock, SystemClock
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    HostId,
    Incarnation,
    Ran,
)
from nutmegroad.membership._connection import QueuedFrame
from nutmegroad.membership._handshake import Identity
from nutmegroad.membership._link_context import LinkContext, LinkLimits
from nutmegroad.membership.links import Links
from nutmegroad.testing.virtual import ManualClock
from tests.tcp_proxies import HoldingProxy, RecordingProxy, echo_received

KEY = b'a key for tests'
#: Seconds between checks of a condition, and number of checks after which a
#: test fails.
CHECK_INTERVAL = 0.005
MAX_CHECKS = 4000
QUICK = LinkLimits(initial_backoff=0.01, max_backoff=0.05)


class Ask(Message, frozen=True, tag='links-test-ask'):
    """Request that asks for an echo of a text."""

    part: ClassVar[str] = 'test'

    text: str


class Reply(Message, frozen=True, tag='links-test-reply'):
    """Reply that contains the text."""

    text: str


class FixedRoster:
    """Roster with the generations that a test sets."""

    def __init__(self, host: str, generation: int = 1) -> None:
        self.known: dict[HostId, int] = {}
        self.generation = generation
        self.host = HostId(host)
        self.address = Address('127.0.0.1', 0)

    @property
    def identity(self) -> Identity:
        return Identity(
            host=self.host,
            incarnation=Incarnation(f'{self.host}.{self.generation}'),
            generation=self.generation,
            domain=DomainId('east'),
            ip=self.address.ip,
            port=self.address.port,
        )

    def bind(self, address: Address) -> None:
        self.address = address

    def newer_generation(self, identity: Identity) -> int:
        known = self.known.get(identity.host, 0)
        return known if known > identity.generation else 0

    def members(self) -> tuple[Member, ...]:
        return ()


class Host:
    """Links of one host, with what tests inspect."""

    def __init__(
        self,
        name: str,
        key: bytes = KEY,
        limits: LinkLimits = QUICK,
        generation: int = 1,
        clock: Clock | None = None,
    ) -> None:
        self.newer_generations: list[int] = []
        self.roster = FixedRoster(name, generation)
        self.ledger = Ledger(time.thread_time)
        self.texts: list[str] = []
        context = LinkContext(
            key=key,
            clock=clock or SystemClock(),
            randomness=random.Random(name),
            nonces=random.Random(f'{name} {generation}'),
            account=self.ledger,
            limits=limits,
        )
        self.links = Links(context, self.roster)
        self.links.handle(Ask, self.answer)

    @property
    def host(self) -> HostId:
        return self.roster.host

    @property
    def address(self) -> Address:
        return self.roster.address

    @property
    def port(self) -> int:
        return self.address.port

    def link_opened(self, identity: Identity) -> None:
        """Ignore the event."""

    def link_closed(self, identity: Identity) -> None:
        """Ignore the event."""

    def generation_outdated(self, known: int) -> None:
        self.newer_generations.append(known)

    async def answer(self, host: HostId, ask: Ask) -> Reply:
        if ask.text == 'fail':
            raise ValueError(ask.text)
        self.texts.append(ask.text)
        return Reply(f'{ask.text} to {host}')

    def count(self, event: str) -> int:
        return self.ledger.events().get(event, 0)


async def never_answer(host: HostId, ask: Ask) -> None:
    """Wait forever."""
    await asyncio.Event().wait()


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds, for a limited number of checks."""
    for _ in range(MAX_CHECKS):
        if condition():
            return
        await asyncio.sleep(CHECK_INTERVAL)
    raise AssertionError('The condition was not met in time.')


class LinksTest(unittest.IsolatedAsyncioTestCase):
    """Hosts with links over loopback."""

    async def host(self, name: str, **options: Any) -> Host:
        host = Host(name, **options)
        await self.enterAsyncContext(host.links)
        return host

    async def pair(self) -> tuple[Host, Host]:
        """Return two linked hosts, the first of which connected."""
        one = await self.host('one')
        two = await self.host('two')
        await self.link(one, two)
        return one, two

    async def link(self, one: Host, two: Host) -> None:
        one.links.maintain_links([two.address])
        await wait_until(lambda: two.host in one.links.linked())
        await wait_until(lambda: one.host in two.links.linked())

    async def connect(self, host: Host) -> StreamWriter:
        """Return the writer of a connection from an unknown client."""
        opened = await asyncio.open_connection(host.address.ip, host.port)
        self.addCleanup(opened[1].close)
        return opened[1]

    async def assert_works(self, one: Host, two: Host) -> None:
        reply = await one.links.request(two.host, Ask('hello'), 5)
        self.assertEqual(reply, Reply('hello to one'))

    async def test_hosts_exchange_messages_both_ways(self) -> None:
        one, two = await self.pair()
        await self.assert_works(one, two)
        reply = await two.links.request(one.host, Ask('hello'), 5)
        self.assertEqual(reply, Reply('hello to two'))
        self.assertEqual(two.links.broadcast(Ask('all')), 1)
        await wait_until(lambda: 'all' in one.texts)

    async def test_a_wrong_key_is_refused_and_counted(self) -> None:
        one = await self.host('one', key=b'another key')
        two = await self.host('two')
        one.links.maintain_links([two.address])
        await wait_until(lambda: two.count('links_wrong_key'))
        self.assertEqual(one.links.linked(), {})
        self.assertEqual(two.links.linked(), {})

    async def test_a_listener_without_the_key_is_refused(self) -> None:
        # The listener echoes, so that a host receives its own proof.
        echo = await asyncio.start_server(echo_received, '127.0.0.1', 0)
        await self.enterAsyncContext(echo)
        port = echo.sockets[0].getsockname()[1]
        one = await self.host('one')
        one.links.maintain_links([Address('127.0.0.1', port)])
        await wait_until(lambda: one.count('links_to_self'))
        self.assertEqual(one.links.linked(), {})

    async def test_replayed_proof_is_rejected(self) -> None:
        # A recorder between two hosts stores a complete handshake, and then
        # replays what the first host sent.
        one = await self.host('one')
        two = await self.host('two')
        recorder = RecordingProxy(two.address)
        await self.enterAsyncContext(recorder)
        one.links.maintain_links([recorder.address])
        await wait_until(lambda: one.links.linked())
        one.links.maintain_links([])
        two.links.drop(one.host)
        await wait_until(lambda: not two.links.linked())
        writer = await self.connect(two)
        writer.write(bytes(recorder.received))
        await wait_until(lambda: two.count('links_wrong_key'))
        self.assertEqual(two.links.linked(), {})

    async def test_invalid_bytes_do_not_affect_other_links(self) -> None:
        one, two = await self.pair()
        garbage = {
            'text': b'GET / HTTP/1.1\r\n\r\n',
            'random': random.Random(5).randbytes(9000),
            'huge': b'\xdd\xff\xff\xff\xff',
            'deep': b'\x91' * 2000,
            'endless': b'\xc6\x00\x00\x07\xff'.ljust(9000, b'a'),
        }
        for name, sent in garbage.items():
            with self.subTest(name), self.assertNoLogs(level='ERROR'):
                await self.send_garbage(two, sent)
                await self.assert_works(one, two)

    async def send_garbage(self, host: Host, sent: bytes) -> None:
        """Send invalid bytes to a host until it has counted them."""
        event = 'links_handshake_garbage'
        before = host.count(event)
        writer = await self.connect(host)
        writer.write(sent)
        await wait_until(lambda: host.count(event) > before)

    async def test_invalid_bytes_after_a_handshake_end_that_link(self) -> None:
        one, two = await self.pair()
        three = await self.host('three')
        await self.link(three, two)
        peer = next(iter(three.links._table))
        peer.queue.put(QueuedFrame(b'\xc1\xc1', 'test'))
        await wait_until(lambda: two.count('links_garbage'))
        await self.assert_works(one, two)

    async def test_message_over_the_limit_is_not_sent(self) -> None:
        one, two = await self.pair()
        huge = Ask('a' * LinkLimits().max_message_bytes)
        self.assertFalse(one.links.send(two.host, huge))
        self.assertEqual(one.count('links_message_too_large'), 1)
        await self.assert_works(one, two)

    async def test_slow_handshake_times_out(self) -> None:
        limits = LinkLimits(handshake_timeout=3, max_unauthenticated=2)
        clock = ManualClock()
        host = await self.host('one', limits=limits, clock=clock)
        for _ in range(3):
            await self.connect(host)
        await wait_until(lambda: host.count('links_too_many_unknown'))
        await clock.advance(4)
        await wait_until(lambda: host.count('links_handshake_slow') == 2)
        self.assertEqual(host.count('links_too_many_unknown'), 1)

    async def test_idle_link_is_closed(self) -> None:
        clock = ManualClock()
        one = await self.host('one')
        two = await self.host('two', clock=clock)
        await self.link(one, two)
        await clock.advance(LinkLimits().idle_timeout - 1)
        self.assertEqual(two.count('links_silent'), 0)
        await clock.advance(4)
        self.assertEqual(two.count('links_silent'), 1)

    async def test_simultaneous_connections_result_in_one_link(self) -> None:
        for seed in range(5):
            with self.subTest(seed=seed):
                one = await self.host(f'one{seed}')
                two = await self.host(f'two{seed}')
                one.links.maintain_links([two.address])
                two.links.maintain_links([one.address])
                await wait_until(one.links.linked)
                await wait_until(two.links.linked)
                reply = await one.links.request(two.host, Ask('hello'), 5)
                self.assertIsInstance(reply, Reply)
                self.assertEqual(len(one.links.linked()), 1)
                self.assertEqual(len(two.links.linked()), 1)

    async def test_redundant_connection_ends_after_the_main_one_is_used(
        self,
    ) -> None:
        # Both connect to each other, and neither has received the other's
        # proof yet. "two" receives it first and knows that it uses the
        # connection of "one", which still knows only the redundant one.
        one, two = await self.host('one'), await self.host('two')
        from_one, from_two = (
            HoldingProxy(two.address),
            HoldingProxy(one.address),
        )
        await self.enterAsyncContext(from_one)
        await self.enterAsyncContext(from_two)
        one.links.maintain_links([from_one.address])
        two.links.maintain_links([from_two.address])
        await wait_until(lambda: one.links.linked() and two.links.linked())
        request = one.links.request(two.host, Ask('hello'), 5)
        pending_reply = asyncio.ensure_future(request)
        from_two.released.set()
        await wait_until(lambda: two.texts)
        self.assertEqual(two.count('links_doubled'), 1)
        # Enough time for the end of the redundant connection to be noticed.
        await asyncio.sleep(0.1)
        self.assertEqual(list(one.links.linked()), [two.host])
        from_one.released.set()
        self.assertEqual(await pending_reply, Reply('hello to one'))
        self.assertEqual(one.count('links_closed'), 0)
        await self.assert_works(one, two)
        await wait_until(lambda: one.count('links_closed') == 1)
        self.assertEqual(list(one.links.linked()), [two.host])

    async def test_outdated_incarnation_gets_no_link(self) -> None:
        one = await self.host('one', generation=7)
        two = await self.host('two')
        two.roster.known[one.host] = 8
        one.links.listen(one)
        one.links.maintain_links([two.address])
        await wait_until(lambda: one.newer_generations == [8])
        self.assertEqual(two.count('links_old_incarnation'), 1)
        self.assertEqual(two.links.linked(), {})

    async def test_messages_of_an_old_incarnation_are_dropped(self) -> None:
        one, two = await self.pair()
        two.roster.known[one.host] = 8
        self.assertTrue(one.links.send(two.host, Ask('late')))
        await wait_until(lambda: two.count('links_old_message'))
        self.assertEqual(two.texts, [])

    async def test_new_incarnation_takes_over_the_link(self) -> None:
        one, two = await self.pair()
        later = await self.host('one', generation=2)
        later.links.maintain_links([two.address])
        await wait_until(later.links.linked)
        two.links.send(one.host, Ask('to the later'))
        await wait_until(lambda: later.texts)
        self.assertEqual(one.texts, [])

    async def test_lost_link_is_restored(self) -> None:
        one, two = await self.pair()
        two.links.drop(one.host)
        await wait_until(lambda: not one.links.linked())
        await wait_until(one.links.linked)
        await wait_until(two.links.linked)
        await self.assert_works(one, two)

    async def test_outcome_of_request_to_a_lost_host_is_unknown(self) -> None:
        one, two = await self.pair()
        two.links.handle(Ask, never_answer)
        request = one.links.request(two.host, Ask('?'), 99)
        pending_reply = asyncio.ensure_future(request)
        await wait_until(lambda: two.links.linked())
        await asyncio.sleep(0.05)
        two.links.drop(one.host)
        reply = await pending_reply
        assert isinstance(reply, Refusal)
        self.assertEqual(reply.ran, Ran.UNKNOWN)

    async def test_failing_handler_refuses_and_keeps_the_link(self) -> None:
        one, two = await self.pair()
        with self.assertLogs(level='ERROR'):
            reply = await one.links.request(two.host, Ask('fail'), 5)
        assert isinstance(reply, Refusal)
        self.assertEqual(reply.code, ResultCode.PEER_REFUSED)
        await self.assert_works(one, two)

    async def test_request_without_a_link_was_not_run(self) -> None:
        one = await self.host('one')
        reply = await one.links.request(HostId('nobody'), Ask('?'), 5)
        assert isinstance(reply, Refusal)
        self.assertEqual(reply.ran, Ran.NOT_RUN)

    async def test_cost_is_attributed_to_the_part(self) -> None:
        one, two = await self.pair()
        await self.assert_works(one, two)
        sent, received = one.ledger.costs(), two.ledger.costs()
        self.assertEqual(sent['test'].sent_messages, 1)
        self.assertEqual(
            sent['test'].sent_bytes,
            received['test'].received_bytes,
        )
