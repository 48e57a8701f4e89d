"""Random traffic of the two example deployments.

Time is compressed: answers and callers' deadlines are about a twentieth of
those in the configuration. All requests of a run are drawn from a seed and
scheduled before the first is sent, so that late answers do not slow down the
load.
"""

import math
import random
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

import numpy as np

from nutmegroad.contracts.documents import Document, WorkspaceEntry

#: Length in words of the prefix that prompts of one workspace and task class
#: have in common.
PREFIX_WORDS: Final = 64
#: Maximum length as a multiple of the mean. An answer of this length can still
#: end before its deadline.
MAX_LENGTH_FACTOR: Final = 3
#: Seconds between successive requests of a session.
SESSION_INTERVAL: Final = 4.0
#: Fraction of the service calls that are writes, which may not be repeated.
WRITE_FRACTION: Final = 0.4
#: Fraction of the writes that are sent twice with the same idempotency key.
DUPLICATE_FRACTION: Final = 0.25
#: Seconds after which the duplicate is sent.
DUPLICATE_DELAY: Final = 0.3


@unique
class Curve(Enum):
    """Shape of the arrival rate over a run."""

    FLAT = 'flat'
    ORDINARY_DAY = 'ordinary day'
    SITTING_NIGHT = 'night before a sitting'
    CATERING_MORNING = 'catering morning'


#: Points of each curve: elapsed fraction of the run, and rate relative to the
#: peak rate. The rate is interpolated linearly between them.
_SHAPES: Final = {
    Curve.FLAT: ((0, 1), (1, 1)),
    Curve.ORDINARY_DAY: (
        (0, 0.3),
        (0.2, 0.8),
        (0.4, 1),
        (0.5, 0.7),
        (0.7, 1),
        (0.9, 0.5),
        (1, 0.3),
    ),
    Curve.SITTING_NIGHT: ((0, 0.4), (0.3, 1), (0.9, 1), (1, 0.6)),
    Curve.CATERING_MORNING: (
        (0, 0.3),
        (0.15, 1),
        (0.45, 1),
        (0.6, 0.5),
        (1, 0.3),
    ),
}


@dataclass(frozen=True, slots=True)
class TaskMix:
    """Traffic of one task class.

    Attributes:
        task: Name of the task class.
        weight: Relative frequency among the model requests.
        tokens: Mean length of its answers in words.
        sigma: Sigma of the log-normal distribution of these lengths.
        prompt: Mean length of its prompts in words.
        deadline: Seconds for which its callers wait.
        session_fraction: Fraction of its requests that start a session.
    """

    task: str
    weight: float
    tokens: float
    sigma: float
    prompt: float
    deadline: float
    session_fraction: float = 0


@dataclass(frozen=True, slots=True)
class Mix:
    """Traffic of one deployment.

    Attributes:
        tasks: Its task classes.
        service_fraction: Fraction of all requests that are service calls.
        read_path: Path of a repeatable call; ends with a slash.
        write_path: Path of a call that may not be repeated.
    """

    tasks: tuple[TaskMix, ...]
    service_fraction: float
    read_path: str
    write_path: str


