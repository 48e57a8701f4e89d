"""Kernel parts that exchange load, slots and crash reports between hosts."""

from nutmegroad.contracts.peers import Mesh
from nutmegroad.fleet.request_attributes import (
    AttributeFingerprint,
    format_fingerprint,
)
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.membership.duties import Duties, DutyName
from nutmegroad.routing.admission import FairAdmitter
from nutmegroad.routing.dispatch import Dispatcher
from nutmegroad.routing.fleet_load import FleetLoad
from nutmegroad.routing.harmful import CrashExchange
from nutmegroad.routing.shares import ShareLedger
from nutmegroad.routing.slot_exchange import SlotExchange
from nutmegroad.routing.steps import Policies


@register('part', 'fleet-load')
class FleetLoadPart:
    """Provides the load digests and the ledger of lent slots."""

    needs = ()

    async def open(self, kernel: Kernel) -> None:
        """Provide an empty store of digests and an empty ledger."""
        kernel.provide(FleetLoad, FleetLoad(kernel.clock))
        kernel.provide(ShareLedger, ShareLedger())


@register('part', 'crash-exchange')
class CrashExchangePart:
    """Broadcasts which requests were running when engines crashed."""

    needs = (Mesh, Duties, Dispatcher)

    async def open(self, kernel: Kernel) -> None:
        """Start the exchange, and assign the probes of harmful requests."""
        harmful = kernel.need(Policies).harmful
        duties = kernel.need(Duties)

        def may_probe(attribute: AttributeFingerprint) -> bool:
            """Return whether this host is the one of its domain that probes."""
            return duties.is_mine(
                DutyName(f'harmful/{format_fingerprint(attribute)}')
            )

        harmful.may_probe = may_probe
        exchange = CrashExchange(
            kernel.need(Mesh),
            harmful.crashes,
            kernel.clock,
        )
        kernel.spawn(exchange.run, 'crash-exchange')


@register('part', 'share-exchange')
class ShareExchangePart:
    """Exchanges load digests and slots with other hosts."""

    needs = (Mesh, Dispatcher, FleetLoad)

    async def open(self, kernel: Kernel) -> None:
        """Start the exchange if the configured admitter shares slots."""
        if kernel.settings.admitter != 'fair':
            return
        exchange = SlotExchange(
            kernel.need(Mesh),
            kernel.need(FairAdmitter),
            kernel.need(FleetLoad),
            kernel.need(ShareLedger),
            kernel.clock,
            kernel.randomness,
        )
        exchange.register_handlers()
        kernel.spawn(exchange.run, 'share-exchange')
        kernel.spawn(exchange.borrow_on_demand, 'share-exchange')
