"""Tests of the links between hosts, over real sockets on loopback."""

import asyncio
import random
import time
import unittest
from collections.abc import Callable

from nutmegroad._handshake import Identity
from nutmegroad._link_context import LinkContext, LinkLimits
from nutmegroad.accounting import Ledger
from nutmegroad.clocks import SystemClock
from nutmegroad.links import Links
from nutmegroad.peers import Member, Message
from nutmegroad.types import Address, DomainId, HostId, Incarnation

KEY = b'a key for tests'


class Ask(Message, frozen=True, tag='links-test-ask'):
    """Asks for a text back."""

    text: str


class Reply(Message, frozen=True, tag='links-test-reply'):
    """The text."""

    text: str


class FixedRoster:
    """Knows only who it is, and generations that a test sets."""

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
    """Links, and what a test looks at."""

    def __init__(
        self,
        name: str,
        key: bytes = KEY,
        limits: LinkLimits | None = None,
        generation: int = 1,
    ) -> None:
        self.roster = FixedRoster(name, generation)
        self.ledger = Ledger(time.thread_time)
        self.texts: list[str] = []
        context = LinkContext(
            key=key,
            clock=SystemClock(),
            randomness=random.Random(name),
            nonces=random.Random(f'{name} {generation}'),
            account=self.ledger,
            limits=limits or LinkLimits(first_wait=0.01, most_wait=0.05),
        )
        self.links = Links(context, self.roster)
        self.links.handle(Ask, self.answer)

    @property
    def host(self) -> HostId:
        return self.roster.host

    @property
    def address(self) -> Address:
        return self.roster.address

    async def answer(self, host: HostId, ask: Ask) -> Reply:
        self.texts.append(ask.text)
        return Reply(f'{ask.text} to {host}')

    def count(self, event: str) -> int:
        return self.ledger.events().get(event, 0)


async def until(condition: Callable[[], object]) -> None:
    """Wait until something holds; the runner's limit ends a bad wait."""
    while not condition():
        await asyncio.sleep(0.005)


class LinksTest(unittest.IsolatedAsyncioTestCase):
    """Hosts on loopback."""

    async def host(self, name: str, **given: object) -> Host:
        host = Host(name, **given)  # type: ignore[arg-type]
        await self.enterAsyncContext(host.links)
        return host

    async def test_hosts_exchange_messages_both_ways(self) -> None:
        one, two = await self.host('one'), await self.host('two')
        one.links.aim([two.address])
        await until(one.links.linked)
        await until(two.links.linked)
        self.assertEqual(
            await one.links.ask(two.host, Ask('hello'), 5),
            Reply('hello to one'),
        )
        self.assertEqual(
            await two.links.ask(one.host, Ask('hello'), 5),
            Reply('hello to two'),
        )
        self.assertEqual(two.links.tell_all(Ask('all')), 1)
        await until(lambda: 'all' in one.texts)
