"""The parts that reach upstreams over HTTP and watch them."""

from nutmegroad._http_upstreams import HttpEngineClient, HttpServiceClient
from nutmegroad.core import Kernel
from nutmegroad.directory import Directory
from nutmegroad.platform import HostList
from nutmegroad.registry import register
from nutmegroad.upstreams import EngineClient, ServiceClient
from nutmegroad.watch import UpstreamWatcher

#: Seconds between reads of the host list and of engines' reports.
WATCH_PERIOD = 1.0


@register('part', 'upstreams')
class UpstreamsPart:
    """Provides the clients of upstreams."""

    needs = ()

    async def open(self, kernel: Kernel) -> None:
        """Open the clients."""
        engines = await kernel.stack.enter_async_context(HttpEngineClient())
        services = await kernel.stack.enter_async_context(HttpServiceClient())
        kernel.provide(EngineClient, engines)
        kernel.provide(ServiceClient, services)


@register('part', 'directory')
class DirectoryPart:
    """Provides the directory of upstreams."""

    needs = (HostList, EngineClient)

    async def open(self, kernel: Kernel) -> None:
        """Begin to watch."""
        directory = Directory(kernel.clock)
        kernel.provide(Directory, directory)
        watcher = UpstreamWatcher(
            kernel.need(HostList),
            kernel.need(EngineClient),
            directory,
            kernel.clock,
            kernel.randomness,
            WATCH_PERIOD,
        )
        await watcher.look()
        await kernel.stack.enter_async_context(watcher)
