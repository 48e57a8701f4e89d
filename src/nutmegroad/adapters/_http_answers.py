"""Requests an answer from an engine over HTTP and reads its stream."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final

import msgspec
from aiohttp import ClientResponse

from nutmegroad.adapters._event_streams import AnswerReader
from nutmegroad.adapters._gated_requests import SendState
from nutmegroad.adapters._http_sessions import (
    FAILURES,
    JSON_HEADERS,
    HttpClient,
    notify_limit,
    refusal_for_error,
    upstream_url,
)
from nutmegroad.contracts.upstreams import AnswerEnd, AnswerEvent, Attempt
from nutmegroad.foundations.decoding import UndecodableError, decode_json
from nutmegroad.foundations.event_streams import EventStreamSplitter
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Ran

#: Seconds after which a request to a busy or draining engine may be retried.
BUSY_RETRY_AFTER: Final = 0.2

#: Maximum number of bytes that are read of an error reply.
MAX_ERROR_BYTES: Final = 65_536

#: Retry delay of refusals for which a retry is pointless.
NO_RETRY: Final = 0

#: Engine errors, by status and code, that prove that the request did not run:
#: result code and seconds to wait before a retry.
_NOT_RUN_ERRORS: Final = MappingProxyType(
    {
        (404, 'version_not_loaded'): (ResultCode.VERSION_NOT_LOADED, NO_RETRY),
        (503, 'busy'): (ResultCode.UPSTREAM_BUSY, BUSY_RETRY_AFTER),
        (503, 'leaving'): (ResultCode.UPSTREAM_LEAVING, BUSY_RETRY_AFTER),
    }
)


class ErrorBody(msgspec.Struct, frozen=True):
    """The ``error`` object of an engine's error reply."""

    code: str = ''


class ErrorReply(msgspec.Struct, frozen=True):
    """Body of an engine's error reply."""

    error: ErrorBody = ErrorBody()


class AnswerCall:
    """One request for an answer, from sending it to the end of its stream.

    Args:
        client: Sends the request.
        attempt: The attempt to make.
    """

    @property
    def may_be_running(self) -> bool:
        """Whether the engine may still be executing the request."""
        return self.send_state.sent and not self._is_finished

    def __init__(self, client: HttpClient, attempt: Attempt) -> None:
        self.send_state = SendState(attempt.gate)
        self.reader = AnswerReader(attempt.attempt, attempt.skip)
        self._client = client
        self._attempt = attempt
        # Whether the engine has ended the request, with an answer or an
        # error.
        self._is_finished = False

    async def events(self) -> AsyncGenerator[AnswerEvent, None]:
        """Send the request and yield the answer; failures become a refusal."""
        try:
            body = _answer_body(self._attempt)
        except UndecodableError as error:
            reason = f'The request body is not a JSON object: {error}.'
            yield Refusal(ResultCode.BODY_MALFORMED, reason)
            return
        try:
            async with (
                await self._send(body) as response,
                aclosing(self._read(response)) as events,
            ):
                notify_limit(response, self._attempt.on_limit)
                async for event in events:
                    yield event
        except FAILURES as error:
            yield self._failure(error)

    async def _send(self, body: bytes) -> ClientResponse:
        """Send the request and return the response, whose body is unread."""
        attempt = self._attempt
        headers = {
            **JSON_HEADERS,
            'Nutmegroad-Attempt': attempt.attempt,
            'Nutmegroad-Priority': str(attempt.priority),
            'Nutmegroad-Skip': str(attempt.skip),
        }
        return await self._client.request(
            self.send_state,
            'POST',
            upstream_url(attempt.upstream, 'v1/chat/completions'),
            attempt.timeout,
            data=body,
            headers=headers,
        )

    async def _read(
        self,
        response: ClientResponse,
    ) -> AsyncGenerator[AnswerEvent, None]:
        """Yield the events of a response until the answer ends."""
        if response.status != HTTPStatus.OK:
            body = await response.content.read(MAX_ERROR_BYTES)
            self._is_finished = True
            yield _refusal_for_status(response.status, body)
            return
        reader = self.reader
        splitter = EventStreamSplitter()
        async for received in response.content.iter_any():
            for block in splitter.feed(received):
                if block.content is None:
                    continue
                event = reader.read(block.content)
                self._is_finished = isinstance(event, AnswerEnd)
                if event is not None:
                    yield event
                if reader.is_finished:
                    return
        event = reader.close()
        self._is_finished = isinstance(event, AnswerEnd)
        yield event

    def _failure(self, error: Exception) -> AnswerEvent:
        """Return the event that ends the answer after an exception."""
        reader = self.reader
        if reader.ending is not None:
            # The answer is complete; only the stream was not closed
            # properly.
            self._is_finished = True
            return reader.ending
        is_timeout = isinstance(error, TimeoutError)
        if reader.expected > self._attempt.skip and not is_timeout:
            return reader.close()
        return refusal_for_error(error, self.send_state)


def _refusal_for_status(status: int, body: bytes) -> Refusal:
    """Return the refusal for an engine's error reply."""
    try:
        code = decode_json(body, ErrorReply).error.code
    except UndecodableError:
        code = ''
    known = _NOT_RUN_ERRORS.get((status, code))
    if known is None:
        reason = f'The engine returned status {status}.'
        return Refusal(ResultCode.UPSTREAM_ERROR, reason, Ran.UNKNOWN)
    reason = f'The engine refused the request: {code}.'
    return Refusal(known[0], reason, Ran.NOT_RUN, known[1])


def _answer_body(attempt: Attempt) -> bytes:
    """Return the body for the engine, with the version and streaming set.

    Raises:
        UndecodableError: If the attempt's body is not a JSON object.
    """
    body = decode_json(attempt.body, dict[str, Any])
    body['model'] = attempt.version
    body['stream'] = True
    return msgspec.json.encode(body)
