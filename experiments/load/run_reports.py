"""The report of a run, computed from the data that it produced."""

from collections import Counter
from dataclasses import dataclass
from typing import Final

from experiments.load.client import RequestResult
from experiments.load.guarantees import check_guarantees
from experiments.load.observations import Observations
from experiments.load.request_stats import (
    Exposure,
    Percentiles,
    RequestStats,
    compute_stats,
    exposure,
    fairness,
    group_stats,
    percentiles,
)
from experiments.load.run_specs import RunSpec, peak_rate
from nutmegroad.contracts.documents import Document

#: Lag of the load client in seconds (99th percentile) and fraction of a core
#: above which the client distorts the results.
MAX_CLIENT_LAG: Final = 0.05
MAX_CLIENT_CPU: Final = 0.8


@dataclass(frozen=True, slots=True)
class ClientStats:
    """Statistics of the load client itself.

    Attributes:
        lag: Delays in sending the requests, in seconds.
        cpu: Fraction of a core that it used.
        load_average: Load average of the machine before and after the load.
        saturated: Whether the client was a bottleneck, so that the results
            are worse than they should be.
    """

    lag: Percentiles
    cpu: float
    load_average: tuple[float, float]
    saturated: bool


@dataclass(frozen=True, slots=True)
class OutageCalls:
    """Calls to the platform per second around an outage.

    Attributes:
        before: Mean before the outage.
        during: Maximum during the outage.
        after: Maximum after the outage.
    """

    before: float
    during: int
    after: int


@dataclass(frozen=True, slots=True)
class RunReport:
    """The results of a run, as they are written to ``runs.json``.

    Attributes:
        scenario: Name of the scenario.
        arm: Name of the arm.
        seed: Seed of the traffic.
        seconds: Length of the traffic.
        rate: Peak arrival rate in requests per second.
        models: Statistics of all model requests.
        services: Statistics of all calls to plain services.
        tasks: Statistics by task class.
        workspaces: Statistics by workspace.
        classes: Statistics by workspace and task class.
        versions: Number of answers by task class and version.
        goodput: Answers in time per second, after the first 30% of the run.
        exposure: Exposure to a version that degraded, if one did.
        fairness: What each workspace received, relative to its fair share.
        work: Number of answers that each engine began.
        retried: Number of requests that engines began more than once.
        ends: Number of answers begun, by how they ended at the engine.
        retries: Retries by reason, from the hosts' metrics.
        invariants: Failures of the hosts' invariant checks, by name.
        breaches: Number of violations by guarantee.
        examples: Examples of violations by guarantee.
        tracebacks: Number of tracebacks by process.
        exit_codes: Nonzero exit codes of processes that were not killed.
        unseen: Stand-ins that did not respond.
        outage: Calls to the platform around an outage, if there was one.
        client: Statistics of the load client.
        note: Limits of the conclusions that the scenario allows.
    """

    scenario: str
    arm: str
    seed: int
    seconds: float
    rate: float
    models: RequestStats
    services: RequestStats
    tasks: dict[str, RequestStats]
    workspaces: dict[str, RequestStats]
    classes: dict[str, RequestStats]
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
    outage: OutageCalls | None
    client: ClientStats
    note: str


@dataclass(frozen=True, slots=True)
class RunData:
    """The data that a run produced.

    Attributes:
        request_results: Results of all requests.
        observations: Observations other than the responses to callers.
        document: The configuration.
        exit_codes: Nonzero exit codes of processes that were not killed.
    """

    request_results: list[RequestResult]
    observations: Observations
    document: Document
    exit_codes: dict[str, int]


