"""Demand for slots by workspace, at this host and across its failure domain."""

from typing import Final

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.foundations.types import Revision, WorkspaceId
from nutmegroad.routing._slots import Identity
from nutmegroad.routing.fleet_load import FleetLoad
from nutmegroad.routing.shares import water_fill

#: Maximum number of workspaces named in a digest, the largest first.
MAX_NAMED_WORKSPACES: Final = 8

#: Weight of the newest observation.
_GAIN: Final = 0.3

#: Demand in slots below which a workspace counts as idle.
_MIN_DEMAND: Final = 0.05

#: Minimum fraction of its weight that a workspace has at any one host.
_MIN_WEIGHT_FRACTION: Final = 0.05


class Demand:
    """Smoothed number of slots that each workspace would use.

    Args:
        configuration: Configuration with the quota shares.
        fleet: Load digests of the other hosts.
        identity: Id and failure domain of this host.
    """

    def __init__(
        self,
        configuration: Configuration,
        fleet: FleetLoad,
        identity: Identity,
    ) -> None:
        self._configuration = configuration
        self._fleet = fleet
        self._identity = identity
        self._running: dict[WorkspaceId, int] = {}
        self._refused: dict[WorkspaceId, float] = {}
        self._smooth: dict[WorkspaceId, float] = {}
        self._shares: dict[WorkspaceId, float] = {}
        self._revision = Revision(-1)
        self._fractions: dict[WorkspaceId, float] = {}

    def started(self, workspace: WorkspaceId) -> None:
        """Count a request that starts to run."""
        self._running[workspace] = self._running.get(workspace, 0) + 1

    def ended(self, workspace: WorkspaceId) -> None:
        """Stop counting a request that has ended."""
        self._running[workspace] -= 1
        if not self._running[workspace]:
            self._running.pop(workspace)

    def refused(self, workspace: WorkspaceId, cost: float) -> None:
        """Record that a request was refused.

        Args:
            workspace: Its workspace.
            cost: Slot-seconds that it was expected to take.
        """
        self._refused[workspace] = self._refused.get(workspace, 0) + cost

    def observe(self, queued: dict[WorkspaceId, int]) -> None:
        """Update the smoothed demand; called for each digest that is sent.

        Args:
            queued: Number of queued requests by workspace.
        """
        found = dict(self._refused)
        for counts in (self._running, queued):
            for workspace, count in counts.items():
                found[workspace] = found.get(workspace, 0) + count
        fresh = {
            name: self._smoothed(name, found.get(name, 0))
            for name in found.keys() | self._smooth.keys()
        }
        self._smooth = {
            name: slots for name, slots in fresh.items() if slots > _MIN_DEMAND
        }
        self._refused = {}
        self._update_fractions()

    def largest(self) -> dict[str, float]:
        """Return the largest demands in slots by workspace, for a digest."""
        names = sorted(self._smooth, key=self._smooth.__getitem__)
        return {
            str(name): round(self._smooth[name], 1)
            for name in names[-MAX_NAMED_WORKSPACES:]
        }

    def entitlement(self, permits: int) -> float:
        """Return this host's permits under a division by quota share.

        Args:
            permits: Permits of all hosts of the failure domain.
        """
        domain = self._identity.domain
        total = self._fleet.demand(domain)
        for workspace, slots in self._smooth.items():
            total[workspace] = total.get(workspace, 0) + slots
        weights = {name: self.share(name) for name in total}
        granted = water_fill(permits, total, weights)
        mine = sum(
            granted[name] * own / total[name]
            for name, own in self._smooth.items()
        )
        hosts = len(self._fleet.hosts(domain)) + 1
        return mine + (permits - sum(granted.values())) / hosts

    def share(self, workspace: WorkspaceId) -> float:
        """Return a workspace's quota share in the current configuration."""
        if self._configuration.revision != self._revision:
            self._read_shares()
        return self._shares.get(workspace, 1.0)

    def weight(self, workspace: WorkspaceId) -> float:
        """Return a workspace's weight in this host's queue.

        A workspace whose requests arrive at few hosts has a higher weight at
        these, so that it gets its quota share of the domain's slots as a whole.
        """
        return self.share(workspace) * self._fractions.get(workspace, 1.0)

    def _smoothed(self, workspace: WorkspaceId, found: float) -> float:
        """Return a workspace's demand including the newest observation."""
        before = self._smooth.get(workspace, found)
        return before + (found - before) * _GAIN

    def _read_shares(self) -> None:
        """Read the quota shares from the current configuration."""
        accepted = self._configuration.accepted
        entries = accepted.document.workspaces if accepted else ()
        self._shares = {entry.workspace: entry.share for entry in entries}
        self._revision = self._configuration.revision

    def _update_fractions(self) -> None:
        """Update the fraction of each workspace's demand that arrives here."""
        others = self._fleet.demand(self._identity.domain)
        hosts = len(self._fleet.hosts(self._identity.domain)) + 1
        # Relative to an even distribution over the hosts: 1 means that the
        # workspace sends this host as much as the others on average. This is
        # also the default for an unknown workspace.
        self._fractions = {
            name: max(
                _MIN_WEIGHT_FRACTION, hosts * own / (own + others.get(name, 0))
            )
            for name, own in self._smooth.items()
        }
