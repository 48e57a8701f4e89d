"""Failure domains and regions in which a request may be executed.

The operator may evacuate a failure domain: nothing more is sent to its
upstreams until the order is withdrawn, while executions in progress go on.
Routes and workspaces may be restricted to regions. Both apply to every attempt,
whatever its purpose.
"""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from typing import Final

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import DomainId, RegionId
from nutmegroad.routes.cached_configuration import RESTORE_SETTLE_SECONDS
from nutmegroad.routes.requests import CallerRequest
from nutmegroad.upstreams.directory import Upstream

_LOG: Final = part_logger('placement')


@dataclass(frozen=True, slots=True)
class EvacuationOrder:
    """The operator's order to send nothing more to a failure domain.

    Attributes:
        domain: The failure domain.
    """

    domain: DomainId


class Evacuations:
    """The failure domains that the operator has evacuated.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # When each order was received, in clock seconds.
        self._received: dict[DomainId, float] = {}
        # Evacuated domains that a restored store does not list.
        self._unlisted: set[DomainId] = set()
        self._settled_at = float('-inf')
        self._listeners: list[Callable[[DomainId], None]] = []

    def on_end(self, listener: Callable[[DomainId], None]) -> None:
        """Register a callback for each domain whose evacuation has ended."""
        self._listeners.append(listener)

    def ages(self) -> Mapping[DomainId, float]:
        """Return the seconds since each order in force was received."""
        self._end_unlisted()
        now = self._clock.now()
        return {
            domain: now - received
            for domain, received in self._received.items()
        }

    def is_evacuated(self, domain: DomainId) -> bool:
        """Return whether nothing may be sent to a domain."""
        self._end_unlisted()
        return domain in self._received

    def begin(self, order: EvacuationOrder) -> None:
        """Put an order in force, unless it already is."""
        self._unlisted.discard(order.domain)
        if order.domain not in self._received:
            self._received[order.domain] = self._clock.now()
            _LOG.decision('domain evacuated', domain=order.domain)

    def end(self, domain: DomainId) -> None:
        """Record that the operator has withdrawn an order."""
        received = self._received.pop(domain, None)
        self._unlisted.discard(domain)
        if received is None:
            return
        _LOG.decision(
            'evacuation ended',
            domain=domain,
            seconds=round(self._clock.now() - received, 3),
        )
        for listener in self._listeners:
            listener(domain)

    def replace(self, listed: Collection[DomainId]) -> None:
        """Apply a full list of the evacuated domains."""
        for domain in listed:
            self.begin(EvacuationOrder(domain))
        self._unlisted = self._received.keys() - set(listed)
        self._end_unlisted()

    def on_store_restored(self) -> None:
        """Record that the next list may lack the operator's latest orders."""
        self._settled_at = self._clock.now() + RESTORE_SETTLE_SECONDS

    def _end_unlisted(self) -> None:
        """End the evacuations that the store no longer lists."""
        if self._unlisted and self._clock.now() >= self._settled_at:
            for domain in tuple(self._unlisted):
                self.end(domain)


class Placement:
    """Selects the upstreams that are in a permitted domain and region.

    Args:
        evacuations: Evacuated failure domains.
        regions: The region of each failure domain.
    """

    def __init__(
        self,
        evacuations: Evacuations,
        regions: Mapping[DomainId, RegionId],
    ) -> None:
        self.evacuations = evacuations
        self._regions = regions

    def permitted(
        self, request: CallerRequest, upstreams: tuple[Upstream, ...]
    ) -> tuple[Upstream, ...]:
        """Return the upstreams to which a request may be sent now."""
        return self._in_service(self.in_region(request, upstreams))

    def in_region(
        self, request: CallerRequest, upstreams: tuple[Upstream, ...]
    ) -> tuple[Upstream, ...]:
        """Return the upstreams in regions that a request is restricted to.

        A domain whose region is unknown is in no permitted region.
        """
        restrictions = request.region_restrictions
        if not restrictions:
            return upstreams
        return tuple(
            each
            for each in upstreams
            if all(
                self._regions.get(each.entry.domain) in regions
                for regions in restrictions
            )
        )

    def _in_service(
        self, upstreams: tuple[Upstream, ...]
    ) -> tuple[Upstream, ...]:
        """Return the upstreams whose failure domains are not evacuated."""
        evacuated = self.evacuations.ages()
        if not evacuated:
            return upstreams
        return tuple(
            each for each in upstreams if each.entry.domain not in evacuated
        )
