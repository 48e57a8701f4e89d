"""Hands a share of the answers to the rating service.

The share follows what a rating would tell: an estimate that may change a
plan is worth more ratings than one that is firm and far from the target.
Handing in is off the request path: a bounded queue, one task, and a bound
on the rate. An answer is handed in once at most; if that fails, it is
given up, so the content of a request that may not be repeated never goes
out twice.
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
#: Share of answers rated where the estimate is firm and clear.
SETTLED_SHARE: Final = 0.1
#: Share where the target lies within the estimate's bounds.
UNCERTAIN_SHARE: Final = 0.3
#: A bound that is less than this above the target counts as uncertain: a
#: version that slowly gets worse would else be noticed late.
NEAR: Final = 0.02
#: Ratings below which a pair is new, and all its answers are rated.
FEW_RATINGS: Final = 20.0
#: A version with less than this share of its task's answers is rare.
RARE: Final = 0.1
#: What remains of the weight of an answer with each one after it.
_USE_DECAY: Final = 0.99
#: Answers that may wait to be handed in.
QUEUE_LIMIT: Final = 64
#: Answers that a host hands in each second, on average, and at once.
RATE: Final = 0.1
BURST: Final = 20.0
#: The same for versions in roll-out, all of whose answers are worth a rating
#: to the guard against bad versions.
TRIAL_RATE: Final = 1.0
TRIAL_BURST: Final = 100.0
#: Answers that are remembered as handed in.
_REMEMBERED: Final = 4096

_Named = tuple[RequestId, VersionId]


class SampleShares:
    """Says which share of a pair's answers is worth a rating.

    A version that gets few of its task's requests, such as one that is
    being explored, has each of its answers rated while it is uncertain.
    """

    def __init__(self) -> None:
        self._used: dict[TaskName, dict[VersionId, float]] = {}

    def note(self, version: VersionId, task: TaskName) -> float:
        """Count an answer; return the version's share of its task."""
        used = self._used.setdefault(task, {})
        for other in used:
            used[other] *= _USE_DECAY
        used[version] = used.get(version, 0) + 1
        return used[version] / sum(used.values())

    def share(
        self,
        version: VersionId,
        task: TaskName,
        estimate: Estimate,
        target: float,
    ) -> float:
        """Count an answer; return how likely it should be rated."""
        used = self.note(version, task)
        if estimate.ratings < FEW_RATINGS:
            return 1
        if used < RARE:
            return 1
        if estimate.lower - NEAR < target <= estimate.upper:
            return UNCERTAIN_SHARE
        return SETTLED_SHARE


class RatingSamples:
    """Chooses answers and hands them in; an observer of attempts.

    Args:
        ratings: The rating service.
        estimates: Tell what is worth a rating.
        configuration: Tells the targets.
        clock: The host's clock.
        randomness: Draws the sample.
    """

    def __init__(
        self,
        ratings: Ratings,
        estimates: Estimates,
        configuration: Configuration,
        clock: Clock,
        randomness: random.Random,
    ) -> None:
        #: Is told what became of each answer that was chosen.
        self.count: Callable[[str], None] = _count_nowhere
        self._ratings = ratings
        self._estimates = estimates
        self._configuration = configuration
        self._clock = clock
        self._randomness = randomness
        self._queue: asyncio.Queue[RatedAnswer] = asyncio.Queue(QUEUE_LIMIT)
        self._shares = SampleShares()
        self._known: OrderedDict[_Named, None] = OrderedDict()
        self._steady = _TokenBucket(clock, RATE, BURST)
        self._trials = _TokenBucket(clock, TRIAL_RATE, TRIAL_BURST)

    def started(self, start: AttemptStart) -> None:
        """Take no notice of a start."""

    def ended(self, end: AttemptEnd) -> None:
        """Queue a whole answer if it is one of the sample."""
        if end.code is not ResultCode.OK or not end.text:
            return
        start = end.start
        on_trial = self._is_on_trial(start.version)
        if self._randomness.random() >= self._share(start, on_trial=on_trial):
            return
        if not self._is_first(start):
            self.count('repeated')
            return
        bucket = self._trials if on_trial else self._steady
        if not bucket.take():
            self.count('above_rate')
            return
        answer = RatedAnswer(start.request, start.task, start.version, end.text)
        try:
            self._queue.put_nowait(answer)
        except asyncio.QueueFull:
            self.count('queue_full')

    async def run(self) -> None:
        """Hand queued answers in until cancelled."""
        while True:
            answer = await self._queue.get()
            refusal = await self._ratings.submit(answer)
            if isinstance(refusal, Refusal):
                # It may have arrived all the same, so it isn't sent again.
                self.count('failed')
                _LOG.warning('answer not handed in: %s', refusal.reason)
            else:
                self.count('submitted')

    def _is_on_trial(self, version: VersionId) -> bool:
        """Tell whether a version is in roll-out."""
        entry = self._configuration.entry(version)
        return entry is not None and entry.stage is Stage.ROLLOUT

    def _share(self, start: AttemptStart, *, on_trial: bool) -> float:
        """Return how likely an answer should be rated."""
        estimate = self._estimates.estimate(start.version, start.task)
        share = self._shares.share(
            start.version,
            start.task,
            estimate,
            self._target(start.task),
        )
        return 1 if on_trial else share

    def _target(self, task: TaskName) -> float:
        """Return a task class's target."""
        accepted = self._configuration.accepted
        entry = None if accepted is None else accepted.document.task(task)
        return 0 if entry is None else entry.target

    def _is_first(self, start: AttemptStart) -> bool:
        """Remember an answer; tell whether it is new."""
        named = (start.request, start.version)
        if named in self._known:
            return False
        self._known[named] = None
        if len(self._known) > _REMEMBERED:
            self._known.popitem(last=False)
        return True


class _TokenBucket:
    """Bounds a rate.

    Args:
        clock: The host's clock.
        rate: Tokens that come in a second.
        burst: The most that may be saved up.
    """

    def __init__(self, clock: Clock, rate: float, burst: float) -> None:
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._left = burst
        self._filled_at = clock.now()

    def take(self) -> bool:
        """Take one off, if there is one."""
        now = self._clock.now()
        earned = (now - self._filled_at) * self._rate
        self._left = min(self._burst, self._left + earned)
        self._filled_at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True


def _count_nowhere(outcome: str) -> None:
    """Count nothing."""
