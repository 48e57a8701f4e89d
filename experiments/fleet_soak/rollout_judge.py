"""What must hold of a fleet while a version is rolled out."""

import itertools

from experiments.fleet_soak.history import (
    SLACK,
    Bounds,
    History,
    OrderedRollout,
    Ran,
    Verdict,
)


def sessions_stay(history: History, bounds: Bounds) -> Verdict:
    """A roll-out moves no living session in its first half, in calm."""
    runs = _runs_of_sessions(history)
    moments = 0
    broken: list[str] = []
    for rollout in history.rollouts:
        half = rollout.ordered + rollout.duration / 2
        until = min(half, rollout.ended)
        pairs = [
            (before, after)
            for before, after in runs
            if rollout.ordered <= after.moment <= until
            and after.moment - history.asked[before.request].ended
            < bounds.session
            and history.is_calm(before.moment, after.moment, bounds.contact)
        ]
        moments += len(pairs)
        moved = [
            f'{before.request}, {after.request}: '
            f'{history.versions[before.worker]} then '
            f'{history.versions[after.worker]}'
            for before, after in pairs
            if _is_moved(history, rollout, before, after)
        ]
        if len(moved) > bounds.moved:
            broken.extend(moved)
    return Verdict('sessions stay', moments, tuple(broken))


def _runs_of_sessions(history: History) -> list[tuple[Ran, Ran]]:
    """Return runs of sessions, each with the one before it."""
    by_session: dict[str, list[Ran]] = {}
    for run in sorted(history.ran, key=_moment):
        asked = history.asked.get(run.request)
        if asked is not None and asked.session:
            by_session.setdefault(asked.session, []).append(run)
    return [
        (before, after)
        for runs in by_session.values()
        for before, after in itertools.pairwise(runs)
        if _is_before(history, before, after)
    ]


def _moment(run: Ran) -> float:
    """Return when a run began."""
    return run.moment


def _is_before(history: History, before: Ran, after: Ran) -> bool:
    """Tell whether a request had ended as the next of its session came."""
    if before.request == after.request:
        return False
    asked = history.asked
    return asked[before.request].ended <= asked[after.request].sent


def _is_moved(
    history: History,
    rollout: OrderedRollout,
    before: Ran,
    after: Ran,
) -> bool:
    """Tell whether a session was moved where it must not be."""
    on_new = [
        history.versions[run.worker] == rollout.to for run in (before, after)
    ]
    if on_new == [True, False]:
        return not rollout.bad
    return on_new == [False, True]


def bad_versions_get_little(history: History, bounds: Bounds) -> Verdict:
    """A bad version gets no more than its share, and nothing once it shows."""
    moments = 0
    broken = []
    for rollout in history.rollouts:
        if not rollout.bad:
            continue
        end = rollout.ordered + rollout.duration
        runs = [
            run
            for run in history.ran
            if rollout.ordered <= run.moment <= end
            and history.is_well(
                history.asked[run.request].host,
                run.moment - bounds.contact,
                run.moment,
            )
        ]
        on_new = [
            run for run in runs if history.versions[run.worker] == rollout.to
        ]
        moments += len(on_new)
        allowed = bounds.expose_share * len(runs) + bounds.expose_slack
        if len(on_new) > allowed:
            broken.append(f'{rollout.to}: {len(on_new)} of {len(runs)}')
        failed = sorted(run.moment for run in on_new if run.failed)
        if len(failed) < bounds.bad_answers:
            continue
        latest = failed[bounds.bad_answers - 1] + bounds.halt + SLACK
        late = sum(run.moment > latest for run in on_new)
        if late:
            broken.append(f'{rollout.to}: {late} after its bad answers')
    return Verdict('exposure', moments, tuple(broken))
