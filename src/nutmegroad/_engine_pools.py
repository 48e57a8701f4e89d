"""The engines of a version by failure domain, kept for quick draws."""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from nutmegroad.clocks import Clock
from nutmegroad.directory import Directory
from nutmegroad.types import DomainId, Presence, UpstreamId, VersionId
from nutmegroad.upstreams import UpstreamState

#: Seconds for which a version's engines are taken to be the same. What has
#: left in the meantime is seen at the engine itself.
REFRESH: Final = 1.0

#: Draws for each engine that is wanted; some may not be tried.
_TRIES: Final = 3


@dataclass(slots=True)
class Pool:
    """The engines of a version.

    Attributes:
        built: Clock seconds at which they were listed.
        source: The directory's own list.
        domains: Engines by failure domain.
    """

    built: float
    source: tuple[UpstreamState, ...]
    domains: dict[DomainId, list[UpstreamState]] = field(default_factory=dict)


class EnginePools:
    """Lists the engines of each version once in a while.

    Args:
        directory: The upstreams.
        clock: The host's clock.
    """

    def __init__(self, directory: Directory, clock: Clock) -> None:
        self._directory = directory
        self._clock = clock
        self._pools: dict[VersionId, Pool] = {}

    def pool(self, version: VersionId) -> Pool:
        """Return the engines of a version."""
        now = self._clock.now()
        known = self._pools.get(version)
        if known and known.source and now - known.built < REFRESH:
            return known
        fresh = Pool(now, self._directory.engines(version))
        for state in fresh.source:
            fresh.domains.setdefault(state.info.domain, []).append(state)
        self._pools[version] = fresh
        return fresh


def draw(
    states: list[UpstreamState],
    wanted: int,
    randomness: random.Random,
) -> Iterator[UpstreamState]:
    """Draw engines without a scan; few are all given, in random order."""
    if len(states) <= wanted * _TRIES:
        yield from randomness.sample(states, len(states))
        return
    places: set[int] = set()
    for _ in range(wanted * _TRIES):
        places.add(int(randomness.random() * len(states)))
    for place in places:
        yield states[place]


def has_loaded(state: UpstreamState, version: VersionId) -> bool:
    """Tell whether an engine may get new work for a version, as known now."""
    if state.leaving or state.info.presence is not Presence.LIVE:
        return False
    return state.report is not None and version in state.report.versions


def slots_of(state: UpstreamState) -> int:
    """Return the slots that an engine has reported."""
    return max(1, state.report.slots) if state.report else 1


def names_of(states: list[UpstreamState]) -> tuple[UpstreamId, ...]:
    """Return the engines' ids."""
    return tuple(state.info.upstream for state in states)
