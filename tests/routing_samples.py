"""Helpers shared by the tests of selection and admission."""

import random
from dataclasses import replace
from typing import Final

from nutmegroad.contracts.decisions import AttemptEnd, AttemptStart
from nutmegroad.contracts.documents import Concern
from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.contracts.upstreams import EngineReport
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import ResultCode
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
    WorkspaceId,
)
from nutmegroad.routing._demand import Demand
from nutmegroad.routing._slots import HostSlots, Identity
from nutmegroad.routing.admission import FairAdmitter
from nutmegroad.routing.directory import Directory
from nutmegroad.routing.fleet_load import FleetLoad
from nutmegroad.routing.shares import ShareLedger
from tests.sample_configuration import VERSION, make_configuration

HOME: Final = DomainId('petaling')
AWAY: Final = DomainId('cyberjaya')
SLOTS: Final = 8

REQUEST: Final = ModelRequest(
    request=RequestId('r'),
    workspace=WorkspaceId('large'),
    concern=Concern.LATENCY,
    task=TaskName('dossier'),
    target=0.5,
    versions=(VERSION,),
    repeatable=True,
    deadline=60,
    priority=5,
    prompt_tokens=500,
    output_tokens=100,
    prefix=7,
    key=IdempotencyKey(''),
    session=None,
    body={},
)


def ask(number: int = 0, **changes: object) -> ModelRequest:
    """Return a request with its own number."""
    named = replace(REQUEST, request=RequestId(f'r{number}'))
    return replace(named, **changes)  # type: ignore[arg-type]


def engine(name: str, domain: DomainId = HOME) -> UpstreamInfo:
    """Return an engine's entry in the host list."""
    address = Address('127.0.0.1', 1)
    kind = UpstreamKind.ENGINE
    return UpstreamInfo(UpstreamId(name), domain, kind, address)


def report(running: int = 0, slots: int = SLOTS) -> EngineReport:
    """Return an engine's report."""
    return EngineReport(
        (VERSION,),
        running,
        0,
        slots,
        leaving=False,
        checks_fencing=True,
        fencing=FencingNumber(0),
    )


def fill(
    directory: Directory, *infos: UpstreamInfo, slots: int = SLOTS
) -> None:
    """Add idle engines to a directory."""
    directory.update(infos)
    for info in infos:
        directory.reported(info.upstream, report(slots=slots))


def start_of(request: ModelRequest, upstream: str) -> AttemptStart:
    """Return the start of an attempt."""
    return AttemptStart(
        AttemptId(f'{request.request}.{upstream}'),
        request.request,
        request.workspace,
        request.task,
        VERSION,
        UpstreamId(upstream),
    )


def end_of(
    start: AttemptStart,
    code: ResultCode = ResultCode.OK,
    seconds: float = 3,
    cached: int = 0,
) -> AttemptEnd:
    """Return the end of an attempt."""
    return AttemptEnd(start, code, 0.1, seconds, 500, 100, 0, '', cached)


class AdmittingHost:
    """An admitter and its dependencies, with one engine.

    Args:
        clock: The host's clock.
        slots: Slots of the engine.
        queue_limit: Queued requests allowed per slot.
        name: Id of the host.
        shares: Quota share of each workspace.
    """

    def __init__(
        self,
        clock: Clock,
        slots: int = SLOTS,
        queue_limit: float = 2,
        name: str = 'a',
        **shares: float,
    ) -> None:
        identity = Identity(HostId(name), HOME)
        self.fleet = FleetLoad(clock)
        self.ledger = ShareLedger()
        self.directory = Directory(clock)
        fill(self.directory, engine('e1'), slots=slots)
        # The engine reports no free slots, so only the static parts count.
        busy = report(running=slots, slots=slots)
        self.directory.reported(UpstreamId('e1'), busy)
        configuration = make_configuration(clock, queue_limit, **shares)
        self.slots = HostSlots(
            identity,
            self.directory,
            self.fleet,
            self.ledger,
            clock,
        )
        demand = Demand(configuration, self.fleet, identity)
        self.admitter = FairAdmitter(
            self.slots,
            configuration,
            demand,
            clock,
            random.Random(1),
        )
