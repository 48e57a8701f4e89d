"""An open-loop load client that measures the latency of answers.

Each request is sent at its scheduled time, whether or not earlier ones have
been answered. Latencies are measured from the scheduled time rather than the
actual one, so that a client or host that falls behind makes the results worse
and not better.
"""

import asyncio
import re
import time
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Any, Final

import msgspec
from aiohttp import (
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)

from experiments.deployment import workspace_key
from experiments.load.traffic import PlannedRequest, make_prompt
from nutmegroad.foundations.types import Address

#: Seconds after its deadline at which a request counts as hung.
HANG_TIMEOUT: Final = 3.0

_OK: Final = 200
_EVENT_PREFIX: Final = b'data: '
_END_MARKER: Final = b'[DONE]'
#: The engine stand-in states the true quality in the last word of an answer.
_QUALITY_PATTERN: Final = re.compile(r'q=(\d+(?:\.\d+)?)\s*$')


@unique
class Outcome(Enum):
    """How a request ended from its caller's point of view.

    Attributes:
        ANSWERED: A complete answer arrived.
        REFUSED: The host refused the request.
        CUT: The answer's stream stopped before its end marker.
        LOST: The connection failed.
        HUNG: The request had not ended some time after its deadline.
    """

    ANSWERED = 'answered'
    REFUSED = 'refused'
    CUT = 'cut'
    LOST = 'lost'
    HUNG = 'hung'


@dataclass(slots=True)
class RequestResult:
    """The result of one request; times are in seconds.

    Attributes:
        planned: The request as planned.
        sent: Time at which it was actually sent, since the start of the run.
        outcome: How it ended.
        code: Name of the refusal or of the client's error.
        not_run: Whether the refusal states that no upstream ran the request.
        request_id: Id that the host assigned to it.
        version: The version that answered.
        cost: Its cost.
        tokens: Length of the answer in words, as the answer states it.
        words: Number of words received.
        quality: True quality of the answer; None if it is not complete.
        first_token: From the scheduled time to the first chunk of the answer.
        gaps: Times between successive chunks.
        total_seconds: From the scheduled time to the end.
        sent_token: Whether it carried the token of its session.
    """

    planned: PlannedRequest
    sent: float = 0
    outcome: Outcome = Outcome.LOST
    code: str = ''
    not_run: bool = False
    request_id: str = ''
    version: str = ''
    cost: float = 0
    tokens: int = 0
    words: int = 0
    quality: float | None = None
    first_token: float | None = None
    gaps: list[float] = field(default_factory=list)
    total_seconds: float = 0
    sent_token: bool = False

    @property
    def lag(self) -> float:
        """Delay of the client itself in sending the request, in seconds."""
        return self.sent - self.planned.at

    @property
    def answered(self) -> bool:
        """Whether a complete answer arrived."""
        return self.outcome is Outcome.ANSWERED

    @property
    def in_time(self) -> bool:
        """Whether a complete answer arrived before the caller's deadline."""
        return self.answered and self.total_seconds <= self.planned.deadline

    @property
    def meets_target(self) -> bool:
        """Whether the answer reached its quality target."""
        known = self.quality is not None
        return known and (self.quality or 0) >= self.planned.target


