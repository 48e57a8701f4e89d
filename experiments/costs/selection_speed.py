"""Microseconds that a choice and an admission take.

Run ``python -m experiments.costs.selection_speed``. It makes one host's objects
before 12, 100 and 890 upstreams with 22 versions, nine domains, and measures
the median and the 99th percentile of many calls.
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

SIZES: Final = (12, 100, 890)
VERSIONS: Final = tuple(VersionId(f'model-{n}@1') for n in range(22))
DOMAINS: Final = tuple(DomainId(f'domain-{n}') for n in range(9))
CALLS: Final = 2000
WARM_UP: Final = 100
_MICROSECONDS: Final = 1e6


def fill(directory: Directory, upstreams: int) -> None:
    """Have a directory know engines, each with four of the versions."""
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
    """Return a request that may use one version."""
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

    The first calls, which list each version's engines, are not measured.
    """
    for number in range(WARM_UP):
        call(make_request(number))
    found = []
    for number in range(CALLS):
        request = make_request(number)
        began = time.perf_counter()
        call(request)
        found.append((time.perf_counter() - began) * _MICROSECONDS)
    return percentile(found, 0.5), percentile(found, 0.99)


def measure_selector(selector: Selector) -> tuple[float, float]:
    """Measure a choice, with the notes of its attempt if it takes them."""
    notes = selector if isinstance(selector, ExpectedSelector) else None

    def decide(request: ModelRequest) -> None:
        """Choose, begin and end."""
        version = request.versions[0]
        choice = selector.choose(request, version, frozenset())
        if isinstance(choice, Refusal) or notes is None:
            return
        start = AttemptStart(
            AttemptId(request.request),
            request.request,
            request.workspace,
            request.task,
            version,
            choice.state.info.upstream,
        )
        notes.started(start)
        notes.ended(_ended(start))

    return time_calls(decide)


async def measure_admitter(
    admitter: FairAdmitter,
    *,
    crowded: bool,
) -> tuple[float, float]:
    """Measure an admission, with room or with a full queue.

    With a full queue the request has a deadline that is over, so that it is
    refused and does not wait.
    """
    fillers = []
    patience = 60.0
    if crowded:
        patience = 0.001
        fillers = [
            asyncio.create_task(_enter(admitter, make_request(number), 60))
            for number in range(CALLS)
        ]
        await asyncio.sleep(0.01)
    found = []
    for number in range(CALLS):
        late = time.monotonic() + patience
        request = replace(make_request(number), deadline=late)
        began = time.perf_counter()
        await _enter(admitter, request, 0)
        found.append((time.perf_counter() - began) * _MICROSECONDS)
    for task in fillers:
        task.cancel()
    return percentile(found, 0.5), percentile(found, 0.99)


async def measure(upstreams: int) -> None:
    """Measure one size and print it."""
    clock = SystemClock()
    directory = Directory(clock)
    fill(directory, upstreams)
    fleet = FleetLoad(clock)
    draws = random.Random(1)
    expected = ExpectedSelector(directory, fleet, clock, draws, DOMAINS[0])
    figures = {
        'least-in-flight': measure_selector(LeastInFlight(directory, draws)),
        'expected': measure_selector(expected),
    }
    admitter = make_admitter(directory, fleet, clock, draws)
    figures['fair, room'] = await measure_admitter(admitter, crowded=False)
    figures['fair, full'] = await measure_admitter(admitter, crowded=True)
    for name, found in figures.items():
        cells = ' '.join(f'{one:8.1f}' for one in found)
        sys.stdout.write(f'{upstreams:4} {name:16} {cells}\n')


def make_admitter(
    directory: Directory,
    fleet: FleetLoad,
    clock: SystemClock,
    draws: random.Random,
) -> FairAdmitter:
    """Return an admitter of one of ten hosts."""
    configuration = Configuration(clock, 8)
    configuration.apply(accepted_for((1,) * 10, 0.5))
    identity = Identity(HostId('a'), DOMAINS[0])
    slots = HostSlots(identity, directory, fleet, ShareLedger(), clock)
    demand = Demand(configuration, fleet, identity)
    return FairAdmitter(slots, configuration, demand, clock, draws)


async def main() -> None:
    """Measure all sizes."""
    sys.stdout.write('size policy               p50 us   p99 us\n')
    for upstreams in SIZES:
        await measure(upstreams)


async def _enter(
    admitter: FairAdmitter,
    request: ModelRequest,
    seconds: float,
) -> None:
    """Hold a permit for a while."""
    permit = await admitter.admit(request)
    if isinstance(permit, Refusal):
        return
    with permit:
        if seconds:
            await asyncio.sleep(seconds)


def _ended(start: AttemptStart) -> AttemptEnd:
    """Return a whole answer's end."""
    return AttemptEnd(start, ResultCode.OK, 0.1, 3, 500, 100, 0, '')


if __name__ == '__main__':
    asyncio.run(main())
