"""The part that reaches the platform over HTTP."""

from aiohttp import ClientSession, TCPConnector

from nutmegroad.adapters._http_platform import (
    CALL_TIMEOUT,
    HttpHostList,
    HttpObjects,
    HttpRatings,
    HttpTable,
    HttpWeights,
)
from nutmegroad.adapters._remembered_list import RememberedList
from nutmegroad.contracts.platform import (
    HostList,
    Objects,
    Ratings,
    Table,
    Weights,
)
from nutmegroad.foundations.accounting import Account
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register


@register('part', 'platform')
class PlatformPart:
    """Provides the platform's five services."""

    needs = (Account,)

    async def open(self, kernel: Kernel) -> None:
        """Open one client session for all of them."""
        session = await kernel.stack.enter_async_context(
            ClientSession(connector=TCPConnector(limit=0)),
        )
        address = kernel.settings.platform
        account = kernel.need(Account)
        given = (session, address, CALL_TIMEOUT, account)
        kernel.provide(Table, HttpTable(*given))
        kernel.provide(Objects, HttpObjects(*given))
        host_list = RememberedList(HttpHostList(*given), kernel.clock)
        kernel.provide(HostList, host_list)
        kernel.provide(RememberedList, host_list)
        kernel.provide(Ratings, HttpRatings(*given))
        kernel.provide(Weights, HttpWeights(*given))
