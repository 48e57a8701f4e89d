"""What workspaces ask for, at this host and at the others of its domain."""

from typing import Final

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.foundations.types import Revision, WorkspaceId
from nutmegroad.routing._slots import Identity
from nutmegroad.routing.fleet import FleetLoad
from nutmegroad.routing.shares import water_fill

#: Workspaces that a digest names, the largest.
NAMED: Final = 8

#: Weight of the newest observation.
_GAIN: Final = 0.3

#: Below this a workspace asks for nothing.
_LEAST: Final = 0.05

#: The least part of its weight that a workspace has at any one host.
_LEAST_PART: Final = 0.05


class Demand:
    """Slots that each workspace would use, smoothed.

    Args:
        configuration: Knows the shares.
        fleet: What other hosts say.
        identity: Who this host is.
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
        self._parts: dict[WorkspaceId, float] = {}

    def began(self, workspace: WorkspaceId) -> None:
        """Count a request that runs."""
        self._running[workspace] = self._running.get(workspace, 0) + 1

    def ended(self, workspace: WorkspaceId) -> None:
        """Count a request that runs no more."""
        self._running[workspace] -= 1
        if not self._running[workspace]:
            self._running.pop(workspace)

    def refused(self, workspace: WorkspaceId, cost: float) -> None:
        """Count slot-seconds that were refused since the last look."""
        self._refused[workspace] = self._refused.get(workspace, 0) + cost

    def observe(self, queued: dict[WorkspaceId, int]) -> None:
        """Look at what is asked for; called about once a second."""
        found = dict(self._refused)
        for counts in (self._running, queued):
            for workspace, count in counts.items():
                found[workspace] = found.get(workspace, 0) + count
        fresh = {
            name: self._smoothed(name, found.get(name, 0))
            for name in found.keys() | self._smooth.keys()
        }
        self._smooth = {
            name: slots for name, slots in fresh.items() if slots > _LEAST
        }
        self._refused = {}
        self._divide()

    def largest(self) -> dict[str, float]:
        """Return the largest demands, for a digest."""
        names = sorted(self._smooth, key=self._smooth.__getitem__)
        return {
            str(name): round(self._smooth[name], 1) for name in names[-NAMED:]
        }

    def entitlement(self, permits: int) -> float:
        """Return this host's part if permits were divided by share."""
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
        """Return a workspace's share as the configuration has it."""
        if self._configuration.revision != self._revision:
            self._read_shares()
        return self._shares.get(workspace, 1.0)

    def weight(self, workspace: WorkspaceId) -> float:
        """Return a workspace's weight at this host.

        A workspace that comes in at few hosts has more of its weight there,
        so that it gets its share of the whole domain.
        """
        return self.share(workspace) * self._parts.get(workspace, 1.0)

    def _smoothed(self, workspace: WorkspaceId, found: float) -> float:
        """Return a workspace's demand with the newest observation."""
        before = self._smooth.get(workspace, found)
        return before + (found - before) * _GAIN

    def _read_shares(self) -> None:
        """Read the shares of the configuration in force."""
        accepted = self._configuration.accepted
        entries = accepted.document.workspaces if accepted else ()
        self._shares = {entry.workspace: entry.share for entry in entries}
        self._revision = self._configuration.revision

    def _divide(self) -> None:
        """Find which part of each workspace's demand comes in here."""
        others = self._fleet.demand(self._identity.domain)
        hosts = len(self._fleet.hosts(self._identity.domain)) + 1
        # In parts of an even spread, so that 1 is as if none were known.
        self._parts = {
            name: max(_LEAST_PART, hosts * own / (own + others.get(name, 0)))
            for name, own in self._smooth.items()
        }
