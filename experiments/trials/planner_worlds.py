"""The simulated versions and events that planners are tried on."""

from dataclasses import dataclass
from typing import Final

from nutmegroad.configuration.in_force import AcceptedConfiguration
from nutmegroad.contracts.documents import (
    Concern,
    Document,
    PresetEntry,
    PresetTask,
    TaskEntry,
    VersionEntry,
)
from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.foundations.types import (
    Digest,
    IdempotencyKey,
    PresetName,
    RequestId,
    Revision,
    TaskName,
    VersionId,
    WorkspaceId,
)

DOSSIER: Final = TaskName('dossier')
SUMMARY: Final = TaskName('objection-summary')
TAG: Final = TaskName('checklist-tag')
TASKS: Final = (DOSSIER, SUMMARY, TAG)
#: How often each task class is asked for.
MIXES: Final = {'many-small': (1, 3, 6), 'even': (1, 1, 1)}
TARGETS: Final = {DOSSIER: 0.92, SUMMARY: 0.88, TAG: 0.9}
_OUTPUT: Final = {DOSSIER: 1800, SUMMARY: 400, TAG: 12}

SMALL: Final = VersionId('brief-small@2')
MEDIUM: Final = VersionId('brief-medium@4')
LARGE: Final = VersionId('brief-large@6')
VERSIONS: Final = (SMALL, MEDIUM, LARGE)

_PRICES: Final = {SMALL: (0.1, 0.3), MEDIUM: (0.6, 1.8), LARGE: (2.5, 7.5)}
_QUALITY: Final = {
    SMALL: {DOSSIER: 0.62, SUMMARY: 0.78, TAG: 0.93},
    MEDIUM: {DOSSIER: 0.86, SUMMARY: 0.9, TAG: 0.96},
    LARGE: {DOSSIER: 0.95, SUMMARY: 0.95, TAG: 0.97},
}


class SteppedClock:
    """A clock that is moved by hand."""

    def __init__(self) -> None:
        self.seed = 0
        self._now: float = 0

    def now(self) -> float:
        """Return the seconds so far."""
        return self._now

    def wall(self) -> float:
        """Return the same."""
        return self._now

    async def sleep(self, seconds: float) -> None:
        """Move on at once."""
        self._now += seconds

    def step(self, seconds: float) -> None:
        """Move on."""
        self._now += seconds


@dataclass(frozen=True, slots=True)
class Change:
    """A version's true mean moves.

    Attributes:
        version: The version.
        begins: Request at which it begins.
        until: Request at which it is done, evenly between.
        by: By how much.
        tasks: The tasks for which it does.
        ends: Request at which all is as before.
    """

    version: VersionId
    begins: int
    until: int
    by: float
    tasks: tuple[TaskName, ...] = TASKS
    ends: int = 1_000_000


@dataclass(frozen=True, slots=True)
class Scenario:
    """What happens in a run.

    Attributes:
        name: Its name.
        meaning: One line.
        changes: Moves of true means.
        declared: Differences between declared and true quality.
        delay: Requests after which a rating is there.
        missing: Share of ratings that never come.
        liars: Share of ratings that are 0 whatever the answer.
        wrong_from: Request from which on all scores are random.
        wrong_until: Request at which they are right again.
    """

    name: str
    meaning: str
    changes: tuple[Change, ...] = ()
    declared: tuple[tuple[VersionId, float], ...] = ()
    delay: int = 20
    missing: float = 0
    liars: float = 0
    wrong_from: int = 1_000_000
    wrong_until: int = 1_000_000

    def mean(self, version: VersionId, task: TaskName, tick: int) -> float:
        """Return the true mean at one moment."""
        mean = _QUALITY[version][task]
        for change in self.changes:
            if change.version != version or task not in change.tasks:
                continue
            if tick < change.begins or tick >= change.ends:
                continue
            length = max(1, change.until - change.begins)
            mean += change.by * min(1, (tick - change.begins) / length)
        return max(0, min(1, mean))


SCENARIOS: Final = (
    Scenario('stable', 'declared quality is true'),
    Scenario(
        'drift',
        'the cheap ones slowly get worse, then better again',
        (
            Change(SMALL, 1000, 3000, -0.08, ends=4500),
            Change(MEDIUM, 1000, 3000, -0.05, ends=4500),
        ),
    ),
    Scenario(
        'bad',
        'the medium version turns bad at once, and is mended later',
        (Change(MEDIUM, 2000, 2000, -0.4, ends=4000),),
    ),
    Scenario('late', 'ratings come 600 requests late', delay=600),
    Scenario('missing', 'two ratings of three never come', missing=0.67),
    Scenario('liars', 'one rating of twenty is 0, at random', liars=0.05),
    Scenario(
        'wrong',
        'all scores are random for a while',
        wrong_from=2000,
        wrong_until=3500,
    ),
    Scenario(
        'cold-start',
        'the cheap ones are better than their owners say',
        declared=((SMALL, -0.1), (MEDIUM, -0.1)),
    ),
    Scenario(
        'boasting',
        'the cheap ones are worse than their owners say',
        declared=((SMALL, 0.15), (MEDIUM, 0.08)),
    ),
)


def accepted(scenario: Scenario) -> AcceptedConfiguration:
    """Return the configuration that a scenario is run under."""
    shifts = dict(scenario.declared)
    versions = tuple(
        VersionEntry(
            id=version,
            price_in=_PRICES[version][0],
            price_out=_PRICES[version][1],
            quality={
                task: min(1, quality + shifts.get(version, 0))
                for task, quality in _QUALITY[version].items()
            },
        )
        for version in VERSIONS
    )
    document = Document(
        format=1,
        name='trial',
        versions=versions,
        tasks=tuple(
            TaskEntry(name=task, target=TARGETS[task]) for task in TASKS
        ),
        workspaces=(),
        presets=(
            PresetEntry(
                name='ordinary',
                tasks=tuple(
                    PresetTask(task=task, versions=VERSIONS) for task in TASKS
                ),
            ),
        ),
    )
    return AcceptedConfiguration(
        Revision(1),
        Digest(''),
        document,
        PresetName('ordinary'),
        'trial',
    )


def make_request(
    number: int,
    task: TaskName,
    prompt: int,
    concern: Concern = Concern.COST,
    versions: tuple[VersionId, ...] = VERSIONS,
) -> ModelRequest:
    """Return a request of a task class."""
    return ModelRequest(
        request=RequestId(f'r{number}'),
        workspace=WorkspaceId('w'),
        concern=concern,
        task=task,
        target=TARGETS[task],
        versions=versions,
        repeatable=True,
        deadline=1e9,
        priority=5,
        prompt_tokens=prompt,
        output_tokens=_OUTPUT[task],
        prefix=0,
        key=IdempotencyKey(''),
        session=None,
        body={},
    )
