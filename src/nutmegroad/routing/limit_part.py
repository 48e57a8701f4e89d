"""Kernel part that shares the limits of upstreams between hosts."""

from nutmegroad.contracts.peers import Mesh
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.routing.directory import Directory
from nutmegroad.routing.limit_exchange import LimitExchange
from nutmegroad.routing.upstream_limits import KnownHosts


@register('part', 'limit-exchange')
class LimitExchangePart:
    """Shares the limits that upstreams name with other hosts."""

    needs = (Mesh, Directory)

    async def open(self, kernel: Kernel) -> None:
        """Start the exchange."""
        settings = kernel.settings
        limits = kernel.need(Directory).limits
        hosts = KnownHosts(settings.host, settings.domain, kernel.clock)
        limits.share_with(settings.host, hosts)
        exchange = LimitExchange(
            kernel.need(Mesh), limits.limits, hosts, kernel.clock
        )
        kernel.spawn(exchange.run(), 'limit-exchange')
