"""Measures the exposure guard alone, on simulated evidence.

Run it as ``python -m experiments.exposure_trials [--seeds N]``. One host
sees all evidence of a version and a task class, second by second: ratings
come late, and some answers are rated 0 although the version is good. It
prints how often good versions are stopped and how far bad ones get,
against a fixed threshold and no guard.
"""

import argparse
import math
import random
import statistics
import sys
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from absl import logging

from nutmegroad.configuration import Accepted, Configuration
from nutmegroad.documents import (
    Document,
    PresetEntry,
    PresetTask,
    Stage,
    TaskEntry,
    VersionEntry,
)
from nutmegroad.evidence import (
    EvidenceCell,
    EvidenceStore,
    Moments,
    Tally,
)
from nutmegroad.exposure import ExposureGuard
from nutmegroad.quarantines import Quarantines
from nutmegroad.ratings import RatingListener, RatingTally
from nutmegroad.testing import ManualClock
from nutmegroad.types import (
    Digest,
    Incarnation,
    PresetName,
    Revision,
    TaskName,
    VersionId,
)

OLD: Final = VersionId('m@1')
NEW: Final = VersionId('m@2')
PEER: Final = Incarnation('peer.1')
TASK: Final = TaskName('manifest')
OTHER_TASK: Final = TaskName('swap')

HOUR: Final = 3600
#: Second at which a bad version turns bad.
TURN: Final = 600
GOOD: Final = 0.9
#: A version whose quality has fallen by so much is bad.
BAD_FALL: Final = 0.1
#: Logarithms of an answer's usual tokens and seconds to the first.
LENGTH: Final = 5.3
FIRST: Final = -1.5
#: Share of a good version's attempts that fail.
USUAL_ERRORS: Final = 0.01
#: Share of good answers that are rated 0.
ZEROES: Final = 0.01


@dataclass(frozen=True, slots=True)
class Scenario:
    """What happens to a version.

    Attributes:
        name: What it is called in the table.
        rate: Requests a second of the task class that the version gets.
        drop: How far its quality falls.
        over: Seconds over which it falls.
        errors: Share of its attempts that fail from then on.
        shorter: Factor by which its answers become shorter.
        rollout: It is in roll-out, beside the version before it.
        share: Its share of the task's requests, in a roll-out.
        deviation: Spread of the ratings.
        delay: Seconds until an answer is rated.
        sampled: Share of answers that are rated.
        seconds: How long it is watched.
    """

    name: str
    rate: float = 5
    drop: float = 0
    over: float = 1
    errors: float = 0
    shorter: float = 1
    rollout: bool = False
    share: float = 1
    deviation: float = 0.08
    delay: float = 1
    sampled: float = 1
    seconds: int = TURN + HOUR

    @property
    def turned(self) -> int:
        """Return the second from which the version counts as bad.

        A slow one does once its quality has fallen by ``BAD_FALL``.
        """
        if self.drop <= BAD_FALL:
            return TURN
        return TURN + math.floor(self.over * BAD_FALL / self.drop)

    def fall(self, second: int) -> float:
        """Return how far the quality has fallen."""
        return self.drop * min(max((second - TURN) / self.over, 0), 1)


SCENARIOS: Final = (
    Scenario('bad at once, 0.4 lower', drop=0.4),
    Scenario('bad at once, 0.2 lower', drop=0.2),
    Scenario('bad at once, 0.1 lower', drop=0.1),
    Scenario('bad over 10 minutes, 0.4 lower', drop=0.4, over=600),
    Scenario('bad over an hour, 0.3 lower', drop=0.3, over=HOUR),
    Scenario('bad at once, wide ratings', drop=0.4, deviation=0.2),
    Scenario('bad at once, a fifth rated', drop=0.4, sampled=0.2),
    Scenario('bad at once, rated 30 s late', drop=0.4, delay=30),
    Scenario('roll-out at 5%, bad', drop=0.4, rollout=True, share=0.05),
    Scenario('a third of attempts fail', errors=0.33),
    Scenario('answers half as long', shorter=2),
)

