"""Judges of hosts at which a crowd of callers arrives."""

from typing import Final

from experiments.fleet_soak.history import (
    OK,
    Bounds,
    CrowdTime,
    History,
    Verdict,
)

#: Seconds after a caller has left from which its request may not be sent on,
#: and the number of requests that are tolerated.
_DEPARTURE_GRACE: Final = 0.5
_TOLERATED_REQUESTS: Final = 3

#: Fraction of the requests that a crowded host has to serve at least, and of
#: those that it may leave without an answer.
_SERVED_FRACTION: Final = 0.25
_UNANSWERED_FRACTION: Final = 0.25

#: Processor seconds of a host in which it serves one request of a crowd at
#: least: several times what a request costs, as refusals take some of it.
_REQUEST_SECONDS: Final = 0.01


def departed_callers_get_no_work(history: History, bounds: Bounds) -> Verdict:
    """A request is not sent to a worker long after its caller has left."""
    left = {
        each.request_id: each.left_at
        for each in history.requests
        if each.left_at
    }
    late = [
        f'{run.request_id}: {run.started_at - left[run.request_id]:.2f} s '
        'after its caller had left'
        for run in history.executions
        if run.request_id in left
        and run.started_at - left[run.request_id] > _DEPARTURE_GRACE
    ]
    broken = late if len(late) > _TOLERATED_REQUESTS else ()
    return Verdict('departed callers', len(left), tuple(broken))


def crowded_hosts_serve(history: History, bounds: Bounds) -> Verdict:
    """A host serves a part of a crowd, and refuses others at once."""
    checked = 0
    violations = []
    for crowd in history.crowds:
        if _is_disturbed(history, crowd, bounds.propagation):
            continue
        sent = [
            each
            for each in history.requests
            if each.in_crowd
            and each.host == crowd.host
            and crowd.since <= each.sent_at <= crowd.until
        ]
        count = len(sent)
        checked += count
        served = sum(each.status == OK for each in sent)
        unanswered = sum(each.left_at > 0 for each in sent)
        if unanswered > _UNANSWERED_FRACTION * count:
            violations.append(
                f'{unanswered} of {count} not answered at {crowd.host}'
            )
        if served < min(
            _SERVED_FRACTION * count, crowd.core_seconds / _REQUEST_SECONDS
        ):
            violations.append(
                f'{served} of {count} served at {crowd.host} in '
                f'{crowd.core_seconds:.2f} processor seconds'
            )
    return Verdict('crowded hosts', checked, tuple(violations))


def _is_disturbed(history: History, crowd: CrowdTime, margin: float) -> bool:
    """Return whether anything else was wrong while a crowd came."""
    return any(
        each.host != crowd.host
        and each.until >= crowd.since - margin
        and each.since <= crowd.until
        for each in history.fault_intervals
    )
