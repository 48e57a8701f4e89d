"""Test rig: the request path of one host over scripted engines."""

import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from experiments.deployment import read_example

from nutmegroad.configuration.in_force import (
    AcceptedConfiguration,
    Configuration,
)
from nutmegroad.contracts.decisions import Observers, Planner
from nutmegroad.contracts.documents import Concern, parse_document
from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.contracts.upstreams import (
    AnswerEnd,
    AnswerEvent,
    Attempt,
    EngineReport,
    Piece,
)
from nutmegroad.foundations.invariants import StrictInvariants
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    FencingNumber,
    IdempotencyKey,
    RequestId,
    Revision,
    TaskName,
    UpstreamId,
    UpstreamInfo,
    UpstreamKind,
    VersionId,
    WorkspaceId,
)
from nutmegroad.records.explanations import Explanation
from nutmegroad.routing.attempts import AttemptRunner
from nutmegroad.routing.directory import Directory
from nutmegroad.routing.dispatch import Dispatcher
from nutmegroad.routing.gates import Gatekeeper
from nutmegroad.routing.harmful import HarmfulRequests
from nutmegroad.routing.plain_selectors import LeastInFlight
from nutmegroad.routing.policies import (
    CheapestPlanner,
    NoQuarantine,
    OpenAdmitter,
    UnboundedRetries,
)
from nutmegroad.routing.request_progress import Answer, RequestUsage
from nutmegroad.routing.steps import Instruments, Policies
from nutmegroad.testing.virtual import ManualClock

SMALL = VersionId('brief-small@2')
MEDIUM = VersionId('brief-medium@4')
TASK = TaskName('checklist-tag')
#: Pieces of a complete answer.
WORDS = tuple(f'w{number} ' for number in range(10))
#: Final event of a complete answer.
ANSWER_END = AnswerEnd('stop', 5, len(WORDS))

#: Returns the events of an engine's answer to an attempt. Events that are
#: callable are awaited instead of being sent.
Script = Callable[[Attempt], list[Any]]


def engine_info(name: str, port: int = 1) -> UpstreamInfo:
    """Return the host list's entry of an engine."""
    return UpstreamInfo(
        UpstreamId(name),
        DomainId('shah-alam'),
        UpstreamKind.ENGINE,
        Address('127.0.0.1', port),
    )


def engine_report(
    *versions: VersionId,
    leaving: bool = False,
) -> EngineReport:
    """Return the report of an idle engine that has loaded versions."""
    return EngineReport(versions, 0, 0, 4, leaving, True, FencingNumber(0))


def complete_answer(attempt: Attempt) -> list[Any]:
    """Return a complete answer without the pieces that the attempt skips."""
    pieces = [Piece(index, text) for index, text in enumerate(WORDS)]
    return [*pieces[attempt.skip :], ANSWER_END]


class ScriptedEngines:
    """An engine client with scripted answers; it asks each attempt's gate.

    Attributes:
        scripts: Scripts of the next attempts, in order. Attempts without a
            script get a complete answer.
        sent: Attempts that passed their gate.
        cancelled: Attempts that were closed before their final event.
    """

    def __init__(self) -> None:
        self.scripts: list[Script] = []
        self.sent: list[Attempt] = []
        self.cancelled: list[Attempt] = []

    @asynccontextmanager
    async def answer(
        self,
        attempt: Attempt,
    ) -> AsyncIterator[AsyncIterator[AnswerEvent]]:
        """Open the stream of an answer's events."""
        events = self._events(attempt)
        try:
            yield events
        finally:
            await events.aclose()  # type: ignore[attr-defined]

    async def report(self, upstream: UpstreamInfo) -> EngineReport | Refusal:
        """Report that all versions of the rig are loaded."""
        return engine_report(SMALL, MEDIUM)

    async def order(self, upstream: UpstreamInfo, order: Any) -> None:
        """Orders are not supported."""
        raise NotImplementedError

    async def _events(self, attempt: Attempt) -> AsyncIterator[AnswerEvent]:
        refusal = attempt.gate()
        if refusal is not None:
            yield refusal
            return
        self.sent.append(attempt)
        script = self.scripts.pop(0) if self.scripts else complete_answer
        ended = False
        try:
            for event in script(attempt):
                if callable(event):
                    await event()
                else:
                    ended = not isinstance(event, Piece)
                    yield event
        finally:
            if not ended:
                self.cancelled.append(attempt)


