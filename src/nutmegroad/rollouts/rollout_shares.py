"""Traffic shares of rollouts that are in force on this host."""

from typing import ClassVar, Final

import xxhash

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.documents import Stage
from nutmegroad.contracts.peers import Mesh, Message
from nutmegroad.contracts.platform import Row, RowKey, RowVersion
from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import HostId, VersionId
from nutmegroad.rollouts.rollout_store import Rollout, decode_rollout

_LOG: Final = part_logger('rollouts')

#: Bits of the hash by which requests are selected.
HASH_BITS: Final = 64
_HASH_VALUES: Final = 2**HASH_BITS


class RolloutMessage(Message, frozen=True, tag='rollout'):
    """Row of a rollout, sent by its writer or a reader.

    Attributes:
        key: Key of the row.
        text: Content of the row.
        version: Version of the row; of two, the higher holds.
    """

    part: ClassVar[str] = 'rollouts'

    key: RowKey
    text: str
    version: RowVersion


class RolloutShares:
    """Decides which requests a version in a rollout may get.

    Args:
        configuration: Configuration in force.
        mesh: Links to the other hosts.
    """

    def __init__(self, configuration: Configuration, mesh: Mesh) -> None:
        self._configuration = configuration
        self._mesh = mesh
        self._known: dict[VersionId, Rollout] = {}
        mesh.handle(RolloutMessage, self._receive)

    @property
    def known(self) -> tuple[Rollout, ...]:
        """Rollouts that this host knows."""
        return tuple(self._known.values())

    def share(self, version: VersionId) -> float:
        """Return the traffic share in force, within the preset's bound.

        A steady version has no bound. A version in a rollout has no share
        before an operator has started the rollout of its present epoch.
        """
        entry = self._configuration.version_entry(version)
        if entry is None:
            return 0
        if entry.stage is not Stage.ROLLOUT:
            return 1
        rollout = self._known.get(version)
        if rollout is None or rollout.state.epoch != entry.epoch:
            return 0
        return min(rollout.state.share_in_force, self.bound(version))

    def bound(self, version: VersionId) -> float:
        """Return the maximum share that the preset in force allows."""
        accepted = self._configuration.accepted
        if accepted is None:
            return 0
        for bound in accepted.preset_entry.rollouts:
            if bound.version == version:
                return bound.share
        return 0

    def allows(self, version: VersionId, request: ModelRequest) -> bool:
        """Return whether a request may go to a version.

        All hosts decide alike on the same request. A growing share keeps all
        requests that a smaller share gave.
        """
        session = request.session
        if session is not None and session.version == version:
            return True
        share = self.share(version)
        hashed = xxhash.xxh64_intdigest(
            f'{version}/{request.request}'.encode(),
        )
        return hashed / _HASH_VALUES < share

    def update(self, rollout: Rollout) -> bool:
        """Store a rollout, and broadcast it, if it is newer.

        Returns:
            Whether it is newer.
        """
        version = rollout.state.version
        known = self._known.get(version)
        if known is not None and rollout.row.version <= known.row.version:
            return False
        self._known[version] = rollout
        row = rollout.row
        self._mesh.broadcast(RolloutMessage(row.key, row.text, row.version))
        return True

    async def _receive(self, sender: HostId, message: RolloutMessage) -> None:
        """Store a rollout that another host has sent."""
        row = Row(message.key, message.text, message.version)
        rollout = decode_rollout(row)
        if isinstance(rollout, Refusal):
            _LOG.warning(
                'host %s sent the rollout row %r, which cannot be decoded',
                sender,
                message.key,
            )
            return
        self.update(rollout)
