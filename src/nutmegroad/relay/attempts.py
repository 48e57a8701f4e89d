"""One attempt: a request at one upstream, up to the head of its answer.

What comes back is either a head that is proved to be the upstream's own, or
a failure that says what is known about whether the request ran.
"""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

from aiohttp.http_parser import RawResponseMessage

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import ModelName, Ran, UpstreamIncarnation
from nutmegroad.relay.connections import (
    BelongsHere,
    ConnectionFailedError,
    RequestHead,
    ResponseHead,
    UpstreamConnection,
)
from nutmegroad.relay.pools import ConnectionPool
from nutmegroad.routes.headers import HeaderNames
from nutmegroad.routes.requests import (
    MILLISECONDS,
    CallerRequest,
    Generation,
)
from nutmegroad.upstreams.directory import End, Upstream
from nutmegroad.upstreams.prefixes import marked
from nutmegroad.upstreams.ranks import engine_rank
from nutmegroad.upstreams.selection import Choice, Selector

_LOG: Final = part_logger('relay')

#: Seconds for a new connection: fifty times the slowest way within a region
#: of today, and a lost first packet is better tried elsewhere.
CONNECT_TIMEOUT: Final = 0.3

#: Seconds between looks whether the failure domain of an upstream that has not
#: answered yet has fallen silent: a third of the least time in which it can.
SILENCE_LOOK: Final = 0.25

#: HTTP statuses that decide how an attempt ended.
MISDIRECTED: Final = 421
FAILURES: Final = 400
SERVER_FAILURES: Final = 500

#: Part of an engine's memory in which it keeps parts that were read; the rest
#: is for the requests that it runs.
KEPT_PART: Final = 0.7


@unique
class AttemptEnd(Enum):
    """How an attempt failed."""

    UNREACHABLE = 'unreachable'
    REJECTED = 'rejected'
    MISDIRECTED = 'misdirected'
    BROKEN = 'broken'
    SILENT = 'silent'
    UNPROVED = 'unproved'
    ABANDONED = 'abandoned'


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """Why an attempt gave no head.

    It is false, as a refusal is.

    Attributes:
        end: How it failed.
        ran: What is known about whether the request ran.
        reason: One sentence for a person.
        retry_after: Seconds after which the upstream wants to be asked
            again; 0 if it did not say.
    """

    end: AttemptEnd
    ran: Ran
    reason: str
    retry_after: float = 0

    def __bool__(self) -> bool:
        """Return false, always."""
        return False


@dataclass(frozen=True, slots=True)
class AttemptPlan:
    """What one attempt adds to a request.

    Attributes:
        choice: Where it goes, and what is expected of it.
        model: The model to name; None to leave the caller's.
        last_event: Id of the last event that the caller has, or empty.
        patience: Seconds of silence after which other requests had better
            go elsewhere, and this one too if it may.
        leave: Tells, once, whether it may; if not, the attempt is waited
            for as long as there is time.
    """

    choice: Choice
    model: ModelName | None
    last_event: str
    patience: float
    leave: Callable[[], bool]

    @property
    def upstream(self) -> Upstream:
        """Return where it goes."""
        return self.choice.upstream


@dataclass(slots=True)
class Answering:
    """An upstream that has begun to answer.

    Attributes:
        choice: Which one, and what was expected of it.
        model: The model that it was asked for; None if the caller's.
        head: The beginning of its answer.
        connection: What the rest comes on.
        started: Clock seconds at which the attempt began.
        waited: Seconds until the head came.
        stack: Ends the attempt; the connection goes back or is closed.
    """

    choice: Choice
    model: ModelName | None
    head: ResponseHead
    connection: UpstreamConnection
    started: float
    waited: float
    stack: AsyncExitStack = field(repr=False)

    @property
    def upstream(self) -> Upstream:
        """Return the upstream that answers."""
        return self.choice.upstream

    async def close(self) -> None:
        """End the attempt; an answer that is not whole is broken off."""
        await self.stack.aclose()


