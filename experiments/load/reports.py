"""Figures of one run, worked out of its records."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

import numpy as np

from experiments.load.load import Outcome, Record

#: Seconds within which a refusal ought to be answered.
REFUSAL_GOAL: Final = 0.05


@dataclass(frozen=True, slots=True)
class Percentiles:
    """Percentiles of some seconds; None where there were none.

    Attributes:
        p50: Half are below.
        p95: 95 in 100 are below.
        p99: 99 in 100 are below.
        count: How many there were.
    """

    p50: float | None = None
    p95: float | None = None
    p99: float | None = None
    count: int = 0


def percentiles(times: Iterable[float | None]) -> Percentiles:
    """Return percentiles of those times that there are."""
    there = [moment for moment in times if moment is not None]
    if not there:
        return Percentiles()
    middle, high, highest = np.percentile(there, (50, 95, 99))
    return Percentiles(float(middle), float(high), float(highest), len(there))


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of some requests; times are seconds.

    Attributes:
        asked: Requests sent.
        answered: Whole answers.
        in_time: Whole answers within their callers' deadlines.
        met: Answers that reached their quality target.
        good: Answers in time that reached their target.
        cost: Cost of all answers.
        cost_per_answer: Cost of an answered request.
        cost_per_met: Cost of all answers, by those that met the target.
        share_met: Share of the answers that met the target.
        first: First token, from the intended time.
        between: Between tokens.
        whole: Whole time of answers.
        refused: Time until a refusal came.
        reasons: Requests without an answer by outcome and code.
        run_refusals: Refusals that do not say "not run".
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
        """Return the share of requests that were answered in time."""
        return self.in_time / self.asked if self.asked else 0


def figures(records: list[Record]) -> Figures:
    """Work out the figures of some requests."""
    answers = [record for record in records if record.answered]
    failures = [record for record in records if not record.answered]
    refusals = [
        record for record in failures if record.outcome is Outcome.REFUSED
    ]
    cost = sum(record.cost for record in answers)
    met = sum(record.met for record in answers)
    return Figures(
        asked=len(records),
        answered=len(answers),
        in_time=sum(record.in_time for record in answers),
        met=met,
        good=sum(record.in_time and record.met for record in answers),
        cost=cost,
        cost_per_answer=ratio(cost, len(answers)),
        cost_per_met=ratio(cost, met),
        share_met=ratio(met, len(answers)),
        first=percentiles(record.first for record in answers),
        between=percentiles(gap for one in answers for gap in one.gaps),
        whole=percentiles(record.whole for record in answers),
        refused=percentiles(record.whole for record in refusals),
        reasons=dict(Counter(map(_reason, failures))),
        run_refusals=sum(not record.not_run for record in refusals),
    )


def ratio(part: float, whole: float) -> float | None:
    """Return a quotient; None where there is nothing to divide by."""
    return part / whole if whole else None


def _reason(record: Record) -> str:
    """Name why a request has no answer."""
    return f'{record.outcome.value} {record.code}'


def by(
    records: list[Record],
    name: Callable[[Record], str],
) -> dict[str, Figures]:
    """Return figures of groups of requests."""
    groups: dict[str, list[Record]] = {}
    for record in records:
        groups.setdefault(name(record), []).append(record)
    return {name: figures(groups[name]) for name in sorted(groups)}


@dataclass(frozen=True, slots=True)
class Exposure:
    """Work of a version after it turned bad.

    Attributes:
        version: The version.
        exposed: Requests that were sent later and that it answered.
        asked: All requests of the same task classes sent later.
        share: The one by the other.
        last: Seconds from its turn to the last such request's sending.
        watched: Seconds from its turn to the end of the traffic.
        below: How many of the exposed answers missed their target.
    """

    version: str
    exposed: int
    asked: int
    share: float | None
    last: float | None
    watched: float
    below: int


def exposure(
    records: list[Record],
    version: str,
    turned: float,
    end: float,
) -> Exposure:
    """Return what a version did after it turned bad.

    Args:
        records: All requests.
        version: The version.
        turned: Seconds after the run's start at which it turned.
        end: Seconds after the run's start at which the traffic ended.
    """
    later = [record for record in records if record.sent >= turned]
    exposed = [record for record in later if record.version == version]
    # Its task classes are those that it answered at any time of the run.
    tasks = {one.ask.task for one in records if one.version == version}
    asked = sum(record.ask.task in tasks for record in later)
    sent = [record.sent - turned for record in exposed]
    return Exposure(
        version,
        len(exposed),
        asked,
        ratio(len(exposed), asked),
        max(sent) if sent else None,
        end - turned,
        sum(not record.met for record in exposed),
    )


def fair_shares(
    demands: dict[str, float],
    weights: dict[str, float],
    total: float,
) -> dict[str, float]:
    """Share a total out by weight; nobody gets more than it asks for."""
    shares: dict[str, float] = {}
    left = dict(demands)
    while left:
        unit = total / sum(weights[name] for name in left)
        small = {
            name: asked
            for name, asked in left.items()
            if asked <= unit * weights[name]
        }
        if not small:
            rest = {name: unit * weights[name] for name in left}
            return {**shares, **rest}
        shares.update(small)
        total -= sum(small.values())
        left = {name: left[name] for name in left if name not in small}
    return shares


def fairness(
    records: list[Record],
    weights: dict[str, float],
) -> dict[str, float]:
    """Return what each workspace got, as share of what was fair.

    Work is counted in words of answers that came in time, beside the words
    that were asked for; so a long answer counts for more than a short one.
    """
    asked: Counter[str] = Counter()
    got: Counter[str] = Counter()
    for record in records:
        ask = record.ask
        asked[ask.workspace] += ask.tokens
        if record.in_time:
            got[ask.workspace] += ask.tokens
    demands = {name: float(words) for name, words in asked.items() if words}
    fair = fair_shares(demands, weights, float(got.total()))
    return {name: got[name] / part for name, part in fair.items() if part}
