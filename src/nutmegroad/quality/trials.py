"""Which requests a version in roll-out gets from the planner."""

from typing import Final, Protocol

import xxhash

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.foundations.types import VersionId

_HASH_BITS: Final = 64
_HASHES: Final = 2**_HASH_BITS


class TrialRule(Protocol):
    """Says which requests a version in roll-out may get."""

    def allows(self, version: VersionId, request: ModelRequest) -> bool:
        """Tell whether a request may go to a version."""


class PresetShares:
    """Gives a version in roll-out the whole share of the preset in force.

    Args:
        configuration: What is in force.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration

    def allows(self, version: VersionId, request: ModelRequest) -> bool:
        """Tell whether a request is one of the version's share.

        All hosts draw the same for the same request.
        """
        drawn = xxhash.xxh64_intdigest(
            f'{version}/{request.request}'.encode(),
        )
        return drawn / _HASHES < self._share(version)

    def _share(self, version: VersionId) -> float:
        """Return the preset's share."""
        accepted = self._configuration.accepted
        rollouts = () if accepted is None else accepted.preset_entry.rollouts
        for entry in rollouts:
            if entry.version == version:
                return entry.share
        return 0


class Trials:
    """The rule for versions in roll-out; another part may replace it.

    Args:
        rule: The rule to begin with.
    """

    def __init__(self, rule: TrialRule) -> None:
        self.rule = rule
