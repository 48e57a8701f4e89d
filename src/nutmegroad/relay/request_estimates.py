"""Estimates answer times for one request, and learns from its answers."""

from collections.abc import Collection
from typing import Final

from nutmegroad.canary.gate import AttemptOutcome
from nutmegroad.escalation.headroom import AnswerEstimate
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import (
    ModelName,
    ServiceName,
    UpstreamIncarnation,
)
from nutmegroad.relay.context import RelayContext
from nutmegroad.relay.outcomes import UpstreamAnswer
from nutmegroad.relay.refusals import (
    Exclusions,
    limited_refusal,
    no_upstream_refusal,
)
from nutmegroad.routes.deployment import ColdStart
from nutmegroad.routes.requests import CallerRequest
from nutmegroad.upstreams.directory import Upstream
from nutmegroad.upstreams.latency_estimates import LatencyKey
from nutmegroad.upstreams.limited_upstreams import PATIENCE_FRACTION
from nutmegroad.upstreams.selection import Choice, SelectionQuery

#: Ratio of an answer's latency to the usual one from which the answer is
#: evidence against its version.
SLOW_ANSWER_RATIO: Final = 4.0


class RequestEstimates:
    """Estimates for one request, corrected by its answers.

    Args:
        context: Objects that executions share.
        request: The request.
        service: The service that it is sent to.
    """

    @property
    def clock(self) -> Clock:
        """The host's clock."""
        return self._context.clock

    @property
    def own_delay(self) -> float:
        """Seconds by which this host delays an exchange at present."""
        return self._context.attempts.own_delay

    @property
    def exclusions(self) -> Exclusions:
        """The upstreams of the service that are not in use, by reason."""
        context, request = self._context, self._request
        listed = context.directory.of_service(self._service)
        permitted = context.version_gate.permitted(request, self._service)
        cold_start = self._cold_start
        cold = [
            context.selector.cold_starts.seconds_cold(each, cold_start)
            for each in permitted
            if cold_start is not None
        ]
        return Exclusions(
            len(listed),
            len(permitted),
            len(listed) - len(context.placement.in_region(request, listed)),
            dict(context.placement.evacuations.ages()),
            tuple(seconds for seconds in cold if seconds > 0),
            context.selector.brittle.count_paused(permitted),
            context.selector.limited.count_exhausted(permitted),
        )

    @property
    def _cold_start(self) -> ColdStart | None:
        """Behaviour of the service's upstreams after they start."""
        return self._request.table.service_of(self._service).cold_start

    def __init__(
        self,
        context: RelayContext,
        request: CallerRequest,
        service: ServiceName,
    ) -> None:
        self._context = context
        self._request = request
        self._service = service

    def limit_fields(self, upstream: Upstream) -> dict[str, object]:
        """Return the fields of a log line; none without a limit."""
        return self._context.selector.limited.log_fields(upstream)

    def refusal(self, seconds_left: float) -> Refusal:
        """Return the refusal if no upstream can be chosen.

        Args:
            seconds_left: Seconds that the caller has left.
        """
        exclusions = self.exclusions
        if not exclusions.limited:
            return no_upstream_refusal(exclusions, self._service)
        retry_after = self._context.selector.limited.reserve_own(
            self._context.version_gate.permitted(self._request, self._service),
            self._request.content,
            seconds_left * PATIENCE_FRACTION,
        )
        return limited_refusal(exclusions, self._service, retry_after)

    def reserved_refusal(self, retry_after: float) -> Refusal:
        """Return the refusal if another host keeps a token for the request.

        Args:
            retry_after: Seconds until the token is there.
        """
        return limited_refusal(self.exclusions, self._service, retry_after)

    def is_cut_off(self, upstream: Upstream) -> bool:
        """Return whether an upstream's failure domain is likely cut off."""
        return self._context.selector.is_cut_off(upstream)

    def upstream_responded(self, upstream: Upstream) -> None:
        """Record that data was received from an upstream."""
        self._context.selector.silence.record_message(upstream.entry.domain)

    def choose(
        self,
        model: ModelName | None,
        attempted: Collection[UpstreamIncarnation],
        *,
        unlimited_only: bool = False,
    ) -> Choice | None:
        """Return the upstream for an attempt, or None if there is none.

        Args:
            model: The model to request; None to keep the caller's.
            attempted: Incarnations that were attempted before.
            unlimited_only: Whether upstreams that name a limit are left out.
        """
        table = self._request.table
        engine = table.service_of(self._service).engine
        return self._context.selector.choose(
            SelectionQuery(
                self._request,
                self._service,
                model,
                engine,
                self._cold_start,
                unlimited_only,
            ),
            self._context.version_gate.permitted(self._request, self._service),
            attempted,
        )

    def estimate_answer(
        self,
        model: ModelName,
        attempted: Collection[UpstreamIncarnation],
    ) -> AnswerEstimate | None:
        """Return an estimate of a model's answer; None if there is none.

        Limited upstreams are left to requests that have no answer yet.

        Args:
            model: The model.
            attempted: Incarnations that were attempted before.
        """
        generation = self._request.generation
        choice = self.choose(model, attempted, unlimited_only=True)
        if choice is None or generation is None:
            return None
        generating = self._context.selector.latencies.generation_seconds(
            LatencyKey(self._service, model),
            generation.expected_tokens,
        )
        return AnswerEstimate(
            choice.expected_seconds,
            choice.expected_seconds + generating,
            choice.queued_seconds,
            choice.running / max(1, choice.upstream.entry.slots),
        )

    def observe_generation(
        self, answering: UpstreamAnswer, events: int
    ) -> None:
        """Update a model's estimated generation rate from a complete stream.

        Args:
            answering: The upstream and its attempt.
            events: Number of events of the stream.
        """
        engine = self._request.table.service_of(self._service).engine
        if engine is None:
            return
        now = self._context.clock.now()
        self._context.selector.latencies.observe_generation(
            LatencyKey(self._service, answering.model),
            events * engine.event_tokens,
            now - answering.started - answering.waited,
        )

    def observe(
        self, answering: UpstreamAnswer, observed: AttemptOutcome
    ) -> None:
        """Update estimates, health and version evidence from an answer.

        An answer of an earlier incarnation is ignored: the restart explains a
        broken exchange, and a late answer comes from a process that no longer
        exists.

        Args:
            answering: The upstream and its attempt.
            observed: The outcome.
        """
        upstream = answering.upstream
        if upstream.restarted:
            return
        now = self._context.clock.now()
        if observed is AttemptOutcome.ACCEPTABLE:
            latency_ratio = self._learn(answering)
            upstream.health.record_answer(now, latency_ratio)
            if latency_ratio >= SLOW_ANSWER_RATIO:
                observed = AttemptOutcome.POOR
        else:
            upstream.health.record_failure(now)
        self._context.version_gate.observe(self._request, upstream, observed)

    def _learn(self, answering: UpstreamAnswer) -> float:
        """Update the estimates from an answer.

        Returns:
            The ratio of its latency to the usual one. It is 1 for an upstream
            that names a limit: it is slow because it is in need, whatever its
            version.
        """
        if self._context.selector.limited.is_limited(answering.upstream):
            return 1
        return self._context.selector.latencies.observe(
            LatencyKey(self._service, answering.model),
            answering.choice.prefill.tokens,
            answering.waited,
            answering.choice.expected_seconds,
        )
