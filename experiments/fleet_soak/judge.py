"""Rules that a fleet must keep, checked on the history of a soak run.

Each judge checks one rule on a history and returns the violations. It also
counts the occasions that it checked, so that a run that never exercised a rule
is recognizable.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Final

from experiments.fleet_soak.crowd_judges import (
    crowded_hosts_serve,
    departed_callers_get_no_work,
)
from experiments.fleet_soak.evacuation_judge import (
    evacuated_domains_get_no_requests,
)
from experiments.fleet_soak.history import (
    OK,
    TOLERANCE,
    Bounds,
    History,
    Kind,
    RequestRecord,
    Verdict,
    expected_body,
)
from experiments.fleet_soak.path_judges import (
    brittle_workers_stay_up,
    cut_off_hosts_serve,
    limits_hold,
)
from experiments.fleet_soak.rollout_judge import (
    bad_versions_get_limited_traffic,
    sessions_are_not_moved,
)

#: Statuses that promise that a request was not executed and never will be.
NOT_EXECUTED_STATUSES: Final = frozenset((408, 421, 429, 503))

#: Statuses of a host that does not know a route or a key.
UNKNOWN_STATUSES: Final = frozenset((401, 403, 404))

#: Seconds from a host's first successful answer for a new route, after which
#: its further answers for the route are judged.
APPLIED_MARGIN: Final = 0.25

Judge = Callable[[History, Bounds], Verdict]


def answers_are_complete(history: History, bounds: Bounds) -> Verdict:
    """A success is the complete answer to its request, signed by a worker."""
    judged = [each for each in history.requests if each.served]
    violations = [
        f'{each.request_id}: {each.body[:60]!r}'
        for each in judged
        if not each.signed
        or each.body != expected_body(each.request_id, each.kind)
    ]
    return _verdict('whole answers', judged, violations)


def streams_are_in_order(history: History, bounds: Bounds) -> Verdict:
    """What was received of a stream is a prefix of it, even if it broke."""
    judged = [
        each
        for each in history.requests
        if each.kind is Kind.DRAFT and each.body and each.status == OK
    ]
    violations = [
        f'{each.request_id}: {each.body[-60:]!r}'
        for each in judged
        if not expected_body(each.request_id, each.kind).startswith(each.body)
    ]
    return _verdict('order of streams', judged, violations)


def executions_are_at_most_once(history: History, bounds: Bounds) -> Verdict:
    """A non-idempotent request is executed at most once."""
    counts = Counter(run.request_id for run in history.executions)
    judged = history.of_kind(Kind.PAY)
    violations = [
        f'{each.request_id}: {counts[each.request_id]} executions'
        for each in judged
        if counts[each.request_id] > 1
    ]
    return _verdict('at most once', judged, violations)


def refusals_are_truthful(history: History, bounds: Bounds) -> Verdict:
    """A request that was refused as not executed is never executed."""
    counts = Counter(run.request_id for run in history.executions)
    judged = [
        each
        for each in history.requests
        if each.status in NOT_EXECUTED_STATUSES and each.kind is Kind.PAY
    ]
    violations = [
        f'{each.request_id}: status {each.status}, but executed'
        for each in judged
        if counts[each.request_id]
    ]
    return _verdict('true refusals', judged, violations)


def executions_match_requests(history: History, bounds: Bounds) -> Verdict:
    """Only sent requests are executed, for the workspace of their key."""
    violations = []
    for run in history.executions:
        record = history.requests_by_id.get(run.request_id)
        if record is None:
            violations.append(f'{run.request_id}: executed, but never sent')
        elif run.authorization:
            violations.append(f'{run.request_id}: API key forwarded')
        elif run.workspace != history.workspace_by_key.get(record.key):
            violations.append(
                f'{run.request_id}: wrong workspace {run.workspace!r}'
            )
    return Verdict('asked for', len(history.executions), tuple(violations))


def revoked_keys_are_rejected(history: History, bounds: Bounds) -> Verdict:
    """No request with a revoked key is executed after the bound."""
    checked = 0
    violations = []
    for run in history.executions:
        record = history.requests_by_id.get(run.request_id)
        if record is None or record.key not in history.revoked_at:
            continue
        checked += 1
        late = record.sent_at - history.revoked_at[record.key]
        if late > bounds.revoke:
            violations.append(
                f'{run.request_id}: sent {late:.2f} s after revocation'
            )
    refused = sum(
        each.key in history.revoked_at and each.status != OK
        for each in history.requests
    )
    return Verdict('keys end', checked + refused, tuple(violations))


def draining_workers_get_no_requests(
    history: History, bounds: Bounds
) -> Verdict:
    """Without faults, a draining worker gets no requests after the bound."""
    checked = sum(
        history.is_fault_free(
            drained_at, drained_at + bounds.drain, bounds.propagation
        )
        for drained_at in history.draining_since.values()
    )
    violations = []
    latest = bounds.drain + TOLERANCE
    for run in history.executions:
        drained_at = history.draining_since.get(run.worker)
        if drained_at is None or run.started_at < drained_at:
            continue
        if not history.is_fault_free(
            drained_at, run.started_at, bounds.propagation
        ):
            continue
        checked += 1
        if run.started_at - drained_at > latest:
            violations.append(
                f'{run.request_id}: {run.started_at - drained_at:.2f} s '
                'after the drain began'
            )
    return Verdict('leaving workers', checked, tuple(violations))


def answers_arrive_in_time(history: History, bounds: Bounds) -> Verdict:
    """Without faults, a request is answered within its route's timeout."""
    checked = 0
    violations = []
    for each in history.requests:
        end = each.ended_at or float('inf')
        latest = each.sent_at + bounds.timeout
        fault_free = history.is_fault_free(
            each.sent_at, latest, bounds.propagation
        )
        if each.abandoned or not fault_free:
            continue
        checked += 1
        if end > latest + 2 * TOLERANCE:
            violations.append(
                f'{each.request_id}: no final answer '
                f'for {end - each.sent_at:.2f} s'
            )
    return Verdict('final answers', checked, tuple(violations))


