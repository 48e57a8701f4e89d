"""One attempt: sends a request to an upstream and awaits the response head.

The result is either a head that is verified as the upstream's own, or a failure
that says what is known about whether the request was executed.
"""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import replace
from typing import Final

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.timeouts import wait_done
from nutmegroad.foundations.types import Ran, UpstreamIncarnation
from nutmegroad.relay.connections import ResponseHead, UpstreamConnection
from nutmegroad.relay.dialer import Dialer, DialPurpose
from nutmegroad.relay.heads import MISDIRECTED, MessageHeads
from nutmegroad.relay.outcomes import (
    CALLER_LEFT,
    AttemptEnd,
    AttemptFailure,
    AttemptPlan,
    UpstreamAnswer,
    failure_on,
)
from nutmegroad.relay.repeatable_exchanges import RepeatableExchanges
from nutmegroad.relay.sockets import ConnectionFailedError
from nutmegroad.relay.timeouts import wait_while_reachable
from nutmegroad.routes.headers import HeaderNames
from nutmegroad.routes.requests import CallerRequest, Generation
from nutmegroad.upstreams.directory import IncarnationEnd, Upstream
from nutmegroad.upstreams.limited_upstreams import PATIENCE_FRACTION
from nutmegroad.upstreams.prefixes import fingerprint_parts
from nutmegroad.upstreams.selection import Selector

_LOG: Final = part_logger('relay')

#: Maximum seconds for opening a connection: fifty times the latency of the
#: slowest network path within a region at present. If the first packet is lost,
#: another upstream is the better choice.
CONNECT_TIMEOUT: Final = 0.3

#: Seconds after which a caller should retry if no host has a share of brittle
#: upstreams left: several calls to a plain service have ended by then.
SHARE_RETRY_AFTER: Final = 0.5

#: Ends that say nothing about the upstream's health.
_NO_EVIDENCE: Final = frozenset(
    (
        AttemptEnd.REJECTED,
        AttemptEnd.WITHHELD,
        AttemptEnd.UNRESPONSIVE,
        AttemptEnd.CALLER_LEFT,
    )
)

#: Fraction of an engine's token cache that holds parts of prompts for reuse;
#: the rest is for the requests that it executes.
CACHE_FRACTION: Final = 0.7


