"""Rules that decide which requests the planner sends to a canary version.

A canary version is a version in a rollout.
"""

from typing import Final, Protocol

import xxhash

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.foundations.types import VersionId

_HASH_BITS: Final = 64
_HASH_VALUES: Final = 2**_HASH_BITS


class CanaryRule(Protocol):
    """Decides which requests may go to a version in a rollout."""

    def allows(self, version: VersionId, request: ModelRequest) -> bool:
        """Return whether a request may go to a version."""


class PresetShares:
    """Gives a version in a rollout the full share of the preset in force.

    Args:
        configuration: Configuration in force.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration

    def allows(self, version: VersionId, request: ModelRequest) -> bool:
        """Return whether a request falls into the version's share.

        The decision is a hash of the version and the request, so all hosts
        decide alike.
        """
        drawn = xxhash.xxh64_intdigest(
            f'{version}/{request.request}'.encode(),
        )
        return drawn / _HASH_VALUES < self._share(version)

    def _share(self, version: VersionId) -> float:
        """Return a version's share in the preset; 0 if it has none."""
        accepted = self._configuration.accepted
        rollouts = () if accepted is None else accepted.preset_entry.rollouts
        for entry in rollouts:
            if entry.version == version:
                return entry.share
        return 0


class CanaryPolicy:
    """Holds the rule for versions in a rollout; another part may replace it.

    Args:
        rule: The initial rule.
    """

    def __init__(self, rule: CanaryRule) -> None:
        self.rule = rule
