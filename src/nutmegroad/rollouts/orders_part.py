"""Part that sends orders to the engines of this domain."""

from functools import partial
from typing import Final

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.configuration.leases import LeaseManager
from nutmegroad.contracts.platform import Table, Weights
from nutmegroad.contracts.upstreams import EngineClient
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.membership.duties import Duties, DutyName
from nutmegroad.rollouts.order_controller import (
    OrderController,
    OrderDependencies,
)
from nutmegroad.rollouts.rollout_shares import RolloutShares
from nutmegroad.routing.directory import Directory

#: Seconds between checks; a lease holder renews its lease as often.
ORDER_PERIOD: Final = 2.0
#: Number of hosts of the domain that are candidates for the lease.
CANDIDATES: Final = 2

_DUTY: Final = DutyName('orders')


@register('part', 'orders')
class OrdersPart:
    """Provides the order controller."""

    needs = (LeaseManager, RolloutShares, Directory, EngineClient, Weights)

    async def open(self, kernel: Kernel) -> None:
        """Start to check the engines."""
        parts = OrderDependencies(
            kernel.need(Configuration),
            kernel.need(Directory),
            kernel.need(EngineClient),
            kernel.need(LeaseManager),
            kernel.need(RolloutShares),
            kernel.need(Table),
            kernel.need(Weights),
        )
        domain = kernel.settings.domain
        controller = OrderController(parts, domain, kernel.clock, ORDER_PERIOD)
        duties = kernel.need(Duties)
        kernel.provide(OrderController, controller)

        def is_mine() -> bool:
            """Return whether this host is a candidate for the lease."""
            return duties.is_mine(_DUTY, CANDIDATES)

        kernel.spawn(partial(controller.run, is_mine), 'orders')
