"""Kernel part that provides the HTTP clients for the platform's services."""

from nutmegroad.adapters._cached_host_list import CachedHostList
from nutmegroad.adapters._http_platform import (
    CALL_TIMEOUT,
    HttpHostList,
    HttpObjects,
    HttpRatings,
    HttpTable,
    HttpWeights,
    open_session,
)
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
    """Provides the clients for the five services of the platform."""

    needs = (Account,)

    async def open(self, kernel: Kernel) -> None:
        """Open the client session, which all clients share."""
        session = await kernel.stack.enter_async_context(
            open_session(),
        )
        address = kernel.settings.platform
        account = kernel.need(Account)
        client_options = (session, address, CALL_TIMEOUT, account)
        kernel.provide(Table, HttpTable(*client_options))
        kernel.provide(Objects, HttpObjects(*client_options))
        host_list = CachedHostList(HttpHostList(*client_options), kernel.clock)
        kernel.provide(HostList, host_list)
        kernel.provide(CachedHostList, host_list)
        kernel.provide(Ratings, HttpRatings(*client_options))
        kernel.provide(Weights, HttpWeights(*client_options))
