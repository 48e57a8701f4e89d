"""Plain selectors: a first version of the decision, and baselines."""

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
    """Takes one of the engines that have a version loaded.

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
        """Return an engine, or why there is none."""
        states = [
            state
            for state in self._directory.engines(version)
            if state.info.upstream not in excluded
        ]
        return self._pick(states, version) if states else no_engine(version)

    @abstractmethod
    def _pick(self, states: list[UpstreamState], version: VersionId) -> Choice:
        """Return one of the engines; there is at least one."""


class RoundRobin(_PlainSelector):
    """Takes the engines of a version in turn.

    Args:
        directory: The upstreams.
    """

    def __init__(self, directory: Directory) -> None:
        super().__init__(directory)
        self._turns: dict[VersionId, int] = {}

    def _pick(self, states: list[UpstreamState], version: VersionId) -> Choice:
        """Return the next engine."""
        turn = self._turns.get(version, 0)
        self._turns[version] = turn + 1
        return Choice(states[turn % len(states)], 0, 'next in turn')


class RandomChoice(_PlainSelector):
    """Takes any engine of a version.

    Args:
        directory: The upstreams.
        randomness: Draws it.
    """

    def __init__(
        self,
        directory: Directory,
        randomness: random.Random,
    ) -> None:
        super().__init__(directory)
        self._randomness = randomness

    def _pick(self, states: list[UpstreamState], version: VersionId) -> Choice:
        """Return any engine."""
        return Choice(self._randomness.choice(states), 0, 'drawn')


class LeastInFlight(RandomChoice):
    """Takes the upstream at which this host has the least in flight.

    Ties are broken at random.
    """

    def _pick(self, states: list[UpstreamState], version: VersionId) -> Choice:
        """Return the upstream with the least in flight."""
        self._randomness.shuffle(states)
        chosen = min(states, key=lambda state: state.in_flight)
        return Choice(chosen, 0, 'least in flight')


def no_engine(version: VersionId) -> Refusal:
    """Say that no engine can be had."""
    return Refusal(
        ResultCode.NO_UPSTREAM,
        f'No live engine that may be tried has {version} loaded.',
        retry_after=1,
    )


@register('selector', 'round-robin')
def round_robin(kernel: Kernel) -> RoundRobin:
    """Make the selector for a host."""
    return RoundRobin(kernel.need(Directory))


@register('selector', 'random')
def random_choice(kernel: Kernel) -> RandomChoice:
    """Make the selector for a host."""
    return RandomChoice(kernel.need(Directory), kernel.randomness)


@register('selector', 'least-in-flight')
def least_in_flight(kernel: Kernel) -> LeastInFlight:
    """Make the selector for a host."""
    return LeastInFlight(kernel.need(Directory), kernel.randomness)
