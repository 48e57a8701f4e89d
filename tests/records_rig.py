"""Test rig: the records of several hosts, over a fake platform."""

import itertools
import random
from contextlib import AsyncExitStack
from dataclasses import dataclass, replace
from typing import Final, Self

from aiohttp import ClientSession
from fakes.faults import FaultKind, FaultSpec
from fakes.platform import FakePlatform, PlatformOptions

from nutmegroad.adapters._http_platform import HttpObjects, HttpTable
from nutmegroad.contracts.upstreams import ServiceReply
from nutmegroad.foundations.invariants import StrictInvariants
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    DomainId,
    HostId,
    IdempotencyKey,
    Ran,
    RequestId,
    WorkspaceId,
)
from nutmegroad.records.at_most_once import AtMostOnce, ClaimRequest
from nutmegroad.records.billing import Biller
from nutmegroad.records.intents import IntentLedger, IntentOwner, IntentSpec
from nutmegroad.records.part import termination_check
from nutmegroad.records.record_copies import RecordCopyStore, RecordSender
from nutmegroad.records.tickets import TicketIssuer, TicketSigner
from nutmegroad.testing._memory_mesh import MemoryPeer
from nutmegroad.testing.virtual import ManualClock, MemoryMesh

WORKSPACE: Final = WorkspaceId('head-office')
LOCAL_DOMAIN: Final = DomainId('petaling')
REMOTE_DOMAIN: Final = DomainId('cyberjaya')
CLUSTER_KEY: Final = 'a-cluster-key-for-tests'
ANSWER: Final = ServiceReply(200, b'{"receipt": 1}', 'application/json')
UNKNOWN: Final = Refusal(ResultCode.UPSTREAM_TIMEOUT, 'Late.', Ran.UNKNOWN)
NOT_RUN: Final = Refusal(ResultCode.NO_UPSTREAM, 'None.', Ran.NOT_RUN)
DEFAULT_CLAIM: Final = ClaimRequest(
    request=RequestId('r1'),
    workspace=WORKSPACE,
    fingerprint='f1',
    repeatable=False,
    deadline=20,
    key=IdempotencyKey('k1'),
)
INTENT_SPEC: Final = IntentSpec(
    WORKSPACE,
    IdempotencyKey('k1'),
    RequestId('r1'),
    'f1',
    repeatable=False,
    seconds=20,
)


def claim_request(number: int = 1, **changes: object) -> ClaimRequest:
    """Return the default claim with another request id and changes."""
    request = RequestId(f'r{number}')
    return replace(DEFAULT_CLAIM, request=request, **changes)  # type: ignore[arg-type]


@dataclass(slots=True)
class Host:
    """The records components of one host."""

    peer: MemoryPeer
    intents: IntentLedger
    issuer: TicketIssuer
    at_most_once: AtMostOnce
    biller: Biller
    sender: RecordSender
    record_copies: RecordCopyStore


class RecordsRig:
    """A fake platform, an in-memory mesh and hosts created on demand."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.platform = FakePlatform(PlatformOptions(), self.clock)
        self.mesh = MemoryMesh(self.clock, random.Random(7))
        self.invariants = StrictInvariants()
        self.metrics = Metrics(float)
        self._nonces = itertools.count()
        self._stack = AsyncExitStack()

    @property
    def objects(self) -> HttpObjects:
        """Return the object store."""
        return self._objects

    async def __aenter__(self) -> Self:
        """Open the platform and the mesh."""
        await self._stack.enter_async_context(self.platform)
        await self._stack.enter_async_context(self.mesh)
        session = await self._stack.enter_async_context(ClientSession())
        self._table = HttpTable(session, self.platform.address)
        self._objects = HttpObjects(session, self.platform.address)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close everything."""
        await self._stack.aclose()

    def start_host(self, name: str, domain: DomainId = LOCAL_DOMAIN) -> Host:
        """Start a host, or a new incarnation of an existing one."""
        peer = self.mesh.join(HostId(name), domain)
        incarnation = peer.incarnation
        owner = IntentOwner(
            incarnation,
            lambda: f'n{next(self._nonces)}',
            termination_check(peer, peer.host, incarnation),
        )
        intents = IntentLedger(self._table, self._objects, owner, self.clock)
        signer = TicketSigner(CLUSTER_KEY)
        issuer = TicketIssuer(peer.host, incarnation, signer, self.clock)
        once = AtMostOnce(
            intents, issuer, self.clock, self.invariants, self.metrics
        )
        biller = Biller(
            self.objects, incarnation, self.metrics, self.invariants
        )
        sender = RecordSender(biller, peer, domain, self.clock, self.metrics)
        keeper = RecordCopyStore(biller, peer, self.clock, self.metrics)
        keeper.listen()
        return Host(peer, intents, issuer, once, biller, sender, keeper)

    def add_fault(self, kind: FaultKind, scope: str, **more: object) -> None:
        """Enable a fault in a part of the platform."""
        self.platform.faults.add(
            FaultSpec(kind, scope, **more)  # type: ignore[arg-type]
        )
