"""Brings what the ledger counts between hosts into the metrics."""

from dataclasses import replace

from nutmegroad.accounting import Ledger, PartCost
from nutmegroad.metrics import Direction, Metrics


class LedgerExport:
    """Adds to the metrics what the ledger has gained since the last time.

    Args:
        ledger: Costs by part, and events.
        metrics: Where they are shown.
    """

    def __init__(self, ledger: Ledger, metrics: Metrics) -> None:
        self._ledger = ledger
        self._metrics = metrics
        self._costs: dict[str, PartCost] = {}
        self._events: dict[str, int] = {}

    def update(self) -> None:
        """Bring the metrics up to date."""
        for part, cost in self._ledger.costs().items():
            self._add_cost(part, cost)
        for event, count in self._ledger.events().items():
            gained = count - self._events.get(event, 0)
            self._metrics.host_event(event, gained)
            self._events[event] = count

    def _add_cost(self, part: str, cost: PartCost) -> None:
        """Add what a part has spent since the last time."""
        before = self._costs.get(part, PartCost())
        self._metrics.control_message(
            part,
            Direction.SENT,
            cost.sent_bytes - before.sent_bytes,
            cost.sent_messages - before.sent_messages,
        )
        self._metrics.control_message(
            part,
            Direction.RECEIVED,
            cost.received_bytes - before.received_bytes,
            cost.received_messages - before.received_messages,
        )
        spent = cost.processor_seconds - before.processor_seconds
        self._metrics.control_spent(part, spent)
        self._costs[part] = replace(cost)
