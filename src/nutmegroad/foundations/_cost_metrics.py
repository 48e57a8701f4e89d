"""Puts what control costs, by part, into the metrics."""

import resource
from pathlib import Path
from typing import Final

from nutmegroad.foundations.accounting import Ledger, PartCost
from nutmegroad.foundations.metrics import Metrics

_STATM: Final = Path('/proc/self/statm')


class CostPublisher:
    """Adds to the metrics what a ledger has gained since the last time.

    Args:
        ledger: Totals by part and counts of events.
        metrics: Where they are shown.
    """

    def __init__(self, ledger: Ledger, metrics: Metrics) -> None:
        self._ledger = ledger
        self._metrics = metrics
        self._costs: dict[str, PartCost] = {}
        self._events: dict[str, int] = {}

    def publish(self) -> None:
        """Bring the metrics up to date."""
        for part, total in self._ledger.costs().items():
            before = self._costs.get(part, PartCost())
            self._metrics.control_cost(part, total.minus(before))
            self._costs[part] = total.minus(PartCost())
        for event, count in self._ledger.events().items():
            gained = count - self._events.get(event, 0)
            self._metrics.host_event(event, gained)
            self._events[event] = count
        self._metrics.state.resident(resident_bytes())


def resident_bytes() -> int:
    """Return the memory that this process holds; 0 if it is not known."""
    try:
        pages = int(_STATM.read_text().split()[1])
    except OSError:
        return 0
    return pages * resource.getpagesize()
