"""What a request may expect of its upstreams, and what it learns of them."""

from collections.abc import Collection
from typing import Final

from nutmegroad.canary.gate import Observed
from nutmegroad.escalation.headroom import Expectation
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import (
    ModelName,
    ServiceName,
    UpstreamIncarnation,
)
from nutmegroad.relay.outcomes import Answering
from nutmegroad.relay.parts import RelayParts
from nutmegroad.routes.requests import CallerRequest
from nutmegroad.upstreams.directory import Upstream
from nutmegroad.upstreams.estimates import PaceKey
from nutmegroad.upstreams.selection import Asked, Choice

#: Pace, against the usual, from which an answer speaks against its version.
FAR_TOO_SLOW: Final = 4.0


class Outlook:
    """Estimates for one request, corrected by its answers.

    Args:
        parts: What executions share.
        request: The request.
        service: Where it goes.
    """

    @property
    def clock(self) -> Clock:
        """Return the host's clock."""
        return self._parts.clock

    @property
    def known(self) -> int:
        """Return how many upstreams may run the request."""
        permitted = self._parts.versions.permitted
        return len(permitted(self._request, self._service))

    def __init__(
        self,
        parts: RelayParts,
        request: CallerRequest,
        service: ServiceName,
    ) -> None:
        self._parts = parts
        self._request = request
        self._service = service

    def is_cut_off(self, upstream: Upstream) -> bool:
        """Tell whether an upstream's failure domain is likely cut off."""
        return self._parts.selector.is_cut_off(upstream)

    def heard(self, upstream: Upstream) -> None:
        """Note that something came from an upstream."""
        self._parts.selector.silence.heard(upstream.entry.domain)

    def choose(
        self,
        model: ModelName | None,
        tried: Collection[UpstreamIncarnation],
    ) -> Choice | None:
        """Return where an attempt would go, or None if nowhere."""
        table = self._request.table
        facts = table.service_of(self._service).engine
        return self._parts.selector.choose(
            Asked(self._request, self._service, model, facts),
            self._parts.versions.permitted(self._request, self._service),
            tried,
        )

    def expectation(
        self,
        model: ModelName,
        tried: Collection[UpstreamIncarnation],
    ) -> Expectation | None:
        """Return what would become of a model's answer; None if unknown.

        Args:
            model: The model.
            tried: Upstreams that have failed with the request.
        """
        generation = self._request.generation
        choice = self.choose(model, tried)
        if choice is None or generation is None:
            return None
        writing = self._parts.selector.paces.generation(
            PaceKey(self._service, model),
            generation.expected_tokens,
        )
        return Expectation(
            choice.expected,
            choice.expected + writing,
            choice.ahead,
            choice.running / max(1, choice.upstream.entry.slots),
        )

    def generated(self, answering: Answering, events: int) -> None:
        """Learn from a whole stream how fast its model generates."""
        facts = self._request.table.service_of(self._service).engine
        if facts is None:
            return
        now = self._parts.clock.now()
        self._parts.selector.paces.observe_generation(
            PaceKey(self._service, answering.model),
            events * facts.event_tokens,
            now - answering.started - answering.waited,
        )

    def observe(self, answering: Answering, observed: Observed) -> None:
        """Take in how an answer went.

        One of an incarnation that is no more tells nothing: what broke, its
        restart broke, and what came late came from a process that is gone.
        """
        upstream = answering.upstream
        if upstream.restarted:
            return
        now = self._parts.clock.now()
        if observed is Observed.SOUND:
            pace = self._parts.selector.paces.observe(
                PaceKey(self._service, answering.model),
                answering.choice.reading.tokens,
                answering.waited,
                answering.choice.expected,
            )
            upstream.health.answered(now, pace)
            if pace >= FAR_TOO_SLOW:
                observed = Observed.POOR
        else:
            upstream.health.failed(now)
        self._parts.versions.observe(self._request, upstream, observed)
