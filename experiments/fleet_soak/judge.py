"""What must hold of a fleet, judged from what callers and workers have seen.

Each judge is a function from a history to what it found broken; it says how
many moments it looked at, so that a run which never came near a rule shows.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Final

from experiments.fleet_soak.history import (
    OK,
    SLACK,
    Asked,
    Bounds,
    History,
    Kind,
    Verdict,
    expected_body,
)
from experiments.fleet_soak.rollout_judge import (
    bad_versions_get_little,
    sessions_stay,
)

#: Statuses that promise that a request has not run and never will.
PROMISES: Final = frozenset((408, 421, 429, 503))

#: What a host answers that does not know a route or a key.
UNKNOWN: Final = frozenset((401, 403, 404))

#: Seconds between the first effect of a configuration on a host and a request
#: that is judged by it.
SEEN: Final = 0.25

Judge = Callable[[History, Bounds], Verdict]


def answers_are_whole(history: History, bounds: Bounds) -> Verdict:
    """A success is the whole answer to its own request, and a worker's."""
    judged = [each for each in history.requests if each.served]
    broken = [
        f'{each.request}: {each.body[:60]!r}'
        for each in judged
        if not each.signed
        or each.body != expected_body(each.request, each.kind)
    ]
    return _verdict('whole answers', judged, broken)


def streams_are_in_order(history: History, bounds: Bounds) -> Verdict:
    """What came of a stream that broke is its beginning, piece by piece."""
    judged = [
        each
        for each in history.requests
        if each.kind is Kind.DRAFT and each.body and each.status == OK
    ]
    broken = [
        f'{each.request}: {each.body[-60:]!r}'
        for each in judged
        if not expected_body(each.request, each.kind).startswith(each.body)
    ]
    return _verdict('order of streams', judged, broken)


def runs_once(history: History, bounds: Bounds) -> Verdict:
    """What may not be repeated runs at most once."""
    runs = Counter(run.request for run in history.ran)
    judged = history.of_kind(Kind.PAY)
    broken = [
        f'{each.request}: {runs[each.request]} runs'
        for each in judged
        if runs[each.request] > 1
    ]
    return _verdict('at most once', judged, broken)


def promises_are_true(history: History, bounds: Bounds) -> Verdict:
    """A refusal that says "not run" is true, also later."""
    runs = Counter(run.request for run in history.ran)
    judged = [
        each
        for each in history.requests
        if each.status in PROMISES and each.kind is Kind.PAY
    ]
    broken = [
        f'{each.request}: {each.status}, and it ran'
        for each in judged
        if runs[each.request]
    ]
    return _verdict('true refusals', judged, broken)


def runs_were_asked_for(history: History, bounds: Bounds) -> Verdict:
    """Only what callers sent runs, for the workspace that holds its key."""
    broken = []
    for run in history.ran:
        asked = history.asked.get(run.request)
        if asked is None:
            broken.append(f'{run.request}: nobody sent it')
        elif run.authorization:
            broken.append(f'{run.request}: its key was passed on')
        elif run.workspace != history.keys.get(asked.key):
            broken.append(f'{run.request}: ran for {run.workspace!r}')
    return Verdict('asked for', len(history.ran), tuple(broken))


def keys_end(history: History, bounds: Bounds) -> Verdict:
    """A key that was taken away lets nothing run after the bound."""
    moments = 0
    broken = []
    for run in history.ran:
        asked = history.asked.get(run.request)
        if asked is None or asked.key not in history.revoked:
            continue
        moments += 1
        late = asked.sent - history.revoked[asked.key]
        if late > bounds.revoke:
            broken.append(f'{run.request}: sent {late:.2f} s after')
    refused = sum(
        each.key in history.revoked and each.status != OK
        for each in history.requests
    )
    return Verdict('keys end', moments + refused, tuple(broken))


def leaving_workers_get_nothing(history: History, bounds: Bounds) -> Verdict:
    """A worker that leaves gets nothing new after the bound, in calm."""
    moments = sum(
        history.is_calm(left, left + bounds.drain, bounds.contact)
        for left in history.left.values()
    )
    broken = []
    latest = bounds.drain + SLACK
    for run in history.ran:
        left = history.left.get(run.worker)
        if left is None or run.moment < left:
            continue
        if not history.is_calm(left, run.moment, bounds.contact):
            continue
        moments += 1
        if run.moment - left > latest:
            broken.append(f'{run.request}: {run.moment - left:.2f} s after')
    return Verdict('leaving workers', moments, tuple(broken))


def answers_come_in_time(history: History, bounds: Bounds) -> Verdict:
    """Each request has its final answer by its route's timeout, in calm."""
    moments = 0
    broken = []
    for each in history.requests:
        end = each.ended or float('inf')
        latest = each.sent + bounds.timeout
        calm = history.is_calm(each.sent, latest, bounds.contact)
        if each.left_early or not calm:
            continue
        moments += 1
        if end > latest + 2 * SLACK:
            broken.append(f'{each.request}: {end - each.sent:.2f} s')
    return Verdict('final answers', moments, tuple(broken))


