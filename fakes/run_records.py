"""Records of the completions that the engine stand-in has started."""

from enum import Enum, unique

from msgspec import Struct

from fakes.answers import Prompt
from fakes.batching import Run
from nutmegroad.foundations.clocks import Clock


@unique
class RunState(Enum):
    """State of a completion, and how it ended."""

    RUNNING = 'running'
    COMPLETE = 'whole'
    CUT = 'cut'
    CANCELLED = 'cancelled'


class RunRecord(Struct):
    """Record of one completion.

    Attributes:
        attempt: Attempt id that the caller has given.
        version: Version that generates the answer.
        task: Task class of the request; empty if it states none.
        ended: Current state.
        at: Wall clock time of the start, in seconds.
    """

    attempt: str
    version: str
    task: str
    ended: RunState
    at: float


class RunList:
    """Tracks all completions of an engine and those that are running.

    Args:
        clock: Source of times.

    Attributes:
        records: All completions, in the order of their start.
    """

    def __init__(self, clock: Clock) -> None:
        self.records: list[RunRecord] = []
        self._clock = clock
        self._running: dict[str, list[Run]] = {}

    def start(self, attempt: str, prompt: Prompt, run: Run) -> RunRecord:
        """Record the start of a completion."""
        record = RunRecord(
            attempt,
            prompt.version,
            prompt.task,
            RunState.RUNNING,
            self._clock.wall(),
        )
        self.records.append(record)
        self._running.setdefault(attempt, []).append(run)
        return record

    def end(self, record: RunRecord, run: Run, ended: RunState) -> None:
        """Record the end of a completion."""
        record.ended = ended
        runs = self._running.get(record.attempt, [])
        runs.remove(run)
        if not runs:
            self._running.pop(record.attempt)

    def running(self, attempt: str) -> tuple[Run, ...]:
        """Return the running completions of an attempt."""
        return tuple(self._running.get(attempt, ()))

    def other_attempt(self, attempt: str) -> str:
        """Return another attempt's id, that of a running one if possible."""
        others = (name for name in self._running if name != attempt)
        return next(others, f'{attempt}-other')
