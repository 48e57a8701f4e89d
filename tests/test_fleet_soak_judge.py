"""Tests that each judge of the fleet soak detects a violation of its rule."""

import unittest
from dataclasses import replace

from experiments.fleet_soak import judge as judges
from experiments.fleet_soak.history import (
    Bounds,
    Evacuation,
    FaultInterval,
    History,
    Kind,
    NeedTime,
    OrderedRollout,
    Ran,
    RequestRecord,
    expected_body,
    stream_event,
)

BOUNDS = Bounds()
GOOD = RequestRecord(
    'r',
    Kind.PAY,
    'h',
    'k',
    sent_at=10,
    ended_at=11,
    status=200,
    body=expected_body('r', Kind.PAY),
    complete=True,
    signed=True,
)
EXECUTION = Ran('r', 'w', 10.1, workspace='clerks')


def make_history(
    *records: RequestRecord, executions: tuple[Ran, ...] = (EXECUTION,)
) -> History:
    """Return a history in which one API key is valid."""
    return History(
        requests_by_id={each.request_id: each for each in records},
        executions=list(executions),
        workspace_by_key={'k': 'clerks'},
        settled_at=0,
    )


class JudgeTest(unittest.TestCase):
    """Violations are found, and only violations."""

    def count_violations(self, judge: judges.Judge, history: History) -> int:
        """Return the number of violations that a judge finds."""
        verdict = judge(history, BOUNDS)
        self.assertGreater(verdict.checked, 0)
        return len(verdict.violations)

    def test_good_history_breaks_nothing(self) -> None:
        """One request is executed once and answered."""
        for judge in judges.JUDGES:
            with self.subTest(judge=judge.__name__):
                self.assertEqual(
                    judge(make_history(GOOD), BOUNDS).violations, ()
                )

    def test_foreign_and_unsigned_answers(self) -> None:
        """A body for another request, or no signature of a worker."""
        for bad in (
            replace(GOOD, body=expected_body('other', Kind.PAY)),
            replace(GOOD, signed=False),
        ):
            self.assertEqual(
                self.count_violations(
                    judges.answers_are_complete, make_history(bad)
                ),
                1,
            )

    def test_streams_with_a_gap_or_a_duplicate_event(self) -> None:
        """The events of two executions are joined wrongly."""
        for numbers in ((1, 3), (1, 2, 2), (2,)):
            body = b''.join(stream_event('r', number) for number in numbers)
            bad = replace(GOOD, kind=Kind.DRAFT, body=body, complete=False)
            self.assertEqual(
                self.count_violations(
                    judges.streams_are_in_order, make_history(bad)
                ),
                1,
            )

    def test_second_execution(self) -> None:
        """A non-idempotent request is executed twice."""
        history = make_history(
            GOOD, executions=(EXECUTION, replace(EXECUTION, worker='v'))
        )
        found = self.count_violations(
            judges.executions_are_at_most_once, history
        )
        self.assertEqual(found, 1)

    def test_false_refusal(self) -> None:
        """Refused as not executed, but executed."""
        history = make_history(replace(GOOD, status=503))
        found = self.count_violations(judges.refusals_are_truthful, history)
        self.assertEqual(found, 1)

    def test_executions_without_a_matching_request(self) -> None:
        """An unknown id, another workspace, or a forwarded API key."""
        for bad in (
            replace(EXECUTION, request_id='x'),
            replace(EXECUTION, workspace='others'),
            replace(EXECUTION, authorization='Bearer k'),
        ):
            history = make_history(GOOD, executions=(bad,))
            found = self.count_violations(
                judges.executions_match_requests, history
            )
            self.assertEqual(found, 1)

    def test_revoked_key(self) -> None:
        """Sent six seconds after its key was revoked."""
        history = make_history(GOOD)
        history.revoked_at['k'] = 4
        found = self.count_violations(judges.revoked_keys_are_rejected, history)
        self.assertEqual(found, 1)
        history.revoked_at['k'] = 6
        found = self.count_violations(judges.revoked_keys_are_rejected, history)
        self.assertEqual(found, 0)

    def test_draining_worker(self) -> None:
        """Used three seconds after the drain; only a fault excuses that."""
        history = make_history(GOOD)
        history.draining_since['w'] = 7
        self.assertEqual(
            self.count_violations(
                judges.draining_workers_get_no_requests, history
            ),
            1,
        )
        history.fault_intervals.append(FaultInterval(6, 8))
        excused = judges.draining_workers_get_no_requests(history, BOUNDS)
        self.assertEqual((excused.checked, excused.violations), (0, ()))

    def test_evacuated_domain(self) -> None:
        """Used three seconds after the order; only a fault excuses that."""
        history = make_history(GOOD)
        history.domains['w'] = 'north'
        judge = judges.evacuated_domains_get_no_requests
        cases = (
            ('north', 7, float('inf'), 1),
            ('south', 7, float('inf'), 0),
        )
        for domain, ordered_at, ended_at, expected in cases:
            with self.subTest(domain=domain):
                history.evacuations = [Evacuation(domain, ordered_at, ended_at)]
                self.assertEqual(
                    self.count_violations(judge, history), expected
                )
        for ordered_at, ended_at in ((9, float('inf')), (7, 10)):
            history.evacuations = [Evacuation('north', ordered_at, ended_at)]
            self.assertEqual(judge(history, BOUNDS).checked, 0)
        history.evacuations = [Evacuation('north', 7)]
        history.fault_intervals.append(FaultInterval(6, 8, GOOD.host))
        self.assertEqual(judge(history, BOUNDS).checked, 0)

    def test_route_unknown_after_the_bound(self) -> None:
        """Unknown after three seconds; only a fault of that host excuses."""
        bad = replace(GOOD, status=404, route='new')
        history = make_history(bad)
        history.route_added_at['new'] = 7
        judge = judges.configurations_take_effect
        self.assertEqual(self.count_violations(judge, history), 1)
        history.fault_intervals.append(FaultInterval(6, 8, 'another'))
        self.assertEqual(self.count_violations(judge, history), 1)
        history.fault_intervals.append(FaultInterval(6, 8, GOOD.host))
        excused = judge(history, BOUNDS)
        self.assertEqual((excused.checked, excused.violations), (0, ()))

    def test_route_forgotten_again(self) -> None:
        """The same host serves it, and a second later does not know it."""
        first = replace(GOOD, route='new')
        later = replace(
            first, request_id='s', sent_at=12, ended_at=13, status=404
        )
        judge = judges.configurations_persist
        self.assertEqual(
            self.count_violations(judge, make_history(first, later)), 1
        )
        elsewhere = replace(later, host='another')
        found = judge(make_history(first, elsewhere), BOUNDS)
        self.assertEqual((found.checked, found.violations), (0, ()))

    def test_answer_after_the_timeout(self) -> None:
        """No answer, or one that is much too late."""
        for ended in (0.0, 16.0):
            history = make_history(replace(GOOD, ended_at=ended))
            found = self.count_violations(
                judges.answers_arrive_in_time, history
            )
            self.assertEqual(found, 1)

    def test_request_dropped_at_a_planned_stop(self) -> None:
        """Executed, but its connection is closed without an answer."""
        history = make_history(replace(GOOD, status=0, complete=False))
        history.planned_stops.append(('h', 9.5, 18))
        found = self.count_violations(
            judges.planned_stops_drop_no_requests, history
        )
        self.assertEqual(found, 1)

    def test_retries_beyond_the_budget(self) -> None:
        """One request is executed a hundred times."""
        runs = tuple(
            replace(EXECUTION, started_at=10 + i / 100) for i in range(100)
        )
        history = make_history(GOOD, executions=runs)
        self.assertGreater(
            self.count_violations(judges.retries_stay_within_budget, history), 0
        )

    # Guards against a judge that adds up the requests of two windows, where the
    # operator compares with the larger one.
    def test_retries_beyond_the_larger_of_two_windows(self) -> None:
        """A hundred and thirty retries, for sixty requests in each window."""
        requests = (
            replace(GOOD, request_id=f'r{sent_at}-{number}', sent_at=sent_at)
            for sent_at in (6.5, 17)
            for number in range(60)
        )
        runs = tuple(
            replace(EXECUTION, started_at=15 + number / 100)
            for number in range(131)
        )
        history = make_history(*requests, executions=runs)
        self.assertGreater(
            self.count_violations(judges.retries_stay_within_budget, history), 0
        )

    def test_fleet_that_does_not_recover(self) -> None:
        """No request is served after the last fault."""
        history = make_history(replace(GOOD, status=503, complete=True))
        found = self.count_violations(judges.service_recovers, history)
        self.assertEqual(found, 1)

    def session_history(self, versions: str, *, bad: bool = False) -> History:
        """Return a rollout of v2 in which each session has several requests.

        Args:
            versions: Version number for each request of a session, in order.
            bad: Whether the new version is bad.
        """
        history = History(
            workspace_by_key={'k': 'clerks'},
            versions={'w1': 'v1', 'w2': 'v2'},
            rollouts=[OrderedRollout('v2', bad, ordered_at=10, duration=12)],
        )
        for number in range(BOUNDS.max_moved_sessions + 1):
            for place, version in enumerate(versions):
                name = f'{number}-{place}'
                sent = 12 + place
                history.requests_by_id[name] = replace(
                    GOOD,
                    request_id=name,
                    sent_at=sent,
                    ended_at=sent + 0.5,
                    session=f's{number}',
                )
                history.executions.append(Ran(name, f'w{version}', sent + 0.1))
        return history

    def test_moved_sessions(self) -> None:
        """Moved to the new version early, or back from a good new version."""
        cases = (('11', False, 0), ('12', False, 4), ('12', True, 4))
        for versions, bad, expected in (*cases, ('21', False, 4)):
            history = self.session_history(versions, bad=bad)
            with self.subTest(versions=versions, bad=bad):
                found = self.count_violations(
                    judges.sessions_are_not_moved, history
                )
                self.assertEqual(found, expected)
        self.assertEqual(
            self.count_violations(
                judges.sessions_are_not_moved,
                self.session_history('21', bad=True),
            ),
            0,
        )
        late = self.session_history('12')
        late.rollouts[0].ordered_at = 2
        self.assertEqual(
            judges.sessions_are_not_moved(late, BOUNDS).violations, ()
        )

    def test_bad_version_that_gets_too_much_traffic(self) -> None:
        """More than its traffic share, or any request after fifty failures."""
        history = self.session_history('2', bad=True)
        history.executions = [
            Ran('0-0', 'w2', 12 + number / 100, failed=True)
            for number in range(BOUNDS.exposure_slack)
        ]
        judge = judges.bad_versions_get_limited_traffic
        self.assertEqual(self.count_violations(judge, history), 0)
        history.executions *= 2
        self.assertEqual(self.count_violations(judge, history), 1)
        others = [Ran('0-0', 'w1', 13) for _ in range(400)]
        history.executions = [*history.executions, *others]
        self.assertEqual(self.count_violations(judge, history), 0)
        history.executions.append(Ran('0-0', 'w2', 19))
        self.assertEqual(self.count_violations(judge, history), 1)

    def test_harmful_requests_that_are_not_rejected(self) -> None:
        """Four executions after the time in which hosts learn of the third."""
        path = '/draft/harmful'
        start_times = (1.0, 2.0, 3.0, 5.0, 7.0, 8.0, 9.0)
        runs = tuple(
            replace(EXECUTION, started_at=moment, harmful=path)
            for moment in start_times
        )
        judge = judges.harmful_requests_are_rejected
        self.assertEqual(
            self.count_violations(judge, make_history(GOOD, executions=runs)), 0
        )
        more = (*runs, replace(EXECUTION, started_at=10, harmful=path))
        self.assertEqual(
            self.count_violations(judge, make_history(GOOD, executions=more)), 1
        )

    def test_harmful_parts_that_are_not_rejected(self) -> None:
        """Four executions after the time in which hosts learn of the fifth."""
        start_times = (1.0, 1.1, 1.2, 1.3, 2.0, 4.9, 5.1, 6.0, 7.0)
        runs = tuple(
            replace(EXECUTION, started_at=moment, harmful='harmful-1')
            for moment in start_times
        )
        judge = judges.harmful_requests_are_rejected
        self.assertEqual(
            self.count_violations(judge, make_history(GOOD, executions=runs)), 0
        )
        more = (*runs, replace(EXECUTION, started_at=10, harmful='harmful-1'))
        self.assertEqual(
            self.count_violations(judge, make_history(GOOD, executions=more)), 1
        )

    def test_worker_in_need_that_gets_too_much(self) -> None:
        """Eleven executions in four seconds are allowed, from the third on."""
        judge = judges.limits_hold
        for moments, found in (
            ([13.1 + number / 10 for number in range(11)], 0),
            ([13.1 + number / 10 for number in range(12)], 1),
            ([10.1 + number / 10 for number in range(20)], 0),
        ):
            runs = tuple(
                replace(EXECUTION, started_at=moment) for moment in moments
            )
            history = make_history(GOOD, executions=runs)
            history.need_times.append(NeedTime('w', 1, 10, 19))
            with self.subTest(first=moments[0], count=len(moments)):
                self.assertEqual(self.count_violations(judge, history), found)