def planned_stops_cut_nothing(history: History, bounds: Bounds) -> Verdict:
    """A request that a stopping host has taken is answered."""
    judged = [
        each
        for host, begin, end in history.stopping
        for each in history.requests
        if each.host == host
        and not each.left_early
        and begin - 1 < each.sent < end
        and history.is_calm(each.sent, end, bounds.contact)
    ]
    broken = [
        f'{each.request}: cut at a planned stop'
        for each in judged
        if not each.status and history.runs_of(each.request)
    ]
    return _verdict('planned stops', judged, broken)


def repeats_keep_to_the_budget(history: History, bounds: Bounds) -> Verdict:
    """Runs beyond the first of each request keep to the operator's ratio."""
    first: set[str] = set()
    extra: list[float] = []
    for run in sorted(history.ran, key=lambda each: each.moment):
        if run.request in first:
            extra.append(run.moment)
        first.add(run.request)
    broken = []
    for begin in extra:
        end = begin + bounds.window
        repeats = sum(begin <= moment < end for moment in extra)
        asked = sum(
            begin - bounds.window <= each.sent < end
            for each in history.requests
        )
        if repeats > bounds.repeat_ratio * asked + bounds.repeat_slack:
            broken.append(f'{repeats} repeats of {asked} in {bounds.window} s')
    return Verdict('budget', len(extra), tuple(broken))


def service_returns(history: History, bounds: Bounds) -> Verdict:
    """After the last fault most requests are served again."""
    judged = [
        each
        for each in history.requests
        if each.sent >= history.calm_from and each.key not in history.revoked
    ]
    served = sum(each.served for each in judged)
    broken = []
    if served * 2 < len(judged):
        broken.append(f'{served} of {len(judged)} served')
    return _verdict('recovery', judged, broken)


def configurations_come_into_force(
    history: History,
    bounds: Bounds,
) -> Verdict:
    """A confirmed route is served after the bound by each host that is well."""
    judged = [
        each
        for each in history.requests
        if each.sent - history.added.get(each.route, float('inf'))
        > bounds.apply
        and history.is_well(each.host, each.sent - bounds.contact, each.ended)
    ]
    broken = [
        f'{each.request}: {each.status} by {each.host} for {each.route}, '
        f'{each.sent - history.added[each.route]:.2f} s after'
        for each in judged
        if each.status in UNKNOWN
    ]
    return _verdict('configurations in force', judged, broken)


def configurations_stay(history: History, bounds: Bounds) -> Verdict:
    """A host that has served a new route does not forget it again."""
    first: dict[tuple[str, str], float] = {}
    judged = []
    for each in sorted(history.requests, key=lambda asked: asked.sent):
        known = first.get((each.host, each.route), float('inf'))
        if not each.route:
            continue
        if each.served:
            first.setdefault((each.host, each.route), each.ended)
        if each.sent > known + SEEN and history.is_well(
            each.host,
            known,
            each.ended,
        ):
            judged.append(each)
    broken = [
        f'{each.request}: {each.status} by {each.host} for {each.route}'
        for each in judged
        if each.status in UNKNOWN
    ]
    return _verdict('configurations stay', judged, broken)


def harmful_requests_are_kept_out(
    history: History,
    bounds: Bounds,
) -> Verdict:
    """A request that has ended three workers reaches three more at most.

    Hosts have a while to learn of the third.
    """
    by_path: dict[str, list[float]] = {}
    for run in sorted(history.ran, key=lambda each: each.moment):
        if run.harmful:
            by_path.setdefault(run.harmful, []).append(run.moment)
    judged = 0
    broken = []
    for path, moments in by_path.items():
        if len(moments) < bounds.ends:
            continue
        known = moments[bounds.ends - 1] + bounds.contact
        later = sum(moment > known for moment in moments)
        judged += 1
        if later > bounds.repeats_after:
            broken.append(f'{path}: {later} more, {len(moments)} in all')
    return Verdict('harmful requests', judged, tuple(broken))


JUDGES: Final[tuple[Judge, ...]] = (
    answers_are_whole,
    streams_are_in_order,
    runs_once,
    promises_are_true,
    runs_were_asked_for,
    keys_end,
    leaving_workers_get_nothing,
    answers_come_in_time,
    planned_stops_cut_nothing,
    repeats_keep_to_the_budget,
    configurations_come_into_force,
    configurations_stay,
    harmful_requests_are_kept_out,
    sessions_stay,
    bad_versions_get_little,
    service_returns,
)


def judge(history: History, bounds: Bounds) -> Iterator[Verdict]:
    """Yield what each judge found."""
    for each in JUDGES:
        yield each(history, bounds)


def _verdict(
    name: str,
    judged: Sequence[Asked],
    broken: Iterable[str],
) -> Verdict:
    """Return what a judge of requests found."""
    return Verdict(name, len(judged), tuple(broken))
