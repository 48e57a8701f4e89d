"""One trial: requests come, faults come about, figures are taken."""

import asyncio
import random
from dataclasses import dataclass
from typing import Final

from experiments.trials.engine_model import Job
from experiments.trials.selection_figures import (
    MEAN_OUTPUT,
    MEAN_PROMPT,
    PATIENCE,
    WARM_UP,
    Figures,
    Scenario,
    capacity,
    slot_seconds,
)
from experiments.trials.selection_fleet import (
    DOMAINS,
    TASK,
    VERSION,
    Fleet,
    Host,
    Setting,
    Size,
    workspace_names,
)
from experiments.virtual_time import VirtualClock, VirtualLoop, run_virtual
from nutmegroad.contracts.decisions import AttemptEnd, AttemptStart, Choice
from nutmegroad.contracts.documents import Concern
from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    AttemptId,
    IdempotencyKey,
    RequestId,
    TaskName,
    UpstreamId,
    WorkspaceId,
)

MOST_ATTEMPTS: Final = 6


@dataclass(frozen=True, slots=True)
class _Mark:
    """Where a request's figures go, and when it arrived."""

    figures: Figures
    arrived: float

    def add(self, job: Job, *, is_other: bool) -> None:
        """Take a whole answer's figures."""
        first = job.first_at - self.arrived
        self.figures.first.append(first)
        if is_other:
            self.figures.others.append(first)
        self.figures.cached += job.cached
        self.figures.prompts += job.prompt


