"""The part that keeps records: intents, tickets, billing, explanations."""

from collections.abc import Callable
from typing import Final

from nutmegroad.contracts.peers import Mesh
from nutmegroad.contracts.platform import Objects, Table
from nutmegroad.foundations.invariants import Invariants
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.types import HostId, Incarnation
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.records.billing import Biller
from nutmegroad.records.explanations import Explanations
from nutmegroad.records.forwards import Forwarder
from nutmegroad.records.intents import IntentLedger, IntentOwner
from nutmegroad.records.once import Once
from nutmegroad.records.record_copies import RecordKeeper, RecordSender
from nutmegroad.records.tickets import TicketIssuer, TicketSigner

#: Seconds between flushes of billing records, jittered; 400 hosts then
#: store some 80 objects a second.
FLUSH_PERIOD: Final = 5.0
#: Share by which that is moved, so that hosts do not march in step.
FLUSH_JITTER: Final = 0.2
#: Seconds between tries to store what could not be stored.
SETTLE_PERIOD: Final = 1.0


@register('part', 'billing')
class BillingPart:
    """Provides the biller and what hands its records on."""

    needs = (Objects, Mesh, Metrics, Invariants)

    async def open(self, kernel: Kernel) -> None:
        """Begin to store batches; store or hand on the rest at the end."""
        metrics = kernel.need(Metrics)
        objects = kernel.need(Objects)
        mesh = kernel.need(Mesh)
        invariants = kernel.need(Invariants)
        biller = Biller(objects, kernel.incarnation, metrics, invariants)
        domain = kernel.settings.domain
        sender = RecordSender(biller, mesh, domain, kernel.clock, metrics)
        kernel.stack.push_async_callback(sender.end)
        keeper = RecordKeeper(biller, mesh, kernel.clock, metrics)
        keeper.listen()

        kernel.spawn(_flush_often(kernel, sender, keeper), 'billing')
        kernel.provide(Biller, biller)
        kernel.provide(RecordSender, sender)


@register('part', 'records')
class RecordsPart:
    """Provides what keeps requests from running twice."""

    needs = (Table, Objects, Mesh, Metrics, Invariants)

    async def open(self, kernel: Kernel) -> None:
        """Begin to store how requests ended."""
        host = kernel.settings.host
        mesh = kernel.need(Mesh)
        metrics = kernel.need(Metrics)
        incarnation = kernel.incarnation
        is_gone = gone_check(mesh, host, incarnation)
        intents = IntentLedger(
            kernel.need(Table),
            kernel.need(Objects),
            IntentOwner(incarnation, kernel.nonce, is_gone),
            kernel.clock,
        )
        signer = TicketSigner(
            kernel.settings.cluster_key,
            kernel.settings.cluster_key_old,
        )
        issuer = TicketIssuer(host, incarnation, signer, kernel.clock)
        invariants = kernel.need(Invariants)
        once = Once(intents, issuer, kernel.clock, invariants, metrics)
        kernel.stack.push_async_callback(once.settle_rest)

        kernel.spawn(_settle_often(kernel, once), 'records')
        kernel.provide(IntentLedger, intents)
        kernel.provide(TicketIssuer, issuer)
        kernel.provide(Once, once)
        kernel.provide(Forwarder, Forwarder(mesh, host))
        kernel.provide(Explanations, Explanations(kernel.clock))


def gone_check(
    mesh: Mesh,
    host: HostId,
    own: Incarnation,
) -> Callable[[Incarnation], bool]:
    """Return a check whether an incarnation is gone for good.

    It is if a later run of its host is known; one of which nothing is
    heard may only be cut off.
    """

    def is_gone(incarnation: Incarnation) -> bool:
        """Look for another run of the same host."""
        owner = incarnation.rpartition('.')[0]
        if owner == host:
            return incarnation != own
        return any(
            member.host == owner and member.incarnation != incarnation
            for member in mesh.members()
        )

    return is_gone


async def _flush_often(
    kernel: Kernel,
    sender: RecordSender,
    keeper: RecordKeeper,
) -> None:
    """Store batches until cancelled."""
    state = kernel.need(Metrics).state
    while True:
        spread = kernel.randomness.uniform(-FLUSH_JITTER, FLUSH_JITTER)
        await kernel.clock.sleep(FLUSH_PERIOD * (1 + spread))
        keeper.take_over()
        await sender.flush()
        state.unstored('billing', sender.pending)
        state.unstored('held', keeper.held)


async def _settle_often(kernel: Kernel, once: Once) -> None:
    """Store what could not be stored, until cancelled."""
    state = kernel.need(Metrics).state
    while True:
        await kernel.clock.sleep(SETTLE_PERIOD)
        await once.settle_rest()
        state.unstored('answers', once.unsettled)
