"""Orders to engines: which versions each engine is to load or unload.

Orders follow from a desired state: the versions that the preset and the
rollouts want are compared with the engines' reports periodically. A lost order
is therefore sent again, and an order that reached an engine after its sender's
lease had expired is corrected.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from nutmegroad.configuration.in_force import (
    AcceptedConfiguration,
    Configuration,
)
from nutmegroad.contracts.documents import PresetEntry, Stage
from nutmegroad.contracts.upstreams import (
    EngineReport,
    OrderAction,
    UpstreamState,
)
from nutmegroad.foundations.types import (
    DomainId,
    Epoch,
    UpstreamId,
    VersionId,
)
from nutmegroad.routing.directory import is_engine

#: Seconds after which an order without visible effect is sent again.
ORDER_TIMEOUT: Final = 90.0


@dataclass(frozen=True, slots=True)
class DesiredState:
    """Desired state of the engines of a domain.

    Attributes:
        wanted: Number of engines of the domain that each version needs.
        allowed: Versions that some workspace may still use.
    """

    wanted: Mapping[VersionId, int]
    allowed: frozenset[VersionId]


@dataclass(frozen=True, slots=True)
class PlannedOrder:
    """An order to be sent.

    Attributes:
        state: State of the engine.
        action: Load or unload.
        version: The version.
    """

    state: UpstreamState
    action: OrderAction
    version: VersionId


@dataclass(slots=True)
class PendingOrders:
    """Orders that were sent and do not show in a report yet.

    Attributes:
        sent_at: Host clock, in seconds, at which each was sent, by engine,
            action and version.
    """

    sent_at: dict[tuple[UpstreamId, OrderAction, VersionId], float] = field(
        default_factory=dict,
    )

    def add(self, order: PlannedOrder, now: float) -> None:
        """Record that an order was sent."""
        engine = order.state.info.upstream
        self.sent_at[engine, order.action, order.version] = now

    def has(self, order: PlannedOrder) -> bool:
        """Return whether an order was sent and may still take effect."""
        engine = order.state.info.upstream
        return (engine, order.action, order.version) in self.sent_at

    def expire(self, now: float, states: Iterable[UpstreamState]) -> None:
        """Remove orders that show in a report, or should do so by now."""
        loaded = {
            (state.info.upstream, OrderAction.LOAD, version)
            for state in states
            if state.report is not None
            for version in state.report.versions
        }
        self.sent_at = {
            name: sent_at
            for name, sent_at in self.sent_at.items()
            if now - sent_at < ORDER_TIMEOUT and name not in loaded
        }


class Inventory:
    """Engines of a domain that accept orders, and their versions.

    Args:
        states: States of all upstreams.
        domain: The domain.
        pending: Orders in progress.
    """

    def __init__(
        self,
        states: Iterable[UpstreamState],
        domain: DomainId,
        pending: PendingOrders,
    ) -> None:
        self._pending = pending
        self._engines = [
            (state, state.report)
            for state in states
            if state.info.domain == domain
            and _takes_orders(state)
            and state.report is not None
        ]

    def missing(self, desired: DesiredState) -> list[PlannedOrder]:
        """Return the load orders that are missing, the most urgent first."""
        orders: list[PlannedOrder] = []
        ranked = sorted(
            desired.wanted.items(),
            key=lambda named: (self.replica_count(named[0]) > 0, named[0]),
        )
        for version, need in ranked:
            orders.extend(self._missing_loads(version, need))
        return orders

    def unneeded(self, desired: DesiredState) -> list[PlannedOrder]:
        """Return the unload orders for versions that are unneeded and idle.

        A version is unneeded if no workspace may use it and it is not wanted.
        An allowed version stays, so its last replica stays, too.
        """
        orders = []
        for state, report in self._engines:
            for version in report.versions:
                order = PlannedOrder(state, OrderAction.UNLOAD, version)
                is_idle = not state.in_flight_by_version.get(version)
                is_needed = (
                    version in desired.allowed or version in desired.wanted
                )
                if is_idle and not is_needed and not self._pending.has(order):
                    orders.append(order)
        return orders

    def replica_count(self, version: VersionId) -> int:
        """Return how many engines have a version or were sent a load order."""
        return sum(
            self._has(state, report, version) for state, report in self._engines
        )

    def _missing_loads(
        self, version: VersionId, need: int
    ) -> list[PlannedOrder]:
        """Return the missing load orders of a version, best engines first."""
        missing = need - self.replica_count(version)
        if missing <= 0:
            return []
        without = [
            (self._load_rank(state, report), state)
            for state, report in self._engines
            if not self._has(state, report, version)
        ]
        without.sort(key=lambda ranked: ranked[0])
        return [
            PlannedOrder(state, OrderAction.LOAD, version)
            for _, state in without[:missing]
        ]

    def _has(
        self,
        state: UpstreamState,
        report: EngineReport,
        version: VersionId,
    ) -> bool:
        """Return whether an engine has a version or was sent a load order."""
        if version in report.versions:
            return True
        engine = state.info.upstream
        return (engine, OrderAction.LOAD, version) in self._pending.sent_at

    def _load_rank(
        self,
        state: UpstreamState,
        report: EngineReport,
    ) -> tuple[int, int, str]:
        """Return the sort key of engines: few versions, then little work."""
        engine = state.info.upstream
        loading = sum(
            name[0] == engine and name[1] is OrderAction.LOAD
            for name in self._pending.sent_at
        )
        busy = report.running + report.queued
        return len(report.versions) + loading, busy, engine


def _takes_orders(state: UpstreamState) -> bool:
    """Return whether an upstream is an engine that may get new work."""
    return state.accepts_requests and is_engine(state)


def desired_state(
    configuration: Configuration,
    domains: tuple[DomainId, ...],
    domain: DomainId,
    prepared: str,
    sharing: frozenset[VersionId],
) -> DesiredState:
    """Return the desired state of a domain's engines.

    Args:
        configuration: Configuration in force.
        domains: The domains that have engines, in order.
        domain: Domain of the engines.
        prepared: Name of the next preset, whose versions are loaded in advance;
            empty for none.
        sharing: Versions whose rollout has a traffic share.
    """
    accepted = configuration.accepted
    if accepted is None:
        return DesiredState({}, frozenset())
    allowed = _allowed(configuration, accepted)
    presets = [accepted.preset_entry, *_presets_named(accepted, prepared)]
    wanted = {
        version: max(
            _domain_count(
                preset.preload.get(version, 0), version, domains, domain
            )
            for preset in presets
        )
        for preset in presets
        for version in map(VersionId, preset.preload)
        if version in allowed and _is_used(accepted, version, sharing)
    }
    for version in sharing & allowed:
        wanted[version] = max(wanted.get(version, 0), 1)
    return DesiredState(wanted, allowed)


def _presets_named(
    accepted: AcceptedConfiguration, prepared: str
) -> list[PresetEntry]:
    """Return the preset with a name, if there is one."""
    return [
        preset
        for preset in accepted.document.presets
        if preset.name == prepared
    ]


def _allowed(
    configuration: Configuration,
    accepted: AcceptedConfiguration,
) -> frozenset[VersionId]:
    """Return versions that a workspace may use and that are not withdrawn."""
    named = {
        version
        for workspace in accepted.document.workspaces
        for version in workspace.versions
    }
    return frozenset(
        entry.version
        for entry in accepted.document.versions
        if entry.id in named
        and not configuration.is_withdrawn(entry.version, Epoch(entry.epoch))
    )


def _is_used(
    accepted: AcceptedConfiguration,
    version: VersionId,
    sharing: frozenset[VersionId],
) -> bool:
    """Return whether a version is steady or its rollout has a traffic share."""
    entry = accepted.document.version(version)
    if entry is None:
        return False
    return entry.stage is Stage.STEADY or version in sharing


def _domain_count(
    count: int,
    version: VersionId,
    domains: tuple[DomainId, ...],
    domain: DomainId,
) -> int:
    """Return a domain's part of a deployment's number of engines.

    Every domain gets the integer quotient. Which domains get the remainder
    depends on the version, so that no domain gets the remainder of all
    versions.
    """
    if domain not in domains:
        return 0
    whole, rest = divmod(count, len(domains))
    place = (domains.index(domain) + len(version)) % len(domains)
    return whole + (place < rest)
