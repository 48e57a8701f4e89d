"""Roll-outs: a version gets a small share, which grows on evidence.

The state of a roll-out is a row of the table. The holder of one lease
moves it by compare-and-set with its fencing number in every write, and
claims each row with that number before it decides anything: what an
earlier holder still sends then meets a row that has moved on.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

import msgspec
from msgspec import Struct
from msgspec.structs import replace

from nutmegroad.contracts.platform import Conflict, Row, RowKey, RowWrite, Table
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Epoch, FencingNumber, VersionId
from nutmegroad.rollouts.evidence import Moments

#: Share that a roll-out begins with.
FIRST_SHARE: Final = 0.01
#: How many times its share a version gets at the next step.
GROWTH: Final = 2.0
#: Seconds that each step lasts at the least.
STEP_SECONDS: Final = 60.0
#: Answers that a version must have given in a step.
STEP_ANSWERS: Final = 30
#: Ratings that it must have had in a step.
STEP_RATINGS: Final = 20
#: Strength of the evidence against it from which a roll-out is held.
HOLD_STRENGTH: Final = 3.0
#: Its mean score may lie so far below that of the version before it.
TOLERANCE: Final = 0.03
#: Steps that a row remembers.
HISTORY: Final = 20

_PREFIX: Final = 'rollouts/'


@unique
class Phase(Enum):
    """Where a roll-out stands."""

    RUNNING = 'running'
    PAUSED = 'paused'
    #: The guard stopped it.
    HALTED = 'halted'
    #: An operator stopped it.
    ABORTED = 'aborted'


class Step(Struct, frozen=True):
    """A step of a roll-out and its reason.

    Attributes:
        share: Share of the version from then on.
        phase: Where it stands.
        reason: Why, in one sentence.
    """

    share: float
    phase: Phase
    reason: str


class RolloutState(Struct, frozen=True):
    """The content of a roll-out's row.

    Attributes:
        version: The version.
        epoch: The epoch of it.
        share: Share of its tasks' requests that it may get.
        phase: Where it stands.
        fencing: Number of the lease under which it was written last.
        nonce: Recognises the write whose reply was lost.
        steps: The last steps, the newest at the end.
    """

    version: VersionId
    epoch: Epoch
    share: float = 0
    phase: Phase = Phase.RUNNING
    fencing: FencingNumber = FencingNumber(0)
    nonce: str = ''
    steps: tuple[Step, ...] = ()

    @property
    def share_in_force(self) -> float:
        """Return the share that hosts may give it now."""
        open_phases = (Phase.RUNNING, Phase.PAUSED)
        return self.share if self.phase in open_phases else 0

    def after(self, step: Step) -> 'RolloutState':
        """Return the state after a step."""
        return replace(
            self,
            share=step.share,
            phase=step.phase,
            steps=(*self.steps, step)[-HISTORY:],
        )


@dataclass(frozen=True, slots=True)
class Findings:
    """What a step is decided on.

    Attributes:
        blocked: Why the guard has stopped the version; empty if not.
        bound: The most that the preset in force allows.
        seconds: How long the step has lasted for the holder.
        answers: Answers of the version in this step.
        ratings: Its ratings in this step.
        before: Ratings of the version before it.
        strength: How strongly the evidence speaks against it.
    """

    blocked: str
    bound: float
    seconds: float
    answers: int
    ratings: Moments
    before: Moments
    strength: float


def decide(state: RolloutState, findings: Findings) -> Step | None:
    """Return the next step of a running roll-out, or None to wait."""
    if findings.blocked:
        return Step(0, Phase.HALTED, findings.blocked)
    if state.share > findings.bound:
        return Step(findings.bound, Phase.RUNNING, 'The preset allows less.')
    if state.share == findings.bound or _must_wait(findings):
        return None
    share = max(state.share * GROWTH, FIRST_SHARE)
    return Step(
        min(share, findings.bound),
        Phase.RUNNING,
        f'{findings.answers} answers and {findings.ratings.count} ratings of '
        f'mean {findings.ratings.mean:.3f} against '
        f'{findings.before.mean:.3f} speak for it.',
    )


def _must_wait(findings: Findings) -> bool:
    """Tell whether there is too little evidence, or some against it."""
    if findings.seconds < STEP_SECONDS:
        return True
    if findings.strength >= HOLD_STRENGTH:
        return True
    ratings, before = findings.ratings, findings.before
    if findings.answers < STEP_ANSWERS or ratings.count < STEP_RATINGS:
        return True
    if before.count < STEP_RATINGS:
        return True
    doubt = math.hypot(_error(ratings), _error(before))
    return ratings.mean - doubt < before.mean - TOLERANCE


def _error(sample: Moments) -> float:
    """Return the standard error of a mean."""
    return sample.deviation / math.sqrt(sample.count)


@dataclass(frozen=True, slots=True)
class Rollout:
    """A roll-out, and the row that holds it.

    Attributes:
        state: Where it stands.
        row: Its row.
    """

    state: RolloutState
    row: Row


class RolloutStore:
    """Reads and moves the rows of roll-outs.

    Args:
        table: The table service.
        nonces: Makes words that never repeat.
    """

    def __init__(self, table: Table, nonces: Callable[[], str]) -> None:
        self._table = table
        self._nonces = nonces

    async def all(self) -> tuple[Rollout, ...] | Refusal:
        """Return all roll-outs."""
        rows = await self._table.scan(_PREFIX)
        if isinstance(rows, Refusal):
            return rows
        return tuple(map(decode_rollout, rows))

    async def find(self, version: VersionId) -> Rollout | Refusal | None:
        """Return a version's roll-out; None if there never was one."""
        row = await self._table.read(_key(version))
        if isinstance(row, Refusal):
            return row
        return decode_rollout(row) if row.text else None

    async def begin(self, wanted: RolloutState) -> Rollout | Refusal:
        """Write the first state of a version's roll-out, or a new one."""
        row = await self._table.read(_key(wanted.version))
        if isinstance(row, Refusal):
            return row
        return await self.move(row, wanted)

    async def move(self, row: Row, wanted: RolloutState) -> Rollout | Refusal:
        """Write a state over the row that it was made from."""
        wanted = replace(wanted, nonce=self._nonces())
        text = msgspec.json.encode(wanted).decode()
        outcome = await self._table.commit(
            (RowWrite(row.key, text, row.version),),
        )
        if isinstance(outcome, Conflict):
            return _conflict(wanted.version)
        if isinstance(outcome, Refusal):
            return await self._settle(outcome, wanted)
        return Rollout(wanted, outcome[0])

    async def _settle(
        self,
        refusal: Refusal,
        wanted: RolloutState,
    ) -> Rollout | Refusal:
        """Read back after a reply that may hide a write."""
        found = await self.find(wanted.version)
        if found is None or isinstance(found, Refusal):
            return refusal
        return found if found.state.nonce == wanted.nonce else refusal


def decode_rollout(row: Row) -> Rollout:
    """Read a row that was written."""
    return Rollout(msgspec.json.decode(row.text, type=RolloutState), row)


def _key(version: VersionId) -> RowKey:
    """Return the row of a version."""
    return RowKey(f'{_PREFIX}{version}')


def _conflict(version: VersionId) -> Refusal:
    """Say that somebody else moved the row first."""
    return Refusal(
        ResultCode.TABLE_CONFLICT,
        f'The roll-out of {version} was changed by somebody else first; '
        'look at it and try again.',
    )