class Trial:
    """One trial.

    Args:
        scenario: What happens.
        setting: The policies.
        size: The fleet.
        seed: Of all that is drawn.
    """

    def __init__(
        self,
        scenario: Scenario,
        setting: Setting,
        size: Size,
        seed: int,
    ) -> None:
        self.figures = Figures()
        self._scenario = scenario
        self._setting = setting
        self._size = size
        self._seed = seed
        self._randomness = random.Random(seed)
        self._loop = VirtualLoop()
        self._clock = VirtualClock(self._loop)
        self._names = workspace_names(size)
        self._weights = [1.0 for _ in self._names]
        self._weights[0] = scenario.flood
        self._calls: set[asyncio.Task[None]] = set()

    def run(self) -> Figures:
        """Run it."""
        run_virtual(self._loop, self._main())
        return self.figures

    async def _main(self) -> None:
        """Let requests come, and wait for all of them to end."""
        fleet = Fleet(self._setting, self._size, self._clock, self._seed)
        async with fleet:
            faults = asyncio.create_task(self._faults(fleet))
            rate = capacity(self._size, self._scenario.prompts)
            rate *= self._scenario.load
            while self._clock.now() < self._size.length:
                await self._clock.sleep(self._randomness.expovariate(rate))
                self._arrive(fleet)
            while self._calls:
                await asyncio.wait(self._calls)
            faults.cancel()

    def _arrive(self, fleet: Fleet) -> None:
        """Let one request come."""
        host = self._randomness.choice(fleet.hosts)
        call = asyncio.create_task(self._call(fleet, host, self._draw()))
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)

    def _draw(self) -> ModelRequest:
        """Draw a request; lengths have long tails."""
        draws = self._randomness
        mean = MEAN_PROMPT * self._scenario.prompts
        prompt = int(mean * draws.lognormvariate(-0.125, 0.5)) + 1
        output = int(MEAN_OUTPUT * draws.lognormvariate(-0.18, 0.6)) + 2
        sessions = self._scenario.sessions
        prefix = (
            draws.randrange(sessions) if sessions else draws.getrandbits(60)
        )
        return ModelRequest(
            request=RequestId(f'r{draws.getrandbits(60):x}'),
            workspace=draws.choices(self._names, self._weights)[0],
            concern=Concern.LATENCY,
            task=TaskName(TASK),
            target=0.5,
            versions=(VERSION,),
            repeatable=bool(draws.randrange(5)),
            deadline=self._clock.now() + PATIENCE,
            priority=5,
            prompt_tokens=prompt,
            output_tokens=output,
            prefix=prefix,
            key=IdempotencyKey(''),
            session=None,
            body={},
        )

    async def _call(
        self,
        fleet: Fleet,
        host: Host,
        request: ModelRequest,
    ) -> None:
        """Make a request, and come back as often as the scenario says."""
        arrived = self._clock.now()
        measured = arrived >= WARM_UP
        work = slot_seconds(
            request.prompt_tokens,
            request.output_tokens,
            self._size,
        )
        figures = self.figures if measured else Figures()
        mark = _Mark(figures, arrived)
        _add(figures.offered, request.workspace, work)
        for back in range(self._scenario.comes_back + 1):
            asked = self._clock.now()
            found = await self._answer(fleet, host, request, mark)
            if not isinstance(found, Refusal):
                break
            if found.ran.value == 'not_run':
                figures.refused.append(self._clock.now() - asked)
            left = request.deadline - self._clock.now()
            if back < self._scenario.comes_back and found.retry_after < left:
                await self._clock.sleep(found.retry_after)
        in_time = self._clock.now() <= request.deadline
        if isinstance(found, Refusal) or not in_time:
            figures.late += not isinstance(found, Refusal)
            return
        figures.good += 1
        _add(figures.served, request.workspace, work)

    async def _answer(
        self,
        fleet: Fleet,
        host: Host,
        request: ModelRequest,
        mark: _Mark,
    ) -> Refusal | None:
        """Admit, choose and attempt, as the dispatcher does."""
        permit = await host.admitter.admit(request)
        if isinstance(permit, Refusal):
            return permit
        excluded: frozenset[UpstreamId] = frozenset()
        with permit:
            for number in range(MOST_ATTEMPTS):
                choice = host.selector.choose(request, VERSION, excluded)
                if isinstance(choice, Refusal):
                    return choice
                start = _start(request, choice, number)
                code = await self._attempt(
                    fleet,
                    host,
                    request,
                    choice,
                    start,
                    mark,
                )
                if code is ResultCode.OK:
                    return None
                excluded |= {choice.state.info.upstream}
                again = code is not ResultCode.ANSWER_CUT or request.repeatable
                if not again or not host.retries.spend(request):
                    break
        return Refusal(code, 'It failed.', retry_after=1)

    async def _attempt(
        self,
        fleet: Fleet,
        host: Host,
        request: ModelRequest,
        choice: Choice,
        start: AttemptStart,
        mark: _Mark,
    ) -> ResultCode:
        """Make one attempt."""
        mark.figures.attempts += 1
        began = self._clock.now()
        host.observers.started(start)
        loop = asyncio.get_running_loop()
        job = Job(
            request.prompt_tokens,
            request.output_tokens,
            request.prefix,
            int(request.prompt_tokens * 0.8) if self._scenario.sessions else 0,
            request.priority,
            loop.create_future(),
        )
        with host.directory.in_flight(choice.state, VERSION):
            code = await self._run(fleet, start.upstream, job, request.deadline)
            first = None
            if code is ResultCode.OK:
                first = job.first_at - began
                is_other = request.workspace != self._names[0]
                mark.add(job, is_other=is_other)
        host.observers.ended(
            AttemptEnd(
                start,
                code,
                first,
                self._clock.now() - began,
                request.prompt_tokens,
                request.output_tokens,
                0,
                '',
                job.cached,
            )
        )
        return code

    async def _run(
        self,
        fleet: Fleet,
        upstream: UpstreamId,
        job: Job,
        deadline: float,
    ) -> ResultCode:
        """Have an engine run a job."""
        await self._clock.sleep(0.001)
        engine = fleet.engines[upstream]
        if engine.is_down:
            return ResultCode.UPSTREAM_UNREACHABLE
        if not engine.submit(job):
            return ResultCode.UPSTREAM_BUSY
        left = deadline - self._clock.now()
        try:
            whole = await asyncio.wait_for(job.done, max(0, left))
        except TimeoutError:
            engine.cancel(job)
            return ResultCode.DEADLINE_PASSED
        return ResultCode.OK if whole else ResultCode.ANSWER_CUT

    async def _faults(self, fleet: Fleet) -> None:
        """Bring the scenario's faults about."""
        scenario = self._scenario
        await self._clock.sleep(self._size.length / 3)
        if scenario.slow > 1:
            next(iter(fleet.engines.values())).slow_down(scenario.slow)
        if scenario.gone:
            fleet.fail_domain(DOMAINS[0])
        if not scenario.outage:
            return
        for engine in fleet.engines.values():
            engine.fail()
        await self._clock.sleep(10)
        for engine in fleet.engines.values():
            engine.is_down = False


def _add(
    totals: dict[WorkspaceId, float], key: WorkspaceId, more: float
) -> None:
    """Add to a total."""
    totals[key] = totals.get(key, 0) + more


def _start(
    request: ModelRequest,
    choice: Choice,
    number: int,
) -> AttemptStart:
    """Name an attempt."""
    return AttemptStart(
        AttemptId(f'{request.request}.{number}'),
        request.request,
        request.workspace,
        request.task,
        VERSION,
        choice.state.info.upstream,
    )
