"""What a request may expect of its upstreams, and what it learns of them."""

from collections.abc import Collection
from typing import Final

from nutmegroad.foundations.types import ModelName, ServiceName, UpstreamId
from nutmegroad.relay.attempts import Answering
from nutmegroad.relay.estimates import PaceKey
from nutmegroad.relay.parts import RelayParts
from nutmegroad.relay.requests import CallerRequest
from nutmegroad.relay.selection import Asked, Choice

#: Pace, against the usual, from which an answer speaks against its version.
FAR_TOO_SLOW: Final = 4.0


class Outlook:
    """Estimates for one request, corrected by its answers.

    Args:
        parts: What executions share.
        request: The request.
        service: Where it goes.
    """

    def __init__(
        self,
        parts: RelayParts,
        request: CallerRequest,
        service: ServiceName,
    ) -> None:
        self._parts = parts
        self._request = request
        self._service = service

    def choose(
        self,
        model: ModelName | None,
        tried: Collection[UpstreamId],
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
        models: tuple[ModelName, ...],
        tried: Collection[UpstreamId],
    ) -> tuple[float, float]:
        """Return when a model's answer would begin, and when it would end.

        Args:
            models: The model, or nothing where there is none.
            tried: Upstreams that have failed with the request.

        Returns:
            Seconds from now; 0 where nothing is known.
        """
        generation = self._request.generation
        choice = self.choose(models[0], tried) if models else None
        if choice is None or generation is None:
            return 0, 0
        writing = self._parts.selector.paces.generation(
            PaceKey(self._service, models[0]),
            generation.expected_tokens,
        )
        return choice.expected, choice.expected + writing

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

    def observe(self, answering: Answering, *, sound: bool) -> None:
        """Take in how an answer went."""
        upstream = answering.upstream
        now = self._parts.clock.now()
        pace = 1.0
        if sound:
            pace = self._parts.selector.paces.observe(
                PaceKey(self._service, answering.model),
                answering.choice.missing,
                answering.waited,
                answering.choice.expected,
            )
            upstream.health.answered(now, pace)
        else:
            upstream.health.failed(now)
        self._parts.versions.observe(
            self._service,
            upstream.entry.version,
            sound=sound and pace < FAR_TOO_SLOW,
        )
