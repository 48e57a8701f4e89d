"""Quarantines: versions that evidence speaks against, merged between hosts.

A quarantine has a level that only grows. An odd level means that the quarantine
is active, an even one that an operator has lifted it. Hosts keep the higher
level, so they all reach the same state in whatever order messages arrive, and
an old message undoes nothing. A quarantine holds for one epoch of the version.
It does not expire: waiting makes no version good, and there may be nobody on
duty overnight.
"""

from collections.abc import Callable, Iterable
from enum import IntEnum, unique
from typing import ClassVar, Final

from msgspec import Struct

from nutmegroad.configuration.in_force import (
    AcceptedConfiguration,
    Configuration,
)
from nutmegroad.contracts.documents import Stage
from nutmegroad.contracts.peers import Message
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Epoch, TaskName, VersionId

_LOG: Final = part_logger('exposure')

#: Maximum number of records in a message, so that its size is bounded.
MAX_MESSAGE_RECORDS: Final = 64
#: Number of quarantined task classes from which a version gets no work at all.
MIN_TASKS_FOR_ALL: Final = 2

#: Seconds after which a refused caller should try again.
_RETRY_AFTER: Final = 30.0


@unique
class Grade(IntEnum):
    """Certainty of a quarantine."""

    #: Holds while another version may do the work.
    WEAK = 1
    #: Holds even if no other version may do the work.
    STRONG = 2


class QuarantineRecord(Struct, frozen=True, array_like=True):
    """State of a quarantine.

    Attributes:
        version: The version.
        epoch: Epoch of the version.
        task: The task class.
        level: An odd number if the quarantine is active, an even one if it
            is lifted.
        grade: Value of a ``Grade``.
        reason: Reason, in one sentence.
    """

    version: VersionId
    epoch: Epoch
    task: TaskName
    level: int = 0
    grade: int = 0
    reason: str = ''

    @property
    def is_active(self) -> bool:
        """Whether the quarantine is active."""
        return self.level % 2 == 1

    @property
    def rank(self) -> tuple[int, int, str]:
        """Key by which two states are compared; the higher one holds."""
        return self.level, self.grade, self.reason


class QuarantineMessage(Message, frozen=True, tag='quarantines'):
    """Quarantines that a host knows."""

    part: ClassVar[str] = 'exposure'

    records: tuple[QuarantineRecord, ...]


_RecordId = tuple[VersionId, Epoch, TaskName]


class Quarantines:
    """All quarantines that this host knows; implements ``Quarantine``.

    Args:
        configuration: Configuration in force.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._records: dict[_RecordId, QuarantineRecord] = {}
        self._listeners: list[Callable[[], None]] = []

    @property
    def records(self) -> tuple[QuarantineRecord, ...]:
        """All records, the active ones first."""
        records = self._records.values()
        return tuple(sorted(records, key=lambda record: not record.is_active))

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a function after each change."""
        self._listeners.append(listener)

    def blocked(self, version: VersionId, task: TaskName) -> Refusal | None:
        """Return why a version gets no work of a task, or None."""
        if not self._records:
            return None
        record = self.active(version, task)
        if record is None:
            return None
        if record.grade < Grade.STRONG and not self._has_alternative(
            version, task
        ):
            return None
        return Refusal(
            ResultCode.VERSION_QUARANTINED,
            f'The version {version} is in quarantine: {record.reason}',
            retry_after=_RETRY_AFTER,
        )

    def active(
        self,
        version: VersionId,
        task: TaskName,
    ) -> QuarantineRecord | None:
        """Return the quarantine that is active for a task, or None.

        A version in a rollout is blocked for all tasks by a quarantine for any.
        """
        records = self.all_active(version)
        for record in records:
            if record.task == task:
                return record
        entry = self._configuration.version_entry(version)
        in_rollout = entry is not None and entry.stage is Stage.ROLLOUT
        if records and (in_rollout or len(records) >= MIN_TASKS_FOR_ALL):
            return records[0]
        return None

    def all_active(self, version: VersionId) -> tuple[QuarantineRecord, ...]:
        """Return the active quarantines of a version, for any task."""
        entry = self._configuration.version_entry(version)
        if entry is None:
            return ()
        return tuple(
            record
            for record in self._records.values()
            if record.is_active
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
        """Quarantine a version for a task class."""
        entry = self._configuration.version_entry(version)
        if entry is None:
            return
        name = (version, Epoch(entry.epoch), task)
        known = self._records.get(name, QuarantineRecord(*name))
        if known.is_active and known.grade >= grade:
            return
        level = known.level if known.is_active else known.level + 1
        record = QuarantineRecord(*name, level, int(grade), reason)
        _LOG.warning(
            'version %s quarantined for the task %r: %s', version, task, reason
        )
        self.merge((record,))

    def lift(self, version: VersionId, author: str) -> int:
        """Lift all quarantines of a version; return how many were active."""
        lifted = tuple(
            QuarantineRecord(
                record.version,
                record.epoch,
                record.task,
                record.level + 1,
                0,
                f'lifted by {author}',
            )
            for record in self.all_active(version)
        )
        self.merge(lifted)
        return len(lifted)

    def merge(self, records: Iterable[QuarantineRecord]) -> bool:
        """Merge records; return whether any was new."""
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

    def has_newer_than(self, records: Iterable[QuarantineRecord]) -> bool:
        """Return whether a host that sent these records lacks newer ones."""
        theirs = {
            (record.version, record.epoch, record.task): record
            for record in records
        }
        return any(
            name not in theirs or theirs[name].rank < record.rank
            for name, record in self._records.items()
        )

    def message(self) -> QuarantineMessage:
        """Return the message with this host's records for other hosts."""
        return QuarantineMessage(self.records[:MAX_MESSAGE_RECORDS])

    def _has_alternative(self, version: VersionId, task: TaskName) -> bool:
        """Return whether another version may do a task's work."""
        accepted = self._configuration.accepted
        if accepted is None:
            return False
        return any(
            other != version and self._is_usable(other, task)
            for other in _versions_for(accepted, task)
        )

    def _is_usable(self, version: VersionId, task: TaskName) -> bool:
        """Return whether a version is steady, allowed and not in quarantine."""
        entry = self._configuration.version_entry(version)
        if entry is None or entry.stage is Stage.ROLLOUT:
            return False
        epoch = Epoch(entry.epoch)
        if self._configuration.is_withdrawn(version, epoch):
            return False
        return self.active(version, task) is None


def _versions_for(
    accepted: AcceptedConfiguration, task: TaskName
) -> tuple[VersionId, ...]:
    """Return the versions that the preset in force assigns to a task."""
    for entry in accepted.preset_entry.tasks:
        if entry.task == task:
            return tuple(map(VersionId, entry.versions))
    return ()
