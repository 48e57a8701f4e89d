"""The steps of a roll-out that hosts write into the platform's store."""

from collections.abc import Callable, Iterator
from typing import Final, Protocol

import msgspec
from msgspec import structs

from nutmegroad.canary.rollouts import (
    CLOSE_AT,
    GIVE_UP_AT,
    LAST_OPEN,
    MEASURED,
    OPEN_AT,
    Rollout,
    RolloutOrder,
    RolloutRow,
    Stage,
    beyond_share,
)
from nutmegroad.canary.state import RolloutState
from nutmegroad.canary.verdicts import Verdict
from nutmegroad.fleet.evidence import Evidence
from nutmegroad.fleet.stored import (
    FLEET_TABLE,
    Committed,
    RowExpected,
    RowPut,
    Store,
)
from nutmegroad.fleet.turns import delay_of_turn
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import ServiceName

_LOG: Final = part_logger('rollouts')

STEP_KEY: Final = 'rollout/'
EVIDENCE_KEY: Final = 'evidence/'

#: What hosts take turns in, to write again what the store has lost.
RESTORE: Final = 'rollouts/restore'

#: Roll-outs written again in one transaction: with the operator's rows, and a
#: condition each, below the hundred entries that the platform takes.
MOST_RESTORED: Final = 30

#: Seconds between looks at what is to be done.
LOOK: Final = 0.25

#: Seconds by which the second host waits behind the first with a step that any
#: of them may make, so that mostly the first one's write is the only one; those
#: behind it wait for ever less more, so that many lost ones cost little.
SPREAD: Final = 0.8

#: Poor answers from which a host writes down what it has seen: hosts tell each
#: other as well, so a row only serves those that can't hear it.
FEWEST_WRITTEN: Final = 2


class StatusWriter(Protocol):
    """Says how the operator is told of a roll-out."""

    def status(self, order: RolloutOrder, stage: Stage) -> RowPut:
        """Return the row that tells the operator."""


