"""Runs one selection trial: simulates requests and faults, and measures."""

import asyncio
import random
from dataclasses import dataclass
from typing import Final

from experiments.trials.engine_model import Job
from experiments.trials.selection_figures import (
    CALLER_TIMEOUT,
    MEAN_OUTPUT_TOKENS,
    MEAN_PROMPT_TOKENS,
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
from experiments.virtual_time import VirtualClock, VirtualLoop, run_and_close
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

#: Maximum number of attempts of one admitted request.
MAX_ATTEMPTS: Final = 6


@dataclass(frozen=True, slots=True)
class _RequestFigures:
    """Records the figures of one request.

    Attributes:
        figures: Figures that it is added to.
        arrived: Clock seconds of its arrival.
    """

    figures: Figures
    arrived: float

    def add(self, job: Job, *, is_other: bool) -> None:
        """Add the figures of a completed job.

        Args:
            job: The job.
            is_other: Whether it is of another workspace than the first.
        """
        first = job.first_at - self.arrived
        self.figures.first_token.append(first)
        if is_other:
            self.figures.first_token_others.append(first)
        self.figures.cached += job.cached
        self.figures.prompt_tokens += job.prompt


class Trial:
    """One trial of a scenario under one setting.

    Args:
        scenario: Load and faults.
        setting: The policies.
        size: Size of the fleet and length of the trial.
        seed: Seeds all random draws.
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
        self._workspaces = workspace_names(size)
        self._workspace_weights = [1.0 for _ in self._workspaces]
        self._workspace_weights[0] = scenario.flood
        self._tasks: set[asyncio.Task[None]] = set()

    def run(self) -> Figures:
        """Run the trial on virtual time and return its figures."""
        run_and_close(self._loop, self._main())
        return self.figures

    async def _main(self) -> None:
        """Start requests at random intervals, and wait until all have ended."""
        fleet = Fleet(self._setting, self._size, self._clock, self._seed)
        async with fleet:
            faults = asyncio.create_task(self._inject_faults(fleet))
            rate = capacity(self._size, self._scenario.prompt_factor)
            rate *= self._scenario.load
            while self._clock.now() < self._size.length:
                await self._clock.sleep(self._randomness.expovariate(rate))
                self._start_request(fleet)
            while self._tasks:
                await asyncio.wait(self._tasks)
            faults.cancel()

    def _start_request(self, fleet: Fleet) -> None:
        """Start one request at a random host."""
        host = self._randomness.choice(fleet.hosts)
        task = asyncio.create_task(
            self._make_request(fleet, host, self._draw_request())
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _draw_request(self) -> ModelRequest:
        """Return a random request; its lengths are log-normal."""
        randomness = self._randomness
        mean = MEAN_PROMPT_TOKENS * self._scenario.prompt_factor
        prompt = int(mean * randomness.lognormvariate(-0.125, 0.5)) + 1
        output = (
            int(MEAN_OUTPUT_TOKENS * randomness.lognormvariate(-0.18, 0.6)) + 2
        )
        sessions = self._scenario.sessions
        prefix = (
            randomness.randrange(sessions)
            if sessions
            else randomness.getrandbits(60)
        )
        return ModelRequest(
            request=RequestId(f'r{randomness.getrandbits(60):x}'),
            workspace=randomness.choices(
                self._workspaces, self._workspace_weights
            )[0],
            concern=Concern.LATENCY,
            task=TaskName(TASK),
            target=0.5,
            versions=(VERSION,),
            repeatable=bool(randomness.randrange(5)),
            deadline=self._clock.now() + CALLER_TIMEOUT,
            priority=5,
            prompt_tokens=prompt,
            output_tokens=output,
            prefix=prefix,
            key=IdempotencyKey(''),
            session=None,
            body={},
        )

    async def _make_request(
        self,
        fleet: Fleet,
        host: Host,
        request: ModelRequest,
    ) -> None:
        """Make a request, with the scenario's retries after refusals."""
        arrived = self._clock.now()
        measured = arrived >= WARM_UP
        slot_time = slot_seconds(
            request.prompt_tokens,
            request.output_tokens,
            self._size,
        )
        figures = self.figures if measured else Figures()
        recorder = _RequestFigures(figures, arrived)
        _add(figures.offered, request.workspace, slot_time)
        for retry in range(self._scenario.max_retries + 1):
            sent_at = self._clock.now()
            result = await self._dispatch(fleet, host, request, recorder)
            if not isinstance(result, Refusal):
                break
            if result.ran.value == 'not_run':
                figures.refused.append(self._clock.now() - sent_at)
            time_left = request.deadline - self._clock.now()
            if (
                retry < self._scenario.max_retries
                and result.retry_after < time_left
            ):
                await self._clock.sleep(result.retry_after)
        in_time = self._clock.now() <= request.deadline
        if isinstance(result, Refusal) or not in_time:
            figures.late += not isinstance(result, Refusal)
            return
        figures.good += 1
        _add(figures.served, request.workspace, slot_time)

    async def _dispatch(
        self,
        fleet: Fleet,
        host: Host,
        request: ModelRequest,
        recorder: _RequestFigures,
    ) -> Refusal | None:
        """Admit a request and make attempts, as the dispatcher does.

        Returns:
            None if an answer is complete, else the refusal.
        """
        permit = await host.admitter.admit(request)
        if isinstance(permit, Refusal):
            return permit
        excluded: frozenset[UpstreamId] = frozenset()
        with permit:
            for number in range(MAX_ATTEMPTS):
                choice = host.selector.choose(request, VERSION, excluded)
                if isinstance(choice, Refusal):
                    return choice
                start = _attempt_start(request, choice, number)
                code = await self._attempt(
                    fleet,
                    host,
                    request,
                    choice,
                    start,
                    recorder,
                )
                if code is ResultCode.OK:
                    return None
                excluded |= {choice.state.info.upstream}
                can_retry = (
                    code is not ResultCode.ANSWER_CUT or request.repeatable
                )
                if not can_retry or not host.retries.spend(request):
                    break
        return Refusal(code, 'The request failed.', retry_after=1)

    async def _attempt(
        self,
        fleet: Fleet,
        host: Host,
        request: ModelRequest,
        choice: Choice,
        start: AttemptStart,
        recorder: _RequestFigures,
    ) -> ResultCode:
        """Make one attempt, and notify the host's policies of it."""
        recorder.figures.attempts += 1
        started_at = self._clock.now()
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
            code = await self._run_job(
                fleet, start.upstream, job, request.deadline
            )
            first = None
            if code is ResultCode.OK:
                first = job.first_at - started_at
                is_other = request.workspace != self._workspaces[0]
                recorder.add(job, is_other=is_other)
        host.observers.ended(
            AttemptEnd(
                start,
                code,
                first,
                self._clock.now() - started_at,
                request.prompt_tokens,
                request.output_tokens,
                0,
                '',
                job.cached,
            )
        )
        return code

    async def _run_job(
        self,
        fleet: Fleet,
        upstream: UpstreamId,
        job: Job,
        deadline: float,
    ) -> ResultCode:
        """Run a job at an engine until it ends or the deadline passes."""
        await self._clock.sleep(0.001)
        engine = fleet.engines[upstream]
        if engine.is_down:
            return ResultCode.UPSTREAM_UNREACHABLE
        if not engine.submit(job):
            return ResultCode.UPSTREAM_BUSY
        time_left = deadline - self._clock.now()
        try:
            is_complete = await asyncio.wait_for(job.done, max(0, time_left))
        except TimeoutError:
            engine.cancel(job)
            return ResultCode.DEADLINE_PASSED
        return ResultCode.OK if is_complete else ResultCode.ANSWER_CUT

    async def _inject_faults(self, fleet: Fleet) -> None:
        """Inject the scenario's faults after a third of the length."""
        scenario = self._scenario
        await self._clock.sleep(self._size.length / 3)
        if scenario.slowdown > 1:
            next(iter(fleet.engines.values())).slow_down(scenario.slowdown)
        if scenario.domain_fails:
            fleet.fail_domain(DOMAINS[0])
        if not scenario.outage:
            return
        for engine in fleet.engines.values():
            engine.fail()
        await self._clock.sleep(10)
        for engine in fleet.engines.values():
            engine.is_down = False


def _add(
    totals: dict[WorkspaceId, float], workspace: WorkspaceId, amount: float
) -> None:
    """Add to the total of a workspace."""
    totals[workspace] = totals.get(workspace, 0) + amount


def _attempt_start(
    request: ModelRequest,
    choice: Choice,
    number: int,
) -> AttemptStart:
    """Return the description of an attempt that starts."""
    return AttemptStart(
        AttemptId(f'{request.request}.{number}'),
        request.request,
        request.workspace,
        request.task,
        VERSION,
        choice.state.info.upstream,
    )
