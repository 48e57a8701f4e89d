"""What records cost a request: intent, ticket, hand-off, in time and work.

``python -m experiments.costs.records_cost`` has one host's records in this
process, the platform's stand-in in another, and two hosts linked over
loopback. It prints, for each way, the median and the spread over several
rounds of the added milliseconds and of this process's processor time.
"""

import asyncio
import random
import statistics
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, replace
from typing import Final

import msgspec
from aiohttp import ClientSession

from experiments.processes import Processes
from nutmegroad.adapters._http_platform import HttpObjects, HttpTable
from nutmegroad.contracts.peers import Member
from nutmegroad.contracts.upstreams import ServiceReply
from nutmegroad.foundations.accounting import Ledger
from nutmegroad.foundations.clocks import SystemClock
from nutmegroad.foundations.invariants import CountedInvariants
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    HostId,
    IdempotencyKey,
    Incarnation,
    Presence,
    RequestId,
    WorkspaceId,
)
from nutmegroad.membership._handshake import Identity
from nutmegroad.membership._link_context import LinkContext
from nutmegroad.membership._member_context import create_member_table
from nutmegroad.membership.links import Links
from nutmegroad.records.at_most_once import (
    AtMostOnce,
    ClaimRequest,
    ExecutionGrant,
)
from nutmegroad.records.billing import Biller, BillingRecord
from nutmegroad.records.intents import IntentLedger, IntentOwner
from nutmegroad.records.record_copies import RecordCopyStore, RecordSender
from nutmegroad.records.tickets import TicketIssuer, TicketSigner

ROUNDS: Final = 7
REQUESTS: Final = 300
WORKSPACE: Final = WorkspaceId('measured')
DOMAIN: Final = DomainId('petaling')
OWN: Final = Incarnation('one.1')
KEY: Final = 'a-cluster-key-for-measuring'
ANSWER: Final = ServiceReply(200, b'x' * 400, 'application/json')
MILLION: Final = 1e6
THOUSAND: Final = 1e3


@dataclass(frozen=True, slots=True)
class Cost:
    """What one round cost for each request.

    Attributes:
        waited: Milliseconds that a request waited, the median.
        worked: Microseconds of this process's processor time.
    """

    waited: float
    worked: float


@dataclass(slots=True)
class Bench:
    """What is measured."""

    once: AtMostOnce
    issuer: TicketIssuer
    biller: Biller
    sender: RecordSender
    numbers: int = 0

    def order(self) -> ClaimRequest:
        """Return a request that may not be repeated."""
        self.numbers += 1
        return ClaimRequest(
            request=RequestId(f'r{self.numbers}'),
            workspace=WORKSPACE,
            fingerprint='f' * 64,
            repeatable=False,
            deadline=time.monotonic() + 10,
        )

    async def settle(self, order: ClaimRequest) -> None:
        """Claim and settle one request."""
        run = await self.once.claim(order)
        if isinstance(run, ExecutionGrant):
            await self.once.settle(run, ANSWER)

    async def bare(self) -> None:
        """Let a request through the fence alone."""
        await self.settle(self.order())

    async def intent(self) -> None:
        """Write and settle an intent."""
        order = self.order()
        key = IdempotencyKey(f'{order.request}.{random.random()}')
        await self.settle(replace(order, key=key))

    async def ticket(self) -> None:
        """Issue and spend a ticket."""
        ticket = str(self.issuer.issue(WORKSPACE))
        await self.settle(replace(self.order(), ticket=ticket))

    async def record(self) -> None:
        """Record without handing on."""
        self.numbers += 1
        self.biller.record(_record(self.numbers))

    async def hand(self) -> None:
        """Record and hand on."""
        await self.record()
        await self.sender.hand()

    async def hand_eight(self) -> None:
        """Record and hand on eight at a time."""
        await asyncio.gather(*(self.hand() for _ in range(8)))


def _record(number: int) -> BillingRecord:
    """Return a record of a usual size."""
    return BillingRecord(
        f'petaling-host-0.0123456789abcdef-{number:016x}',
        'head-office',
        'objection-summary',
        time.time(),
        'brief-medium@4',
        prompt_tokens=400,
        output_tokens=200,
        cost=0.0123,
    )


async def measure(way: Callable[[], Awaitable[None]], requests: int) -> Cost:
    """Measure one round of one way."""
    waits = []
    began = time.process_time()
    for _ in range(requests):
        start = time.perf_counter()
        await way()
        waits.append(time.perf_counter() - start)
    worked = (time.process_time() - began) / requests
    return Cost(statistics.median(waits) * THOUSAND, worked * MILLION)


