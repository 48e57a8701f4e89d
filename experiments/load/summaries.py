"""All figures of one run, worked out of what was seen."""

from collections import Counter
from dataclasses import dataclass
from typing import Final

from experiments.load.load import Record
from experiments.load.observations import Observed
from experiments.load.orders import Order, rate_of
from experiments.load.promises import check
from experiments.load.reports import (
    Exposure,
    Figures,
    Percentiles,
    by,
    exposure,
    fairness,
    figures,
    percentiles,
)
from nutmegroad.contracts.documents import Document

#: Client lag and share of a core beyond which it distorts the figures.
MOST_LAG: Final = 0.05
MOST_CPU: Final = 0.8


@dataclass(frozen=True, slots=True)
class Client:
    """How the load client itself did.

    Attributes:
        lag: How late requests were sent, seconds.
        cpu: Share of one core.
        load_average: The machine's, before and after.
        saturated: It was itself a bottleneck, so the figures are too bad.
    """

    lag: Percentiles
    cpu: float
    load_average: tuple[float, float]
    saturated: bool


@dataclass(frozen=True, slots=True)
class Outage:
    """Calls to the platform around the end of an outage.

    Attributes:
        before: Calls a second before it began.
        during: The most in a second while it lasted.
        after: The most in a second after its end.
    """

    before: float
    during: int
    after: int


@dataclass(frozen=True, slots=True)
class Report:
    """All figures of a run.

    Attributes:
        scenario: Its name.
        arm: Its name.
        seed: The seed.
        seconds: Length of the traffic.
        rate: Highest rate, requests a second.
        models: Figures of all model requests.
        services: Figures of all calls to plain services.
        tasks: Figures by task class.
        workspaces: Figures by workspace.
        classes: Figures by workspace and task class.
        versions: Answers by task class and version.
        goodput: Answers in time, a second, from the curve's 30% to its end.
        exposure: Work of a version that turned bad.
        fairness: What each workspace got, as share of what was fair.
        work: Answers begun by each engine.
        retried: Requests that were begun more than once.
        ends: Answers begun, by how they ended at the engine.
        retries: Retries by reason, from the hosts' metrics.
        invariants: Alarms of the hosts' own assertions.
        breaches: Promises that were broken.
        examples: Cases of these.
        tracebacks: Tracebacks by process.
        exit_codes: Processes that did not end with 0.
        unseen: Stand-ins that could not be asked.
        outage: Calls around an outage's end.
        client: How the load client did.
        note: What the scenario does not show.
    """

    scenario: str
    arm: str
    seed: int
    seconds: float
    rate: float
    models: Figures
    services: Figures
    tasks: dict[str, Figures]
    workspaces: dict[str, Figures]
    classes: dict[str, Figures]
    versions: dict[str, int]
    goodput: float
    exposure: Exposure | None
    fairness: dict[str, float]
    work: dict[str, int]
    retried: int
    ends: dict[str, int]
    retries: dict[str, int]
    invariants: dict[str, int]
    breaches: dict[str, int]
    examples: dict[str, list[str]]
    tracebacks: dict[str, int]
    exit_codes: dict[str, int]
    unseen: list[str]
    outage: Outage | None
    client: Client
    note: str


@dataclass(frozen=True, slots=True)
class Seen:
    """What a run gave, before it is worked out.

    Attributes:
        records: All requests.
        observed: What was seen beside the replies.
        document: The configuration.
        exit_codes: Processes that ended with another code than 0, unasked.
    """

    records: list[Record]
    observed: Observed
    document: Document
    exit_codes: dict[str, int]


def report(order: Order, seen: Seen) -> Report:
    """Work a run's figures out."""
    records = seen.records
    models = [record for record in records if not record.ask.is_service]
    services = [record for record in records if record.ask.is_service]
    observed = seen.observed
    breaches = check(records, observed, seen.document)
    return Report(
        scenario=order.scenario.name,
        arm=order.arm.name,
        seed=order.seed,
        seconds=order.seconds,
        rate=rate_of(order),
        models=figures(models),
        services=figures(services),
        tasks=by(models, lambda record: record.ask.task),
        workspaces=by(models, lambda record: record.ask.workspace),
        classes=by(models, _class_of),
        versions=dict(_versions(models)),
        goodput=goodput(models, order.seconds),
        exposure=_exposure(order, models),
        fairness=_fairness(models, seen.document),
        work={name: len(runs) for name, runs in observed.engine_runs.items()},
        retried=_retried(observed),
        ends=dict(_ends(observed)),
        retries=dict(observed.retries),
        invariants=dict(observed.invariants),
        breaches=dict(breaches.counts),
        examples=breaches.examples,
        tracebacks=observed.tracebacks,
        exit_codes=seen.exit_codes,
        unseen=observed.unseen,
        outage=_outage(order, observed),
        client=_client(records, observed),
        note=order.scenario.note,
    )


def goodput(models: list[Record], seconds: float) -> float:
    """Return answers in time by second, after the curve has risen."""
    begin = seconds * 0.3
    good = sum(one.in_time and one.ask.at >= begin for one in models)
    return good / (seconds - begin)


def _class_of(record: Record) -> str:
    """Name a record's workspace and task class."""
    return f'{record.ask.workspace} / {record.ask.task}'


def _versions(models: list[Record]) -> Counter[str]:
    """Count answers by task class and version."""
    return Counter(
        f'{record.ask.task} / {record.version}'
        for record in models
        if record.answered
    )


def _exposure(order: Order, models: list[Record]) -> Exposure | None:
    """Return the exposure where a version turned bad."""
    bad = order.scenario.bad
    if bad is None:
        return None
    turned = bad.at * order.seconds
    return exposure(models, bad.version, turned, order.seconds)


def _fairness(models: list[Record], document: Document) -> dict[str, float]:
    """Return what each workspace got, as share of what was fair."""
    weights = {entry.name: entry.share for entry in document.workspaces}
    return fairness(models, weights)


def _retried(observed: Observed) -> int:
    """Count requests that engines began more than once."""
    begun = Counter(
        run.request for runs in observed.engine_runs.values() for run in runs
    )
    return sum(count > 1 for count in begun.values())


def _ends(observed: Observed) -> Counter[str]:
    """Count answers begun, by how they ended."""
    return Counter(
        run.ended for runs in observed.engine_runs.values() for run in runs
    )


def _outage(order: Order, observed: Observed) -> Outage | None:
    """Return the calls to the platform around an outage's end."""
    bounds = order.scenario.outage
    if bounds is None:
        return None
    begin = bounds[0] * order.seconds
    end = begin + bounds[1]
    calls = observed.calls
    before = [count for at, count in calls if at <= begin]
    during = [count for at, count in calls if begin + 1 < at <= end]
    after = [count for at, count in calls if at > end]
    mean = sum(before) / len(before) if before else 0
    return Outage(mean, max(during, default=0), max(after, default=0))


def _client(records: list[Record], observed: Observed) -> Client:
    """Return how the load client itself did."""
    lag = percentiles(record.lag for record in records)
    late = (lag.p99 or 0) > MOST_LAG
    return Client(
        lag,
        observed.cpu,
        observed.load_average,
        late or observed.cpu > MOST_CPU,
    )
