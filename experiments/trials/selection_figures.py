"""What trials are put through, and the figures that they give."""

import math
from dataclasses import dataclass, field
from typing import Final

from experiments.trials.selection_fleet import DOMAINS, Size, workspace_names
from nutmegroad.foundations.types import WorkspaceId
from nutmegroad.routing.shares import water_fill

#: Seconds at a trial's beginning that are not measured.
WARM_UP: Final = 15.0

#: Seconds for which a caller waits for the whole answer.
PATIENCE: Final = 20.0

#: Seconds within which a refusal counts as decided at once.
AT_ONCE: Final = 0.05

MEAN_PROMPT: Final = 800
MEAN_OUTPUT: Final = 100


@dataclass(frozen=True, slots=True)
class Scenario:
    """What a trial is put through.

    Attributes:
        load: Offered work as a share of what all engines can do.
        slow: Factor on one engine's times from the middle on.
        gone: Whether one domain's engines go in the middle.
        outage: Whether all engines are down for ten seconds.
        flood: Factor on the first workspace's requests.
        sessions: Prefixes that requests share; 0 for none.
        comes_back: Times that a refused caller comes back.
        prompts: Factor on the length of prompts.
    """

    load: float
    slow: float = 1
    gone: bool = False
    outage: bool = False
    flood: float = 1
    sessions: int = 0
    comes_back: int = 0
    prompts: float = 1


SCENARIOS: Final = {
    'idle': Scenario(0.05),
    'load-0.5': Scenario(0.5),
    'load-0.8': Scenario(0.8),
    'load-1.0': Scenario(1.0),
    'load-1.5': Scenario(1.5),
    'load-2.5': Scenario(2.5),
    'one-slow': Scenario(0.6, slow=5),
    'domain-gone': Scenario(0.9, gone=True),
    'flood': Scenario(1.2, flood=10),
    'outage-end': Scenario(0.7, outage=True, comes_back=4),
    'prefixes': Scenario(0.8, sessions=150, prompts=4),
}


@dataclass(slots=True)
class Figures:
    """What a trial gave.

    Attributes:
        first: Seconds to the first token of each request that had one.
        others: The same, without the first workspace's.
        good: Requests that were whole within their caller's patience.
        late: Requests that were whole too late, or broken.
        refused: Seconds that each refusal took.
        attempts: Attempts at engines.
        served: Good work by workspace, in slot-seconds.
        offered: Work asked for by workspace.
        cached: Prompt tokens found in caches.
        prompts: Prompt tokens of those requests.
    """

    first: list[float] = field(default_factory=list)
    others: list[float] = field(default_factory=list)
    good: int = 0
    late: int = 0
    refused: list[float] = field(default_factory=list)
    attempts: int = 0
    served: dict[WorkspaceId, float] = field(default_factory=dict)
    offered: dict[WorkspaceId, float] = field(default_factory=dict)
    cached: int = 0
    prompts: int = 0


def slot_seconds(prompt: float, output: float, size: Size) -> float:
    """Return the seconds that a request has a slot of a full engine."""
    speed = size.speed
    step = speed.step_base + speed.step_per_request * speed.slots
    return prompt / speed.prefill_rate + output * step


def capacity(size: Size, prompts: float) -> float:
    """Return the requests a second that all engines can do."""
    slots = len(DOMAINS) * size.engines * size.speed.slots
    return slots / slot_seconds(MEAN_PROMPT * prompts, MEAN_OUTPUT, size)


def percentile(found: list[float], share: float) -> float:
    """Return a percentile."""
    if not found:
        return math.nan
    ordered = sorted(found)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def fair_share(figures: Figures, size: Size, scenario: Scenario) -> float:
    """Return the least part that a workspace got of its fair share.

    The fair share is that of the work that was done: by weight, and what
    one does not need goes to the others.
    """
    names = workspace_names(size)
    shares = dict(zip(names, size.shares, strict=True))
    weights = {name: shares[name] for name in figures.offered}
    done = sum(figures.served.values())
    fair = water_fill(done, figures.offered, weights)
    parts = [
        figures.served.get(name, 0) / share
        for name, share in fair.items()
        if share > 0
    ]
    return min(parts, default=1)


def _share_within(found: list[float], bound: float) -> float:
    """Return the share of times that are within a bound."""
    if not found:
        return math.nan
    return sum(one <= bound for one in found) / len(found)


def summarize(
    figures: Figures, size: Size, scenario: Scenario
) -> dict[str, float]:
    """Return a trial's figures by name."""
    measured = size.length - WARM_UP
    return {
        'p50': percentile(figures.first, 0.5),
        'p95': percentile(figures.first, 0.95),
        'p99': percentile(figures.first, 0.99),
        'goodput': figures.good / measured,
        'late': figures.late / measured,
        'refused': len(figures.refused) / measured,
        'attempts': figures.attempts / measured,
        'fair': fair_share(figures, size, scenario),
        'at_once': _share_within(figures.refused, AT_ONCE),
        'p95_others': percentile(figures.others, 0.95),
        'cached': figures.cached / max(1, figures.prompts),
    }


COLUMNS: Final = (
    'p50', 'p95', 'p99', 'goodput', 'late', 'refused', 'at_once',
    'attempts', 'fair', 'cached', 'p95_others',
)  # fmt: skip
