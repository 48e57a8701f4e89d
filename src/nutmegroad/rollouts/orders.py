"""Orders to engines: which versions each is to have loaded.

Orders are worked out of a desired state: what the preset and the roll-outs
want is compared with what the engines report, again and again. So an order
that was lost is given anew, and one that a lapsed holder got through to an
engine is put right.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from nutmegroad.configuration.in_force import Accepted, Configuration
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

#: Seconds after which an order that shows no effect is given again.
PATIENCE: Final = 90.0


@dataclass(frozen=True, slots=True)
class Desired:
    """What the engines of a domain ought to have.

    Attributes:
        wanted: How many engines of the domain each version needs.
        allowed: Versions that some workspace may still use.
    """

    wanted: Mapping[VersionId, int]
    allowed: frozenset[VersionId]


@dataclass(frozen=True, slots=True)
class PlannedOrder:
    """An order that is to be given.

    Attributes:
        state: The engine.
        action: Load or unload.
        version: Which version.
    """

    state: UpstreamState
    action: OrderAction
    version: VersionId


@dataclass(slots=True)
class Pending:
    """Orders that were given and have not shown in a report.

    Attributes:
        given: When, by engine, action and version.
    """

    given: dict[tuple[UpstreamId, OrderAction, VersionId], float] = field(
        default_factory=dict,
    )

    def note(self, order: PlannedOrder, now: float) -> None:
        """Note that an order was given."""
        engine = order.state.info.upstream
        self.given[engine, order.action, order.version] = now

    def has(self, order: PlannedOrder) -> bool:
        """Tell whether an order was given and may still take effect."""
        engine = order.state.info.upstream
        return (engine, order.action, order.version) in self.given

    def expire(self, now: float, states: Iterable[UpstreamState]) -> None:
        """Forget orders that have shown, or ought to have by now."""
        loaded = {
            (state.info.upstream, OrderAction.LOAD, version)
            for state in states
            if state.report is not None
            for version in state.report.versions
        }
        self.given = {
            name: given
            for name, given in self.given.items()
            if now - given < PATIENCE and name not in loaded
        }


class Inventory:
    """The engines of a domain that take orders, and what they have.

    Args:
        states: All upstreams.
        domain: The domain.
        pending: Orders under way.
    """

    def __init__(
        self,
        states: Iterable[UpstreamState],
        domain: DomainId,
        pending: Pending,
    ) -> None:
        self._pending = pending
        self._engines = [
            (state, state.report)
            for state in states
            if state.info.domain == domain
            and _takes_orders(state)
            and state.report is not None
        ]

    def missing(self, desired: Desired) -> list[PlannedOrder]:
        """Return the loads that are missing, the most urgent first."""
        orders: list[PlannedOrder] = []
        ranked = sorted(
            desired.wanted.items(),
            key=lambda named: (self.copies(named[0]) > 0, named[0]),
        )
        for version, need in ranked:
            orders.extend(self._loads(version, need))
        return orders

    def needless(self, desired: Desired) -> list[PlannedOrder]:
        """Return the unloads of what nobody may use and nothing uses.

        A version that is allowed stays, so the last copy of one does, too.
        """
        orders = []
        for state, report in self._engines:
            for version in report.versions:
                order = PlannedOrder(state, OrderAction.UNLOAD, version)
                is_idle = not state.in_flight_versions.get(version)
                is_needed = (
                    version in desired.allowed or version in desired.wanted
                )
                if is_idle and not is_needed and not self._pending.has(order):
                    orders.append(order)
        return orders

    def copies(self, version: VersionId) -> int:
        """Return how many engines have a version, or soon will."""
        return sum(
            self._has(state, report, version) for state, report in self._engines
        )

    def _loads(self, version: VersionId, need: int) -> list[PlannedOrder]:
        missing = need - self.copies(version)
        if missing <= 0:
            return []
        without = [
            (self._burden(state, report), state)
            for state, report in self._engines
            if not self._has(state, report, version)
        ]
        without.sort(key=lambda ranked: ranked[0])
        return [
            PlannedOrder(state, OrderAction.LOAD, version)
            for _burden, state in without[:missing]
        ]

    def _has(
        self,
        state: UpstreamState,
        report: EngineReport,
        version: VersionId,
    ) -> bool:
        if version in report.versions:
            return True
        engine = state.info.upstream
        return (engine, OrderAction.LOAD, version) in self._pending.given

    def _burden(
        self,
        state: UpstreamState,
        report: EngineReport,
    ) -> tuple[int, int, str]:
        engine = state.info.upstream
        coming = sum(
            name[0] == engine and name[1] is OrderAction.LOAD
            for name in self._pending.given
        )
        busy = report.running + report.queued
        return len(report.versions) + coming, busy, engine


def _takes_orders(state: UpstreamState) -> bool:
    """Tell whether an upstream is an engine that stays."""
    return state.is_open and is_engine(state)


def desired_of(
    configuration: Configuration,
    domains: tuple[DomainId, ...],
    domain: DomainId,
    prepared: str,
    sharing: frozenset[VersionId],
) -> Desired:
    """Return what the engines of a domain ought to have.

    Args:
        configuration: What is in force.
        domains: The domains that have engines, in order.
        domain: Which of them.
        prepared: A preset that comes next, whose versions are loaded
            ahead; empty for none.
        sharing: Versions whose roll-out has a share.
    """
    accepted = configuration.accepted
    if accepted is None:
        return Desired({}, frozenset())
    allowed = _allowed(configuration, accepted)
    presets = [accepted.preset_entry, *_named(accepted, prepared)]
    wanted = {
        version: max(
            _share_of(preset.preload.get(version, 0), version, domains, domain)
            for preset in presets
        )
        for preset in presets
        for version in map(VersionId, preset.preload)
        if version in allowed and _is_used(accepted, version, sharing)
    }
    for version in sharing & allowed:
        wanted[version] = max(wanted.get(version, 0), 1)
    return Desired(wanted, allowed)


def _named(accepted: Accepted, prepared: str) -> list[PresetEntry]:
    """Return the preset of a name, if there is one."""
    return [
        preset
        for preset in accepted.document.presets
        if preset.name == prepared
    ]


def _allowed(
    configuration: Configuration,
    accepted: Accepted,
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
    accepted: Accepted,
    version: VersionId,
    sharing: frozenset[VersionId],
) -> bool:
    """Tell whether a version is steady or its roll-out has a share."""
    entry = accepted.document.version(version)
    if entry is None:
        return False
    return entry.stage is Stage.STEADY or version in sharing


def _share_of(
    count: int,
    version: VersionId,
    domains: tuple[DomainId, ...],
    domain: DomainId,
) -> int:
    """Return a domain's part of a deployment's count of engines.

    Every domain gets the whole part; who gets what is left depends on the
    version, so that no domain gets the rest of all versions.
    """
    if domain not in domains:
        return 0
    whole, rest = divmod(count, len(domains))
    place = (domains.index(domain) + len(version)) % len(domains)
    return whole + (place < rest)