async def link(stack: AsyncExitStack, name: str) -> tuple[Links, Address]:
    """Open the links of one host; return them, and where they listen."""
    clock = SystemClock()
    identity = Identity(
        HostId(name),
        Incarnation(f'{name}.1'),
        1,
        DOMAIN,
        '127.0.0.1',
        0,
    )
    table, _ = create_member_table(identity, clock, 1)
    ledger = Ledger(time.thread_time)
    context = LinkContext(
        key=KEY.encode(),
        clock=clock,
        randomness=random.Random(1),
        nonces=random.SystemRandom(),
        account=ledger,
    )
    links = await stack.enter_async_context(Links(context, table))
    return links, table.identity.address


class OnePeer:
    """A mesh with one other host, whose links are real."""

    def __init__(self, links: Links, other: HostId) -> None:
        self._links = links
        self._member = Member(
            host=other,
            incarnation=Incarnation(f'{other}.1'),
            domain=DOMAIN,
            address=Address('127.0.0.1', 0),
            presence=Presence.LIVE,
            heard=0,
        )
        self.handle = links.handle
        self.tell = links.tell
        self.tell_all = links.tell_all
        self.ask = links.ask

    def members(self) -> tuple[Member, ...]:
        """Return the other host."""
        return (self._member,)


async def link_two(stack: AsyncExitStack) -> tuple[OnePeer, OnePeer]:
    """Link two hosts over loopback."""
    one, _ = await link(stack, 'one')
    two, near = await link(stack, 'two')
    one.maintain_links((near,))
    while not one.linked():
        await asyncio.sleep(0.01)
    return OnePeer(one, HostId('two')), OnePeer(two, HostId('one'))


async def open_stores(stack: AsyncExitStack) -> tuple[HttpTable, HttpObjects]:
    """Start a platform in another process."""
    processes = await stack.enter_async_context(Processes())
    platform = await processes.start_fake('platform', 'fakes.platform')
    session = await stack.enter_async_context(ClientSession())
    address = platform.listening['main']
    return HttpTable(session, address), HttpObjects(session, address)


async def make_bench(stack: AsyncExitStack) -> Bench:
    """Open everything; what is opened is closed with the stack."""
    table, objects = await open_stores(stack)
    clock = SystemClock()
    metrics = Metrics(time.thread_time)
    invariants = CountedInvariants(metrics)
    meshes = await link_two(stack)
    biller = Biller(objects, OWN, metrics, invariants)
    for mesh in meshes:
        RecordCopyStore(biller, mesh, clock, metrics).listen()
    sender = RecordSender(biller, meshes[0], DOMAIN, clock, metrics)
    return Bench(
        *make_once(table, objects, metrics, invariants), biller, sender
    )


def make_once(
    table: HttpTable,
    objects: HttpObjects,
    metrics: Metrics,
    invariants: CountedInvariants,
) -> tuple[AtMostOnce, TicketIssuer]:
    """Return what lets requests run, and what issues its tickets."""
    clock = SystemClock()
    issuer = TicketIssuer(HostId('one'), OWN, TicketSigner(KEY), clock)
    owner = IntentOwner(OWN, _nonce, _is_gone)
    ledger = IntentLedger(table, objects, owner, clock)
    return AtMostOnce(ledger, issuer, clock, invariants, metrics), issuer


def _nonce() -> str:
    return f'{random.getrandbits(96):024x}'


def _is_gone(incarnation: Incarnation) -> bool:
    return False


async def report() -> None:
    """Measure all ways in turn, several rounds, and print them."""
    async with AsyncExitStack() as stack:
        bench = await make_bench(stack)
        ways = {
            'fence alone': bench.bare,
            'intent, claim and settle': bench.intent,
            'ticket, issue and spend': bench.ticket,
            'record, not handed on': bench.record,
            'record, handed on': bench.hand,
            'eight records, handed on at once': bench.hand_eight,
        }
        costs: dict[str, list[Cost]] = {name: [] for name in ways}
        for _ in range(ROUNDS):
            for name, way in ways.items():
                costs[name].append(await measure(way, REQUESTS))
                # What was recorded is stored between the rounds.
                await bench.sender.flush()
    record = msgspec.msgpack.encode(_record(1))
    sys.stdout.write(f'{ROUNDS} rounds of {REQUESTS} requests\n')
    for name, rounds in costs.items():
        sys.stdout.write(f'{name:34}{_line(rounds)}\n')
    sys.stdout.write(f'a record on the wire: {len(record)} bytes\n')


def _line(rounds: list[Cost]) -> str:
    """Return the medians of the rounds with their spread."""
    waited = sorted(cost.waited for cost in rounds)
    worked = sorted(cost.worked for cost in rounds)
    return (
        f'{statistics.median(waited):8.3f} ms'
        f' ({waited[0]:.3f} to {waited[-1]:.3f})'
        f'{statistics.median(worked):8.0f} us of processor'
        f' ({worked[0]:.0f} to {worked[-1]:.0f})'
    )


if __name__ == '__main__':
    asyncio.run(report())