#: Good versions, watched for ten hours each.
HEALTHY: Final = (
    Scenario('good', seconds=10 * HOUR),
    Scenario('good, wide ratings', seconds=10 * HOUR, deviation=0.2),
    Scenario('good roll-out', rollout=True, share=0.5, seconds=10 * HOUR),
)


@dataclass(slots=True)
class Stream:
    """A version's answers, ratings and failures, drawn second by second.

    Attributes:
        scenario: What happens.
        randomness: Of all draws.
        watched: Whether it is the version that may turn bad.
        pending: Ratings that are not due yet, and when they are.
    """

    scenario: Scenario
    randomness: random.Random
    watched: bool = True
    pending: deque[tuple[float, float]] = field(default_factory=deque)

    def requests(self, rate: float) -> int:
        """Return how many requests come in a second."""
        whole = int(rate)
        return whole + (self.randomness.random() < rate - whole)

    def score(self, fall: float) -> float:
        """Return the rating of an answer."""
        if self.randomness.random() < ZEROES:
            return 0
        spread = self.scenario.deviation
        return min(max(self.randomness.gauss(GOOD - fall, spread), 0), 1)

    def due(self, second: int) -> list[float]:
        """Return the ratings that came in by a second."""
        scores = []
        while self.pending and self.pending[0][0] <= second:
            scores.append(self.pending.popleft()[1])
        return scores

    def serve(self, second: int, rate: float) -> Tally:
        """Answer a second's requests, and have a sample of them rated."""
        attempts = [self._attempt(second) for _ in range(self.requests(rate))]
        lengths = [length for length in attempts if length is not None]
        firsts = [self.randomness.gauss(FIRST, 0.5) for _ in lengths]
        return Tally(
            answers=len(lengths),
            errors=len(attempts) - len(lengths),
            first=_moments(firsts),
            length=_moments(lengths),
        )

    def _attempt(self, second: int) -> float | None:
        """Return the logarithm of an answer's tokens; None if it failed."""
        chance = self.randomness.random
        turned = self.watched and second >= TURN
        errors = max(self.scenario.errors * turned, USUAL_ERRORS)
        if chance() < errors:
            return None
        if chance() < self.scenario.sampled:
            fall = self.scenario.fall(second) if self.watched else 0
            due = second + self.scenario.delay
            self.pending.append((due, self.score(fall)))
        shorter = math.log(self.scenario.shorter) if turned else 0
        return self.randomness.gauss(LENGTH, 0.7) - shorter


