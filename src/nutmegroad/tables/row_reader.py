"""Interface of what decodes the platform's rows."""

from dataclasses import dataclass
from typing import Protocol

from nutmegroad.canary.rollouts import RolloutOrder
from nutmegroad.fleet.store_interface import StoredRow
from nutmegroad.foundations.types import DomainId, UpstreamId
from nutmegroad.routes.deployment import RoutingTable
from nutmegroad.upstreams.directory import UpstreamEntry
from nutmegroad.upstreams.placement import EvacuationOrder


@dataclass(frozen=True, slots=True)
class Unreadable:
    """A row that can't be decoded.

    Attributes:
        reason: What is wrong with it, for the log.
    """

    reason: str


#: What a row of the operator's table holds; None if that is unknown.
OperatorContent = (
    RoutingTable | RolloutOrder | EvacuationOrder | Unreadable | None
)


class RowReader(Protocol):
    """Decodes the platform's rows into the relay's types."""

    def operator_row(
        self,
        row: StoredRow,
    ) -> OperatorContent:
        """Return the content of an operator's row, or None if it is unknown."""

    def is_configuration(self, row: StoredRow) -> bool:
        """Return whether a row holds the operator's configuration."""

    def evacuated_domain(self, row: StoredRow) -> DomainId | None:
        """Return the domain of an evacuation order, even of a removed one.

        None if the row is no evacuation order.
        """

    def upstream_row(self, row: StoredRow) -> UpstreamEntry | Unreadable:
        """Return an upstream's entry."""

    def upstream_key(self, row: StoredRow) -> UpstreamId:
        """Return the upstream id of a row, even if its entry was removed."""
