"""Verdicts on a new version's answers, and the stages that follow."""

import itertools
import random
import unittest

from nutmegroad.canary.interrupted_attempts import (
    ANSWER_WINDOW,
    MAX_ATTEMPTS,
    InterruptedAttempts,
)
from nutmegroad.canary.rollouts import (
    CANARY_DELAY,
    FULL_FROM,
    FULL_UNTIL,
    RATE_KNOWN_AFTER,
    ROLL_BACK_FROM,
    Rollout,
    RolloutOrder,
    RolloutRow,
    Stage,
    extra_share,
)
from nutmegroad.canary.state import canary_share
from nutmegroad.canary.steps import next_stage
from nutmegroad.canary.verdicts import Judgement, Verdict
from nutmegroad.fleet.evidence import Answers, KindNumber
from nutmegroad.foundations.likelihoods import (
    ClampedLogRatio,
    MixtureCusum,
    log_likelihood_ratio,
)
from nutmegroad.foundations.types import UpstreamIncarnation
from nutmegroad.testing.virtual import ManualClock
from nutmegroad.upstreams.directory import SoftwareVersion
from tests.relay_samples import ENGINES

KIND, OTHER = KindNumber(1), KindNumber(2)

#: Probability of a hit, and the logarithm of a hundred.
RATE = 0.22
LEVEL = 4.6


def judged(*states: Answers, kind: KindNumber = KIND) -> Judgement:
    """Return the judgement of successive sums of one kind."""
    judgement = Judgement()
    for seen in states:
        judgement.update({kind: seen})
    return judgement


class VerdictTest(unittest.TestCase):
    """Bad, good or inconclusive."""

    def test_bad_version_is_found_within_few_answers(self) -> None:
        """A third of the answers fail; the exposure bound is 30 requests."""
        judgement = judged(Answers(old=200, old_poor=2))
        answers = 0
        poor = 0
        while judgement.verdict() is not Verdict.BAD:
            answers += 1
            poor += answers % 3 == 0
            judgement.update({KIND: Answers(answers, poor, 200, 2)})
        self.assertLessEqual(answers, 30)

    def test_faults_that_befall_all_versions_speak_against_none(self) -> None:
        """A lost failure domain fails a fifth of all answers."""
        judgement = judged(
            Answers(old=100, old_poor=20),
            Answers(50, 10, 500, 100),
        )
        self.assertIsNot(judgement.verdict(), Verdict.BAD)
        judgement.update({KIND: Answers(150, 30, 900, 180)})
        self.assertIs(judgement.verdict(), Verdict.GOOD)

    def test_poor_answers_of_a_disturbed_day_don_t_make_a_version_good(
        self,
    ) -> None:
        """12 of 28 answers are poor on the new version, 19 of 88 on the old.

        The failure: the rollout became full at 8 of 20 against 19 of 95, and
        succeeded, because a version that was not shown to be bad in time
        counted as good.
        """
        judgement = judged(Answers(20, 8, 95, 19), Answers(28, 12, 95, 19))
        self.assertIsNot(judgement.verdict(), Verdict.GOOD)

    def test_few_answers_show_nothing(self) -> None:
        """Twenty good answers may be the luck of a bad version."""
        judgement = judged(Answers(20, 0, 200, 2))
        self.assertIs(judgement.verdict(), Verdict.INCONCLUSIVE)

    def test_good_answers_show_a_good_version(self) -> None:
        """Sixty answers, one of them poor."""
        judgement = judged(Answers(old=100, old_poor=1), Answers(60, 1, 300, 4))
        self.assertIs(judgement.verdict(), Verdict.GOOD)

    def test_version_that_is_bad_for_one_kind_is_not_good(self) -> None:
        """Half the answers of a kind with a fifth of the requests fail."""
        judgement = Judgement()
        for step in range(1, 30):
            judgement.update(
                {
                    KIND: Answers(8 * step, 0, 80 * step, step),
                    OTHER: Answers(2 * step, step, 20 * step, 0),
                },
            )
            with self.subTest(step=step):
                self.assertIsNot(judgement.verdict(), Verdict.GOOD)
        self.assertIs(judgement.verdict(), Verdict.BAD)

    def test_version_that_turns_bad_late_is_halted(self) -> None:
        """Three hundred good answers, then every second one fails."""
        judgement = judged(Answers(300, 3, 2000, 20))
        self.assertIs(judgement.verdict(), Verdict.GOOD)
        judgement.update({KIND: Answers(306, 6, 2010, 20)})
        self.assertIsNot(judgement.verdict(), Verdict.GOOD)
        judgement.update({KIND: Answers(316, 11, 2020, 20)})
        self.assertIs(judgement.verdict(), Verdict.BAD)

    def test_hosts_that_judge_by_parts_ask_for_more(self) -> None:
        """Five failure domains receive only their own answers in time."""
        judgement = judged(Answers(old=100, old_poor=1), Answers(26, 0, 300, 3))
        self.assertIs(judgement.verdict(groups=1), Verdict.GOOD)
        self.assertIs(judgement.verdict(groups=9), Verdict.INCONCLUSIVE)

    def test_any_counts_can_be_weighed(self) -> None:
        """Every answer of the old version is poor, or none is."""
        randomness = random.Random(5)
        for _ in range(200):
            old, new = randomness.randrange(50), randomness.randrange(50)
            seen = Answers(
                new,
                randomness.randint(0, new),
                old,
                randomness.choice((0, old)),
            )
            self.assertIsInstance(judged(seen).verdict(), Verdict)

    def test_reason_names_what_it_rests_on(self) -> None:
        """Operators read the reason in the log and in the store."""
        reason = judged(Answers(20, 8, 95, 19)).reason()
        self.assertIn('8 of 20 poor, before 19 of 95', reason)


