"""Steps of a rollout that hosts write to the platform's store."""

from collections.abc import Callable, Iterator
from typing import Final, Protocol

import msgspec
from msgspec import structs

from nutmegroad.canary.rollouts import (
    FULL_FROM,
    FULL_UNTIL,
    RATE_KNOWN_AFTER,
    ROLL_BACK_FROM,
    SUCCEED_FROM,
    Rollout,
    RolloutOrder,
    RolloutRow,
    Stage,
    extra_share,
)
from nutmegroad.canary.state import RolloutState
from nutmegroad.canary.verdicts import Verdict
from nutmegroad.fleet.duties import duty_delay
from nutmegroad.fleet.evidence import Evidence
from nutmegroad.fleet.store_interface import (
    FLEET_TABLE,
    Committed,
    RowCondition,
    RowPut,
    Store,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import ServiceName

_LOG: Final = part_logger('rollouts')

STEP_KEY: Final = 'rollout/'
EVIDENCE_KEY: Final = 'evidence/'

#: Name of the task of writing lost rows again, by which hosts are ranked.
RESTORE_TASK: Final = 'rollouts/restore'

#: Maximum number of rollouts restored in one transaction. With the operator's
#: rows and a condition each, they stay below the hundred entries that the
#: platform accepts.
MAX_RESTORED: Final = 30

#: Seconds between checks for due steps.
STEP_INTERVAL: Final = 0.25

#: Seconds by which the second host delays a step that any host may make, so
#: that usually the first host's write is the only one. The delay grows less
#: with each further rank, so that many lost hosts cost little time.
RANK_DELAY: Final = 0.8

#: Poor answers from which a host writes its counts to the store. Hosts send
#: each other their counts as well, so the row only serves hosts that those
#: messages do not reach.
MIN_POOR_WRITTEN: Final = 2


class StatusWriter(Protocol):
    """Creates the rows that report rollouts to the operator."""

    def status(self, order: RolloutOrder, stage: Stage) -> RowPut:
        """Return the row that reports a stage to the operator."""


class RolloutSteps:
    """Makes due steps, and writes the counts of this host to the store.

    Args:
        state: Rollouts and the evidence on them.
        store: The platform's store.
        status: Creates the rows that report rollouts to the operator.
        clock: The host's clock.
        rank: Returns this host's rank among all hosts for a task that one of
            them has to do; 0 for the first.
    """

    def __init__(
        self,
        state: RolloutState,
        store: Store,
        status: StatusWriter,
        clock: Clock,
        rank: Callable[[str], int],
    ) -> None:
        self._state = state
        self._store = store
        self._status = status
        self._clock = clock
        self._rank = rank
        self._written: dict[ServiceName, Evidence] = {}

    async def run(self) -> None:
        """Make due steps until cancelled."""
        while True:
            await self._clock.sleep(STEP_INTERVAL)
            self._state.registry.accept_doubtful()
            await self._restore()
            for rollout in self._state.registry.active:
                await self._write_evidence(rollout)
                step = self._due_step(rollout)
                if step is not None:
                    await self._write_step(rollout, step)

    def _due_step(self, rollout: Rollout) -> RolloutRow | None:
        """Return the row of the step that is due, or None."""
        now = self._state.store_time()
        if rollout.stage is None:
            return self._first_row(rollout.order, now)
        row = rollout.row
        if row is None:
            return None
        elapsed = rollout.elapsed(now)
        verdict = self._state.verdict(rollout)
        if self._state.halted(rollout):
            verdict = Verdict.BAD
        stage = next_stage(rollout.stage, verdict, elapsed)
        if stage is None:
            return self._row_with_extra_share(rollout, row, now)
        opened = now if stage is Stage.FULL else row.opened
        why = f'{verdict.value}: {self._state.reason(rollout)}'
        return structs.replace(
            row,
            stage=stage.value,
            opened=opened,
            why=why,
            since=now,
        )

    def _first_row(self, order: RolloutOrder, now: float) -> RolloutRow | None:
        """Return the first row of an order, or None if it is left to others."""
        if self._state.registry.is_start_deferred(order.service):
            return None
        return RolloutRow(
            order.number,
            Stage.CANARY.value,
            now,
            to=order.to,
            duration=order.duration,
            since=now,
        )

    def _row_with_extra_share(
        self,
        rollout: Rollout,
        row: RolloutRow,
        now: float,
    ) -> RolloutRow | None:
        """Return the row of a canary stage with an additional share, or None.

        The additional share is for services with few requests.
        """
        passed = now - row.started
        if (
            rollout.stage is not Stage.CANARY
            or row.beyond
            or passed < RATE_KNOWN_AFTER
        ):
            return None
        left = rollout.order.duration * FULL_UNTIL - passed
        rate = self._state.request_count(rollout) / passed
        beyond = extra_share(self._state.exposure_slack, rate, left)
        if not beyond or left <= 0:
            return None
        why = f'few requests: {rate:.1f} a second'
        return structs.replace(row, why=why, beyond=beyond)

    async def _write_step(self, rollout: Rollout, step: RolloutRow) -> None:
        """Write a step to the store unless another host has been first."""
        service = rollout.order.service
        await self._wait_for_rank(f'{service}/{step.order}/{step.stage}')
        current = self._state.registry.rollout(service)
        if current != rollout:
            return
        puts = [_step_row(service, step)]
        stage = Stage(step.stage)
        if stage is not rollout.stage and stage is not Stage.FULL:
            puts.append(self._status.status(rollout.order, stage))
        outcome = await self._store.commit(
            (_expect_unchanged(rollout),), tuple(puts)
        )
        if isinstance(outcome, Committed):
            self._state.registry.apply_progress(service, step, outcome.version)
            return
        why = 'another host was first'
        if isinstance(outcome, Refusal):
            why = outcome.reason
        _LOG.decision(
            'roll-out step not made',
            service=service,
            stage=step.stage,
            why=why,
        )

    async def _restore(self) -> None:
        """Write the rows again that the store lost in a restore from a backup.

        The hosts wait by rank, and the first one writes all rows in one
        transaction.
        """
        missing = self._state.registry.to_restore
        if not missing:
            return
        await self._wait_for_rank(RESTORE_TASK)
        missing = self._state.registry.to_restore[:MAX_RESTORED]
        if not missing:
            return
        outcome = await self._store.commit(
            tuple(_expect_unchanged(rollout) for rollout in missing),
            tuple(row for each in missing for row in self._rows_of(each)),
        )
        _LOG.decision(
            'roll-outs restored to the store',
            services=[rollout.order.service for rollout in missing],
            done=isinstance(outcome, Committed),
            why=outcome.reason if isinstance(outcome, Refusal) else '',
        )
        if not isinstance(outcome, Committed):
            return
        for rollout in missing:
            self._state.registry.confirm_restored(rollout, outcome.version)

    def _rows_of(self, rollout: Rollout) -> Iterator[RowPut]:
        """Return the rows of a rollout that has reached a stage."""
        if rollout.row is None or rollout.stage is None:
            return
        yield _step_row(rollout.order.service, rollout.row)
        yield self._status.status(rollout.order, rollout.stage)

    async def _wait_for_rank(self, name: str) -> None:
        """Give the hosts that rank before this one time to do a task."""
        delay = duty_delay(self._rank(name), RANK_DELAY)
        await self._clock.sleep(delay)

    async def _write_evidence(self, rollout: Rollout) -> None:
        """Write this host's counts to the store if they have grown enough."""
        if rollout.stage is None:
            return
        own = self._state.own_evidence(rollout)
        service = rollout.order.service
        if not _has_grown(self._written.get(service), own):
            return
        key = f'{EVIDENCE_KEY}{service}/{self._state.host}'
        put = RowPut(FLEET_TABLE, key, msgspec.json.encode(own))
        outcome = await self._store.commit((), (put,))
        if isinstance(outcome, Committed):
            self._written[service] = own


def next_stage(
    stage: Stage,
    verdict: Verdict,
    elapsed: float,
) -> Stage | None:
    """Return the stage that a rollout should enter now, or None.

    Args:
        stage: Its present stage.
        verdict: Verdict on its answers.
        elapsed: Elapsed fraction of its duration.
    """
    if verdict is Verdict.BAD:
        return Stage.ROLLED_BACK
    good = verdict is Verdict.GOOD
    if stage is Stage.CANARY:
        if good and FULL_FROM <= elapsed < FULL_UNTIL:
            return Stage.FULL
        return Stage.ROLLED_BACK if elapsed >= FULL_UNTIL else None
    if good and elapsed >= SUCCEED_FROM:
        return Stage.SUCCEEDED
    return Stage.ROLLED_BACK if elapsed >= ROLL_BACK_FROM else None


def _step_key(service: ServiceName) -> str:
    """Return the key of the row with a rollout's progress."""
    return f'{STEP_KEY}{service}'


def _step_row(service: ServiceName, step: RolloutRow) -> RowPut:
    """Return the row with a rollout's progress."""
    content = msgspec.json.encode(step)
    return RowPut(FLEET_TABLE, _step_key(service), content)


def _expect_unchanged(rollout: Rollout) -> RowCondition:
    """Return the condition that a rollout's row was not written since."""
    key = _step_key(rollout.order.service)
    return RowCondition(FLEET_TABLE, key, rollout.version)


def _has_grown(written: Evidence | None, own: Evidence) -> bool:
    """Return whether poor answers have doubled since the last write."""
    known = 0
    if written is not None and written.order == own.order:
        known = written.total.new_poor
    return own.total.new_poor >= max(MIN_POOR_WRITTEN, 2 * known)
