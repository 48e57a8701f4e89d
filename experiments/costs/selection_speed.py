"""Measures the time that selection and admission take.

Run ``python -m experiments.costs.selection_speed``. It creates one host's
policies with 12, 100 and 890 upstreams, 22 versions and nine failure domains,
and prints the median and the 99th percentile of many calls, in microseconds.
"""

import asyncio
import random
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Final

from experiments.trials.selection_figures import percentile
from experiments.trials.selection_fleet import accepted_for
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.decisions import AttemptEnd, AttemptStart, Selector
from nutmegroad.contracts.documents import Concern
from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.contracts.upstreams import EngineReport
from nutmegroad.foundations.clocks import SystemClock
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    Address,
    AttemptId,
    DomainId,
    FencingNumber,
    HostId,
    IdempotencyKey,
    RequestId,
    TaskName,
    UpstreamId,
    UpstreamInfo,
    UpstreamKind,
    VersionId,
    WorkspaceId,
)
from nutmegroad.routing._demand import Demand
from nutmegroad.routing._slots import HostSlots, Identity
from nutmegroad.routing.admission import FairAdmitter
from nutmegroad.routing.directory import Directory
from nutmegroad.routing.fleet_load import FleetLoad
from nutmegroad.routing.plain_selectors import LeastInFlight
from nutmegroad.routing.selection import ExpectedSelector
from nutmegroad.routing.shares import ShareLedger

#: Numbers of upstreams.
SIZES: Final = (12, 100, 890)
VERSIONS: Final = tuple(VersionId(f'model-{n}@1') for n in range(22))
DOMAINS: Final = tuple(DomainId(f'domain-{n}') for n in range(9))
#: Calls that are timed, and calls made before those.
CALLS: Final = 2000
WARM_UP: Final = 100
_MICROSECONDS_PER_SECOND: Final = 1e6


def add_engines(directory: Directory, upstreams: int) -> None:
    """Add engines to a directory, each with four of the versions."""
    infos = tuple(
        UpstreamInfo(
            UpstreamId(f'engine-{number}'),
            DOMAINS[number % len(DOMAINS)],
            UpstreamKind.ENGINE,
            Address('127.0.0.1', 1),
        )
        for number in range(upstreams)
    )
    directory.update(infos)
    for number, info in enumerate(infos):
        first = number % len(VERSIONS)
        loaded = (VERSIONS * 2)[first : first + 4]
        report = EngineReport(
            loaded,
            number % 8,
            0,
            8,
            leaving=False,
            checks_fencing=True,
            fencing=FencingNumber(0),
        )
        directory.reported(info.upstream, report)


def make_request(number: int) -> ModelRequest:
    """Return a request that may only use one version."""
    return ModelRequest(
        request=RequestId(f'r{number}'),
        workspace=WorkspaceId(f'outlet-{number % 10}'),
        concern=Concern.LATENCY,
        task=TaskName('dossier'),
        target=0.5,
        versions=(VERSIONS[number % len(VERSIONS)],),
        repeatable=True,
        deadline=time.monotonic() + 60,
        priority=5,
        prompt_tokens=500,
        output_tokens=100,
        prefix=number % 500,
        key=IdempotencyKey(''),
        session=None,
        body={},
    )


def time_calls(call: Callable[[ModelRequest], Any]) -> tuple[float, float]:
    """Return median and 99th percentile of a call, in microseconds.

    The first calls are not measured, since they list each version's engines.
    """
    for number in range(WARM_UP):
        call(make_request(number))
    durations = []
    for number in range(CALLS):
        request = make_request(number)
        started_at = time.perf_counter()
        call(request)
        durations.append(
            (time.perf_counter() - started_at) * _MICROSECONDS_PER_SECOND
        )
    return percentile(durations, 0.5), percentile(durations, 0.99)


