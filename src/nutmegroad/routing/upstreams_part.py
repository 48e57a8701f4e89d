"""Kernel parts that connect to upstreams over HTTP and monitor them."""

from nutmegroad.adapters._http_upstreams import (
    HttpEngineClient,
    HttpServiceClient,
)
from nutmegroad.contracts.peers import Mesh
from nutmegroad.contracts.platform import HostList
from nutmegroad.contracts.upstreams import EngineClient, ServiceClient
from nutmegroad.foundations.accounting import Account
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.membership.duties import Duties
from nutmegroad.routing.directory import Directory
from nutmegroad.routing.limit_exchange import LimitExchange
from nutmegroad.routing.remote_loads import RemoteLoads
from nutmegroad.routing.watch import UpstreamWatcher
from nutmegroad.routing.watch_sharing import WatchSharer
from nutmegroad.upstreams.upstream_limits import KnownHosts

#: Seconds between polls of an engine, and between reads of the host list by
#: all hosts of a domain together.
WATCH_PERIOD = 1.0


@register('part', 'upstreams')
class UpstreamsPart:
    """Provides the HTTP clients for upstreams."""

    needs = (Account,)

    async def open(self, kernel: Kernel) -> None:
        """Open the clients."""
        engines = HttpEngineClient(kernel.need(Account))
        await kernel.stack.enter_async_context(engines)
        services = await kernel.stack.enter_async_context(HttpServiceClient())
        kernel.provide(EngineClient, engines)
        kernel.provide(ServiceClient, services)


@register('part', 'directory')
class DirectoryPart:
    """Provides the directory of upstreams and keeps it up to date."""

    needs = (HostList, EngineClient, Mesh, Duties, Account)

    async def open(self, kernel: Kernel) -> None:
        """Read the host list and reports once, then start to monitor."""
        directory = Directory(kernel.clock)
        kernel.provide(Directory, directory)
        sharer = WatchSharer(
            kernel.need(Mesh),
            kernel.need(Duties),
            directory,
            kernel.clock,
            kernel.settings.domain,
            WATCH_PERIOD,
            kernel.need(Account),
        )
        watcher = UpstreamWatcher(
            kernel.need(HostList),
            kernel.need(EngineClient),
            directory,
            kernel.clock,
            kernel.randomness,
            WATCH_PERIOD,
            sharer,
        )
        await watcher.poll_once()
        await kernel.stack.enter_async_context(watcher)
        remote_loads = RemoteLoads(
            kernel.need(Mesh),
            directory,
            sharer,
            kernel.clock,
            kernel.randomness,
            kernel.settings.domain,
        )
        kernel.spawn(remote_loads.run, 'watch')


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
        kernel.spawn(exchange.run, 'limit-exchange')