def build_report(run_spec: RunSpec, run_data: RunData) -> RunReport:
    """Compute the report of a run."""
    request_results = run_data.request_results
    models = [
        result for result in request_results if not result.planned.is_service
    ]
    services = [
        result for result in request_results if result.planned.is_service
    ]
    observations = run_data.observations
    violations = check_guarantees(
        request_results, observations, run_data.document
    )
    return RunReport(
        scenario=run_spec.scenario.name,
        arm=run_spec.arm.name,
        seed=run_spec.seed,
        seconds=run_spec.seconds,
        rate=peak_rate(run_spec),
        models=compute_stats(models),
        services=compute_stats(services),
        tasks=group_stats(models, lambda result: result.planned.task),
        workspaces=group_stats(models, lambda result: result.planned.workspace),
        classes=group_stats(models, _class_name),
        versions=dict(_count_versions(models)),
        goodput=goodput(models, run_spec.seconds),
        exposure=_exposure(run_spec, models),
        fairness=_fairness(models, run_data.document),
        work={
            name: len(runs) for name, runs in observations.engine_runs.items()
        },
        retried=_count_retried(observations),
        ends=dict(_count_ends(observations)),
        retries=dict(observations.retries),
        invariants=dict(observations.invariants),
        breaches=dict(violations.counts),
        examples=violations.examples,
        tracebacks=observations.tracebacks,
        exit_codes=run_data.exit_codes,
        unseen=observations.unseen,
        outage=_outage_calls(run_spec, observations),
        client=_client_stats(request_results, observations),
        note=run_spec.scenario.note,
    )


def goodput(models: list[RequestResult], seconds: float) -> float:
    """Return the answers in time per second, after the first 30% of the run.

    This leaves out the initial rise of the arrival rate.
    """
    begin = seconds * 0.3
    in_time = sum(
        result.in_time and result.planned.at >= begin for result in models
    )
    return in_time / (seconds - begin)


def _class_name(result: RequestResult) -> str:
    """Return the workspace and task class of a request."""
    return f'{result.planned.workspace} / {result.planned.task}'


def _count_versions(models: list[RequestResult]) -> Counter[str]:
    """Count answers by task class and version."""
    return Counter(
        f'{result.planned.task} / {result.version}'
        for result in models
        if result.answered
    )


def _exposure(
    run_spec: RunSpec, models: list[RequestResult]
) -> Exposure | None:
    """Return the exposure to the version that degraded, if one did."""
    degradation = run_spec.scenario.degradation
    if degradation is None:
        return None
    degraded_at = degradation.at * run_spec.seconds
    return exposure(models, degradation.version, degraded_at, run_spec.seconds)


def _fairness(
    models: list[RequestResult], document: Document
) -> dict[str, float]:
    """Return what each workspace received relative to its fair share."""
    weights = {entry.name: entry.share for entry in document.workspaces}
    return fairness(models, weights)


def _count_retried(observations: Observations) -> int:
    """Return the number of requests that engines began more than once."""
    starts = Counter(
        run.request_id
        for runs in observations.engine_runs.values()
        for run in runs
    )
    return sum(count > 1 for count in starts.values())


def _count_ends(observations: Observations) -> Counter[str]:
    """Count the answers begun, by how they ended."""
    return Counter(
        run.ended for runs in observations.engine_runs.values() for run in runs
    )


def _outage_calls(
    run_spec: RunSpec, observations: Observations
) -> OutageCalls | None:
    """Return the calls to the platform around an outage, if there was one."""
    bounds = run_spec.scenario.outage
    if bounds is None:
        return None
    begin = bounds[0] * run_spec.seconds
    end = begin + bounds[1]
    calls = observations.platform_calls
    before = [count for at, count in calls if at <= begin]
    during = [count for at, count in calls if begin + 1 < at <= end]
    after = [count for at, count in calls if at > end]
    mean = sum(before) / len(before) if before else 0
    return OutageCalls(mean, max(during, default=0), max(after, default=0))


def _client_stats(
    request_results: list[RequestResult], observations: Observations
) -> ClientStats:
    """Return the statistics of the load client itself."""
    lag = percentiles(result.lag for result in request_results)
    late = (lag.p99 or 0) > MAX_CLIENT_LAG
    return ClientStats(
        lag,
        observations.cpu,
        observations.load_average,
        late or observations.cpu > MAX_CLIENT_CPU,
    )
