"""Engines and plain services of a randomised run, without sockets.

Each host has clients of its own that call the gate in the step in which
the first byte goes out, and read answers through the program's own reader.
"""

import random
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Any, Final, Protocol

import msgspec

from experiments.soak.answers import (
    extract_tag,
    inject_stream_fault,
    schedule_answer,
)
from nutmegroad.adapters._event_streams import AnswerReader
from nutmegroad.contracts.upstreams import (
    AnswerEvent,
    Attempt,
    EngineOrder,
    EngineReport,
    ServiceCall,
    ServiceReply,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    FencingNumber,
    HostId,
    Presence,
    Ran,
    UpstreamId,
    UpstreamInfo,
    VersionId,
)

#: Requests that an engine's batch holds.
SLOTS: Final = 16
#: Seconds after which a connection that gets no reply is given up.
CONNECT_TIMEOUT: Final = 2.0
#: Seconds between looks of what waits for a frozen upstream.
FROZEN_POLL_INTERVAL: Final = 0.5


@dataclass(slots=True)
class Upstream:
    """An upstream as it truly is.

    Attributes:
        info: How the host list has it at most.
        versions: What an engine has loaded.
        leaving: It says that it is leaving.
        is_down: Nothing listens.
        is_frozen: It takes connections and does nothing.
        running: Requests that it is at work on.
    """

    info: UpstreamInfo
    versions: tuple[VersionId, ...] = ()
    leaving: bool = False
    is_down: bool = False
    is_frozen: bool = False
    running: int = 0


@dataclass(slots=True)
class FaultRates:
    """How often upstreams go wrong, as shares of requests.

    Attributes:
        stream: Answers that are cut, crossed, late and so on.
        error: Requests that end with an error after the first byte.
        lost: Replies of services that are lost after the call ran.
    """

    stream: float = 0.03
    error: float = 0.02
    lost: float = 0.03


@dataclass(frozen=True, slots=True)
class FirstByte:
    """The first byte of an attempt at an upstream.

    Attributes:
        at: Seconds.
        host: The host that sent it.
        attempt: The attempt.
        upstream: Where it went.
        version: The version; empty for a service.
        mark: The mark of the caller's request.
    """

    at: float
    host: HostId
    attempt: str
    upstream: UpstreamId
    version: VersionId
    tag: str


class UpstreamObserver(Protocol):
    """Sees what truly happens."""

    def first_byte(self, sent: FirstByte) -> None:
        """See the first byte of an attempt."""

    def attempt_refused(self, sent: FirstByte) -> None:
        """See that an upstream refused an attempt before it started."""

    def leaving_reported(self, host: HostId, upstream: UpstreamId) -> None:
        """See that a host was told that an upstream is leaving."""


@dataclass(slots=True)
class UpstreamNetwork:
    """All upstreams, and who can reach them.

    Attributes:
        clock: The time of all.
        randomness: Draws faults and delays.
        watcher: Sees first bytes.
        upstreams: By id.
        cut: Domains that are cut off from the others.
        faults: How often upstreams go wrong.
        runs: How often the work of each mark was started.
    """

    clock: Clock
    randomness: random.Random
    observer: UpstreamObserver
    upstreams: dict[UpstreamId, Upstream] = field(default_factory=dict)
    partitioned_domains: set[DomainId] = field(default_factory=set)
    fault_rates: FaultRates = field(default_factory=FaultRates)
    receipts: int = 0

    def find_reachable(
        self, domain: DomainId, info: UpstreamInfo
    ) -> Upstream | None:
        """Return an upstream if a host of a domain can reach it."""
        upstream = self.upstreams[info.upstream]
        address_matches = upstream.info.address == info.address
        if (
            upstream.is_down
            or not address_matches
            or self.is_partitioned(domain, info)
        ):
            return None
        return upstream

    def is_partitioned(self, domain: DomainId, info: UpstreamInfo) -> bool:
        """Tell whether there is no way from a domain to an upstream."""
        domains = {domain, info.domain}
        return len(domains) > 1 and bool(domains & self.partitioned_domains)

    def chance(self, probability: float) -> bool:
        """Draw whether something of a share happens."""
        return self.randomness.random() < probability


