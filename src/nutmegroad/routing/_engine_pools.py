"""The engines of each version by failure domain, cached for fast sampling."""

import math
import random
from bisect import bisect_right
from collections.abc import Iterator
from dataclasses import dataclass, field
from operator import is_
from typing import Final
from zlib import crc32

from nutmegroad.contracts.upstreams import UpstreamState
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import DomainId, UpstreamId, VersionId
from nutmegroad.routing.directory import Directory

#: Seconds for which the cached list of a version's engines is used. Engines
#: that have left in the meantime are recognized by their own state.
REFRESH_INTERVAL: Final = 1.0

#: Samples drawn for each engine wanted, since some may be unusable.
_SAMPLES_PER_ENGINE: Final = 3

#: Points of each engine on the hash ring.
_POINTS_PER_ENGINE: Final = 16


class HashRing:
    """Assigns each prefix to one of some engines by consistent hashing.

    Hosts that know the same engines agree without exchanging messages. An
    engine that is added or removed moves only its own fraction of the prefixes.

    Args:
        states: The engines.
    """

    def __init__(self, states: list[UpstreamState]) -> None:
        points = sorted(
            (crc32(f'{state.info.upstream}#{number}'.encode()), place)
            for place, state in enumerate(states)
            for number in range(_POINTS_PER_ENGINE)
        )
        self._states = states
        self._places = [place for _, place in points]
        self._hashes = [point for point, _ in points]

    def engine_for(self, prefix: int) -> UpstreamState:
        """Return the engine to which a prefix is assigned."""
        point = crc32(str(prefix).encode())
        found = bisect_right(self._hashes, point) % len(self._hashes)
        return self._states[self._places[found]]


@dataclass(slots=True)
class Pool:
    """The engines of a version.

    Attributes:
        built: Clock seconds at which the engines were listed.
        source: The list as returned by the directory.
        domains: Engines by failure domain.
        ring: Hash ring of the engines in the host's own domain; None if it has
            none.
    """

    built: float
    source: tuple[UpstreamState, ...]
    domains: dict[DomainId, list[UpstreamState]] = field(default_factory=dict)
    ring: 'HashRing | None' = None


class EnginePools:
    """Caches the engines of each version and refreshes them periodically.

    Args:
        directory: The upstreams.
        clock: The host's clock.
        domain: The failure domain of this host.
    """

    def __init__(
        self,
        directory: Directory,
        clock: Clock,
        domain: DomainId,
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._domain = domain
        self._pools: dict[VersionId, Pool] = {}

    def pool(self, version: VersionId) -> Pool:
        """Return the engines of a version, as listed a short time ago."""
        known = self._pools.get(version)
        age = math.inf if known is None else self._clock.now() - known.built
        if known and known.source and age < REFRESH_INTERVAL:
            return known
        return self.refreshed(version)

    def refreshed(self, version: VersionId) -> Pool:
        """Return the engines of a version as they are listed now.

        Returns:
            The cached object if the engines are the same.
        """
        now = self._clock.now()
        known = self._pools.get(version)
        fresh = Pool(now, self._directory.engines(version))
        if known and _is_same(known.source, fresh.source):
            known.built = now
            return known
        for state in fresh.source:
            fresh.domains.setdefault(state.info.domain, []).append(state)
        local = fresh.domains.get(self._domain)
        if local:
            fresh.ring = HashRing(local)
        self._pools[version] = fresh
        return fresh


def sample(
    states: list[UpstreamState],
    wanted: int,
    randomness: random.Random,
) -> Iterator[UpstreamState]:
    """Sample engines without scanning the list.

    A short list is returned as a whole, in random order.

    Args:
        states: The engines to sample.
        wanted: Number of usable engines wanted.
        randomness: Source of the sample.
    """
    if len(states) <= wanted * _SAMPLES_PER_ENGINE:
        yield from randomness.sample(states, len(states))
        return
    places: set[int] = set()
    for _ in range(wanted * _SAMPLES_PER_ENGINE):
        places.add(int(randomness.random() * len(states)))
    for place in places:
        yield states[place]


def can_serve(state: UpstreamState, version: VersionId) -> bool:
    """Return whether an engine can take new work for a version right now."""
    if not state.accepts_requests:
        return False
    return state.report is not None and version in state.report.versions


def slots_of(state: UpstreamState) -> int:
    """Return the number of slots that an engine has reported, at least 1."""
    return max(1, state.report.slots) if state.report else 1


def ids_of(states: list[UpstreamState]) -> tuple[UpstreamId, ...]:
    """Return the engines' ids."""
    return tuple(state.info.upstream for state in states)


def _is_same(
    one: tuple[UpstreamState, ...],
    other: tuple[UpstreamState, ...],
) -> bool:
    """Return whether two lists contain the same state objects in order."""
    return len(one) == len(other) and all(map(is_, one, other))