MIXES: Final = {
    'lesen': Mix(
        (
            TaskMix('dossier', 0.25, 90, 0.6, 300, 9, 0.2),
            TaskMix('objection-summary', 0.35, 30, 0.5, 200, 3),
            TaskMix('checklist-tag', 0.4, 6, 0.3, 80, 2),
        ),
        0.15,
        'status/',
        'receipts',
    ),
    'cascade': Mix(
        (
            TaskMix('manifest', 0.2, 70, 0.6, 250, 9, 0.2),
            TaskMix('swap-question', 0.5, 12, 0.4, 80, 2),
            TaskMix('allergen-flag', 0.3, 6, 0.3, 80, 2),
        ),
        0.15,
        'trolleys/',
        'manifests',
    ),
}


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request scheduled to be sent.

    Attributes:
        number: Number of the request, unique among those drawn together.
        at: Seconds after the start of the run at which it is to be sent.
        workspace: Workspace of the caller.
        task: Task class, or name of the plain service.
        deadline: Seconds for which its caller waits.
        host_index: Any whole number; its remainder selects the entry host.
        target: Quality target of its answer.
        tokens: Length of its answer in words; 0 for a service call.
        prompt: Length of its prompt in words.
        session: Name of its session; empty for none.
        opens_session: Whether it is the first request of its session.
        path: Path within a plain service; empty for a model request.
        key: Idempotency key; empty for none.
    """

    number: int
    at: float
    workspace: str
    task: str
    deadline: float
    host_index: int
    target: float = 0
    tokens: int = 0
    prompt: int = 0
    session: str = ''
    opens_session: bool = False
    path: str = ''
    key: str = ''

    @property
    def is_service(self) -> bool:
        """Whether it is a call to a plain service."""
        return bool(self.path)


@dataclass(frozen=True, slots=True)
class TrafficSpec:
    """Parameters of the traffic to draw.

    Attributes:
        deployment: Name of the example deployment.
        curve: Shape of the arrival rate.
        rate: Requests per second at the peak of the curve.
        seconds: Length of the run.
        preset: The preset in force, whose quality targets apply.
        workspace: The only workspace that sends requests; empty for all
            workspaces in proportion to their quota shares.
    """

    deployment: str
    curve: Curve
    rate: float
    seconds: float
    preset: str
    workspace: str = ''


def relative_rate(curve: Curve, moment: float) -> float:
    """Return the arrival rate relative to the peak of a curve.

    Args:
        curve: The curve.
        moment: Elapsed fraction of the run, from 0 to 1.
    """
    moments, rates = zip(*_SHAPES[curve], strict=True)
    return float(np.interp(moment, moments, rates))


def draw_arrivals(spec: TrafficSpec, randomness: random.Random) -> list[float]:
    """Draw the arrival times of an inhomogeneous Poisson process.

    Its rate follows the curve; arrivals at the peak rate are thinned out.
    """
    times: list[float] = []
    now: float = 0
    while True:
        now += randomness.expovariate(spec.rate)
        if now >= spec.seconds:
            return times
        rate = relative_rate(spec.curve, now / spec.seconds)
        if randomness.random() < rate:
            times.append(now)


def draw_length(mean: float, sigma: float, randomness: random.Random) -> int:
    """Draw a length from a log-normal distribution with the given mean.

    The result is at least 2 and at most ``MAX_LENGTH_FACTOR`` times the mean.
    """
    mu = math.log(mean) - sigma * sigma / 2
    drawn = randomness.lognormvariate(mu, sigma)
    return max(2, min(round(drawn), round(mean * MAX_LENGTH_FACTOR)))


def quality_target(
    document: Document,
    workspace: WorkspaceEntry,
    task: str,
    preset: str,
) -> float:
    """Return the quality target that applies to a request.

    A target of the workspace overrides that of the preset, which overrides
    that of the task class.
    """
    if task in workspace.targets:
        return workspace.targets[task]
    for chosen in document.presets:
        for entry in chosen.tasks:
            wanted = chosen.name == preset and entry.task == task
            if wanted and entry.target is not None:
                return entry.target
    return next(entry.target for entry in document.tasks if entry.name == task)


class TrafficGenerator:
    """Generates random requests.

    Args:
        document: The deployment's configuration.
        spec: Parameters of the traffic.
        randomness: Source of randomness, already seeded.
    """

    def __init__(
        self,
        document: Document,
        spec: TrafficSpec,
        randomness: random.Random,
    ) -> None:
        self._document = document
        self._spec = spec
        self._randomness = randomness
        self._mix = MIXES[spec.deployment]
        self._workspaces = [
            entry
            for entry in document.workspaces
            if spec.workspace in {'', entry.name}
        ]
        self._requests: list[PlannedRequest] = []

    def generate(self) -> list[PlannedRequest]:
        """Return all requests, ordered by their scheduled times."""
        for moment in draw_arrivals(self._spec, self._randomness):
            workspace = self._draw_workspace()
            if self._randomness.random() < self._mix.service_fraction:
                self._add_call(moment, workspace)
            else:
                self._add_model_requests(moment, workspace)
        return sorted(self._requests, key=lambda planned: planned.at)

    def _draw_workspace(self) -> WorkspaceEntry:
        """Draw a workspace in proportion to the quota shares."""
        shares = [entry.share for entry in self._workspaces]
        return self._randomness.choices(self._workspaces, shares)[0]

    def _add_call(self, moment: float, workspace: WorkspaceEntry) -> None:
        """Add a call to the plain service, and sometimes its duplicate."""
        number = len(self._requests)
        entry = self._document.services[0]
        is_write = self._randomness.random() < WRITE_FRACTION
        suffix = f'{self._spec.workspace}{number}'
        read_path = f'{self._mix.read_path}{suffix}'
        planned = PlannedRequest(
            number,
            moment,
            workspace.name,
            entry.name,
            min(entry.timeout, 5),
            self._draw_host_index(),
            path=self._mix.write_path if is_write else read_path,
            key=f'key-{suffix}' if is_write else '',
        )
        self._requests.append(planned)
        if is_write and self._randomness.random() < DUPLICATE_FRACTION:
            self._requests.append(self._duplicate_call(planned))

    def _duplicate_call(self, planned: PlannedRequest) -> PlannedRequest:
        """Return the same call, sent later through another host."""
        return PlannedRequest(
            len(self._requests),
            planned.at + DUPLICATE_DELAY,
            planned.workspace,
            planned.task,
            planned.deadline,
            planned.host_index + 1,
            path=planned.path,
            key=planned.key,
        )

    def _add_model_requests(
        self, moment: float, workspace: WorkspaceEntry
    ) -> None:
        """Add a single model request, or a session of two to four."""
        weights = [task.weight for task in self._mix.tasks]
        task = self._randomness.choices(self._mix.tasks, weights)[0]
        if self._randomness.random() >= task.session_fraction:
            self._requests.append(
                self._model_request(moment, workspace, task, '', False)
            )
            return
        name = f's-{self._spec.workspace}{len(self._requests)}'
        for position in range(self._randomness.randint(2, 4)):
            at = moment + position * SESSION_INTERVAL
            is_first = position == 0
            if at < self._spec.seconds:
                self._requests.append(
                    self._model_request(at, workspace, task, name, is_first)
                )

    def _model_request(
        self,
        moment: float,
        workspace: WorkspaceEntry,
        task: TaskMix,
        session: str,
        opens_session: bool,
    ) -> PlannedRequest:
        """Draw one model request."""
        return PlannedRequest(
            len(self._requests),
            moment,
            workspace.name,
            task.task,
            task.deadline,
            self._draw_host_index(),
            quality_target(
                self._document,
                workspace,
                task.task,
                self._spec.preset,
            ),
            draw_length(task.tokens, task.sigma, self._randomness),
            draw_length(task.prompt, 0.5, self._randomness),
            session,
            opens_session,
        )

    def _draw_host_index(self) -> int:
        """Draw the number that selects the entry host."""
        return self._randomness.randrange(1 << 16)


def draw_requests(
    document: Document, spec: TrafficSpec, seed: int
) -> list[PlannedRequest]:
    """Draw the requests of a run; a seed always gives the same ones."""
    randomness = random.Random(f'{seed}:{spec.workspace}')
    return TrafficGenerator(document, spec, randomness).generate()


def make_prompt(planned: PlannedRequest) -> str:
    """Return a prompt, starting with the prefix of its workspace and task."""
    shared = [
        f'{planned.workspace}-{planned.task}-{n}' for n in range(PREFIX_WORDS)
    ]
    own = [f'w{planned.number}-{n}' for n in range(planned.prompt)]
    return ' '.join((shared + own)[: max(planned.prompt, 1)])
