"""Tests of the quality estimates and of the adaptive planner."""

import random
import unittest
from dataclasses import replace

from experiments.trials.planner_worlds import (
    DOSSIER,
    LARGE,
    MEDIUM,
    SCENARIOS,
    SMALL,
    SUMMARY,
    TAG,
    VERSIONS,
    accepted_configuration,
    make_request,
)
from msgspec import structs

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.documents import (
    Concern,
    RolloutShare,
    Stage,
    VersionEntry,
    Withdrawal,
)
from nutmegroad.contracts.platform import Rating
from nutmegroad.contracts.requests import ModelRequest, Plan, SessionBinding
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    Epoch,
    RequestId,
    Revision,
    TaskName,
    VersionId,
)
from nutmegroad.quality.canary_policy import CanaryPolicy, PresetShares
from nutmegroad.quality.cascades import CheckPower, NoCheck
from nutmegroad.quality.estimates import HALF_LIFE, Estimates
from nutmegroad.quality.plans import AdaptivePlanner
from nutmegroad.routing.baselines import (
    cheapest_only,
    most_expensive,
    static_share,
)
from nutmegroad.testing.virtual import ManualClock


class _PlannerTest(unittest.TestCase):
    exploration = 0.0

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.configuration = Configuration(self.clock, 8)
        self.configuration.apply(accepted_configuration(SCENARIOS[0]))
        self.estimates = Estimates(self.configuration, self.clock)
        self.randomness = random.Random(3)
        self.planner = AdaptivePlanner(
            self.configuration,
            self.estimates,
            CanaryPolicy(PresetShares(self.configuration)),
            self.randomness,
            self.exploration,
        )

    def rate(
        self,
        version: VersionId,
        task: TaskName,
        mean: float,
        count: int,
    ) -> None:
        position = self.estimates.tracker.position
        ratings = [
            Rating(
                position + 1 + number,
                RequestId(''),
                task,
                version,
                min(1, self.randomness.gauss(mean, 0.03)),
            )
            for number in range(count)
        ]
        self.estimates.add_ratings(tuple(ratings))

    def plan(self, task: TaskName, **changes: object) -> Plan:
        plan = self.planner.plan(request_of(task, **changes))
        assert isinstance(plan, Plan), plan
        return plan

    def versions(self, task: TaskName, count: int) -> list[VersionId]:
        return [self.plan(task).steps[0] for _ in range(count)]

    def add_rollout(self, entry: VersionEntry, share: float) -> None:
        """Add a version in a rollout to the configuration."""
        base = accepted_configuration(SCENARIOS[0])
        preset = structs.replace(
            base.preset_entry,
            rollouts=(RolloutShare(version=entry.id, share=share),),
        )
        document = structs.replace(
            base.document,
            versions=(*base.document.versions, entry),
            presets=(preset,),
        )
        self.configuration.apply(
            replace(base, document=document, revision=Revision(2)),
        )


def request_of(task: TaskName, **changes: object) -> ModelRequest:
    """Return a request with some fields changed."""
    return replace(make_request(1, task, 800), **changes)  # type: ignore[arg-type]


