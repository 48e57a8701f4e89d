"""The parts that share load, and what has ended engines, between hosts."""

from nutmegroad.contracts.peers import Mesh
from nutmegroad.fleet.content_marks import ContentMark, spell_mark
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.membership.duties import Duties, DutyName
from nutmegroad.routing.admission import FairAdmitter
from nutmegroad.routing.dispatch import Dispatcher
from nutmegroad.routing.exchange import ShareExchange
from nutmegroad.routing.fleet import FleetLoad
from nutmegroad.routing.harmful import CrashExchange
from nutmegroad.routing.shares import ShareLedger
from nutmegroad.routing.steps import Policies


@register('part', 'fleet-load')
class FleetLoadPart:
    """Provides what other hosts say of their load."""

    needs = ()

    async def open(self, kernel: Kernel) -> None:
        """Start knowing nothing."""
        kernel.provide(FleetLoad, FleetLoad(kernel.clock))
        kernel.provide(ShareLedger, ShareLedger())


@register('part', 'crash-exchange')
class CrashExchangePart:
    """Tells other hosts under which requests engines have ended."""

    needs = (Mesh, Duties, Dispatcher)

    async def open(self, kernel: Kernel) -> None:
        """Begin to tell, and share out who tries such a request."""
        harmful = kernel.need(Policies).harmful
        duties = kernel.need(Duties)

        def may_try(content: ContentMark) -> bool:
            """Tell whether this host is the one of its domain that tries."""
            return duties.is_mine(DutyName(f'harmful/{spell_mark(content)}'))

        harmful.may_try = may_try
        exchange = CrashExchange(
            kernel.need(Mesh),
            harmful.book,
            kernel.clock,
        )
        kernel.spawn(exchange.run(), 'crash-exchange')


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
