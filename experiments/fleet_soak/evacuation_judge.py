"""The rule that a fleet must keep while a failure domain is evacuated."""

from experiments.fleet_soak.history import (
    TOLERANCE,
    Bounds,
    Evacuation,
    History,
    Ran,
    Verdict,
)


def evacuated_domains_get_no_requests(
    history: History, bounds: Bounds
) -> Verdict:
    """An evacuated domain gets no requests after the bound.

    Hosts that were faulty since shortly before the order are not judged.
    """
    checked = 0
    violations: list[str] = []
    for evacuation in history.evacuations:
        since = evacuation.ordered_at + bounds.evacuate + TOLERANCE
        runs = [
            run
            for run in history.executions
            if since < run.started_at < evacuation.ended_at
            and _is_judged(history, evacuation, run, bounds)
        ]
        checked += len(runs)
        violations.extend(
            f'{run.request_id}: executed in {evacuation.domain} '
            f'{run.started_at - evacuation.ordered_at:.2f} s after the order'
            for run in runs
            if history.domains[run.worker] == evacuation.domain
        )
    return Verdict('evacuated domains', checked, tuple(violations))


def _is_judged(
    history: History, evacuation: Evacuation, run: Ran, bounds: Bounds
) -> bool:
    """Return whether the host of a run could know of an evacuation."""
    record = history.requests_by_id.get(run.request_id)
    return record is not None and history.is_unaffected(
        record.host,
        evacuation.ordered_at - bounds.propagation,
        run.started_at,
    )
