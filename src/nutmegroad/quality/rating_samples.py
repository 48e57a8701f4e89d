"""Submits a sample of the answers to the rating service.

The sampling rate depends on the value of a rating: an estimate that may change
a plan is worth more ratings than one that is certain and far from the target.
Answers are submitted outside the request path, through a bounded queue, by one
task, and at a limited rate. An answer is submitted at most once, and dropped
if that fails, so the content of a request that must not be repeated is never
sent twice.
"""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Callable
from typing import Final

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.decisions import AttemptEnd, AttemptStart
from nutmegroad.contracts.documents import Stage
from nutmegroad.contracts.platform import RatedAnswer, Ratings
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import RequestId, TaskName, VersionId
from nutmegroad.quality.estimates import Estimate, Estimates

_LOG: Final = part_logger('rating samples')
#: Fraction of answers rated if the estimate is clearly on one side of the
#: target.
SETTLED_FRACTION: Final = 0.1
#: Fraction of answers rated if the target is within the estimate's bounds.
UNCERTAIN_FRACTION: Final = 0.3
#: An estimate also counts as uncertain if its lower bound is above the target
#: by less than this; otherwise a slow decline of a version is noticed late.
TARGET_MARGIN: Final = 0.02
#: Number of ratings of a version and task class below which all its answers
#: are rated.
MIN_RATINGS: Final = 20.0
#: Fraction of a task's answers below which a version is rare, and all its
#: answers are rated.
RARE_FRACTION: Final = 0.1
#: Factor on the weight of an answer with each later answer of the task.
_USE_DECAY: Final = 0.99
#: Maximum number of answers that wait to be submitted.
QUEUE_LIMIT: Final = 64
#: Maximum rate of a host's submissions, in answers per second, and the maximum
#: burst, in answers.
RATE: Final = 0.1
BURST: Final = 20.0
#: The same for versions in a rollout: the exposure guard needs ratings of all
#: their answers.
CANARY_RATE: Final = 1.0
CANARY_BURST: Final = 100.0
#: Maximum number of submitted answers that are remembered.
_MAX_REMEMBERED: Final = 4096

_AnswerKey = tuple[RequestId, VersionId]


class SamplingRates:
    """Computes the sampling rate of the answers of a version and task class.

    All answers of a version with few ratings are rated, and all answers of one
    that gets few of its task's requests, such as one that is being explored.
    """

    def __init__(self) -> None:
        self._used: dict[TaskName, dict[VersionId, float]] = {}

    def record(self, version: VersionId, task: TaskName) -> float:
        """Count an answer; return the version's fraction of its task."""
        used = self._used.setdefault(task, {})
        for other in used:
            used[other] *= _USE_DECAY
        used[version] = used.get(version, 0) + 1
        return used[version] / sum(used.values())

    def sampling_rate(
        self,
        version: VersionId,
        task: TaskName,
        estimate: Estimate,
        target: float,
    ) -> float:
        """Count an answer; return the probability with which to rate it.

        Args:
            version: The version that wrote the answer.
            task: Task class of the answer.
            estimate: Quality estimate of the version for the task class.
            target: Quality target of the task class.
        """
        used = self.record(version, task)
        if estimate.ratings < MIN_RATINGS:
            return 1
        if used < RARE_FRACTION:
            return 1
        if estimate.lower - TARGET_MARGIN < target <= estimate.upper:
            return UNCERTAIN_FRACTION
        return SETTLED_FRACTION


class RatingSampler:
    """Observes attempts, and submits a sample of their answers for rating.

    Args:
        ratings: The rating service.
        estimates: Quality estimates, on which the sampling rates depend.
        configuration: Configuration in force; states the quality targets.
        clock: The host's clock.
        randomness: Source of the draws for the sample.
    """

    def __init__(
        self,
        ratings: Ratings,
        estimates: Estimates,
        configuration: Configuration,
        clock: Clock,
        randomness: random.Random,
    ) -> None:
        #: Called with the outcome of each sampled answer.
        self.count_outcome: Callable[[str], None] = _ignore_outcome
        self._ratings = ratings
        self._estimates = estimates
        self._configuration = configuration
        self._clock = clock
        self._randomness = randomness
        self._queue: asyncio.Queue[RatedAnswer] = asyncio.Queue(QUEUE_LIMIT)
        self._sampling_rates = SamplingRates()
        self._remembered: OrderedDict[_AnswerKey, None] = OrderedDict()
        self._steady_bucket = _TokenBucket(clock, RATE, BURST)
        self._canary_bucket = _TokenBucket(clock, CANARY_RATE, CANARY_BURST)

    def started(self, start: AttemptStart) -> None:
        """Ignore the start of an attempt."""

    def ended(self, end: AttemptEnd) -> None:
        """Queue a complete answer if it is in the sample."""
        if end.code is not ResultCode.OK or not end.text:
            return
        start = end.start
        is_canary = self._is_canary(start.version)
        if self._randomness.random() >= self._sampling_rate(
            start, is_canary=is_canary
        ):
            return
        if not self._is_first(start):
            self.count_outcome('repeated')
            return
        bucket = self._canary_bucket if is_canary else self._steady_bucket
        if not bucket.take():
            self.count_outcome('above_rate')
            return
        answer = RatedAnswer(start.request, start.task, start.version, end.text)
        try:
            self._queue.put_nowait(answer)
        except asyncio.QueueFull:
            self.count_outcome('queue_full')

    async def run(self) -> None:
        """Submit queued answers until cancelled."""
        while True:
            answer = await self._queue.get()
            refusal = await self._ratings.submit(answer)
            if isinstance(refusal, Refusal):
                # The service may have received it, so it is not sent again.
                self.count_outcome('failed')
                _LOG.warning(
                    'cannot submit an answer for rating: %s', refusal.reason
                )
            else:
                self.count_outcome('submitted')

    def _is_canary(self, version: VersionId) -> bool:
        """Return whether a version is in a rollout."""
        entry = self._configuration.version_entry(version)
        return entry is not None and entry.stage is Stage.ROLLOUT

    def _sampling_rate(self, start: AttemptStart, *, is_canary: bool) -> float:
        """Return the probability with which to have an answer rated."""
        estimate = self._estimates.estimate(start.version, start.task)
        rate = self._sampling_rates.sampling_rate(
            start.version,
            start.task,
            estimate,
            self._target(start.task),
        )
        return 1 if is_canary else rate

    def _target(self, task: TaskName) -> float:
        """Return the quality target of a task class."""
        accepted = self._configuration.accepted
        entry = None if accepted is None else accepted.document.task(task)
        return 0 if entry is None else entry.target

    def _is_first(self, start: AttemptStart) -> bool:
        """Remember an answer; return whether it is new."""
        key = (start.request, start.version)
        if key in self._remembered:
            return False
        self._remembered[key] = None
        if len(self._remembered) > _MAX_REMEMBERED:
            self._remembered.popitem(last=False)
        return True


class _TokenBucket:
    """Token bucket that limits a rate.

    Args:
        clock: The host's clock.
        rate: Tokens added per second.
        burst: Maximum number of tokens.
    """

    def __init__(self, clock: Clock, rate: float, burst: float) -> None:
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at = clock.now()

    def take(self) -> bool:
        """Take a token; return false if there is none."""
        now = self._clock.now()
        earned = (now - self._filled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def _ignore_outcome(outcome: str) -> None:
    """Ignore the outcome of a sampled answer."""
