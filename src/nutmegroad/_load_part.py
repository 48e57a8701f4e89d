"""The parts that share load between hosts."""

from nutmegroad.admission import FairAdmitter
from nutmegroad.core import Kernel
from nutmegroad.dispatch import Dispatcher
from nutmegroad.exchange import ShareExchange
from nutmegroad.fleet import FleetLoad
from nutmegroad.peers import Mesh
from nutmegroad.registry import register
from nutmegroad.shares import ShareLedger


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
