"""Carries out operators' requests on rollouts and quarantines."""

from enum import Enum, unique
from types import MappingProxyType
from typing import Final

from msgspec import Struct

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.documents import Stage
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    Epoch,
    OperatorId,
    TaskName,
    VersionId,
)
from nutmegroad.rollouts.quarantines import Grade, QuarantineRecord, Quarantines
from nutmegroad.rollouts.rollout_shares import RolloutShares
from nutmegroad.rollouts.rollout_store import (
    FIRST_SHARE,
    Phase,
    Rollout,
    RolloutState,
    RolloutStore,
    Step,
)

#: Task class of a quarantine that an operator imposes: all of them.
ALL_TASKS: Final = TaskName('all')


@unique
class Action(Enum):
    """What an operator can do with a rollout."""

    START = 'start'
    PAUSE = 'pause'
    RESUME = 'resume'
    ABORT = 'abort'
    #: Lift the quarantines of a version.
    LIFT = 'lift'


#: Phase of a rollout after an action.
_PHASES: Final = MappingProxyType(
    {
        Action.PAUSE: Phase.PAUSED,
        Action.RESUME: Phase.RUNNING,
        Action.ABORT: Phase.ABORTED,
    },
)


class RolloutStatus(Struct, frozen=True):
    """Rollouts and quarantines that this host knows.

    Attributes:
        rollouts: The rollouts, with the reason of each step.
        shares: Traffic share in force on this host, by version.
        quarantines: The quarantines, the active ones first.
    """

    rollouts: tuple[RolloutState, ...]
    shares: dict[str, float]
    quarantines: tuple[QuarantineRecord, ...]


class RolloutService:
    """Carries out operators' requests.

    Args:
        configuration: Configuration in force.
        store: The rows of rollouts.
        shares: Traffic shares in force on this host.
        quarantines: Quarantines that this host knows.
    """

    def __init__(
        self,
        configuration: Configuration,
        store: RolloutStore,
        shares: RolloutShares,
        quarantines: Quarantines,
    ) -> None:
        self._configuration = configuration
        self._store = store
        self._shares = shares
        self._quarantines = quarantines

    def status(self) -> RolloutStatus:
        """Return the rollouts and quarantines that this host knows."""
        states = tuple(rollout.state for rollout in self._shares.known)
        return RolloutStatus(
            states,
            {
                state.version: self._shares.share(state.version)
                for state in states
            },
            self._quarantines.records,
        )

    async def act(
        self,
        version: VersionId,
        action: Action,
        author: OperatorId,
    ) -> Refusal | None:
        """Carry out an operator's request.

        Halting a version does not need the platform.
        """
        entry = self._configuration.version_entry(version)
        if entry is None:
            return _not_found(f'There is no version {version!r}.')
        if action is Action.LIFT:
            self._quarantines.lift(version, author)
            return None
        if entry.stage is not Stage.ROLLOUT:
            reason = f'The version {version} is steady, not in a rollout.'
            return Refusal(ResultCode.OPERATOR_REQUEST_INVALID, reason)
        if action is Action.START:
            return await self._start(version, Epoch(entry.epoch), author)
        if action is Action.ABORT:
            # The version stops here and on all hosts before the table is asked.
            reason = f'aborted by {author}.'
            self._quarantines.impose(version, ALL_TASKS, Grade.STRONG, reason)
        return await self._change(version, _PHASES[action], author)

    async def _start(
        self,
        version: VersionId,
        epoch: Epoch,
        author: OperatorId,
    ) -> Refusal | None:
        """Start a rollout with the first share, over any earlier one."""
        if self._quarantines.all_active(version):
            reason = f'The version {version} is in quarantine; lift that first.'
            return Refusal(ResultCode.OPERATOR_REQUEST_INVALID, reason)
        share = min(FIRST_SHARE, self._shares.bound(version))
        step = Step(share, Phase.RUNNING, f'Started by {author}.')
        wanted = RolloutState(version, epoch).after(step)
        return self._apply(await self._store.start(wanted))

    async def _change(
        self,
        version: VersionId,
        phase: Phase,
        author: OperatorId,
    ) -> Refusal | None:
        """Change the phase of a rollout."""
        found = await self._store.find(version)
        if isinstance(found, Refusal):
            return found
        if found is None:
            return _not_found(f'No rollout of {version} was started.')
        share = 0 if phase is Phase.ABORTED else found.state.share
        step = Step(share, phase, f'{phase.value} by {author}.')
        # The fencing number stays: it says which lease holder may advance the
        # row on its own.
        wanted = found.state.after(step)
        return self._apply(await self._store.write(found.row, wanted))

    def _apply(self, written: Rollout | Refusal) -> Refusal | None:
        """Apply a written rollout on this host, or return the refusal."""
        if isinstance(written, Refusal):
            return written
        self._shares.update(written)
        return None


def _not_found(reason: str) -> Refusal:
    """Return a refusal for something that does not exist."""
    return Refusal(ResultCode.NOT_FOUND, reason)
