"""Measures the cost of a request's records: intent, ticket and billing.

Run ``python -m experiments.costs.records_cost``. This process holds the
records of one host, and the links of two hosts over loopback; the platform's
stand-in runs in another process. For each operation, it prints the median and
the range over several rounds: the milliseconds that a request waits, and the
processor time of this process.
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

#: Rounds, and requests of each operation in a round.
ROUNDS: Final = 7
REQUESTS: Final = 300
WORKSPACE: Final = WorkspaceId('measured')
DOMAIN: Final = DomainId('petaling')
OWN: Final = Incarnation('one.1')
KEY: Final = 'a-cluster-key-for-measuring'
ANSWER: Final = ServiceReply(200, b'x' * 400, 'application/json')
MICROSECONDS_PER_SECOND: Final = 1e6
MILLISECONDS_PER_SECOND: Final = 1e3


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost per request in one round.

    Attributes:
        latency_ms: Median of the milliseconds that a request waited.
        processor_us: Microseconds of this process's processor time.
    """

    latency_ms: float
    processor_us: float


@dataclass(slots=True)
class RecordingHost:
    """The operations that are measured, on one host's objects.

    Attributes:
        once: Claims and settles requests.
        issuer: Issues tickets.
        biller: Records what is billed.
        sender: Sends copies of billing records to another host.
        count: Number of requests and records so far.
    """

    once: AtMostOnce
    issuer: TicketIssuer
    biller: Biller
    sender: RecordSender
    count: int = 0

    def new_claim(self) -> ClaimRequest:
        """Return the claim of a new request that may not be repeated."""
        self.count += 1
        return ClaimRequest(
            request=RequestId(f'r{self.count}'),
            workspace=WORKSPACE,
            fingerprint='f' * 64,
            repeatable=False,
            deadline=time.monotonic() + 10,
        )

    async def settle(self, claim: ClaimRequest) -> None:
        """Claim a request and settle it if its execution is granted."""
        grant = await self.once.claim(claim)
        if isinstance(grant, ExecutionGrant):
            await self.once.settle(grant, ANSWER)

    async def claim_and_settle(self) -> None:
        """Claim and settle a request that needs neither intent nor ticket."""
        await self.settle(self.new_claim())

    async def claim_with_key(self) -> None:
        """Write and settle the intent of a request with an idempotency key."""
        claim = self.new_claim()
        key = IdempotencyKey(f'{claim.request}.{random.random()}')
        await self.settle(replace(claim, key=key))

    async def claim_with_ticket(self) -> None:
        """Issue a ticket and spend it on a request."""
        ticket = str(self.issuer.issue(WORKSPACE))
        await self.settle(replace(self.new_claim(), ticket=ticket))

    async def record_only(self) -> None:
        """Record one request for billing, without sending the record."""
        self.count += 1
        self.biller.record(_record(self.count))

    async def record_and_send(self) -> None:
        """Record one request for billing, and send the record to a peer."""
        await self.record_only()
        await self.sender.send_copies()

    async def record_and_send_eight(self) -> None:
        """Record and send eight requests concurrently."""
        await asyncio.gather(*(self.record_and_send() for _ in range(8)))


def _record(number: int) -> BillingRecord:
    """Return a billing record of typical size."""
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


async def measure_round(
    operation: Callable[[], Awaitable[None]], requests: int
) -> Cost:
    """Measure one round of an operation."""
    latencies = []
    processor_started_at = time.process_time()
    for _ in range(requests):
        started_at = time.perf_counter()
        await operation()
        latencies.append(time.perf_counter() - started_at)
    processor_seconds = (time.process_time() - processor_started_at) / requests
    return Cost(
        statistics.median(latencies) * MILLISECONDS_PER_SECOND,
        processor_seconds * MICROSECONDS_PER_SECOND,
    )


async def open_links(stack: AsyncExitStack, name: str) -> tuple[Links, Address]:
    """Open the links of one host; return them and their listening address."""
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
    """A mesh with one other host, over real links.

    Args:
        links: The own host's links.
        other: The other host.
    """

    def __init__(self, links: Links, other: HostId) -> None:
        self._links = links
        self._member = Member(
            host=other,
            incarnation=Incarnation(f'{other}.1'),
            domain=DOMAIN,
            address=Address('127.0.0.1', 0),
            presence=Presence.LIVE,
            last_seen=0,
        )
        self.handle = links.handle
        self.send = links.send
        self.broadcast = links.broadcast
        self.request = links.request

    def members(self) -> tuple[Member, ...]:
        """Return the member of the other host."""
        return (self._member,)


