"""Simulated versions and scenarios for experiments with planners."""

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
#: Relative frequencies of the task classes, by name of the mix.
MIXES: Final = {'many-small': (1, 3, 6), 'even': (1, 1, 1)}
#: Quality targets of the task classes.
TARGETS: Final = {DOSSIER: 0.92, SUMMARY: 0.88, TAG: 0.9}
#: Output tokens of the task classes.
_OUTPUT: Final = {DOSSIER: 1800, SUMMARY: 400, TAG: 12}

SMALL: Final = VersionId('brief-small@2')
MEDIUM: Final = VersionId('brief-medium@4')
LARGE: Final = VersionId('brief-large@6')
VERSIONS: Final = (SMALL, MEDIUM, LARGE)

#: Prices of input and output tokens.
_PRICES: Final = {SMALL: (0.1, 0.3), MEDIUM: (0.6, 1.8), LARGE: (2.5, 7.5)}
#: True mean quality by version and task class, before any change.
_QUALITY: Final = {
    SMALL: {DOSSIER: 0.62, SUMMARY: 0.78, TAG: 0.93},
    MEDIUM: {DOSSIER: 0.86, SUMMARY: 0.9, TAG: 0.96},
    LARGE: {DOSSIER: 0.95, SUMMARY: 0.95, TAG: 0.97},
}


class SteppedClock:
    """A clock that only advances when it is told to."""

    def __init__(self) -> None:
        self._now: float = 0

    def now(self) -> float:
        """Return the seconds since the start."""
        return self._now

    def wall(self) -> float:
        """Return the same as ``now``."""
        return self._now

    async def sleep(self, seconds: float) -> None:
        """Advance the clock immediately."""
        self._now += seconds

    def step(self, seconds: float) -> None:
        """Advance the clock."""
        self._now += seconds


@dataclass(frozen=True, slots=True)
class Change:
    """A temporary change of a version's true mean quality.

    Attributes:
        version: The version.
        begins_at: Request from which the mean changes.
        complete_at: Request at which the linear change is complete.
        amount: Size of the complete change.
        tasks: Task classes that are affected.
        ends_at: Request from which the mean is as before the change.
    """

    version: VersionId
    begins_at: int
    complete_at: int
    amount: float
    tasks: tuple[TaskName, ...] = TASKS
    ends_at: int = 1_000_000


@dataclass(frozen=True, slots=True)
class Scenario:
    """How quality changes during a run, and how ratings deviate from it.

    Attributes:
        name: Name on the command line and in the tables.
        description: Description in one line.
        changes: Changes of true means.
        declared_offsets: Declared minus true quality, by version.
        rating_delay: Requests after which a rating arrives.
        missing_fraction: Fraction of ratings that are lost.
        zero_fraction: Fraction of ratings that are 0 whatever the answer.
        random_from: Request from which all scores are random.
        random_until: Request from which scores are correct again.
    """

    name: str
    description: str
    changes: tuple[Change, ...] = ()
    declared_offsets: tuple[tuple[VersionId, float], ...] = ()
    rating_delay: int = 20
    missing_fraction: float = 0
    zero_fraction: float = 0
    random_from: int = 1_000_000
    random_until: int = 1_000_000

    def mean(self, version: VersionId, task: TaskName, request: int) -> float:
        """Return the true mean quality at a request."""
        mean = _QUALITY[version][task]
        for change in self.changes:
            if change.version != version or task not in change.tasks:
                continue
            if request < change.begins_at or request >= change.ends_at:
                continue
            duration = max(1, change.complete_at - change.begins_at)
            mean += change.amount * min(
                1, (request - change.begins_at) / duration
            )
        return max(0, min(1, mean))


SCENARIOS: Final = (
    Scenario('stable', 'declared quality is true'),
    Scenario(
        'drift',
        'the cheap versions slowly degrade, then recover',
        (
            Change(SMALL, 1000, 3000, -0.08, ends_at=4500),
            Change(MEDIUM, 1000, 3000, -0.05, ends_at=4500),
        ),
    ),
    Scenario(
        'bad',
        'the medium version degrades suddenly, and recovers later',
        (Change(MEDIUM, 2000, 2000, -0.4, ends_at=4000),),
    ),
    Scenario('late', 'ratings arrive 600 requests late', rating_delay=600),
    Scenario('missing', 'two of three ratings are lost', missing_fraction=0.67),
    Scenario(
        'liars', 'one of twenty ratings is 0, at random', zero_fraction=0.05
    ),
    Scenario(
        'wrong',
        'all scores are random for a while',
        random_from=2000,
        random_until=3500,
    ),
    Scenario(
        'cold-start',
        'the cheap versions are better than their declared quality',
        declared_offsets=((SMALL, -0.1), (MEDIUM, -0.1)),
    ),
    Scenario(
        'boasting',
        'the cheap versions are worse than their declared quality',
        declared_offsets=((SMALL, 0.15), (MEDIUM, 0.08)),
    ),
)


def accepted_configuration(scenario: Scenario) -> AcceptedConfiguration:
    """Return the configuration of a scenario's runs."""
    offsets = dict(scenario.declared_offsets)
    versions = tuple(
        VersionEntry(
            id=version,
            price_in=_PRICES[version][0],
            price_out=_PRICES[version][1],
            quality={
                task: min(1, quality + offsets.get(version, 0))
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
    prompt_tokens: int,
    concern: Concern = Concern.COST,
    versions: tuple[VersionId, ...] = VERSIONS,
) -> ModelRequest:
    """Return a request of a task class; the number makes up its id."""
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
        prompt_tokens=prompt_tokens,
        output_tokens=_OUTPUT[task],
        prefix=0,
        key=IdempotencyKey(''),
        session=None,
        body={},
    )