class NextStageTest(unittest.TestCase):
    """Stage that follows a verdict."""

    def test_stages(self) -> None:
        """A version without a verdict in time is rolled back in time."""
        trial, opened = Stage.CANARY, Stage.FULL
        cases = (
            (trial, Verdict.BAD, 0.1, Stage.ROLLED_BACK),
            (trial, Verdict.GOOD, FULL_FROM - 0.01, None),
            (trial, Verdict.GOOD, FULL_FROM, opened),
            (trial, Verdict.INCONCLUSIVE, FULL_FROM, None),
            (trial, Verdict.INCONCLUSIVE, FULL_UNTIL, Stage.ROLLED_BACK),
            (trial, Verdict.GOOD, FULL_UNTIL, Stage.ROLLED_BACK),
            (opened, Verdict.GOOD, 0.87, None),
            (opened, Verdict.GOOD, 0.88, Stage.SUCCEEDED),
            (opened, Verdict.INCONCLUSIVE, 0.9, None),
            (opened, Verdict.INCONCLUSIVE, ROLL_BACK_FROM, Stage.ROLLED_BACK),
            (opened, Verdict.BAD, 0.7, Stage.ROLLED_BACK),
        )
        for stage, verdict, elapsed, expected in cases:
            with self.subTest(stage=stage, verdict=verdict, elapsed=elapsed):
                self.assertIs(next_stage(stage, verdict, elapsed), expected)

    def test_late_opening_reaches_all_before_the_end(self) -> None:
        """A version is shown to be good at the last moment."""
        order = RolloutOrder(ENGINES, SoftwareVersion('v2'), 100, 7)
        row = RolloutRow(7, Stage.FULL.value, 0, 100 * FULL_UNTIL)
        self.assertEqual(Rollout(order, row, 1).share(87.9, 0.1), 1)


class BeyondTest(unittest.TestCase):
    """Share that a canary stage gets beyond the common share."""

    def test_few_requests_get_a_larger_share(self) -> None:
        """Half of the slack, spread over the remaining requests."""
        cases = ((30, 9, 10, 0.15), (30, 25, 15, 0.04), (30, 270, 10, 0))
        for slack, rate, seconds, share in cases:
            with self.subTest(rate=rate):
                found = extra_share(slack, rate, seconds)
                self.assertAlmostEqual(found, share)

    def test_share_of_a_row_is_added(self) -> None:
        """All hosts read the extra share from the row, so they agree on it."""
        order = RolloutOrder(ENGINES, SoftwareVersion('v2'), 100, 7)
        row = RolloutRow(7, Stage.CANARY.value, 0, beyond=0.1)
        self.assertAlmostEqual(Rollout(order, row, 1).share(20, 0.15), 0.25)


