"""One answer of an engine, asked for over HTTP and read to its end."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final

import msgspec
from aiohttp import ClientResponse

from nutmegroad.adapters._event_streams import AnswerReader, EventSplitter
from nutmegroad.adapters._gated_requests import Sending
from nutmegroad.adapters._http_sessions import (
    FAILURES,
    JSON_HEADERS,
    HttpClient,
    refusal_of,
    url_of,
)
from nutmegroad.contracts.upstreams import AnswerEvent, Attempt, Ending
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Ran

#: Seconds after which a busy engine may be asked again.
BUSY_WAIT: Final = 0.2

#: Bytes of an error reply that are read.
LONGEST_ERROR: Final = 65_536

#: What a refusal says where another try makes no sense.
NEVER: Final = 0

#: Errors of engines that prove that the request did not run.
_PROVED: Final = MappingProxyType(
    {
        (404, 'version_not_loaded'): (ResultCode.VERSION_NOT_LOADED, NEVER),
        (503, 'busy'): (ResultCode.UPSTREAM_BUSY, BUSY_WAIT),
        (503, 'leaving'): (ResultCode.UPSTREAM_LEAVING, BUSY_WAIT),
    }
)


class ErrorBody(msgspec.Struct, frozen=True):
    """The inner part of an engine's error."""

    code: str = ''


class ErrorReply(msgspec.Struct, frozen=True):
    """An engine's error."""

    error: ErrorBody = ErrorBody()


class AnswerCall:
    """An answer on its way.

    Args:
        client: Sends the request.
        attempt: What is asked for.
    """

    @property
    def is_open(self) -> bool:
        """Tell whether the engine may still be at work on it."""
        return self.sending.sent and not self._is_settled

    def __init__(self, client: HttpClient, attempt: Attempt) -> None:
        self.sending = Sending(attempt.gate)
        self.reader = AnswerReader(attempt.attempt, attempt.skip)
        self._client = client
        self._attempt = attempt
        # The engine has said that it is done with it, one way or another.
        self._is_settled = False

    async def events(self) -> AsyncGenerator[AnswerEvent, None]:
        """Ask, and yield what comes in; failures become a refusal."""
        try:
            body = _answer_body(self._attempt)
        except msgspec.DecodeError as error:
            reason = f'The body is no JSON object: {error}.'
            yield Refusal(ResultCode.BODY_MALFORMED, reason)
            return
        try:
            async with (
                await self._ask(body) as response,
                aclosing(self._read(response)) as events,
            ):
                async for event in events:
                    yield event
        except FAILURES as error:
            yield self._failure(error)

    async def _ask(self, body: bytes) -> ClientResponse:
        """Send the request of an answer."""
        attempt = self._attempt
        headers = {
            **JSON_HEADERS,
            'Nutmegroad-Attempt': attempt.attempt,
            'Nutmegroad-Priority': str(attempt.priority),
            'Nutmegroad-Skip': str(attempt.skip),
        }
        return await self._client.request(
            self.sending,
            'POST',
            url_of(attempt.upstream, 'v1/chat/completions'),
            attempt.timeout,
            data=body,
            headers=headers,
        )

    async def _read(
        self,
        response: ClientResponse,
    ) -> AsyncGenerator[AnswerEvent, None]:
        """Yield the events of a reply up to its end."""
        if response.status != HTTPStatus.OK:
            body = await response.content.read(LONGEST_ERROR)
            self._is_settled = True
            yield _refusal_of_status(response.status, body)
            return
        reader = self.reader
        splitter = EventSplitter()
        async for received in response.content.iter_any():
            for line in splitter.feed(received):
                event = reader.read(line)
                self._is_settled = isinstance(event, Ending)
                if event is not None:
                    yield event
                if reader.is_over:
                    return
        event = reader.close()
        self._is_settled = isinstance(event, Ending)
        yield event

    def _failure(self, error: Exception) -> AnswerEvent:
        """Say what a failure means for an answer."""
        reader = self.reader
        if reader.ending is not None:
            # All of it came; only the way it closed was wrong.
            self._is_settled = True
            return reader.ending
        is_timeout = isinstance(error, TimeoutError)
        if reader.expected > self._attempt.skip and not is_timeout:
            return reader.close()
        return refusal_of(error, self.sending)


def _refusal_of_status(status: int, body: bytes) -> Refusal:
    """Turn an engine's error reply into a refusal."""
    try:
        code = msgspec.json.decode(body, type=ErrorReply).error.code
    except msgspec.DecodeError:
        code = ''
    proof = _PROVED.get((status, code))
    if proof is None:
        reason = f'The engine answered with status {status}.'
        return Refusal(ResultCode.UPSTREAM_ERROR, reason, Ran.UNKNOWN)
    reason = f'The engine refused the request: {code}.'
    return Refusal(proof[0], reason, Ran.NOT_RUN, proof[1])


def _answer_body(attempt: Attempt) -> bytes:
    """Return the body that the engine gets: its version, as a stream.

    Raises:
        msgspec.DecodeError: If the attempt's body is no JSON object.
    """
    body = msgspec.json.decode(attempt.body, type=dict[str, Any])
    body['model'] = attempt.version
    body['stream'] = True
    return msgspec.json.encode(body)
