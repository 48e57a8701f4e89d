"""Sends orders to the engines of this domain, while it holds their lease.

The order's gate checks the lease in the same step of the event loop in which
the first byte is sent. Engines that check the fencing number refuse orders of a
host whose lease has expired. For other engines the gate requires more time left
on the lease than an order may take.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.configuration.leases import Lease, LeaseManager
from nutmegroad.contracts.platform import RowKey, RowWrite, Table, Weights
from nutmegroad.contracts.upstreams import (
    EngineClient,
    EngineOrder,
    Gate,
    OrderAction,
    UpstreamState,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import DomainId, Epoch, OperatorId, VersionId
from nutmegroad.rollouts.orders import (
    DesiredState,
    Inventory,
    PendingOrders,
    PlannedOrder,
    desired_state,
)
from nutmegroad.rollouts.rollout_shares import RolloutShares
from nutmegroad.routing.directory import Directory, is_engine

_LOG: Final = part_logger('orders')

#: Row with the name of the preset whose versions are loaded in advance.
PREPARED_KEY: Final = RowKey('orders/prepared')

_MINUTE: Final = 60.0


@dataclass(frozen=True, slots=True)
class OrderDependencies:
    """Dependencies of an order controller.

    Attributes:
        configuration: Configuration in force.
        directory: The engines.
        engines: Client of the engines.
        leases: Acquires the lease.
        shares: Traffic shares of the rollouts.
        table: Holds the name of the preset to prepare.
        weights: Returns how many loads the weight store can take.
    """

    configuration: Configuration
    directory: Directory
    engines: EngineClient
    leases: LeaseManager
    shares: RolloutShares
    table: Table
    weights: Weights


class OrderController:
    """Brings a domain's engines to the desired state, step by step.

    Args:
        parts: Dependencies of the controller.
        domain: Domain of this host.
        clock: The host's clock.
        period: Seconds between checks.
    """

    def __init__(
        self,
        parts: OrderDependencies,
        domain: DomainId,
        clock: Clock,
        period: float,
    ) -> None:
        self._parts = parts
        self._domain = domain
        self._clock = clock
        self._period = period
        self._pending = PendingOrders()
        self._next_load = float('-inf')
        self._unused_since: dict[VersionId, float] = {}

    @property
    def lease_name(self) -> str:
        """Name of the lease under which this domain's engines get orders."""
        return f'orders/{self._domain}'

    async def run(self, is_mine: Callable[[], bool]) -> None:
        """Check the engines and send orders until cancelled.

        Args:
            is_mine: Returns whether this host is a candidate for the lease.
        """
        while True:
            if is_mine():
                await self.reconcile()
            await self._clock.sleep(self._period)

    async def reconcile(self) -> None:
        """Check the engines once, and send the orders that are due."""
        lease = await self._parts.leases.acquire(self.lease_name)
        if isinstance(lease, Refusal):
            return
        desired = await self._desired()
        if desired is None:
            return
        now = self._clock.now()
        states = self._parts.directory.states()
        self._pending.expire(now, states)
        inventory = Inventory(states, self._domain, self._pending)
        loads = inventory.missing(desired)
        if loads:
            await self._load(loads[0], lease)
            return
        # Wanted versions come first; unneeded ones only cost memory.
        for order in inventory.unneeded(desired):
            if self._has_drained(order.version, desired, now):
                await self._send(order, lease)

    async def prepare(
        self,
        preset: str,
        author: OperatorId,
    ) -> Refusal | None:
        """Have the versions of a preset loaded before it comes into force.

        Args:
            preset: Name of the preset; empty to stop preparing.
            author: Operator who asks for it.
        """
        accepted = self._parts.configuration.accepted
        presets = accepted.document.presets if accepted else ()
        if preset and preset not in {entry.name for entry in presets}:
            reason = f'There is no preset {preset!r}.'
            return Refusal(ResultCode.PRESET_UNKNOWN, reason)
        row = await self._parts.table.read(PREPARED_KEY)
        if isinstance(row, Refusal):
            return row
        write = RowWrite(row.key, preset, row.version)
        outcome = await self._parts.table.commit((write,))
        if isinstance(outcome, Refusal):
            return outcome
        if isinstance(outcome, tuple):
            _LOG.info('%s asked to prepare the preset %r', author, preset)
            return None
        reason = (
            'Another operator changed the prepared preset first; check it and '
            'try again.'
        )
        return Refusal(ResultCode.TABLE_CONFLICT, reason)

    async def _desired(self) -> DesiredState | None:
        """Return the desired state of this domain's engines, if known.

        A host without a confirmed configuration knows no allowed version, and
        would unload all of them.
        """
        configuration = self._parts.configuration
        if configuration.accepted is None or configuration.isolated:
            return None
        prepared = await self._parts.table.read(PREPARED_KEY)
        if isinstance(prepared, Refusal):
            return None
        shares = self._parts.shares
        sharing = frozenset(
            rollout.state.version
            for rollout in shares.known
            if shares.share(rollout.state.version) > 0
        )
        return desired_state(
            configuration,
            self._engine_domains(),
            self._domain,
            prepared.text,
            sharing,
        )

    def _engine_domains(self) -> tuple[DomainId, ...]:
        """Return the domains that have engines, in order."""
        states = self._parts.directory.states()
        return tuple(
            sorted({state.info.domain for state in states if is_engine(state)}),
        )

    async def _load(self, order: PlannedOrder, lease: Lease) -> None:
        """Load one version, no faster than the weight store can take."""
        if self._clock.now() < self._next_load:
            return
        rate = await self._parts.weights.loads_per_minute()
        if isinstance(rate, Refusal) or rate <= 0:
            return
        # The other domains load on their own from the same weight store.
        pause = _MINUTE / rate * max(len(self._engine_domains()), 1)
        self._next_load = self._clock.now() + pause
        await self._send(order, lease)

    def _has_drained(
        self,
        version: VersionId,
        desired: DesiredState,
        now: float,
    ) -> bool:
        """Return whether work with a version must have ended at every host.

        No host starts work with it any more. Work that had started ends within
        the longest deadline.
        """
        for known in tuple(self._unused_since):
            if known in desired.allowed:
                self._unused_since.pop(known)
        since = self._unused_since.setdefault(version, now)
        accepted = self._parts.configuration.accepted
        tasks = accepted.document.tasks if accepted else ()
        longest = max((task.deadline for task in tasks), default=0)
        return now - since >= longest

    async def _send(self, order: PlannedOrder, lease: Lease) -> None:
        """Send one order under a lease."""
        gate = self._gate(order, lease)
        refusal = await self._parts.engines.order(
            order.state.info,
            EngineOrder(order.action, order.version, lease.number, gate),
        )
        description = f'{order.action.value} {order.version}'
        engine = order.state.info.upstream
        if refusal is None:
            self._pending.add(order, self._clock.now())
            _LOG.info(
                'order %s sent to engine %s, fencing number %d',
                description,
                engine,
                lease.number,
            )
            return
        _LOG.warning(
            'order %s for engine %s failed: %s',
            description,
            engine,
            refusal.reason,
        )

    def _gate(self, order: PlannedOrder, lease: Lease) -> Gate:
        """Return the last check before an order's first byte."""

        def check() -> Refusal | None:
            """Check the lease, the version and the engine once more."""
            leases = self._parts.leases
            margin = 0 if _checks_fencing(order.state) else leases.margin
            refusal = leases.check(lease, margin)
            if refusal is not None:
                return refusal
            return self._obsolete_reason(order)

        return check

    def _obsolete_reason(self, order: PlannedOrder) -> Refusal | None:
        """Return why an order is no longer wanted, or None."""
        version = order.version
        if order.action is OrderAction.UNLOAD:
            if order.state.in_flight_by_version.get(version):
                reason = f'{version} has work in flight.'
                return Refusal(ResultCode.UPSTREAM_BUSY, reason)
            return None
        entry = self._parts.configuration.version_entry(version)
        epoch = Epoch(entry.epoch if entry else 0)
        if self._parts.configuration.is_withdrawn(version, epoch):
            reason = f'{version} has been withdrawn.'
            return Refusal(ResultCode.VERSION_WITHDRAWN, reason)
        return None


def _checks_fencing(state: UpstreamState) -> bool:
    """Return whether an engine reports that it refuses old fencing numbers."""
    return state.report is not None and state.report.checks_fencing
