"""The part that keeps leases and moves roll-outs."""

from typing import Final

from nutmegroad.configuration import Configuration
from nutmegroad.core import Kernel
from nutmegroad.duties import Duties, DutyName
from nutmegroad.evidence import EvidenceStore
from nutmegroad.exposure import ExposureGuard
from nutmegroad.leases import LeaseKeeper
from nutmegroad.peers import Mesh
from nutmegroad.platform import Table
from nutmegroad.quarantines import Quarantines
from nutmegroad.registry import register
from nutmegroad.rollout_desk import RolloutDesk
from nutmegroad.rollout_keeper import RolloutKeeper, RolloutParts
from nutmegroad.rollout_shares import RolloutShares
from nutmegroad.rollouts import RolloutStore

#: Seconds that a lease lasts.
LEASE_TERM: Final = 8.0
#: Seconds between reads of the roll-outs; a holder renews as often.
ROLLOUT_PERIOD: Final = 2.0
#: Hosts of each domain that try for the lease.
CANDIDATES: Final = 2

_DUTY: Final = DutyName('rollouts')


@register('part', 'rollouts')
class RolloutsPart:
    """Provides leases, roll-outs and their shares."""

    needs = (Table, Mesh, Duties, ExposureGuard)

    async def open(self, kernel: Kernel) -> None:
        """Begin to read and to move."""
        leases = LeaseKeeper(
            kernel.incarnation,
            kernel.need(Table),
            kernel.clock,
            kernel.nonce,
            LEASE_TERM,
        )
        # Closed after the tasks that act under the leases have ended.
        await kernel.stack.enter_async_context(leases)
        configuration = kernel.need(Configuration)
        store = RolloutStore(kernel.need(Table), kernel.nonce)
        shares = RolloutShares(configuration, kernel.need(Mesh))
        quarantines = kernel.need(Quarantines)
        parts = RolloutParts(
            configuration,
            store,
            shares,
            leases,
            kernel.need(ExposureGuard),
            kernel.need(EvidenceStore),
            quarantines,
        )
        keeper = RolloutKeeper(
            parts,
            kernel.clock,
            kernel.randomness,
            ROLLOUT_PERIOD,
        )
        duties = kernel.need(Duties)
        kernel.provide(LeaseKeeper, leases)
        kernel.provide(RolloutShares, shares)
        desk = RolloutDesk(configuration, store, shares, quarantines)
        kernel.provide(RolloutDesk, desk)

        def is_mine() -> bool:
            """Tell whether this host tries for the lease."""
            return duties.is_mine(_DUTY, CANDIDATES)

        kernel.spawn(keeper.run(is_mine), 'rollouts')