class AdaptivePlannerTest(_PlannerTest):
    def test_before_any_rating_the_declared_quality_decides(self) -> None:
        for task, version in (
            (TAG, SMALL),
            (SUMMARY, MEDIUM),
            (DOSSIER, LARGE),
        ):
            with self.subTest(task=task):
                self.assertEqual(self.plan(task).steps, (version,))

    def test_a_version_below_the_target_is_replaced(self) -> None:
        self.rate(MEDIUM, SUMMARY, 0.9, 60)
        self.assertEqual(self.plan(SUMMARY).steps, (MEDIUM,))
        self.rate(MEDIUM, SUMMARY, 0.6, 20)
        self.assertEqual(self.plan(SUMMARY).steps, (LARGE,))

    def test_a_cheap_version_proven_good_is_chosen(self) -> None:
        self.rate(SMALL, SUMMARY, 0.93, 80)
        plan = self.plan(SUMMARY)
        self.assertEqual(plan.steps, (SMALL,))
        self.assertGreaterEqual(plan.quality, 0.88)

    def test_a_proven_version_precedes_a_cheaper_declared_one(self) -> None:
        self.rate(LARGE, SUMMARY, 0.96, 80)
        self.assertEqual(self.plan(SUMMARY).steps, (LARGE,))

    def test_the_refusal_without_a_good_version_has_a_reason(self) -> None:
        for version in VERSIONS:
            self.rate(version, DOSSIER, 0.7, 80)
        refusal = self.planner.plan(request_of(DOSSIER))
        assert isinstance(refusal, Refusal)
        self.assertIs(refusal.code, ResultCode.NO_PLAN)
        self.assertIn('brief-large@6 failed, not chosen', refusal.reason)
        self.assertGreater(refusal.retry_after, 0)

    def test_a_session_keeps_its_version(self) -> None:
        self.rate(SMALL, DOSSIER, 0.5, 80)
        claim = SessionBinding('s', SMALL, Epoch(0))
        plan = self.plan(DOSSIER, session=claim, versions=(SMALL,))
        self.assertEqual(plan.steps, (SMALL,))

    def test_the_refusal_of_withdrawn_versions_says_so(self) -> None:
        withdrawals = [Withdrawal(version=one, epoch=0) for one in VERSIONS]
        self.configuration.add_withdrawals(tuple(withdrawals))
        refusal = self.planner.plan(request_of(TAG))
        assert isinstance(refusal, Refusal)
        self.assertIs(refusal.code, ResultCode.VERSION_WITHDRAWN)

    def test_a_withdrawn_version_is_not_chosen(self) -> None:
        self.configuration.add_withdrawals(
            (Withdrawal(version=SMALL, epoch=0),)
        )
        self.assertEqual(self.plan(TAG).steps, (MEDIUM,))

    def test_exposure_requires_more_ratings_for_a_change(self) -> None:
        self.rate(LARGE, TAG, 0.97, 60)
        self.rate(SMALL, TAG, 0.99, 16)
        plan = self.plan(TAG, concern=Concern.EXPOSURE)
        self.assertEqual(plan.steps, (LARGE,))
        self.assertEqual(self.plan(TAG).steps, (SMALL,))

    def test_the_choice_does_not_flap_near_the_target(self) -> None:
        self.rate(MEDIUM, SUMMARY, 0.9, 200)
        self.rate(LARGE, SUMMARY, 0.96, 60)
        self.plan(SUMMARY)
        switches = 0
        last = self.plan(SUMMARY).steps
        for _ in range(200):
            self.rate(MEDIUM, SUMMARY, 0.886, 5)
            steps = self.plan(SUMMARY).steps
            switches += steps != last
            last = steps
        self.assertLessEqual(switches, 12)

    def test_the_reason_names_every_candidate(self) -> None:
        reason = self.plan(SUMMARY).reason
        self.assertIn('brief-small@2 undecided, not chosen', reason)
        self.assertIn('brief-medium@4 undecided, chosen', reason)
        self.assertIn('more expensive, not needed: brief-large@6', reason)

    def test_a_canary_version_gets_its_share_and_no_more(self) -> None:
        entry = VersionEntry(
            id='brief-medium@5',
            price_in=0.5,
            price_out=1.5,
            quality={SUMMARY: 0.9},
            stage=Stage.ROLLOUT,
        )
        self.add_rollout(entry, 0.1)
        versions = (*VERSIONS, entry.version)
        plans = [
            self.plan(
                SUMMARY,
                versions=versions,
                request=RequestId(f'r{number}'),
            ).steps[0]
            for number in range(1000)
        ]
        self.assertAlmostEqual(plans.count(entry.version), 100, delta=30)
        self.add_rollout(entry, 0.1)
        only = self.plan(SUMMARY, versions=(entry.version,))
        self.assertEqual(only.steps, (entry.version,))


class ExplorationTest(_PlannerTest):
    exploration = 0.02

    def test_a_cheaper_unproven_version_is_explored_in_bounds(self) -> None:
        self.rate(LARGE, SUMMARY, 0.96, 80)
        explored = self.versions(SUMMARY, 2000).count(MEDIUM)
        self.assertGreater(explored, 10)
        self.assertLessEqual(explored, 41)

    def test_a_version_known_to_be_bad_is_not_explored(self) -> None:
        self.rate(SMALL, DOSSIER, 0.6, 80)
        self.rate(MEDIUM, DOSSIER, 0.6, 80)
        self.rate(LARGE, DOSSIER, 0.96, 80)
        self.assertEqual(set(self.versions(DOSSIER, 500)), {LARGE})

    def test_a_failed_version_is_not_explored_on_a_lucky_draw(self) -> None:
        # Its upper bound is below the target; one draw in a hundred is above.
        self.rate(MEDIUM, DOSSIER, 0.84, 3)
        self.rate(LARGE, DOSSIER, 0.96, 80)
        self.assertEqual(set(self.versions(DOSSIER, 2000)), {LARGE})

    def test_there_is_no_exploration_with_concern_for_exposure(self) -> None:
        self.rate(LARGE, SUMMARY, 0.96, 80)
        plans = {
            self.plan(SUMMARY, concern=Concern.EXPOSURE).steps
            for _ in range(500)
        }
        self.assertEqual(plans, {(LARGE,)})

    def test_the_best_of_only_bad_versions_is_still_explored(self) -> None:
        for version in VERSIONS:
            self.rate(version, DOSSIER, 0.7, 80)
        plans = [self.planner.plan(request_of(DOSSIER)) for _ in range(500)]
        explorations = [plan for plan in plans if isinstance(plan, Plan)]
        self.assertGreaterEqual(len(explorations), 9)
        self.assertLessEqual(len(explorations), 10)