async def link_hosts(stack: AsyncExitStack) -> tuple[OnePeer, OnePeer]:
    """Link two hosts over loopback; return the mesh of each."""
    one, _ = await open_links(stack, 'one')
    two, address = await open_links(stack, 'two')
    one.maintain_links((address,))
    while not one.linked():
        await asyncio.sleep(0.01)
    return OnePeer(one, HostId('two')), OnePeer(two, HostId('one'))


async def open_stores(stack: AsyncExitStack) -> tuple[HttpTable, HttpObjects]:
    """Start the platform's stand-in; return its table and its objects."""
    processes = await stack.enter_async_context(Processes())
    platform = await processes.start_fake('platform', 'fakes.platform')
    session = await stack.enter_async_context(ClientSession())
    address = platform.listening['main']
    return HttpTable(session, address), HttpObjects(session, address)


async def make_recording_host(stack: AsyncExitStack) -> RecordingHost:
    """Create the objects to measure; the stack closes what they need."""
    table, objects = await open_stores(stack)
    clock = SystemClock()
    metrics = Metrics(time.thread_time)
    invariants = CountedInvariants(metrics)
    meshes = await link_hosts(stack)
    biller = Biller(objects, OWN, metrics, invariants)
    for mesh in meshes:
        RecordCopyStore(biller, mesh, clock, metrics).listen()
    sender = RecordSender(biller, meshes[0], DOMAIN, clock, metrics)
    return RecordingHost(
        *make_once(table, objects, metrics, invariants), biller, sender
    )


def make_once(
    table: HttpTable,
    objects: HttpObjects,
    metrics: Metrics,
    invariants: CountedInvariants,
) -> tuple[AtMostOnce, TicketIssuer]:
    """Return the at-most-once fence, and the issuer of its tickets."""
    clock = SystemClock()
    issuer = TicketIssuer(HostId('one'), OWN, TicketSigner(KEY), clock)
    owner = IntentOwner(OWN, _nonce, _is_gone)
    ledger = IntentLedger(table, objects, owner, clock)
    return AtMostOnce(ledger, issuer, clock, invariants, metrics), issuer


def _nonce() -> str:
    """Return a random nonce."""
    return f'{random.getrandbits(96):024x}'


def _is_gone(incarnation: Incarnation) -> bool:
    """Return False: no incarnation has terminated."""
    return False


async def report() -> None:
    """Measure all operations in each round and print their costs."""
    async with AsyncExitStack() as stack:
        host = await make_recording_host(stack)
        operations = {
            'fence alone': host.claim_and_settle,
            'intent, claim and settle': host.claim_with_key,
            'ticket, issue and spend': host.claim_with_ticket,
            'record, not handed on': host.record_only,
            'record, handed on': host.record_and_send,
            'eight records, handed on at once': host.record_and_send_eight,
        }
        costs: dict[str, list[Cost]] = {name: [] for name in operations}
        for _ in range(ROUNDS):
            for name, operation in operations.items():
                costs[name].append(await measure_round(operation, REQUESTS))
                # The records of a round are stored before the next one.
                await host.sender.flush()
    record = msgspec.msgpack.encode(_record(1))
    sys.stdout.write(f'{ROUNDS} rounds of {REQUESTS} requests\n')
    for name, rounds in costs.items():
        sys.stdout.write(f'{name:34}{_format_row(rounds)}\n')
    sys.stdout.write(f'a record on the wire: {len(record)} bytes\n')


def _format_row(rounds: list[Cost]) -> str:
    """Return the medians over the rounds, with their ranges."""
    latencies = sorted(cost.latency_ms for cost in rounds)
    processor_times = sorted(cost.processor_us for cost in rounds)
    return (
        f'{statistics.median(latencies):8.3f} ms'
        f' ({latencies[0]:.3f} to {latencies[-1]:.3f})'
        f'{statistics.median(processor_times):8.0f} us of processor'
        f' ({processor_times[0]:.0f} to {processor_times[-1]:.0f})'
    )


if __name__ == '__main__':
    asyncio.run(report())