class RolloutSteps:
    """Makes the steps that are due, and tells what this host has seen.

    Args:
        state: All roll-outs.
        store: The platform's store.
        status: Says how the operator is told.
        clock: The host's clock.
        turn: Returns this host's place among all for something one has to do.
    """

    def __init__(
        self,
        state: RolloutState,
        store: Store,
        status: StatusWriter,
        clock: Clock,
        turn: Callable[[str], int],
    ) -> None:
        self._state = state
        self._store = store
        self._status = status
        self._clock = clock
        self._turn = turn
        self._written: dict[ServiceName, Evidence] = {}

    async def run(self) -> None:
        """Make steps as they fall due until cancelled."""
        while True:
            await self._clock.sleep(LOOK)
            self._state.orders.settle()
            await self._restore()
            for rollout in self._state.orders.active:
                await self._tell(rollout)
                step = self._due(rollout)
                if step is not None:
                    await self._make(rollout, step)

    def _due(self, rollout: Rollout) -> RolloutRow | None:
        """Return the step that is due, or None."""
        now = self._state.store_time()
        if rollout.stage is None:
            return self._begun(rollout.order, now)
        row = rollout.row
        if row is None:
            return None
        elapsed = rollout.elapsed(now)
        verdict = self._state.verdict(rollout)
        if self._state.halted(rollout):
            verdict = Verdict.BAD
        stage = next_stage(rollout.stage, verdict, elapsed)
        if stage is None:
            return self._widened(rollout, row, now)
        opened = now if stage is Stage.OPEN else row.opened
        why = f'{verdict.value}: {self._state.reason(rollout)}'
        return structs.replace(
            row,
            stage=stage.value,
            opened=opened,
            why=why,
            since=now,
        )

    def _begun(self, order: RolloutOrder, now: float) -> RolloutRow | None:
        """Return the row that begins an order, if this host may."""
        if self._state.orders.leaves_beginning(order.service):
            return None
        return RolloutRow(
            order.number,
            Stage.TRIAL.value,
            now,
            to=order.to,
            duration=order.duration,
            since=now,
        )

    def _widened(
        self,
        rollout: Rollout,
        row: RolloutRow,
        now: float,
    ) -> RolloutRow | None:
        """Return a trial's row with a share fit for few requests, or None."""
        passed = now - row.started
        if rollout.stage is not Stage.TRIAL or row.beyond or passed < MEASURED:
            return None
        left = rollout.order.duration * LAST_OPEN - passed
        rate = self._state.answers(rollout) / passed
        beyond = beyond_share(self._state.besides, rate, left)
        if not beyond or left <= 0:
            return None
        why = f'few requests: {rate:.1f} a second'
        return structs.replace(row, why=why, beyond=beyond)

    async def _make(self, rollout: Rollout, step: RolloutRow) -> None:
        """Write a step down, unless another host is first."""
        service = rollout.order.service
        await self._wait_for_turn(f'{service}/{step.order}/{step.stage}')
        present = self._state.orders.rollout(service)
        if present != rollout:
            return
        puts = [_step_row(service, step)]
        stage = Stage(step.stage)
        if stage is not rollout.stage and stage is not Stage.OPEN:
            puts.append(self._status.status(rollout.order, stage))
        outcome = await self._store.commit((_unchanged(rollout),), tuple(puts))
        if isinstance(outcome, Committed):
            self._state.orders.progress(service, step, outcome.version)
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
        """Write again what the store has lost as it came back from a copy.

        All in one transaction, by one host in turn.
        """
        lacking = self._state.orders.lacking
        if not lacking:
            return
        await self._wait_for_turn(RESTORE)
        lacking = self._state.orders.lacking[:MOST_RESTORED]
        if not lacking:
            return
        outcome = await self._store.commit(
            tuple(_unchanged(rollout) for rollout in lacking),
            tuple(row for each in lacking for row in self._rows_of(each)),
        )
        _LOG.decision(
            'roll-outs written again',
            services=[rollout.order.service for rollout in lacking],
            done=isinstance(outcome, Committed),
            why=outcome.reason if isinstance(outcome, Refusal) else '',
        )
        if not isinstance(outcome, Committed):
            return
        for rollout in lacking:
            self._state.orders.restored(rollout, outcome.version)

    def _rows_of(self, rollout: Rollout) -> Iterator[RowPut]:
        """Return the rows of a roll-out that has come to a stage."""
        if rollout.row is None or rollout.stage is None:
            return
        yield _step_row(rollout.order.service, rollout.row)
        yield self._status.status(rollout.order, rollout.stage)

    async def _wait_for_turn(self, name: str) -> None:
        """Wait behind the hosts that are to do something before this one."""
        delay = delay_of_turn(self._turn(name), SPREAD)
        await self._clock.sleep(delay)

    async def _tell(self, rollout: Rollout) -> None:
        """Write down what this host has seen, if it is news."""
        if rollout.stage is None:
            return
        own = self._state.own(rollout)
        service = rollout.order.service
        if not _is_news(self._written.get(service), own):
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
    """Return the stage that a roll-out should enter now, or None.

    Args:
        stage: Where it is.
        verdict: What its answers show.
        elapsed: Part of its duration that is over.
    """
    if verdict is Verdict.BAD:
        return Stage.ROLLED_BACK
    good = verdict is Verdict.GOOD
    if stage is Stage.TRIAL:
        if good and OPEN_AT <= elapsed < LAST_OPEN:
            return Stage.OPEN
        return Stage.ROLLED_BACK if elapsed >= LAST_OPEN else None
    if good and elapsed >= CLOSE_AT:
        return Stage.SUCCEEDED
    return Stage.ROLLED_BACK if elapsed >= GIVE_UP_AT else None


def _step_key(service: ServiceName) -> str:
    """Return the key of the row that says how far a roll-out is."""
    return f'{STEP_KEY}{service}'


def _step_row(service: ServiceName, step: RolloutRow) -> RowPut:
    """Return that row."""
    content = msgspec.json.encode(step)
    return RowPut(FLEET_TABLE, _step_key(service), content)


def _unchanged(rollout: Rollout) -> RowExpected:
    """Return the condition that nobody has written that row since."""
    key = _step_key(rollout.order.service)
    return RowExpected(FLEET_TABLE, key, rollout.version)


def _is_news(written: Evidence | None, own: Evidence) -> bool:
    """Tell whether poor answers are twice as many as were written down."""
    known = 0
    if written is not None and written.order == own.order:
        known = written.whole.new_poor
    return own.whole.new_poor >= max(FEWEST_WRITTEN, 2 * known)
