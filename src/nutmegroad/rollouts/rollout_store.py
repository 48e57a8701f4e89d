"""Rollout rows: a version gets a small traffic share, which grows on evidence.

The state of a rollout is a row of the table. The holder of one lease changes
the row by compare-and-set, with its fencing number in every write. It claims
each row with that number before it decides anything. A late write of an earlier
holder then finds a row that has changed, and fails.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Annotated, Final

import msgspec
from msgspec import Struct
from msgspec.structs import replace

from nutmegroad.contracts.platform import Conflict, Row, RowKey, RowWrite, Table
from nutmegroad.contracts.rows import decode_row
from nutmegroad.foundations.decoding import IDENTIFIER, Amount
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Epoch, FencingNumber, VersionId
from nutmegroad.rollouts.evidence import Moments

#: Traffic share with which a rollout starts.
FIRST_SHARE: Final = 0.01
#: Factor by which the share grows at each step.
GROWTH_FACTOR: Final = 2.0
#: Minimum seconds for each step.
MIN_STEP_SECONDS: Final = 60.0
#: Answers that a version must have given in a step.
MIN_STEP_ANSWERS: Final = 30
#: Ratings that a version must have had in a step.
MIN_STEP_RATINGS: Final = 20
#: Strength of the evidence against a version from which its rollout is held.
HOLD_STRENGTH: Final = 3.0
#: Tolerated drop of the mean score below that of the replaced version.
SCORE_TOLERANCE: Final = 0.03
#: Number of steps that a row keeps.
MAX_STEPS: Final = 20

_LOG: Final = part_logger('rollouts')

_PREFIX: Final = 'rollouts/'


@unique
class Phase(Enum):
    """Phase of a rollout."""

    RUNNING = 'running'
    PAUSED = 'paused'
    #: Stopped by the guard.
    HALTED = 'halted'
    #: Stopped by an operator.
    ABORTED = 'aborted'


class Step(Struct, frozen=True):
    """A step of a rollout and its reason.

    Attributes:
        share: Traffic share of the version from this step on.
        phase: Phase of the rollout from this step on.
        reason: Reason, in one sentence.
    """

    share: Amount
    phase: Phase
    reason: str


class RolloutState(Struct, frozen=True):
    """Content of a rollout's row.

    Attributes:
        version: The version.
        epoch: Epoch of the version.
        share: Fraction of its tasks' requests that the version may get.
        phase: Phase of the rollout.
        fencing: Fencing number of the lease under which the row was last
            written.
        nonce: Identifies a write whose reply was lost.
        steps: The last steps, the newest one last.
    """

    version: VersionId
    epoch: Annotated[Epoch, IDENTIFIER]
    share: Amount = 0
    phase: Phase = Phase.RUNNING
    fencing: Annotated[FencingNumber, IDENTIFIER] = FencingNumber(0)
    nonce: str = ''
    steps: tuple[Step, ...] = ()

    @property
    def share_in_force(self) -> float:
        """Traffic share that hosts may give the version now."""
        open_phases = (Phase.RUNNING, Phase.PAUSED)
        return self.share if self.phase in open_phases else 0

    def after(self, step: Step) -> 'RolloutState':
        """Return the state after a step."""
        return replace(
            self,
            share=step.share,
            phase=step.phase,
            steps=(*self.steps, step)[-MAX_STEPS:],
        )


@dataclass(frozen=True, slots=True)
class Findings:
    """Findings on which a step is decided.

    Attributes:
        blocked: Why the guard has stopped the version; empty if it has not.
        bound: Maximum share that the preset in force allows.
        seconds: Seconds since the lease holder first saw the present step.
        answers: Answers of the version in this step.
        ratings: Ratings of the version in this step.
        before: Ratings of the replaced version.
        strength: How strongly the evidence speaks against the version.
    """

    blocked: str
    bound: float
    seconds: float
    answers: int
    ratings: Moments
    before: Moments
    strength: float


def decide(state: RolloutState, findings: Findings) -> Step | None:
    """Return the next step of a running rollout, or None to wait."""
    if findings.blocked:
        return Step(0, Phase.HALTED, findings.blocked)
    if state.share > findings.bound:
        return Step(findings.bound, Phase.RUNNING, 'The preset allows less.')
    if state.share == findings.bound or _must_wait(findings):
        return None
    share = max(state.share * GROWTH_FACTOR, FIRST_SHARE)
    return Step(
        min(share, findings.bound),
        Phase.RUNNING,
        f'{findings.answers} answers and {findings.ratings.count} ratings of '
        f'mean {findings.ratings.mean:.3f} against '
        f'{findings.before.mean:.3f} speak for it.',
    )


def _must_wait(findings: Findings) -> bool:
    """Return whether there is too little evidence, or some against it."""
    if findings.seconds < MIN_STEP_SECONDS:
        return True
    if findings.strength >= HOLD_STRENGTH:
        return True
    ratings, before = findings.ratings, findings.before
    if findings.answers < MIN_STEP_ANSWERS or ratings.count < MIN_STEP_RATINGS:
        return True
    if before.count < MIN_STEP_RATINGS:
        return True
    uncertainty = math.hypot(_standard_error(ratings), _standard_error(before))
    return ratings.mean - uncertainty < before.mean - SCORE_TOLERANCE


def _standard_error(sample: Moments) -> float:
    """Return the standard error of a mean."""
    return sample.deviation / math.sqrt(sample.count)


@dataclass(frozen=True, slots=True)
class Rollout:
    """A rollout and the row that stores it.

    Attributes:
        state: State of the rollout.
        row: Its row.
    """

    state: RolloutState
    row: Row


class RolloutStore:
    """Reads and writes the rows of rollouts.

    Args:
        table: The table service.
        nonces: Returns strings that never repeat.
    """

    def __init__(self, table: Table, nonces: Callable[[], str]) -> None:
        self._table = table
        self._nonces = nonces

    async def all(self) -> tuple[Rollout, ...] | Refusal:
        """Return all rollouts."""
        rows = await self._table.scan(_PREFIX)
        if isinstance(rows, Refusal):
            return rows
        found = []
        for row in rows:
            rollout = decode_rollout(row)
            if isinstance(rollout, Refusal):
                _LOG.warning('rollout left out: %s', rollout.reason)
            else:
                found.append(rollout)
        return tuple(found)

    async def find(self, version: VersionId) -> Rollout | Refusal | None:
        """Return a version's rollout; None if there never was one."""
        row = await self._table.read(_key(version))
        if isinstance(row, Refusal):
            return row
        return decode_rollout(row) if row.text else None

    async def start(self, wanted: RolloutState) -> Rollout | Refusal:
        """Write the first state of a version's rollout over any earlier row."""
        row = await self._table.read(_key(wanted.version))
        if isinstance(row, Refusal):
            return row
        return await self.write(row, wanted)

    async def write(self, row: Row, wanted: RolloutState) -> Rollout | Refusal:
        """Write a state over the row from which it was made."""
        wanted = replace(wanted, nonce=self._nonces())
        text = msgspec.json.encode(wanted).decode()
        outcome = await self._table.commit(
            (RowWrite(row.key, text, row.version),),
        )
        if isinstance(outcome, Conflict):
            return _conflict(wanted.version)
        if isinstance(outcome, Refusal):
            return await self._resolve_write(outcome, wanted)
        return Rollout(wanted, outcome[0])

    async def _resolve_write(
        self,
        refusal: Refusal,
        wanted: RolloutState,
    ) -> Rollout | Refusal:
        """Read the row back after a reply that may hide a write."""
        found = await self.find(wanted.version)
        if found is None or isinstance(found, Refusal):
            return refusal
        return found if found.state.nonce == wanted.nonce else refusal


def decode_rollout(row: Row) -> Rollout | Refusal:
    """Decode a rollout's row, or return why it can't be decoded."""
    state = decode_row(row, RolloutState)
    return state if isinstance(state, Refusal) else Rollout(state, row)


def _key(version: VersionId) -> RowKey:
    """Return the key of a version's row."""
    return RowKey(f'{_PREFIX}{version}')


def _conflict(version: VersionId) -> Refusal:
    """Return the refusal that another writer changed the row first."""
    return Refusal(
        ResultCode.TABLE_CONFLICT,
        f'Another writer changed the rollout of {version} first; check it and '
        'try again.',
    )
