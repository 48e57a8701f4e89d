"""Scenarios of selection trials, and the figures measured in them."""

import math
from dataclasses import dataclass, field
from typing import Final

from experiments.trials.selection_fleet import DOMAINS, Size, workspace_names
from nutmegroad.foundations.types import WorkspaceId
from nutmegroad.routing.shares import water_fill

#: Seconds at the start of a trial that are not measured.
WARM_UP: Final = 15.0

#: Seconds for which a caller waits for the complete answer.
CALLER_TIMEOUT: Final = 20.0

#: Seconds within which a refusal counts as immediate.
IMMEDIATE_REFUSAL: Final = 0.05

#: Mean numbers of prompt and output tokens, for the draws of lengths.
MEAN_PROMPT_TOKENS: Final = 800
MEAN_OUTPUT_TOKENS: Final = 100


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load and faults of a trial; faults begin after a third of its length.

    Attributes:
        load: Offered work as a fraction of the capacity of all engines.
        slowdown: Factor on one engine's times once the fault begins.
        domain_fails: Whether the engines of one failure domain fail for good.
        outage: Whether all engines are down for ten seconds.
        flood: Factor on the first workspace's request rate.
        sessions: Number of prefixes that requests share; 0 for none.
        max_retries: Maximum number of retries by a refused caller.
        prompt_factor: Factor on the length of prompts.
    """

    load: float
    slowdown: float = 1
    domain_fails: bool = False
    outage: bool = False
    flood: float = 1
    sessions: int = 0
    max_retries: int = 0
    prompt_factor: float = 1


SCENARIOS: Final = {
    'idle': Scenario(0.05),
    'load-0.5': Scenario(0.5),
    'load-0.8': Scenario(0.8),
    'load-1.0': Scenario(1.0),
    'load-1.5': Scenario(1.5),
    'load-2.5': Scenario(2.5),
    'one-slow': Scenario(0.6, slowdown=5),
    'domain-gone': Scenario(0.9, domain_fails=True),
    'flood': Scenario(1.2, flood=10),
    'outage-end': Scenario(0.7, outage=True, max_retries=4),
    'prefixes': Scenario(0.8, sessions=150, prompt_factor=4),
}


@dataclass(slots=True)
class Figures:
    """Figures of the measured requests of a trial.

    Attributes:
        first_token: Seconds to the first token of each completed request.
        first_token_others: The same without the first workspace's requests.
        good: Requests that completed within the caller's timeout.
        late: Requests that completed after the caller's timeout.
        refused: Seconds until each refusal of a request that was not run.
        attempts: Attempts at engines.
        served: Work of good requests by workspace, in slot-seconds.
        offered: Work of all requests by workspace, in slot-seconds.
        cached: Prompt tokens of completed requests found in caches.
        prompt_tokens: Prompt tokens of completed requests.
    """

    first_token: list[float] = field(default_factory=list)
    first_token_others: list[float] = field(default_factory=list)
    good: int = 0
    late: int = 0
    refused: list[float] = field(default_factory=list)
    attempts: int = 0
    served: dict[WorkspaceId, float] = field(default_factory=dict)
    offered: dict[WorkspaceId, float] = field(default_factory=dict)
    cached: int = 0
    prompt_tokens: int = 0


def slot_seconds(prompt: float, output: float, size: Size) -> float:
    """Return the seconds for which a request occupies a full engine's slot."""
    speed = size.speed
    step = speed.step_base + speed.step_per_request * speed.slots
    return prompt / speed.prefill_rate + output * step


def capacity(size: Size, prompt_factor: float) -> float:
    """Return the requests per second that all engines can serve.

    Args:
        size: The size of the fleet.
        prompt_factor: Factor on the length of prompts.
    """
    slots = len(DOMAINS) * size.engines * size.speed.slots
    return slots / slot_seconds(
        MEAN_PROMPT_TOKENS * prompt_factor, MEAN_OUTPUT_TOKENS, size
    )


def percentile(samples: list[float], fraction: float) -> float:
    """Return a percentile of some samples; NaN if there are none."""
    if not samples:
        return math.nan
    ordered = sorted(samples)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def min_fair_fraction(figures: Figures, size: Size) -> float:
    """Return the lowest fraction of its fair share that a workspace got.

    Fair shares divide the work that was served: by weight, where what a
    workspace does not need goes to the others.
    """
    names = workspace_names(size)
    shares = dict(zip(names, size.shares, strict=True))
    weights = {name: shares[name] for name in figures.offered}
    served = sum(figures.served.values())
    fair = water_fill(served, figures.offered, weights)
    fractions = [
        figures.served.get(name, 0) / share
        for name, share in fair.items()
        if share > 0
    ]
    return min(fractions, default=1)


def _fraction_within(samples: list[float], bound: float) -> float:
    """Return the fraction of samples within a bound; NaN if there are none."""
    if not samples:
        return math.nan
    return sum(sample <= bound for sample in samples) / len(samples)


def summarize(figures: Figures, size: Size) -> dict[str, float]:
    """Return the figures of a trial by column."""
    measured = size.length - WARM_UP
    return {
        'p50': percentile(figures.first_token, 0.5),
        'p95': percentile(figures.first_token, 0.95),
        'p99': percentile(figures.first_token, 0.99),
        'goodput': figures.good / measured,
        'late': figures.late / measured,
        'refused': len(figures.refused) / measured,
        'attempts': figures.attempts / measured,
        'fair': min_fair_fraction(figures, size),
        'at_once': _fraction_within(figures.refused, IMMEDIATE_REFUSAL),
        'p95_others': percentile(figures.first_token_others, 0.95),
        'cached': figures.cached / max(1, figures.prompt_tokens),
    }


#: Columns of the printed table, in order.
COLUMNS: Final = (
    'p50', 'p95', 'p99', 'goodput', 'late', 'refused', 'at_once',
    'attempts', 'fair', 'cached', 'p95_others',
)  # fmt: skip