def planned_stops_drop_no_requests(history: History, bounds: Bounds) -> Verdict:
    """A request that was executed gets an answer although its host stops.

    Considers requests sent from one second before the stop until its end.
    """
    judged = [
        each
        for host, begin, end in history.planned_stops
        for each in history.requests
        if each.host == host
        and not each.abandoned
        and begin - 1 < each.sent_at < end
        and history.is_fault_free(each.sent_at, end, bounds.propagation)
    ]
    violations = [
        f'{each.request_id}: no answer, sent near a planned stop'
        for each in judged
        if not each.status and history.execution_count(each.request_id)
    ]
    return _verdict('planned stops', judged, violations)


def retries_stay_within_budget(history: History, bounds: Bounds) -> Verdict:
    """Executions beyond the first of each request stay within the budget."""
    executed: set[str] = set()
    retries: list[float] = []
    for run in sorted(history.executions, key=lambda each: each.started_at):
        if run.request_id in executed:
            retries.append(run.started_at)
        executed.add(run.request_id)
    violations = []
    for begin in retries:
        end = begin + bounds.budget_window
        retry_count = sum(begin <= moment < end for moment in retries)
        request_count = _compared_requests(history, begin, bounds)
        allowed = bounds.retry_ratio * request_count + bounds.retry_slack
        if retry_count > allowed:
            violations.append(
                f'{retry_count} retries in {bounds.budget_window} s '
                f'for {request_count} requests'
            )
    return Verdict('budget', len(retries), tuple(violations))


def _compared_requests(history: History, begin: float, bounds: Bounds) -> int:
    """Return the requests that the retries of a window are compared with.

    They are those of the window, of the one before it or of the one half a
    window before it, whichever has most.
    """
    span = bounds.budget_window
    return max(
        sum(start <= each.sent_at < start + span for each in history.requests)
        for start in (begin, begin - span / 2, begin - span)
    )


