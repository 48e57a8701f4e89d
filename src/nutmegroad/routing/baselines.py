"""Planners that serve as baselines: they ignore quality estimates."""

import random
from collections.abc import Callable

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.decisions import AttemptEnd
from nutmegroad.contracts.documents import VersionEntry
from nutmegroad.contracts.requests import ModelRequest, Plan
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.quality.prices import cost_of

#: Picks one of some versions, which are sorted by ascending cost.
Pick = Callable[[list[VersionEntry]], VersionEntry]


class FixedPlanner:
    """Selects a version by its price alone.

    Args:
        configuration: The current configuration.
        pick: Picks one of the versions, which are sorted by ascending cost.
        reason: The reason to give in plans.
    """

    def __init__(
        self,
        configuration: Configuration,
        pick: Pick,
        reason: str,
    ) -> None:
        self._configuration = configuration
        self._pick = pick
        self._reason = reason

    def plan(self, request: ModelRequest) -> Plan | Refusal:
        """Return a plan of one step."""
        costs: dict[str, float] = {}
        entries: list[VersionEntry] = []
        for entry in map(self._configuration.version_entry, request.versions):
            if entry is None:
                continue
            prompt, output = request.prompt_tokens, request.output_tokens
            costs[entry.id] = cost_of(entry, prompt, output)
            entries.append(entry)
        if not entries:
            allowed = ', '.join(request.versions) or 'none'
            return Refusal(
                ResultCode.NO_PLAN,
                f'No allowed version is configured; allowed: {allowed}.',
            )
        entries.sort(key=lambda priced: costs[priced.id])
        chosen = self._pick(entries)
        return Plan(
            steps=(chosen.version,),
            accept=(),
            cost=costs[chosen.id],
            quality=chosen.quality.get(request.task, 0),
            reason=self._reason,
        )

    def estimate(self, request: ModelRequest, end: AttemptEnd) -> float:
        """Return the quality declared by the version's owner."""
        entry = self._configuration.version_entry(end.start.version)
        return entry.quality.get(request.task, 0) if entry else 0


def most_expensive(configuration: Configuration) -> FixedPlanner:
    """Return the planner that always selects the most expensive version."""
    return FixedPlanner(
        configuration,
        lambda entries: entries[-1],
        'most expensive version',
    )


def cheapest_only(configuration: Configuration) -> FixedPlanner:
    """Return the planner that always selects the cheapest version."""
    return FixedPlanner(
        configuration,
        lambda entries: entries[0],
        'cheapest version, regardless of the target',
    )


def static_share(
    configuration: Configuration,
    randomness: random.Random,
) -> FixedPlanner:
    """Return the planner that divides requests evenly between versions."""
    return FixedPlanner(
        configuration,
        randomness.choice,
        'equal traffic shares for all versions',
    )


@register('planner', 'dearest')
def most_expensive_planner(kernel: Kernel) -> FixedPlanner:
    """Create the planner of a host."""
    return most_expensive(kernel.need(Configuration))


@register('planner', 'cheapest-only')
def cheapest_only_planner(kernel: Kernel) -> FixedPlanner:
    """Create the planner of a host."""
    return cheapest_only(kernel.need(Configuration))


@register('planner', 'static-share')
def static_share_planner(kernel: Kernel) -> FixedPlanner:
    """Create the planner of a host."""
    return static_share(kernel.need(Configuration), kernel.randomness)
