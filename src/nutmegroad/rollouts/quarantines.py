"""Quarantines: versions that evidence speaks against, agreed on by union.

A quarantine is a level that only grows, odd while it stands and even once
an operator has lifted it. Hosts take the higher level, so all come to the
same whatever the order of the messages, and an old message undoes nothing.
It holds for one epoch of the version and does not lapse by itself: waiting
makes no version good, and nobody may be there overnight.
"""

from collections.abc import Callable, Iterable
from enum import IntEnum, unique
from typing import ClassVar, Final

from msgspec import Struct

from nutmegroad.configuration.in_force import Accepted, Configuration
from nutmegroad.contracts.documents import Stage
from nutmegroad.contracts.peers import Message
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Epoch, TaskName, VersionId

_LOG: Final = part_logger('exposure')

#: Records that one message carries, so that its size is bounded.
MESSAGE_RECORDS: Final = 64
#: A version that is bad at so many task classes gets no work of any.
TASKS_FOR_ALL: Final = 2

_RETRY_AFTER: Final = 30.0


@unique
class Grade(IntEnum):
    """How sure a quarantine is."""

    #: It holds while another version may do the work.
    WEAK = 1
    #: It holds even if no other version may.
    STRONG = 2


class QuarantineRecord(Struct, frozen=True, array_like=True):
    """Where a quarantine stands.

    Attributes:
        version: The version.
        epoch: The epoch of it.
        task: The task class.
        level: Odd while it stands, even once it is lifted.
        grade: How sure it is.
        reason: Why, in one sentence.
    """

    version: VersionId
    epoch: Epoch
    task: TaskName
    level: int = 0
    grade: int = 0
    reason: str = ''

    @property
    def stands(self) -> bool:
        """Tell whether it holds now."""
        return self.level % 2 == 1

    @property
    def rank(self) -> tuple[int, int, str]:
        """Return what decides between two states of it."""
        return self.level, self.grade, self.reason


class QuarantineMessage(Message, frozen=True, tag='quarantines'):
    """What a host knows of quarantines."""

    part: ClassVar[str] = 'exposure'

    records: tuple[QuarantineRecord, ...]


_RecordId = tuple[VersionId, Epoch, TaskName]


class Quarantines:
    """All quarantines that this host knows; it meets ``Quarantine``.

    Args:
        configuration: What is in force.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._records: dict[_RecordId, QuarantineRecord] = {}
        self._listeners: list[Callable[[], None]] = []

    @property
    def records(self) -> tuple[QuarantineRecord, ...]:
        """Return all records, the ones that stand first."""
        records = self._records.values()
        return tuple(sorted(records, key=lambda record: not record.stands))

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a function after each change."""
        self._listeners.append(listener)

    def blocked(self, version: VersionId, task: TaskName) -> Refusal | None:
        """Return why a version gets no work of a task, or None."""
        if not self._records:
            return None
        record = self.standing(version, task)
        if record is None:
            return None
        if record.grade < Grade.STRONG and not self._has_other(version, task):
            return None
        return Refusal(
            ResultCode.VERSION_QUARANTINED,
            f'The version {version} is in quarantine: {record.reason}',
            retry_after=_RETRY_AFTER,
        )

    def standing(
        self,
        version: VersionId,
        task: TaskName,
    ) -> QuarantineRecord | None:
        """Return the quarantine that stands for a task, or None."""
        records = self.standing_all(version)
        for record in records:
            if record.task == task:
                return record
        entry = self._configuration.entry(version)
        in_rollout = entry is not None and entry.stage is Stage.ROLLOUT
        if records and (in_rollout or len(records) >= TASKS_FOR_ALL):
            return records[0]
        return None

    def standing_all(self, version: VersionId) -> tuple[QuarantineRecord, ...]:
        """Return the quarantines of a version that stand, of any task."""
        entry = self._configuration.entry(version)
        if entry is None:
            return ()
        return tuple(
            record
            for record in self._records.values()
            if record.stands
            and record.version == version
            and record.epoch == entry.epoch
        )

    def impose(
        self,
        version: VersionId,
        task: TaskName,
        grade: Grade,
        reason: str,
    ) -> None:
        """Put a version into quarantine for a task class."""
        entry = self._configuration.entry(version)
        if entry is None:
            return
        name = (version, Epoch(entry.epoch), task)
        known = self._records.get(name, QuarantineRecord(*name))
        if known.stands and known.grade >= grade:
            return
        level = known.level if known.stands else known.level + 1
        record = QuarantineRecord(*name, level, int(grade), reason)
        _LOG.warning('%s for %s: %s', version, task, reason)
        self.learn((record,))

    def lift(self, version: VersionId, author: str) -> int:
        """Lift all quarantines of a version; return how many stood."""
        lifted = tuple(
            QuarantineRecord(
                record.version,
                record.epoch,
                record.task,
                record.level + 1,
                0,
                f'lifted by {author}',
            )
            for record in self.standing_all(version)
        )
        self.learn(lifted)
        return len(lifted)

    def learn(self, records: Iterable[QuarantineRecord]) -> bool:
        """Take records; tell whether any was new."""
        fresh = False
        for record in records:
            name = (record.version, record.epoch, record.task)
            known = self._records.get(name)
            if known is None or record.rank > known.rank:
                self._records[name] = record
                fresh = True
        if fresh:
            for listener in self._listeners:
                listener()
        return fresh

    def lacks(self, records: Iterable[QuarantineRecord]) -> bool:
        """Tell whether somebody who knows these records knows less."""
        theirs = {
            (record.version, record.epoch, record.task): record
            for record in records
        }
        return any(
            name not in theirs or theirs[name].rank < record.rank
            for name, record in self._records.items()
        )

    def message(self) -> QuarantineMessage:
        """Return what is to be told to other hosts."""
        return QuarantineMessage(self.records[:MESSAGE_RECORDS])

    def _has_other(self, version: VersionId, task: TaskName) -> bool:
        """Tell whether another version may do a task's work."""
        accepted = self._configuration.accepted
        if accepted is None:
            return False
        return any(
            other != version and self._is_open(other, task)
            for other in _versions_for(accepted, task)
        )

    def _is_open(self, version: VersionId, task: TaskName) -> bool:
        """Tell whether a version is steady, allowed and not in question."""
        entry = self._configuration.entry(version)
        if entry is None or entry.stage is Stage.ROLLOUT:
            return False
        epoch = Epoch(entry.epoch)
        if self._configuration.is_withdrawn(version, epoch):
            return False
        return self.standing(version, task) is None


def _versions_for(accepted: Accepted, task: TaskName) -> tuple[VersionId, ...]:
    """Return the versions that the preset in force gives a task."""
    for entry in accepted.preset_entry.tasks:
        if entry.task == task:
            return tuple(map(VersionId, entry.versions))
    return ()