class RecordingSink:
    """An answer sink that records what the caller receives."""

    def __init__(self) -> None:
        self.pieces: list[str] = []
        self.versions: list[VersionId] = []

    @property
    def text(self) -> str:
        """Return the received text."""
        return ''.join(self.pieces)

    def begin_version(self, version: VersionId) -> None:
        """Record the version of the pieces that follow."""
        self.versions.append(version)

    async def write(self, text: str) -> None:
        """Record a piece."""
        self.pieces.append(text)


@dataclass
class RequestPathRig:
    """The request path of one host over scripted engines.

    Attributes:
        clock: The clock of all components.
        planner: Plans requests; a ``CheapestPlanner`` by default.
        engines: The engines that answer.
        usage: Resources that the requests have used.
        caller: Receives the answers.
        observers: Are notified of attempts.
        harmful: Decides which requests are kept from engines.
    """

    clock: ManualClock
    planner: Planner | None = None
    engines: ScriptedEngines = field(default_factory=ScriptedEngines)
    usage: RequestUsage = field(default_factory=RequestUsage)
    caller: RecordingSink = field(default_factory=RecordingSink)
    observers: Observers = field(default_factory=Observers)
    harmful: HarmfulRequests | None = None

    def __post_init__(self) -> None:
        """Create the components."""
        document = parse_document(read_example('lesen'))
        self.configuration = Configuration(self.clock, 8)
        self.configuration.apply(
            AcceptedConfiguration(
                Revision(1),
                'd',
                document,
                document.presets[0].name,
                'tests',
            ),
        )
        self.configuration.confirm(Revision(1), self.clock.now())
        self.workspace = next(
            entry for entry in document.workspaces if SMALL in entry.versions
        )
        self.directory = Directory(self.clock)
        self.directory.update((engine_info('one'), engine_info('two', 2)))
        for name in ('one', 'two'):
            report = engine_report(SMALL, MEDIUM)
            self.directory.reported(UpstreamId(name), report)
        self.gatekeeper = Gatekeeper(
            self.configuration,
            self.clock,
            NoQuarantine(),
        )
        self.metrics = Metrics(float)
        self.dispatcher = self._make_dispatcher()
        self.explanation = Explanation(RequestId('r'), self.clock)

    def request(self, **changes: Any) -> ModelRequest:
        """Return a default request of the workspace, with changes."""
        defaults: dict[str, Any] = {
            'request': RequestId('r'),
            'workspace': WorkspaceId(self.workspace.name),
            'concern': Concern.LATENCY,
            'task': TASK,
            'target': 0,
            'versions': (SMALL,),
            'repeatable': True,
            'deadline': self.clock.now() + 60,
            'priority': 1,
            'prompt_tokens': 5,
            'output_tokens': 10,
            'prefix': 0,
            'key': IdempotencyKey(''),
            'session': None,
            'body': {},
        }
        return ModelRequest(**{**defaults, **changes})

    async def send(self, **changes: Any) -> Answer | Refusal:
        """Dispatch a default request with changes, and return its outcome."""
        return await self.dispatcher.answer(
            self.request(**changes),
            self.caller,
            self.explanation,
            self.usage,
        )

    def _make_dispatcher(self) -> Dispatcher:
        randomness = random.Random(3)
        if self.harmful is None:
            self.harmful = HarmfulRequests(self.engines, self.clock)
        attempt_runner = AttemptRunner(
            self.engines,
            self.directory,
            self.observers,
            self.configuration,
            self.clock,
        )
        policies = Policies(
            OpenAdmitter(),
            self.planner or CheapestPlanner(self.configuration),
            LeastInFlight(self.directory, randomness),
            UnboundedRetries(),
            self.harmful,
        )
        return Dispatcher(
            policies,
            self.gatekeeper,
            attempt_runner,
            Instruments(self.metrics, StrictInvariants()),
            self.clock,
            randomness,
        )