class AttemptRunner:
    """Sends requests to chosen upstreams, one attempt per call.

    Args:
        dialer: Opens connections to upstreams.
        names: The deployment's header names.
        selector: Holds the load, cached prefixes and reachability of upstreams,
            which attempts update.
        clock: The host's clock.
    """

    @property
    def own_delay(self) -> float:
        """Seconds by which this host delays an exchange at present."""
        return self._dialer.own_delay()

    def __init__(
        self,
        dialer: Dialer,
        names: HeaderNames,
        selector: Selector,
        clock: Clock,
    ) -> None:
        self._selector = selector
        self._exchanges = RepeatableExchanges()
        self._dialer = dialer
        self._heads = MessageHeads(names)
        self._clock = clock

    def upstream_ended(
        self, upstream: UpstreamIncarnation, end: IncarnationEnd
    ) -> None:
        """Handle the end of an incarnation.

        Its cached prefixes are forgotten. If it has been restarted, its pending
        exchanges that may be repeated are aborted.
        """
        self._selector.prefixes.forget(upstream)
        if end is IncarnationEnd.RESTARTED:
            _LOG.decision(
                'exchanges aborted after upstream restart',
                upstream=upstream,
                exchanges=self._exchanges.abort(upstream),
            )

    async def start(
        self,
        request: CallerRequest,
        plan: AttemptPlan,
    ) -> UpstreamAnswer | AttemptFailure:
        """Send a request to an upstream and wait for the response head.

        Returns:
            The verified response head with its connection, or why there is
            none.
        """
        upstream = plan.upstream
        started = self._clock.now()
        async with AsyncExitStack() as stack:
            mark_read = self._register(request, plan, stack)
            upstream.health.record_attempt()
            outcome = await self._exchange(request, plan, stack)
            if isinstance(outcome, AttemptFailure):
                self._record_failure(upstream, outcome)
                return outcome
            mark_read()
            head, connection = outcome
            self._selector.silence.record_message(upstream.entry.domain)
            self._record_statements(request, upstream, head, started)
            failure = self._heads.validate(head)
            if failure is not None:
                self._record_failure(upstream, failure)
                return replace(
                    failure,
                    exchange=connection.number,
                    identity=connection.identity,
                )
            return UpstreamAnswer(
                plan.choice,
                plan.model,
                head,
                connection,
                started,
                max(0, self._clock.now() - started - self.own_delay),
                stack.pop_all(),
            )

    def _record_statements(
        self,
        request: CallerRequest,
        upstream: Upstream,
        head: ResponseHead,
        started: float,
    ) -> None:
        """Record what an answer says about the requests its upstream takes.

        An answer from another upstream at the address says nothing about it.
        """
        if head.status == MISDIRECTED:
            return
        self._selector.brittle.observe(
            upstream.entry.service, self._heads.brittle_limit(head)
        )
        try:
            limit = self._heads.request_limit(head)
        except ValueError as invalid:
            _LOG.decision(
                'limit ignored',
                request=request.request_id,
                upstream=upstream.entry.upstream,
                problem=str(invalid),
            )
            return
        if limit is None and not self._heads.is_signed(head):
            # A proxy in front of the upstream may have answered.
            return
        self._selector.limited.shares.limits.observe(
            upstream.entry.incarnation, limit, started
        )

    def _register(
        self,
        request: CallerRequest,
        plan: AttemptPlan,
        stack: AsyncExitStack,
    ) -> Callable[[], None]:
        """Add a request to its upstream's load until the attempt ends.

        Returns:
            A function to call when the upstream has read the prompt.
        """
        upstream = plan.upstream
        name = upstream.entry.incarnation
        ledger = self._selector.ledger
        load = plan.choice.load
        mark_read = ledger.begin(name, load)
        self._selector.cold_starts.record_sent(upstream)
        if plan.choice.borrowed:
            stack.callback(self._selector.brittle.borrow(upstream))
        else:
            self._selector.limited.take(upstream, request.content)
        if request.generation is not None:
            self._record_prefixes(request, plan, request.generation)
        stack.callback(ledger.end, name, load)
        stack.callback(mark_read)
        stack.callback(upstream.health.record_no_result)
        return mark_read

    def _record_prefixes(
        self,
        request: CallerRequest,
        plan: AttemptPlan,
        generation: Generation,
    ) -> None:
        """Record the parts of the prompt that the upstream will cache."""
        entry = plan.upstream.entry
        facts = request.table.service_of(entry.service).engine
        cache_tokens = (
            0 if facts is None else int(facts.cache_tokens * CACHE_FRACTION)
        )
        parts = fingerprint_parts(plan.model, generation.parts)
        self._selector.prefixes.record_sent(
            entry.incarnation, parts, cache_tokens
        )

    async def _exchange(
        self,
        request: CallerRequest,
        plan: AttemptPlan,
        stack: AsyncExitStack,
    ) -> tuple[ResponseHead, UpstreamConnection] | AttemptFailure:
        """Send the request on a new connection."""
        try:
            connection = await self._open_connection(request, plan, stack)
        except ConnectionFailedError as problem:
            if problem.withheld:
                return self._withheld(request, plan, problem)
            if problem.refused:
                # No process listens there; the next one to do so is cold.
                plan.upstream.refused_at = self._clock.now()
            return AttemptFailure(
                AttemptEnd.UNREACHABLE,
                Ran.NOT_RUN,
                str(problem),
                shows_nothing=problem.timed_out
                and request.deadline <= self._clock.now(),
            )
        if plan.caller_left():
            # It may have left while the connection was opened.
            return CALLER_LEFT
        time_left = request.caller_deadline - self._clock.now()
        head = self._heads.build(request, plan, time_left)
        try:
            answer = connection.exchange(
                head,
                request.body,
                self._heads.answer_matcher(request),
            )
            if not await self._await_answer(answer, plan, connection):
                connection.abort()
                reason = f'no answer within {plan.response_timeout:.2f} s'
                return failure_on(connection, AttemptEnd.UNRESPONSIVE, reason)
            head_received = await answer
        except ConnectionFailedError as problem:
            self._dialer.record_broken(plan.upstream, connection)
            ran = Ran.UNKNOWN if problem.sent else Ran.NOT_RUN
            return failure_on(connection, AttemptEnd.BROKEN, str(problem), ran)
        if connection.via is None:
            self._dialer.paths.record_answer(plan.upstream)
        return head_received, connection

    def _withheld(
        self,
        request: CallerRequest,
        plan: AttemptPlan,
        problem: ConnectionFailedError,
    ) -> AttemptFailure:
        """Return the failure of an attempt for which no host has a share."""
        limited = self._selector.limited
        lender = limited.lender(plan.upstream, request.content)
        if lender is not None and not problem.retry_after:
            limited.record_no_reply(lender)
        return AttemptFailure(
            AttemptEnd.WITHHELD,
            Ran.NOT_RUN,
            str(problem),
            problem.retry_after or SHARE_RETRY_AFTER,
            is_reserved=bool(problem.retry_after),
        )

    async def _await_answer(
        self,
        answer: asyncio.Future[ResponseHead],
        plan: AttemptPlan,
        connection: UpstreamConnection,
    ) -> bool:
        """Wait for an answer until the response timeout.

        Returns:
            False if the attempt is to be abandoned. True if the answer has
            arrived, or the caller of this method has to wait on for it.
        """

        async def done_within(seconds: float) -> bool | None:
            """Return True if the answer arrives in time, else None."""
            return await wait_done(answer, seconds) or None

        arrived = await wait_while_reachable(
            done_within,
            plan.response_timeout,
            lambda: self._selector.is_cut_off(plan.upstream),
            self._clock,
        )
        if arrived:
            return True
        plan.upstream.health.record_overdue(self._clock.now())
        if connection.via is None:
            self._dialer.paths.record_failure(plan.upstream)
        return not plan.may_abandon()

    async def _open_connection(
        self,
        request: CallerRequest,
        plan: AttemptPlan,
        stack: AsyncExitStack,
    ) -> UpstreamConnection:
        """Open a connection that is closed when the attempt ends."""
        upstream = plan.upstream.entry.incarnation
        connection = await self._dial(request, plan)
        stack.callback(connection.abort)
        if request.route.repeatable:
            stack.callback(self._exchanges.register(upstream, connection))
        return connection

    async def _dial(
        self, request: CallerRequest, plan: AttemptPlan
    ) -> UpstreamConnection:
        """Open a connection, and allow for the lateness of this host."""
        timeout = CONNECT_TIMEOUT + self._dialer.own_delay()
        time_left = max(0, request.deadline - self._clock.now())
        return await self._dialer.open(
            plan.upstream,
            min(timeout, time_left),
            self._dial_purpose(request, plan, hurried=time_left < timeout),
        )

    def _dial_purpose(
        self, request: CallerRequest, plan: AttemptPlan, *, hurried: bool
    ) -> DialPurpose:
        """Return what the connection of an attempt is for."""
        purpose = DialPurpose(request.request_id, plan.is_last, hurried=hurried)
        if not plan.choice.borrowed:
            return purpose
        patience = request.deadline - self._clock.now()
        return replace(
            purpose,
            borrowed=True,
            lender_count=self._selector.brittle.lender_count(plan.upstream),
            lender=self._selector.limited.lender(
                plan.upstream, request.content
            ),
            content=request.content,
            patience=patience * PATIENCE_FRACTION,
        )

    def _record_failure(
        self, upstream: Upstream, failure: AttemptFailure
    ) -> None:
        """Update an upstream's health after a failed attempt."""
        now = self._clock.now()
        if failure.end is AttemptEnd.WITHHELD:
            self._selector.brittle.record_no_share(upstream)
        elif failure.end not in (
            AttemptEnd.UNREACHABLE,
            AttemptEnd.CALLER_LEFT,
        ):
            self._selector.brittle.record_failure(upstream)
        if failure.shows_nothing:
            upstream.health.record_no_result()
        elif failure.end in (AttemptEnd.UNREACHABLE, AttemptEnd.MISDIRECTED):
            upstream.health.record_unreachable(now)
        elif failure.end in _NO_EVIDENCE:
            # A missing answer was recorded as overdue when the timeout expired.
            upstream.health.record_no_result()
        else:
            upstream.health.record_failure(now)
