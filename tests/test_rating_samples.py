"""Tests of submitting a sample of the answers for rating."""

import asyncio
import random
import unittest
from collections import Counter
from dataclasses import replace

from experiments.trials.planner_worlds import (
    SCENARIOS,
    SMALL,
    TAG,
    accepted_configuration,
)
from msgspec import structs

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.decisions import AttemptEnd, AttemptStart
from nutmegroad.contracts.documents import Stage
from nutmegroad.contracts.platform import RatedAnswer, Rating
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    AttemptId,
    RequestId,
    Revision,
    TaskName,
    UpstreamId,
    VersionId,
    WorkspaceId,
)
from nutmegroad.quality.estimates import Estimate, Estimates
from nutmegroad.quality.rating_samples import (
    BURST,
    QUEUE_LIMIT,
    RatingSampler,
    SamplingRates,
)
from nutmegroad.testing.virtual import ManualClock


class GatedRatings:
    """A rating service that accepts answers once a test opens it."""

    def __init__(self, refusal: Refusal | None = None) -> None:
        self.answers: list[RatedAnswer] = []
        self.open = asyncio.Event()
        self._refusal = refusal

    async def submit(self, answer: RatedAnswer) -> Refusal | None:
        await self.open.wait()
        self.answers.append(answer)
        return self._refusal

    async def feed(self, after: int) -> tuple[Rating, ...] | Refusal:
        return ()


def end_of(
    number: int,
    code: ResultCode = ResultCode.OK,
    attempt: int = 1,
) -> AttemptEnd:
    """Return the end of an attempt at a request."""
    start = AttemptStart(
        AttemptId(f'r{number}.{attempt}'),
        RequestId(f'r{number}'),
        WorkspaceId('w'),
        TAG,
        SMALL,
        UpstreamId('u'),
    )
    return AttemptEnd(start, code, 0.1, 1, 10, 10, 0.1, 'some text')


class RatingSamplerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.configuration = Configuration(self.clock, 8)
        self.configuration.apply(accepted_configuration(SCENARIOS[0]))
        self.counts: Counter[str] = Counter()

    def sampler(self, ratings: GatedRatings) -> RatingSampler:
        sampler = RatingSampler(
            ratings,
            Estimates(self.configuration, self.clock),
            self.configuration,
            self.clock,
            random.Random(1),
        )
        sampler.count_outcome = lambda outcome: self.counts.update([outcome])
        task = asyncio.create_task(sampler.run())
        self.addCleanup(task.cancel)
        return sampler

    async def test_a_request_never_waits_for_the_rating_service(self) -> None:
        ratings = GatedRatings()
        sampler = self.sampler(ratings)
        for number in range(300):
            await self.clock.advance(20)
            sampler.ended(end_of(number))
        # One is being submitted, the queue is full, the rest are counted.
        self.assertEqual(self.counts['queue_full'], 300 - QUEUE_LIMIT - 1)
        ratings.open.set()
        await self.clock.settle()
        self.assertEqual(len(ratings.answers), QUEUE_LIMIT + 1)

    async def test_an_answer_is_submitted_at_most_once(self) -> None:
        refusal = Refusal(ResultCode.RATINGS_UNAVAILABLE, 'The reply is lost.')
        ratings = GatedRatings(refusal)
        ratings.open.set()
        sampler = self.sampler(ratings)
        sampler.ended(end_of(1))
        sampler.ended(end_of(1, attempt=2))
        await self.clock.advance(60)
        self.assertEqual(len(ratings.answers), 1)
        self.assertEqual(self.counts, {'repeated': 1, 'failed': 1})

    async def test_only_complete_answers_are_submitted(self) -> None:
        ratings = GatedRatings()
        ratings.open.set()
        sampler = self.sampler(ratings)
        sampler.ended(end_of(1, ResultCode.ANSWER_CUT))
        await self.clock.settle()
        self.assertEqual(ratings.answers, [])

    async def test_the_submission_rate_is_limited(self) -> None:
        ratings = GatedRatings()
        ratings.open.set()
        sampler = self.sampler(ratings)
        for number in range(200):
            sampler.ended(end_of(number))
            await asyncio.sleep(0)
        await self.clock.settle()
        self.assertEqual(len(ratings.answers), BURST)
        self.assertEqual(self.counts['above_rate'], 200 - BURST)

    async def test_all_answers_of_a_canary_version_are_rated(self) -> None:
        base = accepted_configuration(SCENARIOS[0])
        canary = structs.replace(
            base.document.versions[0],
            stage=Stage.ROLLOUT,
        )
        document = structs.replace(base.document, versions=(canary,))
        self.configuration.apply(
            replace(base, document=document, revision=Revision(2)),
        )
        ratings = GatedRatings()
        ratings.open.set()
        sampler = self.sampler(ratings)
        for number in range(60):
            sampler.ended(end_of(number))
            await self.clock.settle()
        self.assertEqual(len(ratings.answers), 60)


class SampleSharesTest(unittest.TestCase):
    def test_uncertain_and_rare_versions_are_rated_more(self) -> None:
        shares = SamplingRates()
        task = TaskName('t')
        frequent, rare = VersionId('m@1'), VersionId('m@2')
        clear = Estimate(0.9, 0.95, 0.01, 0.93, 0.94, 0.97, 90)
        unclear = Estimate(0.9, 0.9, 0.01, 0.88, 0.89, 0.92, 90)
        new = Estimate(0.9, 0.9, 0.05, 0.8, 0.85, 1, 3)
        for _ in range(200):
            settled = shares.sampling_rate(frequent, task, clear, 0.9)
        uncertain = shares.sampling_rate(frequent, task, unclear, 0.9)
        self.assertLess(settled, uncertain)
        self.assertLess(uncertain, 1)
        self.assertEqual(shares.sampling_rate(frequent, task, new, 0.9), 1)
        self.assertEqual(shares.sampling_rate(rare, task, clear, 0.9), 1)
