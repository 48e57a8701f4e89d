"""Selection and admission under load and faults, on a virtual clock.

Run ``python -m experiments.selection_trials``; with ``--scenario NAME`` just
one scenario, with ``--seeds N`` another number of seeds. It prints a table
and, with ``--json FILE``, writes the figures. All is drawn from the seeds.
"""

import argparse
import asyncio
import json
import random
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import fmean, pstdev
from typing import Final

from experiments.engine_model import Job
from experiments.trial_fleet import (
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
from nutmegroad.decisions import AttemptEnd, AttemptStart, Choice
from nutmegroad.documents import Concern
from nutmegroad.requests import ModelRequest
from nutmegroad.results import Refusal, ResultCode
from nutmegroad.types import (
    AttemptId,
    IdempotencyKey,
    RequestId,
    TaskName,
    UpstreamId,
    WorkspaceId,
)

SETTINGS: Final = (
    Setting('round-robin', 'open', 'unbounded'),
    Setting('random', 'open', 'unbounded'),
    Setting('least-in-flight', 'open', 'unbounded'),
    Setting('expected', 'open', 'unbounded'),
    Setting('least-in-flight', 'fair', 'share'),
    Setting('expected', 'fair', 'share'),
)

#: Seconds of a trial, and those at its beginning that are not measured.
LENGTH: Final = 60.0
WARM_UP: Final = 15.0

#: Seconds for which a caller waits for the whole answer.
PATIENCE: Final = 20.0

MEAN_PROMPT: Final = 800
MEAN_OUTPUT: Final = 100
MOST_ATTEMPTS: Final = 6


@dataclass(frozen=True, slots=True)
class Scenario:
    """What a trial is put through.

    Attributes:
        load: Offered work as a share of what all engines can do.
        slow: Factor on one engine's times from the middle on.
        gone: Whether one domain's engines go in the middle.
        outage: Whether all engines are down for ten seconds.
        flood: Factor on the first workspace's requests.
        sessions: Prefixes that requests share; 0 for none.
        comes_back: Times that a refused caller comes back.
        prompts: Factor on the length of prompts.
    """

    load: float
    slow: float = 1
    gone: bool = False
    outage: bool = False
    flood: float = 1
    sessions: int = 0
    comes_back: int = 0
    prompts: float = 1


SCENARIOS: Final = {
    'idle': Scenario(0.05),
    'load-0.5': Scenario(0.5),
    'load-0.8': Scenario(0.8),
    'load-1.0': Scenario(1.0),
    'load-1.5': Scenario(1.5),
    'load-2.5': Scenario(2.5),
    'one-slow': Scenario(0.6, slow=5),
    'domain-gone': Scenario(0.9, gone=True),
    'flood': Scenario(1.2, flood=10),
    'outage-end': Scenario(0.7, outage=True, comes_back=4),
    'prefixes': Scenario(0.8, sessions=150, prompts=4),
}


@dataclass(slots=True)
class Figures:
    """What a trial gave.

    Attributes:
        first: Seconds to the first token of each request that had one.
        others: The same, without the first workspace's.
        good: Requests that were whole within their caller's patience.
        late: Requests that were whole too late, or broken.
        refused: Seconds that each refusal took.
        attempts: Attempts at engines.
        served: Good work by workspace, in slot-seconds.
        offered: Work asked for by workspace.
        cached: Prompt tokens found in caches.
        prompts: Prompt tokens of those requests.
    """

    first: list[float] = field(default_factory=list)
    others: list[float] = field(default_factory=list)
    good: int = 0
    late: int = 0
    refused: list[float] = field(default_factory=list)
    attempts: int = 0
    served: dict[WorkspaceId, float] = field(default_factory=dict)
    offered: dict[WorkspaceId, float] = field(default_factory=dict)
    cached: int = 0
    prompts: int = 0


def slot_seconds(prompt: float, output: float, size: Size) -> float:
    """Return the seconds that a request has a slot of a full engine."""
    speed = size.speed
    step = speed.step_base + speed.step_per_request * speed.slots
    return prompt / speed.prefill_rate + output * step


def capacity(size: Size, prompts: float) -> float:
    """Return the requests a second that all engines can do."""
    slots = len(DOMAINS) * size.engines * size.speed.slots
    return slots / slot_seconds(MEAN_PROMPT * prompts, MEAN_OUTPUT, size)


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
            while self._clock.now() < LENGTH:
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
            repeatable=draws.random() < 0.8,
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
        _add(figures.offered, request.workspace, work)
        for back in range(self._scenario.comes_back + 1):
            asked = self._clock.now()
            found = await self._answer(fleet, host, request, figures, arrived)
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
        figures: Figures,
        arrived: float,
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
                code = await self._attempt(
                    fleet, host, request, choice, number, figures, arrived
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
        number: int,
        figures: Figures,
        arrived: float,
    ) -> ResultCode:
        """Make one attempt."""
        figures.attempts += 1
        upstream = choice.state.info.upstream
        start = AttemptStart(
            AttemptId(f'{request.request}.{number}'),
            request.request,
            request.workspace,
            request.task,
            VERSION,
            upstream,
        )
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
            code = await self._run(fleet, upstream, job, request.deadline)
            first = None
            if code is ResultCode.OK:
                first = job.first_at - began
                figures.first.append(job.first_at - arrived)
                if request.workspace != self._names[0]:
                    figures.others.append(job.first_at - arrived)
                figures.cached += job.cached
                figures.prompts += job.prompt
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
        await self._clock.sleep(LENGTH / 3)
        if scenario.slow > 1:
            next(iter(fleet.engines.values())).set_slowness(scenario.slow)
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


def percentile(found: list[float], share: float) -> float:
    """Return a percentile."""
    if not found:
        return float('nan')
    ordered = sorted(found)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def fair_share(figures: Figures, size: Size, scenario: Scenario) -> float:
    """Return the least part that a workspace got of its fair share.

    The fair share is that of the work that was done: by weight, and what
    one does not need goes to the others.
    """
    total = sum(figures.served.values())
    names = workspace_names(size)
    weights = dict(zip(names, size.shares, strict=True))
    left = dict(figures.offered)
    worst = 1.0
    weight_left = sum(weights[name] for name in left)
    for name in sorted(left, key=lambda one: left[one] / weights[one]):
        fair = min(left[name], total * weights[name] / weight_left)
        total -= fair
        weight_left -= weights[name]
        if fair > 0:
            worst = min(worst, figures.served.get(name, 0) / fair)
    return worst


def summarize(
    figures: Figures, size: Size, scenario: Scenario
) -> dict[str, float]:
    """Return a trial's figures by name."""
    measured = LENGTH - WARM_UP
    return {
        'p50': percentile(figures.first, 0.5),
        'p95': percentile(figures.first, 0.95),
        'p99': percentile(figures.first, 0.99),
        'goodput': figures.good / measured,
        'late': figures.late / measured,
        'refused': len(figures.refused) / measured,
        'refusal_p95': percentile(figures.refused, 0.95),
        'attempts': figures.attempts / measured,
        'fair': fair_share(figures, size, scenario),
        'p95_others': percentile(figures.others, 0.95),
        'cached': figures.cached / max(1, figures.prompts),
    }


COLUMNS: Final = (
    'p50', 'p95', 'p99', 'goodput', 'late', 'refused', 'refusal_p95',
    'attempts', 'fair', 'cached', 'p95_others',
)  # fmt: skip


def run_all(
    scenarios: list[str],
    settings: list[Setting],
    seeds: int,
    size: Size,
    show: Callable[[str], None],
) -> dict[str, dict[str, dict[str, tuple[float, float]]]]:
    """Run trials, and return mean and spread of each figure."""
    results: dict[str, dict[str, dict[str, tuple[float, float]]]] = {}
    show(f'{"":31}' + ''.join(f'{name:>15}' for name in COLUMNS))
    for name in scenarios:
        scenario = SCENARIOS[name]
        results[name] = {}
        for setting in settings:
            rounds = [
                summarize(
                    Trial(scenario, setting, size, seed).run(),
                    size,
                    scenario,
                )
                for seed in range(seeds)
            ]
            found = {
                column: _spread([entry[column] for entry in rounds])
                for column in COLUMNS
            }
            results[name][setting.name] = found
            cells = ''.join(
                f'{mean:9.3f}±{spread:5.3f}' for mean, spread in found.values()
            )
            show(f'{name:12}{setting.name:20}{cells}')
    return results


def _spread(found: list[float]) -> tuple[float, float]:
    """Return mean and standard deviation, without those that are missing."""
    there = [one for one in found if one == one]
    if not there:
        return float('nan'), 0
    return fmean(there), pstdev(there)


def main() -> None:
    """Run the trials that the flags name."""
    parser = argparse.ArgumentParser(description='Trials of selection.')
    parser.add_argument('--scenario', action='append', choices=SCENARIOS)
    parser.add_argument('--setting', action='append')
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--queue-limit', type=float, default=0.5)
    parser.add_argument('--engines', type=int, default=3)
    parser.add_argument('--hosts', type=int, default=3)
    parser.add_argument('--json')
    flags = parser.parse_args()
    began = time.monotonic()
    settings = [
        setting
        for setting in SETTINGS
        if not flags.setting or setting.name in flags.setting
    ]
    results = run_all(
        flags.scenario or list(SCENARIOS),
        settings,
        flags.seeds,
        Size(flags.engines, flags.hosts, flags.queue_limit),
        lambda line: print(line, flush=True),
    )
    sys.stdout.write(f'{time.monotonic() - began:.0f} s\n')
    if flags.json:
        with open(flags.json, 'w') as target:
            json.dump(results, target, indent=1)


if __name__ == '__main__':
    main()
