"""What the engine stand-in notes of each answer that it began."""

from enum import Enum, unique

from msgspec import Struct

from fakes.answers import Prompt
from fakes.batching import Run
from nutmegroad.foundations.clocks import Clock


@unique
class End(Enum):
    """How an answer ended."""

    RUNNING = 'running'
    WHOLE = 'whole'
    CUT = 'cut'
    CANCELLED = 'cancelled'


class RunRecord(Struct):
    """One answer that was begun.

    Attributes:
        attempt: The caller's name for it.
        version: Which version wrote it.
        task: The task class that it stated.
        ended: How it ended.
        at: Wall clock seconds at which it was accepted.
    """

    attempt: str
    version: str
    task: str
    ended: End
    at: float


class RunList:
    """All answers that an engine began, and those that run.

    Args:
        clock: Time.
    """

    def __init__(self, clock: Clock) -> None:
        self.records: list[RunRecord] = []
        self._clock = clock
        self._open: dict[str, list[Run]] = {}

    def start(self, attempt: str, prompt: Prompt, run: Run) -> RunRecord:
        """Note that an answer begins."""
        record = RunRecord(
            attempt,
            prompt.version,
            prompt.task,
            End.RUNNING,
            self._clock.wall(),
        )
        self.records.append(record)
        self._open.setdefault(attempt, []).append(run)
        return record

    def end(self, record: RunRecord, run: Run, ended: End) -> None:
        """Note how an answer ended."""
        record.ended = ended
        runs = self._open.get(record.attempt, [])
        runs.remove(run)
        if not runs:
            self._open.pop(record.attempt)

    def running(self, attempt: str) -> tuple[Run, ...]:
        """Return what runs under an attempt's name."""
        return tuple(self._open.get(attempt, ()))

    def another(self, attempt: str) -> str:
        """Return the name of another attempt, one that runs if there is."""
        others = (name for name in self._open if name != attempt)
        return next(others, f'{attempt}-other')
