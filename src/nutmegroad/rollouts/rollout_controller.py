"""Advances rollouts, while this host holds their lease."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from msgspec.structs import replace

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.configuration.leases import Lease, LeaseManager
from nutmegroad.contracts.documents import VersionEntry
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import TaskName, VersionId
from nutmegroad.rollouts.evidence import EvidenceStore, Moments
from nutmegroad.rollouts.exposure import ExposureGuard
from nutmegroad.rollouts.quarantines import Quarantines
from nutmegroad.rollouts.rollout_shares import RolloutShares
from nutmegroad.rollouts.rollout_store import (
    Findings,
    Phase,
    Rollout,
    RolloutState,
    RolloutStore,
    decide,
)

_LOG: Final = part_logger('rollouts')

#: Name of the lease under which all rollouts are advanced.
ROLLOUTS_LEASE: Final = 'rollouts'
#: Maximum jitter of the period between reads, as a fraction of it.
JITTER: Final = 0.2


@dataclass(frozen=True, slots=True)
class _StepStart:
    """State at the time at which this host first saw a step.

    Attributes:
        state: Rollout state after the step.
        since: Host clock in seconds.
        answers: Answers of the version until then.
        ratings: Its ratings until then.
    """

    state: RolloutState
    since: float
    answers: int
    ratings: Moments


@dataclass(frozen=True, slots=True)
class RolloutDependencies:
    """Dependencies of a rollout controller.

    Attributes:
        configuration: Configuration in force.
        store: Reads and writes the rows.
        shares: Traffic shares in force on this host.
        leases: Acquires the lease.
        guard: Tests the evidence.
        evidence: Counted attempts.
        quarantines: Quarantines, also those that the guard imposed.
    """

    configuration: Configuration
    store: RolloutStore
    shares: RolloutShares
    leases: LeaseManager
    guard: ExposureGuard
    evidence: EvidenceStore
    quarantines: Quarantines


class RolloutController:
    """Reads the rollouts, and advances them while it holds the lease.

    Args:
        parts: Dependencies of the controller.
        clock: The host's clock.
        randomness: Spreads the reads.
        period: Seconds between reads.
    """

    def __init__(
        self,
        parts: RolloutDependencies,
        clock: Clock,
        randomness: random.Random,
        period: float,
    ) -> None:
        self._parts = parts
        self._clock = clock
        self._randomness = randomness
        self._period = period
        self._step_starts: dict[VersionId, _StepStart] = {}

    async def run(self, is_mine: Callable[[], bool]) -> None:
        """Read and advance rollouts until cancelled.

        Args:
            is_mine: Returns whether this host is a candidate for the lease.
        """
        while True:
            rollouts = await self.read()
            if rollouts and is_mine():
                await self.advance(rollouts)
            jitter = self._randomness.uniform(-JITTER, JITTER)
            await self._clock.sleep(self._period * (1 + jitter))

    async def read(self) -> tuple[Rollout, ...]:
        """Read the rollouts, and apply their shares on this host."""
        rollouts = await self._parts.store.all()
        if isinstance(rollouts, Refusal):
            return ()
        for rollout in rollouts:
            self._parts.shares.update(rollout)
        return rollouts

    async def advance(self, rollouts: tuple[Rollout, ...]) -> None:
        """Advance the running rollouts under the lease."""
        lease = await self._parts.leases.acquire(ROLLOUTS_LEASE)
        if isinstance(lease, Refusal):
            self._step_starts.clear()
            return
        for rollout in rollouts:
            if rollout.state.phase is Phase.RUNNING:
                await self._advance_one(rollout, lease)

    async def _advance_one(self, rollout: Rollout, lease: Lease) -> None:
        """Claim a rollout's row, or take the next step if it is claimed."""
        state = rollout.state
        entry = self._parts.configuration.version_entry(state.version)
        if entry is None or entry.epoch != state.epoch:
            return
        if state.fencing != lease.number:
            # Claim the row first; decide once the claim is written.
            await self._write(rollout, state, lease)
            return
        step = decide(state, self._findings(state, entry))
        if step is not None:
            _LOG.info(
                'rollout of %s gets the share %.3f: %s',
                state.version,
                step.share,
                step.reason,
            )
            await self._write(rollout, state.after(step), lease)

    async def _write(
        self,
        rollout: Rollout,
        wanted: RolloutState,
        lease: Lease,
    ) -> None:
        """Write a state if the lease is valid and no older than the state."""
        if wanted.fencing > lease.number:
            return
        if self._parts.leases.check(lease) is not None:
            return
        fenced = replace(wanted, fencing=lease.number)
        written = await self._parts.store.write(rollout.row, fenced)
        if not isinstance(written, Refusal):
            self._parts.shares.update(written)

    def _findings(
        self,
        state: RolloutState,
        entry: VersionEntry,
    ) -> Findings:
        """Summarize what is known of a version in this step."""
        tasks = self._tasks(state.version)
        before = entry.replaces
        answers, ratings = self._totals(state.version, tasks)
        start = self._step_start(state, answers, ratings)
        reference = Moments()
        if before is not None:
            reference = self._totals(VersionId(before), tasks)[1]
        active = self._parts.quarantines.all_active(state.version)
        return Findings(
            blocked=active[0].reason if active else '',
            bound=self._parts.shares.bound(state.version),
            seconds=self._clock.now() - start.since,
            answers=answers - start.answers,
            ratings=ratings.minus(start.ratings),
            before=reference,
            strength=self._strength(state.version, tasks),
        )

    def _step_start(
        self,
        state: RolloutState,
        answers: int,
        ratings: Moments,
    ) -> _StepStart:
        """Return the start of the present step; record it if it is new."""
        known = self._step_starts.get(state.version)
        if known is None or known.state.share != state.share:
            known = _StepStart(state, self._clock.now(), answers, ratings)
            self._step_starts[state.version] = known
        return known

    def _tasks(self, version: VersionId) -> tuple[TaskName, ...]:
        """Return the tasks to which the preset in force assigns a version."""
        accepted = self._parts.configuration.accepted
        if accepted is None:
            return ()
        return tuple(
            TaskName(entry.task)
            for entry in accepted.preset_entry.tasks
            if version in entry.versions
        )

    def _totals(
        self,
        version: VersionId,
        tasks: tuple[TaskName, ...],
    ) -> tuple[int, Moments]:
        """Return the answers and ratings of a version, over its tasks."""
        answers = 0
        ratings = Moments()
        for task in tasks:
            answers += self._parts.evidence.total(version, task).answers
            ratings = ratings.plus(self._parts.guard.ratings(version, task))
        return answers, ratings

    def _strength(
        self,
        version: VersionId,
        tasks: tuple[TaskName, ...],
    ) -> float:
        """Return the strength of the strongest evidence against a version."""
        version_tests = (
            self._parts.guard.tests(version, task) for task in tasks
        )
        strengths = [
            max(tests.strengths().values())
            for tests in version_tests
            if tests is not None
        ]
        return max(strengths, default=0)
