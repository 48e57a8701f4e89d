"""Publishes the control-plane cost of each part as metrics."""

from nutmegroad.foundations.accounting import Ledger, PartCost
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.process_memory import resident_bytes


class CostPublisher:
    """Adds to the metrics what a ledger has gained since the last call.

    Args:
        ledger: Totals by part, and counts of events.
        metrics: Metrics to update.
    """

    def __init__(self, ledger: Ledger, metrics: Metrics) -> None:
        self._ledger = ledger
        self._metrics = metrics
        self._published_costs: dict[str, PartCost] = {}
        self._published_events: dict[str, int] = {}

    def publish(self) -> None:
        """Bring the metrics up to date."""
        for part, total in self._ledger.costs().items():
            published = self._published_costs.get(part, PartCost())
            self._metrics.control_cost(part, total.minus(published))
            # Copied, since the ledger goes on adding to its own object.
            self._published_costs[part] = total.minus(PartCost())
        for event, count in self._ledger.events().items():
            gained = count - self._published_events.get(event, 0)
            self._metrics.host_event(event, gained)
            self._published_events[event] = count
        self._metrics.state.set_resident_bytes(resident_bytes())
