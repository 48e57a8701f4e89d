"""Builds request heads for upstreams, and validates their response heads."""

from typing import Final

from aiohttp.http_parser import RawResponseMessage

from nutmegroad.foundations.decimals import smallest_decimal
from nutmegroad.foundations.types import Ran
from nutmegroad.relay.connections import (
    AnswerIdentity,
    AnswerMatcher,
    RequestHead,
    ResponseHead,
)
from nutmegroad.relay.outcomes import AttemptEnd, AttemptFailure, AttemptPlan
from nutmegroad.routes.headers import HeaderNames
from nutmegroad.routes.requests import MILLISECONDS_PER_SECOND, CallerRequest
from nutmegroad.upstreams.engine_ranks import engine_rank

#: HTTP status codes that decide the outcome of an attempt.
MISDIRECTED: Final = 421
FIRST_ERROR: Final = 400
FIRST_SERVER_ERROR: Final = 500

_EVENT_STREAM: Final = 'text/event-stream'


class MessageHeads:
    """Builds request heads, and validates response heads.

    Args:
        names: The deployment's header names.
    """

    def __init__(self, names: HeaderNames) -> None:
        self._names = names

    def build(
        self,
        request: CallerRequest,
        plan: AttemptPlan,
        time_left: float,
    ) -> RequestHead:
        """Return the request head for an upstream.

        Args:
            request: The request.
            plan: The attempt.
            time_left: Seconds until the caller stops waiting.
        """
        names = self._names
        own_headers = {
            names.deadline: str(
                max(1, int(time_left * MILLISECONDS_PER_SECOND))
            ),
            names.expected_upstream: plan.upstream.entry.upstream,
        }
        if request.workspace is not None:
            own_headers[names.workspace] = request.workspace.name
        if request.generation is not None:
            rank = engine_rank(
                plan.choice.prefill.seconds,
                request.route.target_latency,
                request.priority,
            )
            own_headers[names.priority] = str(rank)
        source = plan.choice.prefill.source
        if source is not None:
            own_headers[names.fetch_from] = str(source.entry.address)
        replaced: set[bytes] = set()
        if plan.model is not None:
            own_headers[names.model] = plan.model
            replaced.add(names.model.lower().encode())
        if plan.last_event:
            own_headers[names.last_event] = plan.last_event
            replaced.add(names.last_event.lower().encode())
        if request.has_body:
            own_headers['Content-Length'] = str(len(request.body))
        forwarded = tuple(
            header
            for header in request.headers
            if header[0].lower() not in replaced
        )
        added = tuple(
            (name.encode(), text.encode()) for name, text in own_headers.items()
        )
        return RequestHead(request.method, request.target, forwarded + added)

    def answer_matcher(self, request: CallerRequest) -> AnswerMatcher:
        """Return a function that tells which request a response answers."""
        name = self._names.request_id

        def matches(message: RawResponseMessage) -> AnswerIdentity:
            """Compare the request id that the response echoes."""
            echoed = message.headers.get(name)
            if echoed == request.request_id:
                return AnswerIdentity.PENDING
            if echoed is None and message.code >= FIRST_ERROR:
                return AnswerIdentity.UNNAMED
            return AnswerIdentity.OTHER

        return matches

    def brittle_limit(self, head: ResponseHead) -> int | None:
        """Return how many rejections in a second its upstream tolerates.

        Returns:
            None if the response does not say.
        """
        text = head.headers.get(self._names.brittle, '').strip()
        return int(text) if text.isascii() and text.isdigit() else None

    def request_limit(self, head: ResponseHead) -> float | None:
        """Return how many requests in a second its upstream takes.

        Returns:
            None if the response does not say. The smallest number if it has
            several.

        Raises:
            ValueError: If a header is no decimal number.
        """
        texts = head.headers.getall(self._names.request_limit, ())
        return smallest_decimal(texts)

    def is_signed(self, head: ResponseHead) -> bool:
        """Return whether a response has the signature of an upstream."""
        return self._names.signature in head.headers

    def validate(self, head: ResponseHead) -> AttemptFailure | None:
        """Return why a response head ends the attempt as failed, or None."""
        if head.status == MISDIRECTED:
            return AttemptFailure(
                AttemptEnd.MISDIRECTED,
                Ran.NOT_RUN,
                'address belongs to another upstream, or its weights differ',
            )
        if self._names.not_executed in head.headers:
            return AttemptFailure(
                AttemptEnd.REJECTED,
                Ran.NOT_RUN,
                f'rejected with {head.status}',
                _retry_after_seconds(head.headers.get('Retry-After', '')),
            )
        signed = self.is_signed(head)
        unencoded = 'Content-Encoding' not in head.headers
        if head.status < FIRST_ERROR and not (signed and unencoded):
            return AttemptFailure(
                AttemptEnd.UNVERIFIED,
                Ran.UNKNOWN,
                f'status {head.status}: not signed, or content encoded',
            )
        return None


def is_event_stream(head: ResponseHead) -> bool:
    """Return whether the body of a response is a series of events.

    If the content type is missing, the body of a success is one.
    """
    if head.status >= FIRST_ERROR:
        return False
    media_type, _, _ = head.headers.get('Content-Type', '').partition(';')
    return media_type.strip().lower() in ('', _EVENT_STREAM)


def _retry_after_seconds(text: str) -> float:
    """Return the seconds of a Retry-After header; 0 for a date or no text."""
    try:
        return max(0, float(text))
    except ValueError:
        return 0