def restart_upstream(upstream: Upstream) -> None:
    """Bring an upstream back, at another address."""
    address = upstream.info.address
    upstream.info = replace(
        upstream.info,
        address=Address(address.ip, address.port + 1),
        presence=Presence.LIVE,
    )
    upstream.leaving = False
    upstream.is_down = False


class HostEngines:
    """A host's client of engines.

    Args:
        world: The upstreams.
        host: The host.
        domain: Its failure domain.
        clock: Its clock.
    """

    def __init__(
        self,
        network: UpstreamNetwork,
        host: HostId,
        domain: DomainId,
        clock: Clock,
    ) -> None:
        self._network = network
        self._host = host
        self._domain = domain
        self._clock = clock

    @asynccontextmanager
    async def answer(
        self,
        attempt: Attempt,
    ) -> AsyncIterator[AsyncIterator[AnswerEvent]]:
        """Open an answer."""
        events = self._events(attempt)
        try:
            yield events
        finally:
            await events.aclose()

    async def report(self, upstream: UpstreamInfo) -> EngineReport | Refusal:
        """Ask an engine for its load."""
        engine = await self._connect(upstream)
        if isinstance(engine, Refusal):
            return engine
        if engine.is_frozen:
            await self._clock.sleep(CONNECT_TIMEOUT)
            return _timeout_refusal()
        if engine.leaving:
            self._network.observer.leaving_reported(
                self._host, upstream.upstream
            )
        return EngineReport(
            versions=engine.versions,
            running=engine.running,
            queued=0,
            slots=SLOTS,
            leaving=engine.leaving,
            checks_fencing=True,
            fencing=FencingNumber(0),
        )

    async def order(
        self,
        upstream: UpstreamInfo,
        order: EngineOrder,
    ) -> Refusal | None:
        """Tell an engine to load a version; it has all that it may have."""
        engine = await self._connect(upstream)
        if isinstance(engine, Refusal):
            return engine
        return order.gate()

    async def _connect(self, info: UpstreamInfo) -> Upstream | Refusal:
        """Open a connection, or fail to."""
        uniform = self._network.randomness.uniform
        await self._clock.sleep(uniform(0.001, 0.01))
        engine = self._network.find_reachable(self._domain, info)
        if engine is not None:
            return engine
        if self._network.is_partitioned(self._domain, info):
            await self._clock.sleep(CONNECT_TIMEOUT)
        reason = f'No connection to {info.upstream}.'
        return Refusal(ResultCode.UPSTREAM_UNREACHABLE, reason)

    async def _events(
        self,
        attempt: Attempt,
    ) -> AsyncGenerator[AnswerEvent, None]:
        """Send an attempt and yield what comes."""
        engine = await self._connect(attempt.upstream)
        if isinstance(engine, Refusal):
            yield engine
            return
        refusal = attempt.gate()
        if refusal is not None:
            yield refusal
            return
        body = msgspec.json.decode(attempt.body)
        tag = extract_tag(body['messages'][-1]['content'])
        sent = FirstByte(
            self._network.clock.now(),
            self._host,
            attempt.attempt,
            attempt.upstream.upstream,
            attempt.version,
            tag,
        )
        self._network.observer.first_byte(sent)
        admission_refusal = _admission_refusal(engine, attempt)
        if admission_refusal is not None:
            self._network.observer.attempt_refused(sent)
            await self._clock.sleep(0.001)
            yield admission_refusal
            return
        engine.running += 1
        try:
            async for event in self._stream(engine, attempt, tag, body):
                yield event
        finally:
            engine.running -= 1

    async def _stream(
        self,
        engine: Upstream,
        attempt: Attempt,
        tag: str,
        body: dict[str, Any],
    ) -> AsyncGenerator[AnswerEvent, None]:
        """Yield what the program's reader makes of an engine's chunks."""
        network = self._network
        if network.chance(network.fault_rates.error):
            await self._clock.sleep(0.01)
            yield Refusal(ResultCode.UPSTREAM_ERROR, 'Status 500.', Ran.UNKNOWN)
            return
        reader = AnswerReader(attempt.attempt, attempt.skip)
        schedule = schedule_answer(
            network.randomness,
            attempt,
            tag,
            body['max_tokens'],
        )
        if network.chance(network.fault_rates.stream):
            inject_stream_fault(schedule, network.randomness)
        for scheduled in schedule:
            await self._clock.sleep(scheduled.delay)
            while engine.is_frozen:
                await self._clock.sleep(FROZEN_POLL_INTERVAL)
            if network.find_reachable(self._domain, attempt.upstream) is None:
                break
            event = reader.read(msgspec.json.encode(scheduled.chunk))
            if event is not None:
                yield event
            if reader.is_over:
                return
        yield reader.close()