@dataclass(slots=True)
class LoadClient:
    """Sends the requests of a run, distributing them as a load balancer does.

    Attributes:
        hosts: Addresses of the entry hosts.
        excluded_hosts: Indexes of hosts that the load balancer has removed.
        tokens: Session tokens by session.
        started_at: Monotonic time at the start of the run.
    """

    hosts: tuple[Address, ...]
    excluded_hosts: set[int] = field(default_factory=set)
    tokens: dict[str, str] = field(default_factory=dict)
    started_at: float = 0

    @property
    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self.started_at

    async def run(
        self,
        session: ClientSession,
        requests: list[PlannedRequest],
    ) -> list[RequestResult]:
        """Send all requests on schedule; return once all have ended."""
        tasks: list[asyncio.Task[RequestResult]] = []
        for planned in requests:
            await asyncio.sleep(max(0, planned.at - self.now))
            tasks.append(asyncio.create_task(self._send(session, planned)))
        return list(await asyncio.gather(*tasks))

    async def _send(
        self, session: ClientSession, planned: PlannedRequest
    ) -> RequestResult:
        """Send one request and wait for its result."""
        result = RequestResult(planned, sent=self.now)
        limit = planned.deadline + HANG_TIMEOUT
        try:
            async with asyncio.timeout(limit):
                await self._exchange(session, result)
        except TimeoutError:
            result.outcome = Outcome.HUNG
            result.code = 'NO_END'
        except (ClientError, OSError) as problem:
            result.outcome = Outcome.LOST
            result.code = type(problem).__name__
        result.total_seconds = self.now - planned.at
        return result

    async def _exchange(
        self, session: ClientSession, result: RequestResult
    ) -> None:
        """Perform the HTTP exchange of one request."""
        planned = result.planned
        host = self._choose_host(planned)
        headers = self._headers(result)
        if planned.is_service:
            url = f'http://{host}/v1/services/{planned.task}/{planned.path}'
            method = 'POST' if planned.key else 'GET'
            body: Any = {'amount': 1} if planned.key else None
        else:
            url = f'http://{host}/v1/chat/completions'
            method = 'POST'
            body = _model_body(planned)
        async with session.request(
            method,
            url,
            json=body,
            headers=headers,
        ) as response:
            await self._read_response(response, result)

    async def _read_response(
        self, response: ClientResponse, result: RequestResult
    ) -> None:
        """Read a response: a stream, a complete answer or a refusal."""
        planned = result.planned
        result.request_id = response.headers.get('Nutmegroad-Request', '')
        token = response.headers.get('Nutmegroad-Session', '')
        if token and planned.session:
            self.tokens.setdefault(planned.session, token)
        if response.content_type == 'text/event-stream':
            await self._read_stream(response, result)
        elif response.status == _OK:
            _record_response(result, await response.read())
        else:
            _record_refusal(result, await response.read())

    async def _read_stream(
        self,
        response: ClientResponse,
        result: RequestResult,
    ) -> None:
        """Read an answer that is streamed as server-sent events."""
        result.outcome = Outcome.CUT
        result.code = 'NO_END_MARK'
        previous: float = 0
        text = ''
        async for line in response.content:
            if not line.startswith(_EVENT_PREFIX):
                continue
            content = line[len(_EVENT_PREFIX) :].strip()
            if content == _END_MARKER:
                result.outcome = Outcome.ANSWERED
                result.code = ''
                break
            chunk = msgspec.json.decode(content)
            if 'error' in chunk:
                result.code = chunk['error']['name']
                break
            delta = chunk['choices'][0]['delta'].get('content', '')
            if delta:
                previous = self._record_chunk_time(result, previous)
                text += delta
            _record_usage(result, chunk)
        _record_text(result, text)

    def _record_chunk_time(
        self, result: RequestResult, previous: float
    ) -> float:
        """Record the arrival time of a chunk and return it.

        Args:
            result: Result of the request.
            previous: Arrival time of the previous chunk, if there is one.
        """
        now = self.now
        if result.first_token is None:
            result.first_token = now - result.planned.at
        else:
            result.gaps.append(now - previous)
        return now

    def _choose_host(self, planned: PlannedRequest) -> Address:
        """Choose any host that the load balancer has not removed."""
        available = [
            address
            for index, address in enumerate(self.hosts)
            if index not in self.excluded_hosts
        ]
        return available[planned.host_index % len(available)]

    def _headers(self, result: RequestResult) -> dict[str, str]:
        """Return the headers of a request; record whether a token is sent."""
        planned = result.planned
        headers = {
            'Authorization': f'Bearer {workspace_key(planned.workspace)}',
            'Nutmegroad-Deadline-Ms': str(round(planned.deadline * 1000)),
        }
        if planned.key:
            headers['Idempotency-Key'] = planned.key
        if planned.session:
            token = self.tokens.get(planned.session, '')
            result.sent_token = bool(token)
            headers['Nutmegroad-Session'] = token or planned.session
        return headers


def client_session() -> ClientSession:
    """Return an HTTP client without time-out or connection limit."""
    return ClientSession(
        timeout=ClientTimeout(total=None),
        connector=TCPConnector(limit=0),
    )


def _model_body(planned: PlannedRequest) -> dict[str, Any]:
    """Return the body of a model request."""
    return {
        'model': planned.task,
        'messages': [{'role': 'user', 'content': make_prompt(planned)}],
        'nutmegroad_tokens': planned.tokens,
        'stream': True,
    }


def _record_refusal(result: RequestResult, content: bytes) -> None:
    """Record a refusal."""
    result.outcome = Outcome.REFUSED
    try:
        error = msgspec.json.decode(content)['error']
    except (msgspec.DecodeError, KeyError, TypeError):
        result.code = 'NO_REFUSAL_BODY'
        return
    result.code = error['name']
    result.not_run = error['not_run']


def _record_response(result: RequestResult, content: bytes) -> None:
    """Record an answer that was not streamed."""
    result.outcome = Outcome.ANSWERED
    if result.planned.is_service:
        return
    body = msgspec.json.decode(content)
    _record_usage(result, body)
    _record_text(result, body['choices'][0]['message']['content'])


def _record_usage(result: RequestResult, body: dict[str, Any]) -> None:
    """Record the version, length and cost if the body states them."""
    usage = body.get('usage')
    if usage:
        result.version = body['model']
        result.cost = usage['cost']
        result.tokens = usage['completion_tokens']


def _record_text(result: RequestResult, text: str) -> None:
    """Record the number of words and the quality stated in the last one."""
    result.words = len(text.split())
    match = _QUALITY_PATTERN.search(text)
    if result.answered and match is not None:
        result.quality = float(match.group(1))
