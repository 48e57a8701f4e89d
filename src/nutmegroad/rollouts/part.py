"""Part that provides leases and runs the rollouts."""

from functools import partial
from typing import Final

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.configuration.leases import LeaseManager
from nutmegroad.contracts.peers import Mesh
from nutmegroad.contracts.platform import Table
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.membership.duties import Duties, DutyName
from nutmegroad.rollouts.evidence import EvidenceStore
from nutmegroad.rollouts.exposure import ExposureGuard
from nutmegroad.rollouts.quarantines import Quarantines
from nutmegroad.rollouts.rollout_controller import (
    RolloutController,
    RolloutDependencies,
)
from nutmegroad.rollouts.rollout_service import RolloutService
from nutmegroad.rollouts.rollout_shares import RolloutShares
from nutmegroad.rollouts.rollout_store import RolloutStore

#: Seconds for which a lease is valid.
LEASE_TERM: Final = 8.0
#: Seconds between reads of the rollouts; a lease holder renews as often.
ROLLOUT_PERIOD: Final = 2.0
#: Number of hosts of each domain that are candidates for the lease.
CANDIDATES: Final = 2

_DUTY: Final = DutyName('rollouts')


@register('part', 'rollouts')
class RolloutsPart:
    """Provides leases, rollouts and their traffic shares."""

    needs = (Table, Mesh, Duties, ExposureGuard)

    async def open(self, kernel: Kernel) -> None:
        """Start to read and to advance rollouts."""
        leases = LeaseManager(
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
        parts = RolloutDependencies(
            configuration,
            store,
            shares,
            leases,
            kernel.need(ExposureGuard),
            kernel.need(EvidenceStore),
            quarantines,
        )
        controller = RolloutController(
            parts,
            kernel.clock,
            kernel.randomness,
            ROLLOUT_PERIOD,
        )
        duties = kernel.need(Duties)
        kernel.provide(LeaseManager, leases)
        kernel.provide(RolloutShares, shares)
        service = RolloutService(configuration, store, shares, quarantines)
        kernel.provide(RolloutService, service)

        def is_mine() -> bool:
            """Return whether this host is a candidate for the lease."""
            return duties.is_mine(_DUTY, CANDIDATES)

        kernel.spawn(partial(controller.run, is_mine), 'rollouts')
