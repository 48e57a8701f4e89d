"""Microseconds that the adaptive planner takes for a plan.

Run ``python -m experiments.costs.planner_speed``. *Kept* is a plan while
nothing changes; *anew* one after each change of an estimate, which is at most
one in five seconds for each task class and length of request.
"""

import random
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Final

from msgspec import structs

from experiments.trials.planner_worlds import SCENARIOS, SteppedClock, accepted
from experiments.trials.planner_worlds import make_request as make
from nutmegroad.configuration.in_force import (
    AcceptedConfiguration,
    Configuration,
)
from nutmegroad.contracts.documents import VersionEntry
from nutmegroad.contracts.platform import Rating
from nutmegroad.foundations.types import TaskName, VersionId
from nutmegroad.quality.canary_policy import CanaryPolicy, PresetShares
from nutmegroad.quality.estimates import Estimates
from nutmegroad.quality.plans import AdaptivePlanner

COUNTS: Final = (2, 8, 22)
RUNS: Final = 5000
_ANEW_RUNS: Final = 500
_LEASE: Final = 8.0
_MICROSECONDS: Final = 1e6
_TASK: Final = TaskName('checklist-tag')


class Subject:
    """A planner that knows so many versions, all of them rated.

    Args:
        count: How many versions.
    """

    def __init__(self, count: int) -> None:
        configuration = Configuration(SteppedClock(), _LEASE)
        configuration.apply(_accepted(count))
        self._estimates = Estimates(configuration, SteppedClock())
        self._planner = AdaptivePlanner(
            configuration,
            self._estimates,
            CanaryPolicy(PresetShares(configuration)),
            random.Random(1),
        )
        versions = tuple(_entry(number).version for number in range(count))
        self._request = make(1, _TASK, 800, versions=versions)
        self._position = 0
        for _ in range(60):
            self._rate(versions)

    def plan(self) -> object:
        """Plan a request."""
        return self._planner.plan(self._request)

    def plan_anew(self) -> object:
        """Plan a request after a new rating."""
        self._rate(self._request.versions[:1])
        return self.plan()

    def _rate(self, versions: tuple[VersionId, ...]) -> None:
        """Take in a rating of each of some versions."""
        first = self._position + 1
        self._position += len(versions)
        ratings = [
            _rating(first + place, version)
            for place, version in enumerate(versions)
        ]
        self._estimates.add_ratings(tuple(ratings))


def main() -> None:
    """Print a line for each count of versions."""
    for count in COUNTS:
        subject = Subject(count)
        kept = _measure(subject.plan, RUNS)
        anew = _measure(subject.plan_anew, _ANEW_RUNS)
        sys.stdout.write(
            f'{count:3} versions: kept {kept[0]:6.1f} us '
            f'(p99 {kept[1]:6.1f}), anew {anew[0]:6.1f} us '
            f'(p99 {anew[1]:6.1f})\n',
        )


def _accepted(count: int) -> AcceptedConfiguration:
    """Return the trial's configuration with so many versions."""
    base = accepted(SCENARIOS[0])
    versions = tuple(_entry(number) for number in range(count))
    document = structs.replace(base.document, versions=versions)
    return replace(base, document=document)


def _entry(number: int) -> VersionEntry:
    """Return a version that is dearer and better than the one before."""
    return VersionEntry(
        id=f'model-{number}@1',
        price_in=0.1 + number / 10,
        price_out=0.3 + number / 10,
        quality={_TASK: min(0.99, 0.85 + number / 100)},
    )


def _rating(position: int, version: VersionId) -> Rating:
    """Return a rating near what the version's owner says."""
    number = int(version.removeprefix('model-').removesuffix('@1'))
    score = min(0.99, 0.85 + number / 100) + (position % 5 - 2) / 50
    return Rating(position, make(1, _TASK, 1).request, _TASK, version, score)


def _measure(call: Callable[[], object], runs: int) -> tuple[float, float]:
    """Return the mean and the 99th percentile in microseconds."""
    taken = []
    for _ in range(runs):
        began = time.perf_counter()
        call()
        taken.append((time.perf_counter() - began) * _MICROSECONDS)
    taken.sort()
    return sum(taken) / runs, taken[runs * 99 // 100]


if __name__ == '__main__':
    main()
