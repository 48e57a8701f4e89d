"""Kernel parts for billing and for at-most-once execution of requests.

``BillingPart`` provides billing records and their copies. ``RecordsPart``
provides intents, tickets, forwarding and explanations.
"""

from collections.abc import Callable
from functools import partial
from typing import Final

from nutmegroad.contracts.peers import Mesh
from nutmegroad.contracts.platform import Objects, Table
from nutmegroad.foundations.invariants import Invariants
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.types import HostId, Incarnation
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.records.at_most_once import AtMostOnce
from nutmegroad.records.billing import Biller
from nutmegroad.records.explanations import Explanations
from nutmegroad.records.forwards import Forwarder
from nutmegroad.records.intents import IntentLedger, IntentOwner
from nutmegroad.records.record_copies import RecordCopyStore, RecordSender
from nutmegroad.records.tickets import TicketIssuer, TicketSigner

#: Seconds between flushes of billing records, before jitter. 400 hosts then
#: store about 80 objects per second.
FLUSH_PERIOD: Final = 5.0
#: Maximum jitter as a fraction of the period; prevents hosts from flushing
#: at the same time.
FLUSH_JITTER: Final = 0.2
#: Seconds between attempts to store outcomes that could not be stored.
SETTLE_PERIOD: Final = 1.0


@register('part', 'billing')
class BillingPart:
    """Provides the biller and the sender of its records to peers."""

    needs = (Objects, Mesh, Metrics, Invariants)

    async def open(self, kernel: Kernel) -> None:
        """Start to store batches periodically.

        When the host stops, the remaining batches are stored or left to peers.
        """
        metrics = kernel.need(Metrics)
        objects = kernel.need(Objects)
        mesh = kernel.need(Mesh)
        invariants = kernel.need(Invariants)
        biller = Biller(objects, kernel.incarnation, metrics, invariants)
        domain = kernel.settings.domain
        sender = RecordSender(biller, mesh, domain, kernel.clock, metrics)
        kernel.stack.push_async_callback(sender.close)
        copy_store = RecordCopyStore(biller, mesh, kernel.clock, metrics)
        copy_store.listen()

        kernel.spawn(
            partial(_flush_periodically, kernel, sender, copy_store), 'billing'
        )
        kernel.provide(Biller, biller)
        kernel.provide(RecordSender, sender)


@register('part', 'records')
class RecordsPart:
    """Provides at-most-once execution of requests."""

    needs = (Table, Objects, Mesh, Metrics, Invariants)

    async def open(self, kernel: Kernel) -> None:
        """Start to store the outcomes of requests periodically."""
        host = kernel.settings.host
        mesh = kernel.need(Mesh)
        metrics = kernel.need(Metrics)
        incarnation = kernel.incarnation
        is_terminated = termination_check(mesh, host, incarnation)
        intents = IntentLedger(
            kernel.need(Table),
            kernel.need(Objects),
            IntentOwner(incarnation, kernel.nonce, is_terminated),
            kernel.clock,
        )
        signer = TicketSigner(
            kernel.settings.cluster_key,
            kernel.settings.cluster_key_old,
        )
        issuer = TicketIssuer(host, incarnation, signer, kernel.clock)
        invariants = kernel.need(Invariants)
        once = AtMostOnce(intents, issuer, kernel.clock, invariants, metrics)
        kernel.stack.push_async_callback(once.settle_pending)

        kernel.spawn(partial(_settle_periodically, kernel, once), 'records')
        kernel.provide(IntentLedger, intents)
        kernel.provide(TicketIssuer, issuer)
        kernel.provide(AtMostOnce, once)
        kernel.provide(Forwarder, Forwarder(mesh, host))
        kernel.provide(Explanations, Explanations(kernel.clock))


def termination_check(
    mesh: Mesh,
    host: HostId,
    own: Incarnation,
) -> Callable[[Incarnation], bool]:
    """Return a function that checks whether an incarnation has terminated.

    An incarnation has terminated if a later incarnation of its host is known.
    A host that merely sends no messages may only be cut off.

    Args:
        mesh: Links to peers.
        host: This host.
        own: The incarnation of this host.
    """

    def is_terminated(incarnation: Incarnation) -> bool:
        """Return whether its host has another incarnation."""
        owner = incarnation.rpartition('.')[0]
        if owner == host:
            return incarnation != own
        return any(
            member.host == owner and member.incarnation != incarnation
            for member in mesh.members()
        )

    return is_terminated


async def _flush_periodically(
    kernel: Kernel,
    sender: RecordSender,
    copy_store: RecordCopyStore,
) -> None:
    """Store batches periodically until cancelled."""
    state = kernel.need(Metrics).state
    while True:
        jitter = kernel.randomness.uniform(-FLUSH_JITTER, FLUSH_JITTER)
        await kernel.clock.sleep(FLUSH_PERIOD * (1 + jitter))
        copy_store.take_over()
        await sender.flush()
        state.set_unstored_records('billing', sender.pending)
        state.set_unstored_records('held', copy_store.held)


async def _settle_periodically(kernel: Kernel, once: AtMostOnce) -> None:
    """Retry unstored outcomes periodically until cancelled."""
    state = kernel.need(Metrics).state
    while True:
        await kernel.clock.sleep(SETTLE_PERIOD)
        await once.settle_pending()
        state.set_unstored_records('answers', once.unsettled)
