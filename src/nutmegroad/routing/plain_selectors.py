"""Simple engine selectors, used as baselines."""

import random
from abc import ABC, abstractmethod

from nutmegroad.contracts.decisions import Choice
from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.contracts.upstreams import UpstreamState
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import UpstreamId, VersionId
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.routing.directory import Directory


class _PlainSelector(ABC):
    """Base of selectors that pick among the engines with a version loaded.

    Args:
        directory: The upstreams.
    """

    def __init__(self, directory: Directory) -> None:
        self._directory = directory

    def choose(
        self,
        request: ModelRequest,
        version: VersionId,
        excluded: frozenset[UpstreamId],
    ) -> Choice | Refusal:
        """Return an engine, or a refusal if there is none."""
        states = [
            state
            for state in self._directory.engines(version)
            if state.info.upstream not in excluded
        ]
        limits = self._directory.limits
        usable = [state for state in states if limits.may_send(state.info)]
        if usable:
            return self._pick(usable, version)
        limited = limits.refusal_for(states)
        return no_engine(version) if limited is None else limited

    @abstractmethod
    def _pick(self, states: list[UpstreamState], version: VersionId) -> Choice:
        """Return one of the engines; ``states`` is never empty."""


class RoundRobin(_PlainSelector):
    """Selects the engines of a version one after the other.

    Args:
        directory: The upstreams.
    """

    def __init__(self, directory: Directory) -> None:
        super().__init__(directory)
        self._counts: dict[VersionId, int] = {}

    def _pick(self, states: list[UpstreamState], version: VersionId) -> Choice:
        """Return the next engine."""
        count = self._counts.get(version, 0)
        self._counts[version] = count + 1
        return Choice(states[count % len(states)], 0, 'round robin')


class RandomChoice(_PlainSelector):
    """Selects a random engine of a version.

    Args:
        directory: The upstreams.
        randomness: Source of the selection.
    """

    def __init__(
        self,
        directory: Directory,
        randomness: random.Random,
    ) -> None:
        super().__init__(directory)
        self._randomness = randomness

    def _pick(self, states: list[UpstreamState], version: VersionId) -> Choice:
        """Return a random engine."""
        return Choice(self._randomness.choice(states), 0, 'random choice')


class LeastInFlight(RandomChoice):
    """Selects the engine with the fewest requests from this host in flight.

    Ties are broken at random.
    """

    def _pick(self, states: list[UpstreamState], version: VersionId) -> Choice:
        """Return the engine with the fewest requests in flight."""
        self._randomness.shuffle(states)
        chosen = min(states, key=lambda state: state.in_flight)
        return Choice(chosen, 0, 'fewest requests in flight')


def no_engine(version: VersionId) -> Refusal:
    """Return the refusal for a version without an available engine."""
    return Refusal(
        ResultCode.NO_UPSTREAM,
        f'No available engine has version {version} loaded.',
        retry_after=1,
    )


@register('selector', 'round-robin')
def round_robin(kernel: Kernel) -> RoundRobin:
    """Create the selector of a host."""
    return RoundRobin(kernel.need(Directory))


@register('selector', 'random')
def random_choice(kernel: Kernel) -> RandomChoice:
    """Create the selector of a host."""
    return RandomChoice(kernel.need(Directory), kernel.randomness)


@register('selector', 'least-in-flight')
def least_in_flight(kernel: Kernel) -> LeastInFlight:
    """Create the selector of a host."""
    return LeastInFlight(kernel.need(Directory), kernel.randomness)
