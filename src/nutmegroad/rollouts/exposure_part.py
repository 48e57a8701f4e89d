"""Part that tests versions on evidence and quarantines the bad ones."""

from typing import Final

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.decisions import Observers, Quarantine
from nutmegroad.contracts.peers import Mesh
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.quality.ratings import RatingFeed
from nutmegroad.rollouts._exposure_gossip import ExposureGossip
from nutmegroad.rollouts.evidence import EvidenceStore
from nutmegroad.rollouts.exposure import ExposureGuard
from nutmegroad.rollouts.quarantines import Quarantines

#: Seconds between gossip rounds.
GOSSIP_PERIOD: Final = 2.0


@register('quarantine', 'evidence')
def evidence_quarantine(kernel: Kernel) -> Quarantines:
    """Create the quarantines of a host."""
    return Quarantines(kernel.need(Configuration))


@register('part', 'exposure')
class ExposurePart:
    """Provides the evidence, the guard and the quarantines.

    If the settings select another quarantine, the guard still tests and logs
    its findings, but nothing is blocked.
    """

    needs = (Quarantine, Observers, Mesh, RatingFeed)

    async def open(self, kernel: Kernel) -> None:
        """Start to count attempts and to exchange evidence."""
        configuration = kernel.need(Configuration)
        quarantines = kernel.need(Quarantine)
        if not isinstance(quarantines, Quarantines):
            quarantines = Quarantines(configuration)
        evidence = EvidenceStore(kernel.incarnation)
        guard = ExposureGuard(
            configuration,
            evidence,
            kernel.need(RatingFeed),
            quarantines,
        )
        gossip = ExposureGossip(
            kernel.need(Mesh),
            evidence,
            quarantines,
            kernel.clock,
            kernel.randomness,
            GOSSIP_PERIOD,
        )
        kernel.need(Observers).add(evidence)
        kernel.provide(EvidenceStore, evidence)
        kernel.provide(ExposureGuard, guard)
        kernel.provide(Quarantines, quarantines)
        kernel.spawn(gossip.run, 'exposure')