class Attempts:
    """Makes attempts.

    Args:
        pool: Connections to upstreams.
        names: What headers are called.
        selector: Told what goes where.
        clock: The host's clock.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        names: HeaderNames,
        selector: Selector,
        clock: Clock,
    ) -> None:
        self._selector = selector
        self._pool = pool
        self._names = names
        self._clock = clock

    def ended(self, upstream: UpstreamIncarnation, end: End) -> None:
        """Forget what an incarnation held; break off what it can't finish."""
        self._selector.prefixes.forget(upstream)
        self._pool.forget(upstream)
        if end is End.RESTARTED:
            _LOG.decision(
                'broken off at a restart',
                upstream=upstream,
                exchanges=self._pool.restarted(upstream),
            )

    async def begin(
        self,
        request: CallerRequest,
        plan: AttemptPlan,
    ) -> Answering | AttemptFailure:
        """Send a request to an upstream and wait for the answer's head."""
        upstream = plan.upstream
        started = self._clock.now()
        async with AsyncExitStack() as stack:
            read = self._enter(request, plan, stack)
            upstream.health.begin()
            outcome = await self._exchange(request, plan, stack)
            if isinstance(outcome, AttemptFailure):
                self._learn(upstream, outcome)
                return outcome
            read()
            head, connection = outcome
            self._selector.silence.heard(upstream.entry.domain)
            failure = self._judge(head)
            if failure is not None:
                self._learn(upstream, failure)
                return failure
            return Answering(
                plan.choice,
                plan.model,
                head,
                connection,
                started,
                self._clock.now() - started,
                stack.pop_all(),
            )

    def _enter(
        self,
        request: CallerRequest,
        plan: AttemptPlan,
        stack: AsyncExitStack,
    ) -> Callable[[], None]:
        """Count a request at its upstream until the attempt ends.

        Returns:
            What is called when its prompt has been read.
        """
        upstream = plan.upstream
        name = upstream.entry.incarnation
        ledger = self._selector.ledger
        load = plan.choice.load
        read = ledger.begin(name, load)
        if request.generation is not None:
            self._remember(request, plan, request.generation)
        stack.callback(ledger.end, name, load)
        stack.callback(read)
        stack.callback(upstream.health.abandon)
        return read

    def _remember(
        self,
        request: CallerRequest,
        plan: AttemptPlan,
        generation: Generation,
    ) -> None:
        """Note which parts of a prompt an upstream is about to hold."""
        entry = plan.upstream.entry
        facts = request.table.service_of(entry.service).engine
        memory = 0 if facts is None else int(facts.memory * KEPT_PART)
        parts = marked(plan.model, generation.parts)
        self._selector.prefixes.sent(entry.incarnation, parts, memory)

    async def _exchange(
        self,
        request: CallerRequest,
        plan: AttemptPlan,
        stack: AsyncExitStack,
    ) -> tuple[ResponseHead, UpstreamConnection] | AttemptFailure:
        """Send the request on a kept or a new connection."""
        try:
            connection = await self._connection(request, plan, stack)
        except ConnectionFailedError as problem:
            return AttemptFailure(
                AttemptEnd.UNREACHABLE,
                Ran.NOT_RUN,
                str(problem),
            )
        left = request.leaves - self._clock.now()
        head = self._head(request, plan, left)
        try:
            answer = connection.exchange(
                head,
                request.body,
                self._belonging(request),
            )
            if not await self._answers(answer, plan):
                connection.abort()
                reason = f'no answer within {plan.patience:.2f} s'
                return AttemptFailure(AttemptEnd.SILENT, Ran.UNKNOWN, reason)
            return await answer, connection
        except ConnectionFailedError as problem:
            ran = Ran.UNKNOWN if problem.sent else Ran.NOT_RUN
            return AttemptFailure(AttemptEnd.BROKEN, ran, str(problem))

    async def _answers(
        self,
        answer: asyncio.Future[ResponseHead],
        plan: AttemptPlan,
    ) -> bool:
        """Wait for an answer; tell whether to go on waiting for it."""
        latest = self._clock.now() + plan.patience
        while True:
            left = max(0, latest - self._clock.now())
            part = min(left, SILENCE_LOOK)
            done, _ = await asyncio.wait((answer,), timeout=part)
            if done:
                return True
            if left <= SILENCE_LOOK or self._selector.is_cut_off(plan.upstream):
                break
        plan.upstream.health.silent(self._clock.now())
        return not plan.leave()

    async def _connection(
        self,
        request: CallerRequest,
        plan: AttemptPlan,
        stack: AsyncExitStack,
    ) -> UpstreamConnection:
        """Return a connection that goes back when the attempt ends."""
        upstream = plan.upstream.entry.incarnation
        connection = self._pool.take(
            upstream,
            careful=not request.route.repeatable,
        )
        if connection is None:
            left = request.deadline - self._clock.now()
            connection = await self._pool.open(
                plan.upstream.entry.address,
                min(CONNECT_TIMEOUT, max(0, left)),
            )
        if request.route.repeatable:
            self._pool.lend(upstream, connection)
        stack.callback(self._pool.give_back, upstream, connection)
        return connection

    def _head(
        self,
        request: CallerRequest,
        plan: AttemptPlan,
        left: float,
    ) -> RequestHead:
        """Return the head that goes to the upstream."""
        names = self._names
        ours = {
            names.deadline: str(max(1, int(left * MILLISECONDS))),
            names.expected_upstream: plan.upstream.entry.upstream,
        }
        if request.workspace is not None:
            ours[names.workspace] = request.workspace.name
        if request.generation is not None:
            rank = engine_rank(
                plan.choice.reading.seconds,
                request.route.target_latency,
                request.priority,
            )
            ours[names.priority] = str(rank)
        source = plan.choice.reading.source
        if source is not None:
            ours[names.fetch_from] = str(source.entry.address)
        replaced: set[bytes] = set()
        if plan.model is not None:
            ours[names.model] = plan.model
            replaced.add(names.model.lower().encode())
        if plan.last_event:
            ours[names.last_event] = plan.last_event
            replaced.add(names.last_event.lower().encode())
        if request.framed:
            ours['Content-Length'] = str(len(request.body))
        kept = tuple(
            header
            for header in request.headers
            if header[0].lower() not in replaced
        )
        added = tuple(
            (name.encode(), text.encode()) for name, text in ours.items()
        )
        return RequestHead(request.method, request.target, kept + added)

    def _belonging(self, request: CallerRequest) -> BelongsHere:
        """Return what tells answers to a request from strays."""
        name = self._names.request_id

        def belongs(message: RawResponseMessage) -> bool:
            """Compare the id that the answer echoes."""
            echoed = message.headers.get(name)
            if echoed is None:
                return message.code >= FAILURES
            return echoed == request.request

        return belongs

    def _judge(self, head: ResponseHead) -> AttemptFailure | None:
        """Return why a head is no answer, or None."""
        if head.status == MISDIRECTED:
            return AttemptFailure(
                AttemptEnd.MISDIRECTED,
                Ran.NOT_RUN,
                'another upstream has the address, or other weights',
            )
        if self._names.not_run in head.headers:
            return AttemptFailure(
                AttemptEnd.REJECTED,
                Ran.NOT_RUN,
                f'rejected with {head.status}',
                _seconds(head.headers.get('Retry-After', '')),
            )
        proved = self._names.signature in head.headers
        plain = 'Content-Encoding' not in head.headers
        if head.status < FAILURES and not (proved and plain):
            return AttemptFailure(
                AttemptEnd.UNPROVED,
                Ran.UNKNOWN,
                f'status {head.status} without proof that it is its own',
            )
        return None

    def _learn(self, upstream: Upstream, failure: AttemptFailure) -> None:
        """Remember what a failure tells of an upstream."""
        now = self._clock.now()
        if failure.end in (AttemptEnd.UNREACHABLE, AttemptEnd.MISDIRECTED):
            upstream.health.unreachable(now)
        elif failure.end in (AttemptEnd.REJECTED, AttemptEnd.SILENT):
            # A silence was noted while it lasted.
            upstream.health.abandon()
        else:
            upstream.health.failed(now)


def _seconds(text: str) -> float:
    """Return the seconds of a Retry-After header; 0 for a date or none."""
    try:
        return max(0, float(text))
    except ValueError:
        return 0
