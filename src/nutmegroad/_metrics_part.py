"""The part that counts what the host does."""

import time

from nutmegroad.core import Kernel
from nutmegroad.invariants import CountedInvariants, Invariants
from nutmegroad.metrics import Metrics
from nutmegroad.registry import register


@register('part', 'metrics')
class MetricsPart:
    """Provides the metrics and invariants, which all parts may use."""

    needs = ()

    async def open(self, kernel: Kernel) -> None:
        """Make the metrics."""
        metrics = Metrics(time.thread_time)
        kernel.provide(Metrics, metrics)
        kernel.provide(Invariants, CountedInvariants(metrics))
