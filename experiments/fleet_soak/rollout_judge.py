"""Rules that a fleet must keep during a rollout."""

import itertools

from experiments.fleet_soak.history import (
    TOLERANCE,
    Bounds,
    History,
    OrderedRollout,
    Ran,
    Verdict,
)


def sessions_are_not_moved(history: History, bounds: Bounds) -> Verdict:
    """Without faults, a rollout moves no live session in its first half.

    A few moved sessions per rollout are tolerated.
    """
    consecutive = _consecutive_executions(history)
    checked = 0
    violations: list[str] = []
    for rollout in history.rollouts:
        half_time = rollout.ordered_at + rollout.duration / 2
        until = min(half_time, rollout.ended_at)
        pairs = [
            (before, after)
            for before, after in consecutive
            if rollout.ordered_at <= after.started_at <= until
            and after.started_at
            - history.requests_by_id[before.request_id].ended_at
            < bounds.session_lifetime
            and history.is_fault_free(
                before.started_at, after.started_at, bounds.propagation
            )
        ]
        checked += len(pairs)
        moved = [
            f'{before.request_id}, {after.request_id}: '
            f'{history.versions[before.worker]} then '
            f'{history.versions[after.worker]}'
            for before, after in pairs
            if _is_moved(history, rollout, before, after)
        ]
        if len(moved) > bounds.max_moved_sessions:
            violations.extend(moved)
    return Verdict('sessions stay', checked, tuple(violations))


def _consecutive_executions(history: History) -> list[tuple[Ran, Ran]]:
    """Return pairs of consecutive executions of the same session."""
    by_session: dict[str, list[Ran]] = {}
    for run in sorted(history.executions, key=_started_at):
        record = history.requests_by_id.get(run.request_id)
        if record is not None and record.session:
            by_session.setdefault(record.session, []).append(run)
    return [
        (before, after)
        for runs in by_session.values()
        for before, after in itertools.pairwise(runs)
        if _is_sequential(history, before, after)
    ]


def _started_at(run: Ran) -> float:
    """Return when an execution started; a sort key."""
    return run.started_at


def _is_sequential(history: History, before: Ran, after: Ran) -> bool:
    """Return whether a request had ended when the next one was sent."""
    if before.request_id == after.request_id:
        return False
    requests = history.requests_by_id
    ended_at = requests[before.request_id].ended_at
    return ended_at <= requests[after.request_id].sent_at


def _is_moved(
    history: History,
    rollout: OrderedRollout,
    before: Ran,
    after: Ran,
) -> bool:
    """Return whether a session was moved to another version wrongly.

    It may move from a bad new version back to the old one.
    """
    on_new = [
        history.versions[run.worker] == rollout.version
        for run in (before, after)
    ]
    if on_new == [True, False]:
        return not rollout.bad
    return on_new == [False, True]


def bad_versions_get_limited_traffic(
    history: History, bounds: Bounds
) -> Verdict:
    """A bad version gets limited traffic, and none after enough failures."""
    checked = 0
    violations = []
    for rollout in history.rollouts:
        if not rollout.bad:
            continue
        end = rollout.ordered_at + rollout.duration
        runs = [
            run
            for run in history.executions
            if rollout.ordered_at <= run.started_at <= end
            and history.is_unaffected(
                history.requests_by_id[run.request_id].host,
                run.started_at - bounds.propagation,
                run.started_at,
            )
        ]
        on_new = [
            run
            for run in runs
            if history.versions[run.worker] == rollout.version
        ]
        checked += len(on_new)
        allowed = bounds.exposure_fraction * len(runs) + bounds.exposure_slack
        if len(on_new) > allowed:
            violations.append(
                f'{rollout.version}: {len(on_new)} of {len(runs)} executions'
            )
        failed = sorted(run.started_at for run in on_new if run.failed)
        if len(failed) < bounds.min_failures:
            continue
        latest = failed[bounds.min_failures - 1] + bounds.rollback + TOLERANCE
        late = sum(run.started_at > latest for run in on_new)
        if late:
            violations.append(f'{rollout.version}: {late} executions too late')
    return Verdict('exposure', checked, tuple(violations))