def service_recovers(history: History, bounds: Bounds) -> Verdict:
    """After the last fault, at least half of the requests are served again."""
    judged = [
        each
        for each in history.requests
        if each.sent_at >= history.settled_at
        and each.key not in history.revoked_at
    ]
    served = sum(each.served for each in judged)
    violations = []
    if served * 2 < len(judged):
        violations.append(f'{served} of {len(judged)} served')
    return _verdict('recovery', judged, violations)


def configurations_take_effect(
    history: History,
    bounds: Bounds,
) -> Verdict:
    """Each host without faults knows a confirmed route after the bound."""
    judged = [
        each
        for each in history.requests
        if each.sent_at - history.route_added_at.get(each.route, float('inf'))
        > bounds.apply
        and history.is_unaffected(
            each.host, each.sent_at - bounds.propagation, each.ended_at
        )
    ]
    violations = [
        f'{each.request_id}: {each.status} by {each.host} for {each.route}, '
        f'{each.sent_at - history.route_added_at[each.route]:.2f} s '
        'after confirmation'
        for each in judged
        if each.status in UNKNOWN_STATUSES
    ]
    return _verdict('configurations in force', judged, violations)


def configurations_persist(history: History, bounds: Bounds) -> Verdict:
    """A host that has served a new route continues to know it."""
    first_served: dict[tuple[str, str], float] = {}
    judged = []
    for each in sorted(history.requests, key=lambda record: record.sent_at):
        known_since = first_served.get((each.host, each.route), float('inf'))
        if not each.route:
            continue
        if each.served:
            first_served.setdefault((each.host, each.route), each.ended_at)
        if (
            each.sent_at > known_since + APPLIED_MARGIN
            and history.is_unaffected(
                each.host,
                known_since,
                each.ended_at,
            )
        ):
            judged.append(each)
    violations = [
        f'{each.request_id}: {each.status} by {each.host} for {each.route}'
        for each in judged
        if each.status in UNKNOWN_STATUSES
    ]
    return _verdict('configurations stay', judged, violations)


def harmful_requests_are_rejected(
    history: History,
    bounds: Bounds,
) -> Verdict:
    """A harmful request is rejected once it has crashed some workers.

    So are all requests with a part that does. Hosts have some time to learn of
    the last of these crashes; then three more executions are tolerated.
    ``Bounds`` has the numbers.
    """
    by_cause: dict[str, list[float]] = {}
    for run in sorted(history.executions, key=lambda each: each.started_at):
        if run.harmful:
            by_cause.setdefault(run.harmful, []).append(run.started_at)
    checked = 0
    violations = []
    for cause, start_times in by_cause.items():
        is_path = cause.startswith('/')
        limit = bounds.crash_limit if is_path else bounds.part_crash_limit
        if len(start_times) < limit:
            continue
        known_since = start_times[limit - 1] + bounds.propagation
        later = sum(moment > known_since for moment in start_times)
        checked += 1
        if later > bounds.max_later_executions:
            violations.append(
                f'{cause}: {later} late of {len(start_times)} executions'
            )
    return Verdict('harmful requests', checked, tuple(violations))


JUDGES: Final[tuple[Judge, ...]] = (
    answers_are_complete,
    streams_are_in_order,
    executions_are_at_most_once,
    refusals_are_truthful,
    executions_match_requests,
    revoked_keys_are_rejected,
    draining_workers_get_no_requests,
    evacuated_domains_get_no_requests,
    answers_arrive_in_time,
    planned_stops_drop_no_requests,
    retries_stay_within_budget,
    configurations_take_effect,
    configurations_persist,
    harmful_requests_are_rejected,
    sessions_are_not_moved,
    bad_versions_get_limited_traffic,
    cut_off_hosts_serve,
    brittle_workers_stay_up,
    limits_hold,
    departed_callers_get_no_work,
    crowded_hosts_serve,
    service_recovers,
)


def judge(history: History, bounds: Bounds) -> Iterator[Verdict]:
    """Yield the verdict of each judge, in the order of ``JUDGES``."""
    for each in JUDGES:
        yield each(history, bounds)


def _verdict(
    name: str,
    judged: Sequence[RequestRecord],
    violations: Iterable[str],
) -> Verdict:
    """Return the verdict of a judge that checks requests."""
    return Verdict(name, len(judged), tuple(violations))