class ExposureTest(unittest.TestCase):
    """Exposure of a bad version that is not halted in its canary stage."""

    def test_trial_keeps_within_the_operators_bounds(self) -> None:
        """At most 0.86 of the share over the duration, and 0.6 of the slack.

        Hosts delay their writes by rank, so the last step is up to a second
        late.
        """
        exposure, slack, late = 0.15, 30, 1.05
        for seconds in (10, 16, 24, 60, 600):
            for rate in (1, 9, 27, 94, 270, 3500):
                order = RolloutOrder(ENGINES, SoftwareVersion('v2'), seconds, 7)
                left = seconds * FULL_UNTIL - RATE_KNOWN_AFTER
                beyond = extra_share(slack, rate, left)
                row = RolloutRow(7, Stage.CANARY.value, 0, beyond=beyond)
                share = Rollout(order, row).share(9, canary_share(exposure))
                # Before the share is raised, a canary stage gets less than
                # this.
                got = (
                    share * rate * (seconds * FULL_UNTIL + late - CANARY_DELAY)
                )
                allowed = 0.86 * exposure * rate * seconds
                with self.subTest(seconds=seconds, rate=rate):
                    self.assertLessEqual(got, allowed + 0.6 * slack)


class SuspicionsTest(unittest.TestCase):
    """Interrupted attempts and their causes."""

    upstream = UpstreamIncarnation('u')

    def setUp(self) -> None:
        """Create a host without interrupted attempts."""
        self.clock = ManualClock()
        self.interruptions = InterruptedAttempts(self.clock)

    def test_upstream_that_answers_again_was_there(self) -> None:
        """A version hangs on a part of its requests."""
        self.interruptions.record(self.upstream, KIND)
        self.interruptions.record(self.upstream, OTHER)
        self.assertEqual(
            self.interruptions.pop_interrupted(self.upstream),
            (KIND, OTHER),
        )
        self.assertEqual(self.interruptions.pop_interrupted(self.upstream), ())

    def test_upstream_that_was_cut_off_says_nothing(self) -> None:
        """A failure domain is cut off for five seconds."""
        self.interruptions.record(self.upstream, KIND)
        self.clock._now += ANSWER_WINDOW + 0.1
        self.assertEqual(self.interruptions.pop_interrupted(self.upstream), ())

    def test_memory_is_bounded(self) -> None:
        """Thousands of attempts are interrupted at terminated upstreams."""
        for number in range(2000):
            upstream = UpstreamIncarnation(f'u{number}')
            self.interruptions.record(upstream, KIND)
            self.interruptions.record(self.upstream, KIND)
            self.clock._now += 0.1
        self.assertLess(len(self.interruptions._interrupted), 40)
        self.assertLessEqual(
            len(self.interruptions.pop_interrupted(self.upstream)),
            MAX_ATTEMPTS,
        )


class LikelihoodTest(unittest.TestCase):
    """Likelihood ratios and bets that the verdicts are based on."""

    def test_ratio_is_a_ratio_of_probabilities(self) -> None:
        """Checked by hand: two hits and a miss at a half against a third."""
        ratio = log_likelihood_ratio(2, 1, 1 / 2, 1 / 3)
        self.assertAlmostEqual(ratio, 0.52324814376)

    def test_bet_does_not_grow_while_it_is_wrong(self) -> None:
        """Few of 2,000 streams at the rate bet against reach 100 to 1."""
        randomness = random.Random(7)
        reached = 0
        for _ in range(2000):
            bet = ClampedLogRatio(-9, 9)
            for _ in range(100):
                hit = randomness.random() < RATE
                bet.add(log_likelihood_ratio(hit, not hit, 0.02, RATE))
                if bet.strength >= LEVEL:
                    reached += 1
                    break
        self.assertLessEqual(reached, 20)

    def test_wealth_forgets_what_spoke_for_a_version(self) -> None:
        """A cumulative sum: a thousand good answers hide no later failures."""
        wealth = MixtureCusum(1)
        wealth.add([log_likelihood_ratio(0, 1000, 0.5, 0.1)])
        for _ in itertools.repeat(None, 5):
            wealth.add([log_likelihood_ratio(1, 0, 0.5, 0.1)])
        self.assertGreater(wealth.strength, 8)


if __name__ == '__main__':
    unittest.main()
