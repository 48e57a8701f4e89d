"""Measures the time that the adaptive planner takes for a plan.

Run ``python -m experiments.costs.planner_speed``; it prints microseconds.
*Kept* is the time of a plan while nothing changes, *anew* that of a plan after
an estimate has changed, which happens at most once in five seconds for each
task class and length of request.
"""

import random
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Final

from msgspec import structs

from experiments.trials.planner_worlds import (
    SCENARIOS,
    SteppedClock,
    accepted_configuration,
    make_request,
)
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

#: Numbers of versions.
VERSION_COUNTS: Final = (2, 8, 22)
#: Plans that are timed, without and with a rating before each.
RUNS: Final = 5000
_REPLANNED_RUNS: Final = 500
#: Seconds for which a confirmation of the configuration holds.
_LEASE: Final = 8.0
_MICROSECONDS_PER_SECOND: Final = 1e6
_TASK: Final = TaskName('checklist-tag')


class RatedPlanner:
    """An adaptive planner with a number of versions, all of them rated.

    Args:
        count: Number of versions.
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
        self._request = make_request(1, _TASK, 800, versions=versions)
        self._position = 0
        for _ in range(60):
            self._rate(versions)

    def plan(self) -> object:
        """Plan a request."""
        return self._planner.plan(self._request)

    def plan_after_rating(self) -> object:
        """Plan a request after a new rating."""
        self._rate(self._request.versions[:1])
        return self.plan()

    def _rate(self, versions: tuple[VersionId, ...]) -> None:
        """Add one rating of each version."""
        first = self._position + 1
        self._position += len(versions)
        ratings = [
            _rating(first + offset, version)
            for offset, version in enumerate(versions)
        ]
        self._estimates.add_ratings(tuple(ratings))


def main() -> None:
    """Print a line for each number of versions."""
    for count in VERSION_COUNTS:
        planner = RatedPlanner(count)
        cached = _measure(planner.plan, RUNS)
        replanned = _measure(planner.plan_after_rating, _REPLANNED_RUNS)
        sys.stdout.write(
            f'{count:3} versions: kept {cached[0]:6.1f} us '
            f'(p99 {cached[1]:6.1f}), anew {replanned[0]:6.1f} us '
            f'(p99 {replanned[1]:6.1f})\n',
        )


def _accepted(count: int) -> AcceptedConfiguration:
    """Return a configuration with a number of versions."""
    base = accepted_configuration(SCENARIOS[0])
    versions = tuple(_entry(number) for number in range(count))
    document = structs.replace(base.document, versions=versions)
    return replace(base, document=document)


def _entry(number: int) -> VersionEntry:
    """Return a version; higher numbers are more expensive and better."""
    return VersionEntry(
        id=f'model-{number}@1',
        price_in=0.1 + number / 10,
        price_out=0.3 + number / 10,
        quality={_TASK: min(0.99, 0.85 + number / 100)},
    )


def _rating(position: int, version: VersionId) -> Rating:
    """Return a rating close to the version's declared quality."""
    number = int(version.removeprefix('model-').removesuffix('@1'))
    score = min(0.99, 0.85 + number / 100) + (position % 5 - 2) / 50
    return Rating(
        position, make_request(1, _TASK, 1).request, _TASK, version, score
    )


def _measure(call: Callable[[], object], runs: int) -> tuple[float, float]:
    """Return mean and 99th percentile of a call, in microseconds."""
    durations = []
    for _ in range(runs):
        started_at = time.perf_counter()
        call()
        durations.append(
            (time.perf_counter() - started_at) * _MICROSECONDS_PER_SECOND
        )
    durations.sort()
    return sum(durations) / runs, durations[runs * 99 // 100]


if __name__ == '__main__':
    main()
