"""The engines of a version by failure domain, kept for quick draws."""

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

#: Seconds for which a version's engines are taken to be the same. What has
#: left in the meantime is seen at the engine itself.
REFRESH: Final = 1.0

#: Draws for each engine that is wanted; some may not be tried.
_TRIES: Final = 3

#: Places of each engine on the ring.
_POINTS: Final = 16


class Ring:
    """Gives each prefix a home among some engines, by consistent hashing.

    Hosts that know the same engines agree without a message, and an engine
    that comes or goes moves only its own part of the prefixes.

    Args:
        states: The engines.
    """

    def __init__(self, states: list[UpstreamState]) -> None:
        points = sorted(
            (crc32(f'{state.info.upstream}#{number}'.encode()), place)
            for place, state in enumerate(states)
            for number in range(_POINTS)
        )
        self._states = states
        self._places = [place for _, place in points]
        self._hashes = [point for point, _ in points]

    def home(self, prefix: int) -> UpstreamState:
        """Return a prefix's home."""
        point = crc32(str(prefix).encode())
        found = bisect_right(self._hashes, point) % len(self._hashes)
        return self._states[self._places[found]]


@dataclass(slots=True)
class Pool:
    """The engines of a version.

    Attributes:
        built: Clock seconds at which they were listed.
        source: The directory's own list.
        domains: Engines by failure domain.
        ring: Gives prefixes a home in the host's own domain.
    """

    built: float
    source: tuple[UpstreamState, ...]
    domains: dict[DomainId, list[UpstreamState]] = field(default_factory=dict)
    ring: 'Ring | None' = None


class EnginePools:
    """Lists the engines of each version once in a while.

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
        """Return the engines of a version."""
        now = self._clock.now()
        known = self._pools.get(version)
        if known and known.source and now - known.built < REFRESH:
            return known
        fresh = Pool(now, self._directory.engines(version))
        if known and _same(known.source, fresh.source):
            known.built = now
            return known
        for state in fresh.source:
            fresh.domains.setdefault(state.info.domain, []).append(state)
        local = fresh.domains.get(self._domain)
        if local:
            fresh.ring = Ring(local)
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
    if not state.is_open:
        return False
    return state.report is not None and version in state.report.versions


def slots_of(state: UpstreamState) -> int:
    """Return the slots that an engine has reported."""
    return max(1, state.report.slots) if state.report else 1


def names_of(states: list[UpstreamState]) -> tuple[UpstreamId, ...]:
    """Return the engines' ids."""
    return tuple(state.info.upstream for state in states)


def _same(
    one: tuple[UpstreamState, ...],
    other: tuple[UpstreamState, ...],
) -> bool:
    """Tell whether two lists hold the very same engines."""
    return len(one) == len(other) and all(map(is_, one, other))
