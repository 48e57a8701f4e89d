"""Each judge of the fleet's soak can fail: a history that breaks its rule."""

import unittest
from dataclasses import replace

from experiments.fleet_soak import judge as judges
from experiments.fleet_soak.history import (
    Asked,
    Bounds,
    History,
    Kind,
    OrderedRollout,
    Ran,
    Trouble,
    event_of,
    expected_body,
)

BOUNDS = Bounds()
GOOD = Asked(
    'r',
    Kind.PAY,
    'h',
    'k',
    sent=10,
    ended=11,
    status=200,
    body=expected_body('r', Kind.PAY),
    whole=True,
    signed=True,
)
RUN = Ran('r', 'w', 10.1, workspace='clerks')


def history(*asked: Asked, ran: tuple[Ran, ...] = (RUN,)) -> History:
    """Return a history in which a key holds."""
    return History(
        asked={each.request: each for each in asked},
        ran=list(ran),
        keys={'k': 'clerks'},
        calm_from=0,
    )


class JudgeTest(unittest.TestCase):
    """What breaks a rule is found, and what keeps all is not."""

    def broken(self, judge: judges.Judge, seen: History) -> int:
        """Return how often a judge found its rule broken."""
        verdict = judge(seen, BOUNDS)
        self.assertGreater(verdict.moments, 0)
        return len(verdict.broken)

    def test_good_history_breaks_nothing(self) -> None:
        """One request, one run, one answer."""
        for judge in judges.JUDGES:
            with self.subTest(judge=judge.__name__):
                self.assertEqual(judge(history(GOOD), BOUNDS).broken, ())

    def test_foreign_and_unsigned_answers(self) -> None:
        """The answer to another request, or nobody's."""
        for bad in (
            replace(GOOD, body=expected_body('other', Kind.PAY)),
            replace(GOOD, signed=False),
        ):
            self.assertEqual(
                self.broken(judges.answers_are_whole, history(bad)), 1
            )

    def test_streams_with_a_gap_or_a_doubled_piece(self) -> None:
        """Pieces of two runs that were joined badly."""
        for numbers in ((1, 3), (1, 2, 2), (2,)):
            body = b''.join(event_of('r', number) for number in numbers)
            bad = replace(GOOD, kind=Kind.DRAFT, body=body, whole=False)
            self.assertEqual(
                self.broken(judges.streams_are_in_order, history(bad)), 1
            )

    def test_second_run(self) -> None:
        """A booking that was made twice."""
        seen = history(GOOD, ran=(RUN, replace(RUN, worker='v')))
        found = self.broken(judges.runs_once, seen)
        self.assertEqual(found, 1)

    def test_refusal_that_lies(self) -> None:
        """Not run, and it ran."""
        seen = history(replace(GOOD, status=503))
        found = self.broken(judges.promises_are_true, seen)
        self.assertEqual(found, 1)

    def test_runs_that_nobody_asked_for(self) -> None:
        """An unknown id, a foreign workspace, a key that was passed on."""
        for bad in (
            replace(RUN, request='x'),
            replace(RUN, workspace='others'),
            replace(RUN, authorization='Bearer k'),
        ):
            seen = history(GOOD, ran=(bad,))
            found = self.broken(judges.runs_were_asked_for, seen)
            self.assertEqual(found, 1)

    def test_dead_key(self) -> None:
        """Sent six seconds after its key was taken away."""
        seen = history(GOOD)
        seen.revoked['k'] = 4
        found = self.broken(judges.keys_end, seen)
        self.assertEqual(found, 1)
        seen.revoked['k'] = 6
        found = self.broken(judges.keys_end, seen)
        self.assertEqual(found, 0)

    def test_worker_that_has_left(self) -> None:
        """Three seconds after it said so; excused only by trouble."""
        seen = history(GOOD)
        seen.left['w'] = 7
        self.assertEqual(
            self.broken(judges.leaving_workers_get_nothing, seen), 1
        )
        seen.troubled.append(Trouble(6, 8))
        excused = judges.leaving_workers_get_nothing(seen, BOUNDS)
        self.assertEqual((excused.moments, excused.broken), (0, ()))

    def test_route_that_is_unknown_after_the_bound(self) -> None:
        """Three seconds after it was confirmed; trouble of others is none."""
        bad = replace(GOOD, status=404, route='new')
        seen = history(bad)
        seen.added['new'] = 7
        judge = judges.configurations_come_into_force
        self.assertEqual(self.broken(judge, seen), 1)
        seen.troubled.append(Trouble(6, 8, 'another'))
        self.assertEqual(self.broken(judge, seen), 1)
        seen.troubled.append(Trouble(6, 8, GOOD.host))
        excused = judge(seen, BOUNDS)
        self.assertEqual((excused.moments, excused.broken), (0, ()))

    def test_route_that_is_forgotten_again(self) -> None:
        """Served, and unknown a second later by the same host."""
        first = replace(GOOD, route='new')
        later = replace(first, request='s', sent=12, ended=13, status=404)
        judge = judges.configurations_stay
        self.assertEqual(self.broken(judge, history(first, later)), 1)
        elsewhere = replace(later, host='another')
        found = judge(history(first, elsewhere), BOUNDS)
        self.assertEqual((found.moments, found.broken), (0, ()))

    def test_answer_after_the_timeout(self) -> None:
        """Never ended, or much too late."""
        for ended in (0.0, 16.0):
            seen = history(replace(GOOD, ended=ended))
            found = self.broken(judges.answers_come_in_time, seen)
            self.assertEqual(found, 1)

    def test_cut_at_a_planned_stop(self) -> None:
        """Passed on, and closed without an answer."""
        seen = history(replace(GOOD, status=0, whole=False))
        seen.stopping.append(('h', 9.5, 18))
        found = self.broken(judges.planned_stops_cut_nothing, seen)
        self.assertEqual(found, 1)

    def test_storm_of_repeats(self) -> None:
        """Each of them beyond the operator's ratio."""
        runs = tuple(replace(RUN, moment=10 + i / 100) for i in range(100))
        seen = history(GOOD, ran=runs)
        self.assertGreater(
            self.broken(judges.repeats_keep_to_the_budget, seen), 0
        )

    def test_fleet_that_does_not_come_back(self) -> None:
        """Nothing is served after the last fault."""
        seen = history(replace(GOOD, status=503, whole=True))
        found = self.broken(judges.service_returns, seen)
        self.assertEqual(found, 1)

    def sessions(self, versions: str, *, bad: bool = False) -> History:
        """Return a roll-out of v2 in which sessions run twice.

        Args:
            versions: The versions of both runs of each session.
            bad: Whether the new version is bad.
        """
        seen = History(
            keys={'k': 'clerks'},
            versions={'w1': 'v1', 'w2': 'v2'},
            rollouts=[OrderedRollout('v2', bad, ordered=10, duration=12)],
        )
        for number in range(BOUNDS.moved + 1):
            for place, version in enumerate(versions):
                name = f'{number}-{place}'
                sent = 12 + place
                seen.asked[name] = replace(
                    GOOD,
                    request=name,
                    sent=sent,
                    ended=sent + 0.5,
                    session=f's{number}',
                )
                seen.ran.append(Ran(name, f'w{version}', sent + 0.1))
        return seen

    def test_sessions_that_are_moved(self) -> None:
        """To the new version in the first half, or back from a good one."""
        cases = (('11', False, 0), ('12', False, 4), ('12', True, 4))
        for versions, bad, broken in (*cases, ('21', False, 4)):
            seen = self.sessions(versions, bad=bad)
            with self.subTest(versions=versions, bad=bad):
                found = self.broken(judges.sessions_stay, seen)
                self.assertEqual(found, broken)
        self.assertEqual(
            self.broken(judges.sessions_stay, self.sessions('21', bad=True)),
            0,
        )
        late = self.sessions('12')
        late.rollouts[0].ordered = 2
        self.assertEqual(judges.sessions_stay(late, BOUNDS).broken, ())

    def test_bad_version_that_goes_on(self) -> None:
        """More than its share, or more after fifty bad answers."""
        seen = self.sessions('2', bad=True)
        seen.ran = [
            Ran('0-0', 'w2', 12 + number / 100, failed=True)
            for number in range(BOUNDS.expose_slack)
        ]
        judge = judges.bad_versions_get_little
        self.assertEqual(self.broken(judge, seen), 0)
        seen.ran *= 2
        self.assertEqual(self.broken(judge, seen), 1)
        others = [Ran('0-0', 'w1', 13) for _ in range(400)]
        seen.ran = [*seen.ran, *others]
        self.assertEqual(self.broken(judge, seen), 0)
        seen.ran.append(Ran('0-0', 'w2', 19))
        self.assertEqual(self.broken(judge, seen), 1)

    def test_harmful_requests_that_go_on(self) -> None:
        """Four more after the third, later than hosts have to know of it."""
        path = '/draft/harmful'
        moments = (1.0, 2.0, 3.0, 5.0, 7.0, 8.0, 9.0)
        runs = tuple(
            replace(RUN, moment=moment, harmful=path) for moment in moments
        )
        judge = judges.harmful_requests_are_kept_out
        self.assertEqual(self.broken(judge, history(GOOD, ran=runs)), 0)
        more = (*runs, replace(RUN, moment=10, harmful=path))
        self.assertEqual(self.broken(judge, history(GOOD, ran=more)), 1)
