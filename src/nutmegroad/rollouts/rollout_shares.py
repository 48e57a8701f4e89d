"""The shares of roll-outs that are in force on this host."""

from typing import ClassVar, Final

import msgspec
import xxhash

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.documents import Stage
from nutmegroad.contracts.peers import Mesh, Message
from nutmegroad.contracts.platform import Row, RowKey, RowVersion
from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import HostId, VersionId
from nutmegroad.rollouts.rollout_store import Rollout, decode_rollout

_LOG: Final = part_logger('rollouts')

#: Bits of the hash by which requests are drawn.
HASH_BITS: Final = 64
_HASHES: Final = 2**HASH_BITS


class RolloutMessage(Message, frozen=True, tag='rollout'):
    """A roll-out's row, as its writer or a reader knows it.

    Attributes:
        key: The row's key.
        text: Its text.
        version: Its version; of two, the higher holds.
    """

    part: ClassVar[str] = 'rollouts'

    key: RowKey
    text: str
    version: RowVersion


class RolloutShares:
    """Tells which requests a version in roll-out may get.

    Args:
        configuration: What is in force.
        mesh: The other hosts.
    """

    def __init__(self, configuration: Configuration, mesh: Mesh) -> None:
        self._configuration = configuration
        self._mesh = mesh
        self._known: dict[VersionId, Rollout] = {}
        mesh.handle(RolloutMessage, self._take)

    @property
    def known(self) -> tuple[Rollout, ...]:
        """Return the roll-outs that this host knows."""
        return tuple(self._known.values())

    def share(self, version: VersionId) -> float:
        """Return the share in force, within the preset's bound.

        A steady version has no bound. One in roll-out has no share before
        an operator has begun it, nor one of an earlier epoch.
        """
        entry = self._configuration.entry(version)
        if entry is None:
            return 0
        if entry.stage is not Stage.ROLLOUT:
            return 1
        rollout = self._known.get(version)
        if rollout is None or rollout.state.epoch != entry.epoch:
            return 0
        return min(rollout.state.share_in_force, self.bound(version))

    def bound(self, version: VersionId) -> float:
        """Return the most that the preset in force allows."""
        accepted = self._configuration.accepted
        if accepted is None:
            return 0
        for bound in accepted.preset_entry.rollouts:
            if bound.version == version:
                return bound.share
        return 0

    def allows(self, version: VersionId, request: ModelRequest) -> bool:
        """Tell whether a request may go to a version.

        All hosts draw the same for the same request, and a growing share
        takes no request away that a smaller one gave.
        """
        session = request.session
        if session is not None and session.version == version:
            return True
        share = self.share(version)
        drawn = xxhash.xxh64_intdigest(
            f'{version}/{request.request}'.encode(),
        )
        return drawn / _HASHES < share

    def learn(self, rollout: Rollout) -> bool:
        """Take a roll-out, and tell others if it is newer."""
        version = rollout.state.version
        known = self._known.get(version)
        if known is not None and rollout.row.version <= known.row.version:
            return False
        self._known[version] = rollout
        row = rollout.row
        self._mesh.tell_all(RolloutMessage(row.key, row.text, row.version))
        return True

    async def _take(self, sender: HostId, message: RolloutMessage) -> None:
        row = Row(message.key, message.text, message.version)
        try:
            rollout = decode_rollout(row)
        except msgspec.DecodeError:
            _LOG.warning('host %s told of a roll-out that is none', sender)
            return
        self.learn(rollout)