def _moments(numbers: list[float]) -> Moments:
    """Return the moments of some values."""
    squares = sum(number * number for number in numbers)
    return Moments(len(numbers), sum(numbers), squares)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What came of one run.

    Attributes:
        stopped: Second at which the version got no more work, if ever.
        exposed: Requests it answered after it had turned bad.
        rated: Ratings of such answers until it was stopped.
    """

    stopped: int | None
    exposed: int
    rated: int


class SilentFeed:
    """A feed that says nothing: the trial hands ratings in itself."""

    def listen(self, listener: RatingListener) -> None:
        """Forget the listener."""


class Judge:
    """What decides whether a version is to be stopped; it stops none.

    Args:
        scenario: What happens.
    """

    def __init__(self, scenario: Scenario) -> None:
        self._watched = NEW if scenario.rollout else OLD

    def rate(self, version: VersionId, scores: list[float]) -> None:
        """Take new ratings."""

    def count(self, version: VersionId, fresh: Tally) -> None:
        """Take attempts that ended."""

    def stops(self) -> bool:
        """Tell whether the version watched gets no more work."""
        return False


class ThresholdJudge(Judge):
    """The baseline: a mean of the last 50 ratings under a fixed bound."""

    def __init__(self, scenario: Scenario) -> None:
        super().__init__(scenario)
        self._last: deque[float] = deque(maxlen=50)

    def rate(self, version: VersionId, scores: list[float]) -> None:
        """Keep the last ratings."""
        if version == self._watched:
            self._last.extend(scores)

    def stops(self) -> bool:
        """Compare their mean with the bound."""
        full = len(self._last) == self._last.maxlen
        return full and statistics.fmean(self._last) < GOOD - 0.1


class GuardJudge(Judge):
    """The exposure guard, as a host has it."""

    def __init__(self, scenario: Scenario) -> None:
        super().__init__(scenario)
        configuration = configuration_of(scenario)
        self._quarantines = Quarantines(configuration)
        self._evidence = EvidenceStore(Incarnation('h.1'))
        self._attempts = {OLD: Tally(), NEW: Tally()}
        self.guard = ExposureGuard(
            configuration,
            self._evidence,
            SilentFeed(),
            self._quarantines,
        )

    def rate(self, version: VersionId, scores: list[float]) -> None:
        """Hand ratings to the guard."""
        tally = RatingTally(version, TASK)
        for score in scores:
            tally = tally.plus(score)
        if tally.count:
            self.guard.rated(tally)

    def count(self, version: VersionId, fresh: Tally) -> None:
        """Hand attempts to the guard."""
        self._attempts[version] = self._attempts[version].plus(fresh)
        cell = EvidenceCell(PEER, version, TASK, self._attempts[version])
        self._evidence.learn((cell,))

    def stops(self) -> bool:
        """Ask the quarantines."""
        return self._quarantines.blocked(self._watched, TASK) is not None


def configuration_of(scenario: Scenario) -> Configuration:
    """Return a configuration of two versions and two task classes."""
    stage = Stage.ROLLOUT if scenario.rollout else Stage.STEADY
    quality: dict[str, float] = {TASK: GOOD, OTHER_TASK: GOOD}
    document = Document(
        format=1,
        name='trial',
        versions=(
            VersionEntry(id=OLD, price_in=1, price_out=1, quality=quality),
            VersionEntry(
                id=NEW,
                price_in=1,
                price_out=1,
                quality=quality,
                stage=stage,
                replaces=OLD,
            ),
        ),
        tasks=(TaskEntry(name=TASK, target=0.8),),
        workspaces=(),
        presets=(
            PresetEntry(
                name='day',
                tasks=(
                    PresetTask(task=TASK, versions=(OLD, NEW)),
                    PresetTask(task=OTHER_TASK, versions=(OLD, NEW)),
                ),
            ),
        ),
    )
    configuration = Configuration(ManualClock(), 1)
    configuration.take(
        Accepted(
            Revision(1),
            Digest(''),
            document,
            PresetName('day'),
            'trial',
        ),
    )
    return configuration


class Trial:
    """One run: a version, perhaps the one before it, and a judge.

    Args:
        scenario: What happens.
        seed: Of all draws.
        judge: What may stop the version.
    """

    def __init__(self, scenario: Scenario, seed: int, judge: Judge) -> None:
        self._scenario = scenario
        self._judge = judge
        chance = random.Random(f'{scenario.name}/{seed}')
        self._watched = NEW if scenario.rollout else OLD
        self._streams = {self._watched: Stream(scenario, chance)}
        if scenario.rollout:
            self._streams[OLD] = Stream(scenario, chance, watched=False)

    def run(self) -> Outcome:
        """Watch until the version is stopped or the time is over."""
        exposed = 0
        rated = 0
        turned = self._scenario.turned
        first_rated = turned + self._scenario.delay
        for second in range(self._scenario.seconds):
            served, scores = self._step(second)
            exposed += served if second >= turned else 0
            rated += scores if second >= first_rated else 0
            if self._judge.stops():
                return Outcome(second, exposed, rated)
        return Outcome(None, exposed, rated)

    def _step(self, second: int) -> tuple[int, int]:
        """Return answers and ratings of the watched version."""
        outcome = (0, 0)
        for version, stream in self._streams.items():
            share = self._scenario.share
            share = share if version == self._watched else 1 - share
            tally = stream.serve(second, self._scenario.rate * share)
            scores = stream.due(second)
            self._judge.count(version, tally)
            self._judge.rate(version, scores)
            if version == self._watched:
                outcome = (tally.attempts, len(scores))
        return outcome


@dataclass(slots=True)
class Sums:
    """Outcomes of a scenario under one judge.

    Attributes:
        early: Runs in which it was stopped before it turned bad.
        missed: Runs in which it was never stopped.
        exposed: Requests exposed, of the runs between.
        seconds: Seconds from the turn until it was stopped.
        rated: Ratings until it was stopped.
    """

    early: int = 0
    missed: int = 0
    exposed: list[int] = field(default_factory=list)
    seconds: list[int] = field(default_factory=list)
    rated: list[int] = field(default_factory=list)

    def add(self, outcome: Outcome, turned: int) -> None:
        """Add a run of a version that turned bad at a second."""
        if outcome.stopped is not None and outcome.stopped < TURN:
            self.early += 1
            return
        self.exposed.append(outcome.exposed)
        if outcome.stopped is None:
            self.missed += 1
            return
        self.seconds.append(max(outcome.stopped - turned, 0))
        self.rated.append(outcome.rated)


def trial(
    scenario: Scenario,
    seeds: int,
    judge: Callable[[Scenario], Judge],
) -> Sums:
    """Run a scenario with several seeds."""
    sums = Sums()
    for seed in range(seeds):
        outcome = Trial(scenario, seed, judge(scenario)).run()
        sums.add(outcome, scenario.turned)
    return sums


def report(scenario: Scenario, sums: Sums) -> str:
    """Return a line of the table for a version that turns bad."""
    hour = scenario.rate * HOUR
    shares = sorted(100 * exposed / hour for exposed in sums.exposed) or [0]
    seconds = statistics.median(sums.seconds) if sums.seconds else math.inf
    rated = statistics.median(sums.rated) if sums.rated else math.inf
    return (
        f'| {scenario.name} | {sums.early} | {sums.missed} | {rated:.0f} | '
        f'{seconds:.0f} | {statistics.median(shares):.2f} | '
        f'{shares[-1]:.2f} |'
    )


def measure(name: str, judge: Callable[[Scenario], Judge], seeds: int) -> None:
    """Print the table of one judge."""
    sys.stdout.write(f'\n{name}, {seeds} seeds\n{HEAD}\n')
    for scenario in SCENARIOS:
        sums = trial(scenario, seeds, judge)
        sys.stdout.write(f'{report(scenario, sums)}\n')


def measure_good(judge: Callable[[Scenario], Judge], seeds: int) -> None:
    """Print how often good versions are stopped."""
    for good in HEALTHY:
        sums = trial(good, seeds, judge)
        hours = seeds * good.seconds // HOUR
        sys.stdout.write(
            f'{good.name}: {seeds - sums.missed} of {seeds} runs stopped, '
            f'{hours} hours at {good.rate} a second\n',
        )


def main() -> int:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--good-seeds', type=int, default=2)
    flags = parser.parse_args()
    logging.set_verbosity(logging.ERROR)
    measure('Guard', GuardJudge, flags.seeds)
    measure_good(GuardJudge, flags.good_seeds)
    measure('Fixed threshold', ThresholdJudge, flags.seeds)
    measure_good(ThresholdJudge, flags.good_seeds)
    measure('No guard', Judge, 1)
    return 0


HEAD: Final = (
    '| scenario | early | missed | ratings | seconds | '
    '% of an hour, median | worst |\n|---|---|---|---|---|---|---|'
)


if __name__ == '__main__':
    sys.exit(main())
