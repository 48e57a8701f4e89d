"""The part that keeps records: intents, tickets, billing, explanations."""

from collections.abc import Callable
from typing import Final

from nutmegroad.billing import Biller
from nutmegroad.core import Kernel
from nutmegroad.explanations import Explanations
from nutmegroad.forwards import Forwarder
from nutmegroad.heirs import Executor, Testator
from nutmegroad.intents import IntentLedger, IntentOwner
from nutmegroad.invariants import Invariants
from nutmegroad.metrics import Metrics
from nutmegroad.once import Once
from nutmegroad.peers import Mesh
from nutmegroad.platform import Objects, Table
from nutmegroad.registry import register
from nutmegroad.tickets import TicketOffice, TicketSigner
from nutmegroad.types import HostId, Incarnation

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
        testator = Testator(biller, mesh, domain, kernel.clock, metrics)
        kernel.stack.push_async_callback(testator.end)
        executor = Executor(biller, mesh, kernel.clock, metrics)
        executor.listen()

        kernel.spawn(_flush_often(kernel, testator, executor), 'billing')
        kernel.provide(Biller, biller)
        kernel.provide(Testator, testator)


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
        signer = TicketSigner(kernel.settings.cluster_key)
        office = TicketOffice(host, incarnation, signer, kernel.clock)
        invariants = kernel.need(Invariants)
        once = Once(intents, office, kernel.clock, invariants, metrics)
        kernel.stack.push_async_callback(once.settle_rest)

        kernel.spawn(_settle_often(kernel, once), 'records')
        kernel.provide(IntentLedger, intents)
        kernel.provide(TicketOffice, office)
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
    testator: Testator,
    executor: Executor,
) -> None:
    """Store batches until cancelled."""
    state = kernel.need(Metrics).state
    while True:
        spread = kernel.randomness.uniform(-FLUSH_JITTER, FLUSH_JITTER)
        await kernel.clock.sleep(FLUSH_PERIOD * (1 + spread))
        executor.take_over()
        await testator.flush()
        state.unstored('billing', testator.pending)
        state.unstored('held', executor.held)


async def _settle_often(kernel: Kernel, once: Once) -> None:
    """Store what could not be stored, until cancelled."""
    state = kernel.need(Metrics).state
    while True:
        await kernel.clock.sleep(SETTLE_PERIOD)
        await once.settle_rest()
        state.unstored('answers', once.unsettled)
