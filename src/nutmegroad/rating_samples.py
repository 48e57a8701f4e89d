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
from typing import Final

from nutmegroad.clocks import Clock
from nutmegroad.configuration import Configuration
from nutmegroad.decisions import AttemptEnd, AttemptStart
from nutmegroad.estimates import Estimate, Estimates
from nutmegroad.logs import part_logger
from nutmegroad.platform import RatedAnswer, Ratings
from nutmegroad.results import Refusal, ResultCode
from nutmegroad.types import RequestId, TaskName, VersionId

_LOG: Final = part_logger('rating samples')
#: Share of answers rated where the estimate is firm and clear.
SETTLED_SHARE: Final = 0.03
#: Share where the target lies within the estimate's bounds.
UNCERTAIN_SHARE: Final = 0.2
#: Share while there are few ratings.
NEW_SHARE: Final = 0.5
#: Ratings below which a pair counts as new.
FEW_RATINGS: Final = 20.0
#: Answers that may wait to be handed in.
QUEUE_LIMIT: Final = 64
#: Answers that a host hands in each second, on average, and at once.
RATE: Final = 0.5
BURST: Final = 20.0
#: Answers that are remembered as handed in.
_REMEMBERED: Final = 4096

_Named = tuple[RequestId, VersionId]


def share_to_rate(estimate: Estimate, target: float) -> float:
    """Return the share of answers that are worth a rating."""
    if estimate.ratings < FEW_RATINGS:
        return NEW_SHARE
    if estimate.lower < target <= estimate.upper:
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
        #: Answers that were worth a rating and not handed in.
        self.dropped = 0
        #: Answers that were handed in.
        self.submitted = 0
        self._ratings = ratings
        self._estimates = estimates
        self._configuration = configuration
        self._clock = clock
        self._randomness = randomness
        self._queue: asyncio.Queue[RatedAnswer] = asyncio.Queue(QUEUE_LIMIT)
        self._known: OrderedDict[_Named, None] = OrderedDict()
        self._credit = BURST
        self._credited = clock.now()

    def started(self, start: AttemptStart) -> None:
        """Take no notice of a start."""

    def ended(self, end: AttemptEnd) -> None:
        """Queue a whole answer if it is one of the sample."""
        if end.code is not ResultCode.OK or not end.text:
            return
        start = end.start
        estimate = self._estimates.estimate(start.version, start.task)
        share = share_to_rate(estimate, self._target(start.task))
        if self._randomness.random() >= share:
            return
        if not self._is_first(start) or not self._has_credit():
            self.dropped += 1
            return
        answer = RatedAnswer(start.request, start.task, start.version, end.text)
        try:
            self._queue.put_nowait(answer)
        except asyncio.QueueFull:
            self.dropped += 1

    async def run(self) -> None:
        """Hand queued answers in until cancelled."""
        while True:
            answer = await self._queue.get()
            refusal = await self._ratings.submit(answer)
            if isinstance(refusal, Refusal):
                # It may have arrived all the same, so it isn't sent again.
                self.dropped += 1
                _LOG.warning('answer not handed in: %s', refusal.reason)
            else:
                self.submitted += 1

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

    def _has_credit(self) -> bool:
        """Take one answer out of the rate's bound, if there is one."""
        now = self._clock.now()
        earned = (now - self._credited) * RATE
        self._credit = min(BURST, self._credit + earned)
        self._credited = now
        if self._credit < 1:
            return False
        self._credit -= 1
        return True
