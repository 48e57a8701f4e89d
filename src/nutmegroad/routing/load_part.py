"""The parts that share load between hosts."""

from nutmegroad.contracts.peers import Mesh
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.routing.admission import FairAdmitter
from nutmegroad.routing.dispatch import Dispatcher
from nutmegroad.routing.exchange import ShareExchange
from nutmegroad.routing.fleet import FleetLoad
from nutmegroad.routing.shares import ShareLedger


@register('part', 'fleet-load')
class FleetLoadPart:
    """Provides what other hosts say of their load."""

    needs = ()

    async def open(self, kernel: Kernel) -> None:
        """Start knowing nothing."""
        kernel.provide(FleetLoad, FleetLoad(kernel.clock))
        kernel.provide(ShareLedger, ShareLedger())


@register('part', 'share-exchange')
class ShareExchangePart:
    """Tells other hosts of this one's load and moves shares."""

    needs = (Mesh, Dispatcher, FleetLoad)

    async def open(self, kernel: Kernel) -> None:
        """Begin to exchange, if the admitter is one that shares."""
        if kernel.settings.admitter != 'fair':
            return
        exchange = ShareExchange(
            kernel.need(Mesh),
            kernel.need(FairAdmitter),
            kernel.need(FleetLoad),
            kernel.need(ShareLedger),
            kernel.clock,
            kernel.randomness,
        )
        exchange.handle()
        kernel.spawn(exchange.run(), 'share-exchange')
