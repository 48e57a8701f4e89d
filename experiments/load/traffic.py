"""The two deployments' traffic, drawn from a seed before a run begins.

Time is compressed: answers are about a twentieth of the length that the
configuration states, and callers' deadlines are a twentieth, too. All of a
run's requests are known before the first is sent, each with the moment at
which it is meant to be sent, so that late answers slow nothing down.
"""

import math
import random
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

import numpy as np

from nutmegroad.contracts.documents import Document, WorkspaceEntry

#: Words that prompts of one workspace and task class begin with.
PREFIX_WORDS: Final = 64
#: Longest lengths, by the mean; such an answer still ends in its deadline.
LONGEST: Final = 3
#: Seconds between two requests of a session.
SESSION_PAUSE: Final = 4.0
#: Share of the calls to a service that may not be repeated.
WRITE_SHARE: Final = 0.4
#: Share of those calls that are sent again under the same key.
AGAIN_SHARE: Final = 0.25
#: Seconds after which such a call is sent again.
AGAIN_PAUSE: Final = 0.3


@unique
class Curve(Enum):
    """How arrivals go up and down over a run."""

    FLAT = 'flat'
    ORDINARY_DAY = 'ordinary day'
    SITTING_NIGHT = 'night before a sitting'
    CATERING_MORNING = 'catering morning'


#: Each curve's share of its highest rate, by share of the run's time.
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
    """One task class's part of the traffic.

    Attributes:
        task: Its name.
        weight: Its part among the model requests.
        tokens: Mean words of its answers.
        spread: Sigma of the log-normal draw of lengths.
        prompt: Mean words of its prompts.
        deadline: Seconds that its callers wait.
        sessions: Share of its requests that begin a session.
    """

    task: str
    weight: float
    tokens: float
    spread: float
    prompt: float
    deadline: float
    sessions: float = 0


@dataclass(frozen=True, slots=True)
class Mix:
    """One deployment's traffic.

    Attributes:
        tasks: Its task classes.
        service_share: Share of all requests that go to the plain service.
        read: Path of a call that may be repeated; ends with a slash.
        write: Path of a call that may not.
    """

    tasks: tuple[TaskMix, ...]
    service_share: float
    read: str
    write: str


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
class Ask:
    """One request that is to be sent.

    Attributes:
        number: Its place in the run.
        at: Seconds after the run's start at which it is to be sent.
        workspace: Who asks.
        task: Task class, or the plain service's name.
        deadline: Seconds that its caller waits.
        host: Draws the entry host; any whole number.
        target: Quality that its answer must reach.
        tokens: Words of its answer; 0 for a plain service's call.
        prompt: Words of its prompt.
        session: Name of its session; empty for none.
        opens: It is the first of its session.
        path: Path below a plain service; empty for a model request.
        key: Idempotency key; empty for none.
    """

    number: int
    at: float
    workspace: str
    task: str
    deadline: float
    host: int
    target: float = 0
    tokens: int = 0
    prompt: int = 0
    session: str = ''
    opens: bool = False
    path: str = ''
    key: str = ''

    @property
    def is_service(self) -> bool:
        """Tell whether it goes to a plain service."""
        return bool(self.path)


@dataclass(frozen=True, slots=True)
class Demand:
    """What traffic is to be drawn.

    Attributes:
        deployment: Name of the example.
        curve: How arrivals go up and down.
        rate: Requests a second at the highest point of the curve.
        seconds: Length of the run.
        preset: The preset in force, whose targets hold.
        workspace: The only workspace that asks; empty for all by share.
    """

    deployment: str
    curve: Curve
    rate: float
    seconds: float
    preset: str
    workspace: str = ''


def share_of_peak(curve: Curve, moment: float) -> float:
    """Return the rate at a moment (from 0 to 1), as share of the highest."""
    moments, shares = zip(*_SHAPES[curve], strict=True)
    return float(np.interp(moment, moments, shares))


def arrivals(demand: Demand, randomness: random.Random) -> list[float]:
    """Draw arrival times of a Poisson process that follows the curve."""
    times: list[float] = []
    now: float = 0
    while True:
        now += randomness.expovariate(demand.rate)
        if now >= demand.seconds:
            return times
        share = share_of_peak(demand.curve, now / demand.seconds)
        if randomness.random() < share:
            times.append(now)


def length(mean: float, spread: float, randomness: random.Random) -> int:
    """Draw a length with a long tail; its mean is the one given."""
    middle = math.log(mean) - spread * spread / 2
    drawn = randomness.lognormvariate(middle, spread)
    return max(2, min(round(drawn), round(mean * LONGEST)))


