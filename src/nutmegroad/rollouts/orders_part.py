"""The part that gives orders to the engines of this domain."""

from typing import Final

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.configuration.leases import LeaseKeeper
from nutmegroad.contracts.platform import Table, Weights
from nutmegroad.contracts.upstreams import EngineClient
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.membership.duties import Duties, DutyName
from nutmegroad.rollouts.order_keeper import OrderKeeper, OrderParts
from nutmegroad.rollouts.rollout_shares import RolloutShares
from nutmegroad.routing.directory import Directory

#: Seconds between looks; a holder renews its lease as often.
ORDER_PERIOD: Final = 2.0
#: Hosts of the domain that try for the lease.
CANDIDATES: Final = 2

_DUTY: Final = DutyName('orders')


@register('part', 'orders')
class OrdersPart:
    """Provides the keeper of orders."""

    needs = (LeaseKeeper, RolloutShares, Directory, EngineClient, Weights)

    async def open(self, kernel: Kernel) -> None:
        """Begin to look."""
        parts = OrderParts(
            kernel.need(Configuration),
            kernel.need(Directory),
            kernel.need(EngineClient),
            kernel.need(LeaseKeeper),
            kernel.need(RolloutShares),
            kernel.need(Table),
            kernel.need(Weights),
        )
        domain = kernel.settings.domain
        keeper = OrderKeeper(parts, domain, kernel.clock, ORDER_PERIOD)
        duties = kernel.need(Duties)
        kernel.provide(OrderKeeper, keeper)

        def is_mine() -> bool:
            """Tell whether this host tries for the lease."""
            return duties.is_mine(_DUTY, CANDIDATES)

        kernel.spawn(keeper.run(is_mine), 'orders')