_Case = tuple[str, CheckPower, dict[str, object]]


class _FixedPowerCheck(NoCheck):
    """A check whose power on the small version is given."""

    def __init__(self, power: CheckPower) -> None:
        self._power = power

    def power(self, version: VersionId, task: TaskName) -> CheckPower | None:
        return self._power if version == SMALL else None


class CascadeTest(_PlannerTest):
    def cascade_plan(self, power: CheckPower, **changes: object) -> Plan:
        planner = AdaptivePlanner(
            self.configuration,
            self.estimates,
            CanaryPolicy(PresetShares(self.configuration)),
            self.randomness,
            0,
            _FixedPowerCheck(power),
        )
        plan = planner.plan(request_of(SUMMARY, **changes))
        assert isinstance(plan, Plan)
        return plan

    def test_its_cost_includes_escalations(self) -> None:
        single = self.plan(SUMMARY)
        plan = self.cascade_plan(CheckPower(0.6, 0.9, 500))
        self.assertEqual(plan.steps, (SMALL, MEDIUM))
        cheap = 0.08 + 0.12
        self.assertAlmostEqual(plan.cost, cheap + 0.4 * single.cost)

    def test_it_is_used_only_if_worthwhile(self) -> None:
        strong = CheckPower(0.6, 0.9, 500)
        slow = CheckPower(0.6, 0.9, 500, seconds=3)
        cases: list[_Case] = [
            ('escalates too often', CheckPower(0.1, 0.9, 500), {}),
            ('passes bad answers', CheckPower(0.6, 0.8, 500), {}),
            ('hardly measured', CheckPower(0.6, 0.9, 50), {}),
            ('exposure', strong, {'concern': Concern.EXPOSURE}),
            ('may run once', strong, {'repeatable': False}),
            ('slow', slow, {'concern': Concern.LATENCY}),
        ]
        for name, power, changes in cases:
            with self.subTest(name):
                plan = self.cascade_plan(power, **changes)
                self.assertEqual(plan.steps, (MEDIUM,))
        self.assertEqual(len(self.cascade_plan(slow).steps), 2)


class EstimatesTest(_PlannerTest):
    def test_evidence_ages_only_while_others_are_rated(self) -> None:
        self.rate(SMALL, TAG, 0.6, 80)
        self.clock._now += 10 * HALF_LIFE
        self.assertGreater(self.estimates.estimate(SMALL, TAG).ratings, 50)
        self.rate(MEDIUM, TAG, 0.96, 5)
        self.assertLess(self.estimates.estimate(SMALL, TAG).ratings, 1)

    def test_ratings_and_configuration_increase_the_generation(self) -> None:
        before = self.estimates.generation
        self.rate(SMALL, TAG, 0.9, 1)
        self.assertGreater(self.estimates.generation, before)
        before = self.estimates.generation
        self.configuration.add_withdrawals(
            (Withdrawal(version=SMALL, epoch=0),)
        )
        self.assertGreater(self.estimates.generation, before)


class BaselineTest(_PlannerTest):
    def test_baselines_consider_prices_alone(self) -> None:
        request = request_of(DOSSIER)
        for planner, expected in (
            (most_expensive(self.configuration), {LARGE}),
            (cheapest_only(self.configuration), {SMALL}),
            (static_share(self.configuration, random.Random(1)), set(VERSIONS)),
        ):
            plans = [planner.plan(request) for _ in range(50)]
            chosen = {plan.steps[0] for plan in plans if isinstance(plan, Plan)}
            with self.subTest(expected=expected):
                self.assertEqual(chosen, expected)
