"""Statistics of the requests of one run."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import numpy as np

from experiments.load.client import Outcome, RequestResult


@dataclass(frozen=True, slots=True)
class Percentiles:
    """Percentiles of durations in seconds; None if there are no durations.

    Attributes:
        p50: Median.
        p95: 95th percentile.
        p99: 99th percentile.
        count: Number of durations.
    """

    p50: float | None = None
    p95: float | None = None
    p99: float | None = None
    count: int = 0


def percentiles(times: Iterable[float | None]) -> Percentiles:
    """Return the percentiles of durations, ignoring None."""
    present = [moment for moment in times if moment is not None]
    if not present:
        return Percentiles()
    p50, p95, p99 = np.percentile(present, (50, 95, 99))
    return Percentiles(float(p50), float(p95), float(p99), len(present))


@dataclass(frozen=True, slots=True)
class RequestStats:
    """Statistics of a group of requests; times are in seconds.

    Attributes:
        asked: Number of requests sent.
        answered: Number of complete answers.
        in_time: Number of complete answers before their callers' deadlines.
        met: Number of answers that reached their quality target.
        good: Number of answers in time that reached their quality target.
        cost: Cost of all answers.
        cost_per_answer: Cost of all answers divided by their number.
        cost_per_met: Cost of all answers divided by the number of those that
            reached their quality target.
        share_met: Fraction of the answers that reached their quality target.
        first: Times from the scheduled sending to the first token.
        between: Times between tokens.
        whole: Times from the scheduled sending to the end of the answer.
        refused: Times from the scheduled sending to the end of a refusal.
        reasons: Number of unanswered requests by outcome and code.
        run_refusals: Number of refusals that do not state "not run".
    """

    asked: int
    answered: int
    in_time: int
    met: int
    good: int
    cost: float
    cost_per_answer: float | None
    cost_per_met: float | None
    share_met: float | None
    first: Percentiles
    between: Percentiles
    whole: Percentiles
    refused: Percentiles
    reasons: dict[str, int]
    run_refusals: int

    @property
    def share_in_time(self) -> float:
        """Fraction of the requests that were answered in time."""
        return self.in_time / self.asked if self.asked else 0


def compute_stats(request_results: list[RequestResult]) -> RequestStats:
    """Compute the statistics of a group of requests."""
    answers = [result for result in request_results if result.answered]
    failures = [result for result in request_results if not result.answered]
    refusals = [
        result for result in failures if result.outcome is Outcome.REFUSED
    ]
    cost = sum(result.cost for result in answers)
    met = sum(result.meets_target for result in answers)
    return RequestStats(
        asked=len(request_results),
        answered=len(answers),
        in_time=sum(result.in_time for result in answers),
        met=met,
        good=sum(result.in_time and result.meets_target for result in answers),
        cost=cost,
        cost_per_answer=ratio(cost, len(answers)),
        cost_per_met=ratio(cost, met),
        share_met=ratio(met, len(answers)),
        first=percentiles(result.first_token for result in answers),
        between=percentiles(gap for answer in answers for gap in answer.gaps),
        whole=percentiles(result.total_seconds for result in answers),
        refused=percentiles(result.total_seconds for result in refusals),
        reasons=dict(Counter(map(_failure_reason, failures))),
        run_refusals=sum(not result.not_run for result in refusals),
    )


def ratio(part: float, whole: float) -> float | None:
    """Return a quotient; None if the divisor is zero."""
    return part / whole if whole else None


def _failure_reason(result: RequestResult) -> str:
    """Return the outcome and code of an unanswered request."""
    return f'{result.outcome.value} {result.code}'


def group_stats(
    request_results: list[RequestResult],
    name: Callable[[RequestResult], str],
) -> dict[str, RequestStats]:
    """Return statistics of the requests in each group.

    Args:
        request_results: All requests.
        name: Returns the group of a request.
    """
    groups: dict[str, list[RequestResult]] = {}
    for result in request_results:
        groups.setdefault(name(result), []).append(result)
    return {name: compute_stats(groups[name]) for name in sorted(groups)}


@dataclass(frozen=True, slots=True)
class Exposure:
    """Exposure of callers to a version after its degradation.

    Attributes:
        version: Id of the version.
        exposed: Number of requests that were sent after the degradation and
            answered by the version.
        asked: Number of all requests of the same task classes that were sent
            after the degradation.
        share: Exposed requests as a fraction of these.
        last: Seconds from the degradation to the sending of the last exposed
            request.
        watched: Seconds from the degradation to the end of the traffic.
        below: Number of exposed answers that missed their quality target.
    """

    version: str
    exposed: int
    asked: int
    share: float | None
    last: float | None
    watched: float
    below: int


def exposure(
    request_results: list[RequestResult],
    version: str,
    degraded_at: float,
    end: float,
) -> Exposure:
    """Return the exposure to a version after its degradation.

    Args:
        request_results: All requests.
        version: Id of the version.
        degraded_at: Time of the degradation, in seconds since the start of
            the run.
        end: End of the traffic, in seconds since the start of the run.
    """
    later = [result for result in request_results if result.sent >= degraded_at]
    exposed = [result for result in later if result.version == version]
    # The version's task classes are those that it answered at any time.
    tasks = {
        result.planned.task
        for result in request_results
        if result.version == version
    }
    asked = sum(result.planned.task in tasks for result in later)
    sent = [result.sent - degraded_at for result in exposed]
    return Exposure(
        version,
        len(exposed),
        asked,
        ratio(len(exposed), asked),
        max(sent) if sent else None,
        end - degraded_at,
        sum(not result.meets_target for result in exposed),
    )


def fair_shares(
    demands: dict[str, float],
    weights: dict[str, float],
    total: float,
) -> dict[str, float]:
    """Divide a total by weight so that nobody gets more than its demand.

    This is weighted max-min fairness: what some do not need is divided among
    the others.

    Args:
        demands: Demand of each participant.
        weights: Weight of each participant.
        total: Amount to divide.
    """
    shares: dict[str, float] = {}
    remaining = dict(demands)
    while remaining:
        per_weight = total / sum(weights[name] for name in remaining)
        satisfied = {
            name: asked
            for name, asked in remaining.items()
            if asked <= per_weight * weights[name]
        }
        if not satisfied:
            limited = {name: per_weight * weights[name] for name in remaining}
            return {**shares, **limited}
        shares.update(satisfied)
        total -= sum(satisfied.values())
        remaining = {
            name: remaining[name] for name in remaining if name not in satisfied
        }
    return shares


def fairness(
    request_results: list[RequestResult],
    weights: dict[str, float],
) -> dict[str, float]:
    """Return what each workspace received relative to its fair share.

    Work is measured in requested words and in words of answers in time, so
    that a long answer counts for more than a short one.

    Args:
        request_results: All requests.
        weights: Quota share of each workspace.
    """
    asked: Counter[str] = Counter()
    received: Counter[str] = Counter()
    for result in request_results:
        planned = result.planned
        asked[planned.workspace] += planned.tokens
        if result.in_time:
            received[planned.workspace] += planned.tokens
    demands = {name: float(words) for name, words in asked.items() if words}
    fair = fair_shares(demands, weights, float(received.total()))
    return {name: received[name] / part for name, part in fair.items() if part}