def measure_selector(selector: Selector) -> tuple[float, float]:
    """Measure a choice, including attempt events if the selector uses them."""
    observer = selector if isinstance(selector, ExpectedSelector) else None

    def decide(request: ModelRequest) -> None:
        """Choose an upstream; report the start and end of the attempt."""
        version = request.versions[0]
        choice = selector.choose(request, version, frozenset())
        if isinstance(choice, Refusal) or observer is None:
            return
        start = AttemptStart(
            AttemptId(request.request),
            request.request,
            request.workspace,
            request.task,
            version,
            choice.state.info.upstream,
        )
        observer.started(start)
        observer.ended(_attempt_end(start))

    return time_calls(decide)


async def measure_admitter(
    admitter: FairAdmitter,
    *,
    is_full: bool,
) -> tuple[float, float]:
    """Measure an admission, with free slots or with a full queue.

    With a full queue, the request's deadline is so near that it is refused
    and does not wait.
    """
    waiting = []
    timeout = 60.0
    if is_full:
        timeout = 0.001
        waiting = [
            asyncio.create_task(
                _admit_and_hold(admitter, make_request(number), 60)
            )
            for number in range(CALLS)
        ]
        await asyncio.sleep(0.01)
    durations = []
    for number in range(CALLS):
        deadline = time.monotonic() + timeout
        request = replace(make_request(number), deadline=deadline)
        started_at = time.perf_counter()
        await _admit_and_hold(admitter, request, 0)
        durations.append(
            (time.perf_counter() - started_at) * _MICROSECONDS_PER_SECOND
        )
    for task in waiting:
        task.cancel()
    return percentile(durations, 0.5), percentile(durations, 0.99)


async def measure(upstreams: int) -> None:
    """Measure a number of upstreams and print the results."""
    clock = SystemClock()
    directory = Directory(clock)
    add_engines(directory, upstreams)
    fleet = FleetLoad(clock)
    randomness = random.Random(1)
    expected = ExpectedSelector(directory, fleet, clock, randomness, DOMAINS[0])
    figures = {
        'least-in-flight': measure_selector(
            LeastInFlight(directory, randomness)
        ),
        'expected': measure_selector(expected),
    }
    admitter = make_admitter(directory, fleet, clock, randomness)
    figures['fair, room'] = await measure_admitter(admitter, is_full=False)
    figures['fair, full'] = await measure_admitter(admitter, is_full=True)
    for name, percentiles in figures.items():
        cells = ' '.join(f'{microseconds:8.1f}' for microseconds in percentiles)
        sys.stdout.write(f'{upstreams:4} {name:16} {cells}\n')


def make_admitter(
    directory: Directory,
    fleet: FleetLoad,
    clock: SystemClock,
    randomness: random.Random,
) -> FairAdmitter:
    """Return the admitter of a host, for ten workspaces."""
    configuration = Configuration(clock, 8)
    configuration.apply(accepted_for((1,) * 10, 0.5))
    identity = Identity(HostId('a'), DOMAINS[0])
    slots = HostSlots(identity, directory, fleet, ShareLedger(), clock)
    demand = Demand(configuration, fleet, identity)
    return FairAdmitter(slots, configuration, demand, clock, randomness)


async def main() -> None:
    """Measure all numbers of upstreams."""
    sys.stdout.write('size policy               p50 us   p99 us\n')
    for upstreams in SIZES:
        await measure(upstreams)


async def _admit_and_hold(
    admitter: FairAdmitter,
    request: ModelRequest,
    seconds: float,
) -> None:
    """Admit a request and hold its permit for some seconds."""
    permit = await admitter.admit(request)
    if isinstance(permit, Refusal):
        return
    with permit:
        if seconds:
            await asyncio.sleep(seconds)


def _attempt_end(start: AttemptStart) -> AttemptEnd:
    """Return the end of a successful attempt."""
    return AttemptEnd(start, ResultCode.OK, 0.1, 3, 500, 100, 0, '')


if __name__ == '__main__':
    asyncio.run(main())
