"""The part that counts what the host does."""

import time

from nutmegroad.core import Kernel
from nutmegroad.metrics import Metrics
from nutmegroad.registry import register


@register('part', 'metrics')
class MetricsPart:
    """Provides the metrics, which all other parts may use."""

    needs = ()

    async def open(self, kernel: Kernel) -> None:
        """Make the metrics."""
        kernel.provide(Metrics, Metrics(time.thread_time))
