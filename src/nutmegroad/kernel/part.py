"""The kernel part that provides metrics, accounting and invariants."""

import time
from functools import partial
from typing import Final

from nutmegroad.foundations._cost_metrics import CostPublisher
from nutmegroad.foundations.accounting import Account, Ledger
from nutmegroad.foundations.invariants import CountedInvariants, Invariants
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register

#: Seconds between two updates of the metrics of control cost.
PUBLISH_PERIOD: Final = 5.0


@register('part', 'metrics')
class MetricsPart:
    """Provides the metrics, the accounting and the invariants of a host."""

    needs = ()

    async def open(self, kernel: Kernel) -> None:
        """Provide them, and publish the control cost periodically."""
        metrics = Metrics(time.thread_time)
        ledger = Ledger(time.thread_time)
        kernel.provide(Account, ledger)
        kernel.provide(Ledger, ledger)
        kernel.provide(Metrics, metrics)
        kernel.provide(Invariants, CountedInvariants(metrics))
        publisher = CostPublisher(ledger, metrics)
        kernel.provide(CostPublisher, publisher)
        kernel.spawn(partial(_publish, kernel, publisher), 'metrics')


async def _publish(kernel: Kernel, publisher: CostPublisher) -> None:
    """Publish the control cost until cancelled."""
    while True:
        publisher.publish()
        await kernel.clock.sleep(PUBLISH_PERIOD)