def target_of(
    document: Document,
    workspace: WorkspaceEntry,
    task: str,
    preset: str,
) -> float:
    """Return a target: workspace before preset before task class."""
    if task in workspace.targets:
        return workspace.targets[task]
    for chosen in document.presets:
        for entry in chosen.tasks:
            wanted = chosen.name == preset and entry.task == task
            if wanted and entry.target is not None:
                return entry.target
    return next(entry.target for entry in document.tasks if entry.name == task)


class Traffic:
    """Draws requests.

    Args:
        document: The deployment's configuration.
        demand: What is wanted.
        randomness: Seeded.
    """

    def __init__(
        self,
        document: Document,
        demand: Demand,
        randomness: random.Random,
    ) -> None:
        self._document = document
        self._demand = demand
        self._randomness = randomness
        self._mix = MIXES[demand.deployment]
        self._workspaces = [
            entry
            for entry in document.workspaces
            if demand.workspace in {'', entry.name}
        ]
        self._asks: list[Ask] = []

    def draw(self) -> list[Ask]:
        """Return all requests, in the order of their times."""
        for moment in arrivals(self._demand, self._randomness):
            workspace = self._workspace()
            if self._randomness.random() < self._mix.service_share:
                self._add_call(moment, workspace)
            else:
                self._add_model(moment, workspace)
        return sorted(self._asks, key=lambda ask: ask.at)

    def _workspace(self) -> WorkspaceEntry:
        """Draw who asks, by the workspaces' shares."""
        shares = [entry.share for entry in self._workspaces]
        return self._randomness.choices(self._workspaces, shares)[0]

    def _add_call(self, moment: float, workspace: WorkspaceEntry) -> None:
        """Add a call to the plain service, sometimes sent twice."""
        number = len(self._asks)
        entry = self._document.services[0]
        writes = self._randomness.random() < WRITE_SHARE
        mark = f'{self._demand.workspace}{number}'
        ask = Ask(
            number,
            moment,
            workspace.name,
            entry.name,
            min(entry.timeout, 5),
            self._host(),
            path=self._mix.write if writes else f'{self._mix.read}{mark}',
            key=f'key-{mark}' if writes else '',
        )
        self._asks.append(ask)
        if writes and self._randomness.random() < AGAIN_SHARE:
            self._asks.append(self._again(ask))

    def _again(self, ask: Ask) -> Ask:
        """Return the same call, sent through another host a little later."""
        return Ask(
            len(self._asks),
            ask.at + AGAIN_PAUSE,
            ask.workspace,
            ask.task,
            ask.deadline,
            ask.host + 1,
            path=ask.path,
            key=ask.key,
        )

    def _add_model(self, moment: float, workspace: WorkspaceEntry) -> None:
        """Add a model request, or a session of some."""
        weights = [task.weight for task in self._mix.tasks]
        task = self._randomness.choices(self._mix.tasks, weights)[0]
        if self._randomness.random() >= task.sessions:
            self._asks.append(self._model(moment, workspace, task, '', False))
            return
        name = f's-{self._demand.workspace}{len(self._asks)}'
        for turn in range(self._randomness.randint(2, 4)):
            sent = moment + turn * SESSION_PAUSE
            opens = turn == 0
            if sent < self._demand.seconds:
                ask = self._model(sent, workspace, task, name, opens)
                self._asks.append(ask)

    def _model(
        self,
        moment: float,
        workspace: WorkspaceEntry,
        task: TaskMix,
        session: str,
        opens: bool,
    ) -> Ask:
        """Return one model request."""
        return Ask(
            len(self._asks),
            moment,
            workspace.name,
            task.task,
            task.deadline,
            self._host(),
            target_of(
                self._document,
                workspace,
                task.task,
                self._demand.preset,
            ),
            length(task.tokens, task.spread, self._randomness),
            length(task.prompt, 0.5, self._randomness),
            session,
            opens,
        )

    def _host(self) -> int:
        """Draw a number that names an entry host."""
        return self._randomness.randrange(1 << 16)


def draw(document: Document, demand: Demand, seed: int) -> list[Ask]:
    """Return the requests of a run, the same ones for the same seed."""
    randomness = random.Random(f'{seed}:{demand.workspace}')
    return Traffic(document, demand, randomness).draw()


def prompt_of(ask: Ask) -> str:
    """Return a prompt; its first words are its workspace's and task's own."""
    shared = [f'{ask.workspace}-{ask.task}-{n}' for n in range(PREFIX_WORDS)]
    own = [f'w{ask.number}-{n}' for n in range(ask.prompt)]
    return ' '.join((shared + own)[: max(ask.prompt, 1)])
