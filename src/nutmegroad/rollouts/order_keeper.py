"""Gives orders to the engines of this domain, while it holds their lease.

The lease is checked in the order's gate, in one step of the event loop
with the first byte. Engines that check the fencing number refuse what a
lapsed holder still sends; for the others the gate wants more time to be
left than an order may take.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.configuration.leases import Lease, LeaseKeeper
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
    Desired,
    Inventory,
    Pending,
    PlannedOrder,
    desired_of,
)
from nutmegroad.rollouts.rollout_shares import RolloutShares
from nutmegroad.routing.directory import Directory, is_engine

_LOG: Final = part_logger('orders')

#: The row that names the preset whose versions are loaded ahead.
PREPARED_KEY: Final = RowKey('orders/prepared')

_MINUTE: Final = 60.0


@dataclass(frozen=True, slots=True)
class OrderParts:
    """What a keeper of orders needs.

    Attributes:
        configuration: What is in force.
        directory: The engines.
        engines: How they are reached.
        leases: Takes the lease.
        shares: The roll-outs.
        table: Holds the preset to prepare for.
        weights: Says how many loads the weight store bears.
    """

    configuration: Configuration
    directory: Directory
    engines: EngineClient
    leases: LeaseKeeper
    shares: RolloutShares
    table: Table
    weights: Weights


class OrderKeeper:
    """Brings a domain's engines to what is wanted, step by step.

    Args:
        parts: What it needs.
        domain: The domain of this host.
        clock: The host's clock.
        period: Seconds between looks.
    """

    def __init__(
        self,
        parts: OrderParts,
        domain: DomainId,
        clock: Clock,
        period: float,
    ) -> None:
        self._parts = parts
        self._domain = domain
        self._clock = clock
        self._period = period
        self._pending = Pending()
        self._next_load = float('-inf')
        self._unused: dict[VersionId, float] = {}

    @property
    def lease_name(self) -> str:
        """Return the lease under which this domain's engines get orders."""
        return f'orders/{self._domain}'

    async def run(self, is_mine: Callable[[], bool]) -> None:
        """Look and order until cancelled.

        Args:
            is_mine: Tells whether this host tries for the lease.
        """
        while True:
            if is_mine():
                await self.act()
            await self._clock.sleep(self._period)

    async def act(self) -> None:
        """Look once, and give the orders that are due."""
        lease = await self._parts.leases.keep(self.lease_name)
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
        # What is wanted comes first; what is needless costs only memory.
        for order in inventory.needless(desired):
            if self._has_drained(order.version, desired, now):
                await self._give(order, lease)

    async def prepare(
        self,
        preset: str,
        author: OperatorId,
    ) -> Refusal | None:
        """Have the versions of a preset loaded before it is switched to.

        Args:
            preset: Its name; empty to stop preparing.
            author: Who asks for it.
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
            _LOG.info('%s has %r prepared', author, preset)
            return None
        reason = 'Another operator came first; look and try again.'
        return Refusal(ResultCode.TABLE_CONFLICT, reason)

    async def _desired(self) -> Desired | None:
        """Return what this domain's engines ought to have, if known.

        A host without a confirmed configuration knows nothing: to it, no
        version would be allowed, and it would unload them all.
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
        return desired_of(
            configuration,
            self._domains(),
            self._domain,
            prepared.text,
            sharing,
        )

    def _domains(self) -> tuple[DomainId, ...]:
        states = self._parts.directory.states()
        return tuple(
            sorted({state.info.domain for state in states if is_engine(state)}),
        )

    async def _load(self, order: PlannedOrder, lease: Lease) -> None:
        """Load one version, no faster than the weight store bears."""
        if self._clock.now() < self._next_load:
            return
        rate = await self._parts.weights.loads_per_minute()
        if isinstance(rate, Refusal) or rate <= 0:
            return
        # The other domains load by themselves, out of the same store.
        pause = _MINUTE / rate * max(len(self._domains()), 1)
        self._next_load = self._clock.now() + pause
        await self._give(order, lease)

    def _has_drained(
        self,
        version: VersionId,
        desired: Desired,
        now: float,
    ) -> bool:
        """Tell whether work of a version must have ended at every host.

        No host begins work with it any more; what had begun ends within
        the longest deadline.
        """
        for known in tuple(self._unused):
            if known in desired.allowed:
                self._unused.pop(known)
        since = self._unused.setdefault(version, now)
        accepted = self._parts.configuration.accepted
        tasks = accepted.document.tasks if accepted else ()
        longest = max((task.deadline for task in tasks), default=0)
        return now - since >= longest

    async def _give(self, order: PlannedOrder, lease: Lease) -> None:
        gate = self._gate(order, lease)
        refusal = await self._parts.engines.order(
            order.state.info,
            EngineOrder(order.action, order.version, lease.number, gate),
        )
        what = f'{order.action.value} {order.version}'
        engine = order.state.info.upstream
        if refusal is None:
            self._pending.note(order, self._clock.now())
            _LOG.info('%s at %s, number %d', what, engine, lease.number)
            return
        _LOG.warning('%s at %s: %s', what, engine, refusal.reason)

    def _gate(self, order: PlannedOrder, lease: Lease) -> Gate:
        """Return the last look before an order's first byte."""

        def check() -> Refusal | None:
            """Look at the lease, the version and the engine once more."""
            leases = self._parts.leases
            margin = 0 if _checks_fencing(order.state) else leases.margin
            refusal = leases.check(lease, margin)
            if refusal is not None:
                return refusal
            return self._change_of_mind(order)

        return check

    def _change_of_mind(self, order: PlannedOrder) -> Refusal | None:
        """Return why an order is not wanted any more, or None."""
        version = order.version
        if order.action is OrderAction.UNLOAD:
            if order.state.in_flight_versions.get(version):
                reason = f'{version} has work in flight.'
                return Refusal(ResultCode.UPSTREAM_BUSY, reason)
            return None
        entry = self._parts.configuration.entry(version)
        epoch = Epoch(entry.epoch if entry else 0)
        if self._parts.configuration.is_withdrawn(version, epoch):
            reason = f'{version} has been withdrawn.'
            return Refusal(ResultCode.VERSION_WITHDRAWN, reason)
        return None


def _checks_fencing(state: UpstreamState) -> bool:
    """Tell whether an engine says that it refuses old numbers."""
    return state.report is not None and state.report.checks_fencing