class HostServices:
    """A host's client of plain services.

    Args:
        world: The upstreams.
        host: The host.
        domain: Its failure domain.
        clock: Its clock.
    """

    def __init__(
        self,
        network: UpstreamNetwork,
        host: HostId,
        domain: DomainId,
        clock: Clock,
    ) -> None:
        self._network = network
        self._host = host
        self._domain = domain
        self._clock = clock

    async def call(self, call: ServiceCall) -> ServiceReply | Refusal:
        """Make a call, once."""
        network = self._network
        uniform = network.randomness.uniform
        await self._clock.sleep(uniform(0.001, 0.01))
        service = network.find_reachable(self._domain, call.upstream)
        if service is None:
            if network.is_partitioned(self._domain, call.upstream):
                await self._clock.sleep(min(call.timeout, CONNECT_TIMEOUT))
            return Refusal(ResultCode.UPSTREAM_UNREACHABLE, 'No connection.')
        refusal = call.gate()
        if refusal is not None:
            return refusal
        tag = extract_tag(f'{call.path} {call.body.decode()}')
        sent = FirstByte(
            network.clock.now(),
            self._host,
            call.attempt,
            call.upstream.upstream,
            VersionId(''),
            tag,
        )
        network.observer.first_byte(sent)
        network.receipts += 1
        receipt = f'{tag}/receipt/{network.receipts}'
        lost = service.is_frozen or network.chance(network.fault_rates.lost)
        seconds = call.timeout if lost else uniform(0.01, 0.3)
        await self._clock.sleep(min(seconds, call.timeout))
        if lost:
            return _timeout_refusal()
        if network.find_reachable(self._domain, call.upstream) is None:
            return Refusal(ResultCode.UPSTREAM_ERROR, 'Cut.', Ran.UNKNOWN)
        return ServiceReply(200, receipt.encode(), 'text/plain')


def _admission_refusal(engine: Upstream, attempt: Attempt) -> Refusal | None:
    """Return why an engine does not start an attempt, if it does not."""
    if engine.is_frozen:
        return None
    if engine.leaving:
        return Refusal(ResultCode.UPSTREAM_LEAVING, 'Leaving.', Ran.NOT_RUN)
    if attempt.version not in engine.versions:
        return Refusal(ResultCode.VERSION_NOT_LOADED, 'Not there.', Ran.NOT_RUN)
    if engine.running >= SLOTS:
        return Refusal(ResultCode.UPSTREAM_BUSY, 'Busy.', Ran.NOT_RUN, 0.2)
    return None


def _timeout_refusal() -> Refusal:
    """Say that nothing came back."""
    reason = 'The upstream fell silent.'
    return Refusal(ResultCode.UPSTREAM_TIMEOUT, reason, Ran.UNKNOWN)
