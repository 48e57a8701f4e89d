"""Planners to compare with: they look at no rating."""

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

#: Picks one of some versions, which are in the order of their cost.
Pick = Callable[[list[VersionEntry]], VersionEntry]


class FixedPlanner:
    """Picks a version by its price alone.

    Args:
        configuration: What is in force.
        pick: Picks one of the versions, cheapest first.
        reason: Why, in words.
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
        for entry in map(self._configuration.entry, request.versions):
            if entry is None:
                continue
            prompt, output = request.prompt_tokens, request.output_tokens
            costs[entry.id] = cost_of(entry, prompt, output)
            entries.append(entry)
        if not entries:
            return Refusal(ResultCode.NO_PLAN, 'No version may answer.')
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
        """Return what the version's owner declared."""
        entry = self._configuration.entry(end.start.version)
        return entry.quality.get(request.task, 0) if entry else 0


def dearest(configuration: Configuration) -> FixedPlanner:
    """Return the planner that always takes the dearest version."""
    return FixedPlanner(
        configuration,
        lambda entries: entries[-1],
        'the dearest version',
    )


def cheapest_only(configuration: Configuration) -> FixedPlanner:
    """Return the planner that always takes the cheapest version."""
    return FixedPlanner(
        configuration,
        lambda entries: entries[0],
        'the cheapest version, whatever the target',
    )


def static_share(
    configuration: Configuration,
    randomness: random.Random,
) -> FixedPlanner:
    """Return the planner that gives each version the same share."""
    return FixedPlanner(
        configuration,
        randomness.choice,
        'equal shares between all versions',
    )


@register('planner', 'dearest')
def dearest_planner(kernel: Kernel) -> FixedPlanner:
    """Make the planner for a host."""
    return dearest(kernel.need(Configuration))


@register('planner', 'cheapest-only')
def cheapest_only_planner(kernel: Kernel) -> FixedPlanner:
    """Make the planner for a host."""
    return cheapest_only(kernel.need(Configuration))


@register('planner', 'static-share')
def static_share_planner(kernel: Kernel) -> FixedPlanner:
    """Make the planner for a host."""
    return static_share(kernel.need(Configuration), kernel.randomness)
