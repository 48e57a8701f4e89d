"""The part that reaches the platform over HTTP."""

from aiohttp import ClientSession, TCPConnector

from nutmegroad._http_platform import (
    HttpHostList,
    HttpObjects,
    HttpRatings,
    HttpTable,
    HttpWeights,
)
from nutmegroad.core import Kernel
from nutmegroad.platform import HostList, Objects, Ratings, Table, Weights
from nutmegroad.registry import register


@register('part', 'platform')
class PlatformPart:
    """Provides the platform's five services."""

    needs = ()

    async def open(self, kernel: Kernel) -> None:
        """Open one client session for all of them."""
        session = await kernel.stack.enter_async_context(
            ClientSession(connector=TCPConnector(limit=0)),
        )
        address = kernel.settings.platform
        kernel.provide(Table, HttpTable(session, address))
        kernel.provide(Objects, HttpObjects(session, address))
        kernel.provide(HostList, HttpHostList(session, address))
        kernel.provide(Ratings, HttpRatings(session, address))
        kernel.provide(Weights, HttpWeights(session, address))
