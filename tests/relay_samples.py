"""Sample routes, requests, upstreams and stores for tests of the relay."""

import json
from typing import Any

from nutmegroad.fleet.evidence import (
    Answers,
    Evidence,
    HostIncarnation,
    KindNumber,
)
from nutmegroad.fleet.evidence_tracker import EvidenceTracker
from nutmegroad.fleet.request_attributes import ContentFingerprint
from nutmegroad.fleet.store_interface import (
    Committed,
    HistoryLost,
    RowCondition,
    RowPut,
    RowsRead,
    StoredRow,
    VersionConflict,
)
from nutmegroad.fleet.store_probes import OutageRecord
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    HostId,
    ModelName,
    RequestId,
    ServiceName,
    UpstreamId,
)
from nutmegroad.routes.deployment import (
    ConfigurationVersion,
    RequestKind,
    Route,
    RouteName,
    RoutingTable,
    WeightedService,
)
from nutmegroad.routes.requests import (
    CallerRequest,
    Generation,
    PromptPart,
    SessionName,
)
from nutmegroad.tables.row_guard import RowGuard
from nutmegroad.tables.upstream_table import UpstreamSink
from nutmegroad.testing.virtual import ManualClock
from nutmegroad.upstreams.directory import (
    Directory,
    SoftwareVersion,
    UpstreamEntry,
)
from nutmegroad.upstreams.latency_estimates import LatencyKey
from nutmegroad_platform.rows import RowCodec

NORTH = DomainId('north')
ENGINES = ServiceName('engines')

#: A kind of request in a rollout's evidence.
KIND = KindNumber(0)
SMALL, LARGE = ModelName('small'), ModelName('large')
KEY = LatencyKey(ENGINES, SMALL)
AWAY = Refusal(ResultCode.TABLE_UNAVAILABLE, 'away')


def a_route(**more: Any) -> Route:
    """Return a streaming route."""
    whole: dict[str, Any] = {
        'name': RouteName('draft'),
        'host': 'h',
        'prefix': '/draft/',
        'kind': RequestKind.STREAMING,
        'timeout': 10,
        'target_latency': 2,
        'priority': 0,
        'services': (WeightedService(ENGINES, 1),),
        'max_attempts': 3,
        'models': (SMALL, LARGE),
        'resumable': True,
    }
    return Route(**{**whole, **more})


def a_request(
    name: str = 'r',
    parts: tuple[PromptPart, ...] = (),
    session: str | None = None,
    route: Route | None = None,
) -> CallerRequest:
    """Return a request for a generation."""
    tokens = sum(part.tokens for part in parts)
    return CallerRequest(
        request_id=RequestId(name),
        method='POST',
        target=b'/draft/1',
        headers=(),
        body=b'',
        has_body=True,
        route=route or a_route(),
        table=RoutingTable(ConfigurationVersion(1), (), {}),
        workspace=None,
        arrived=0,
        deadline=10,
        caller_deadline=10,
        content=ContentFingerprint(1),
        generation=Generation(ModelName('*'), tokens, 10, 10, parts),
        session=SessionName(session) if session else None,
    )


def an_entry(
    name: str,
    version: str = 'v1',
    domain: DomainId = NORTH,
    port: int = 1,
) -> UpstreamEntry:
    """Return an upstream's entry."""
    return UpstreamEntry(
        UpstreamId(name),
        ENGINES,
        Address(name, port),
        domain,
        SoftwareVersion(version),
        slots=8,
    )


def entry_row(name: str, version: int = 1, **more: object) -> StoredRow:
    """Return the row of a worker in the list of upstreams."""
    entry = {
        'service': 's',
        'address': f'127.0.0.{ord(name[0])}:1',
        'zone': 'north',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        **more,
    }
    return StoredRow(name, json.dumps(entry).encode(), version)


class UnavailableStore:
    """A store that is never available."""

    async def snapshot(self, table: str) -> RowsRead | Refusal:
        """Refuse."""
        return AWAY

    async def changes(
        self,
        table: str,
        after: int,
        wait: float,
    ) -> RowsRead | HistoryLost | Refusal:
        """Refuse."""
        return AWAY

    async def commit(
        self,
        expected: tuple[RowCondition, ...],
        puts: tuple[RowPut, ...],
    ) -> Committed | VersionConflict | Refusal:
        """Refuse."""
        return AWAY


async def no_wait() -> None:
    """Return at once, as the hosts do not start for the first time."""


def a_book(host: str = 'me', run: int = 1) -> EvidenceTracker:
    """Return the evidence book of one incarnation of a host."""
    return EvidenceTracker(HostId(host), HostIncarnation(run))


def counts(order: int, run: int = 1, **answers: int) -> Evidence:
    """Return the evidence of one incarnation of a host on one kind."""
    return Evidence(order, HostIncarnation(run), {KIND: Answers(**answers)})


def ignore_position(place: int) -> None:
    """Ignore a position of the store that another host reports."""


def upstream_sink(
    directory: Directory,
    clock: ManualClock,
    outages: OutageRecord | None = None,
) -> UpstreamSink:
    """Return a sink of the list of upstreams, with the usual bounds.

    Args:
        directory: Receives the upstreams.
        clock: The host's clock.
        outages: When the store last did not answer; None for never.
    """
    return UpstreamSink(
        RowCodec(),
        directory,
        clock,
        notice=2,
        reconnect_bound=3,
        outages=OutageRecord(clock) if outages is None else outages,
        guard=RowGuard('servers'),
    )
