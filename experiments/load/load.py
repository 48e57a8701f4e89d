"""The load client: sends requests when they are due, and times answers.

Arrivals are open loop: a request goes out at its own time whether or not
earlier ones have been answered. Every latency counts from the moment at
which the request was meant to be sent, so that a client or a host that
falls behind makes the figures worse and not better.
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
from experiments.load.traffic import Ask, prompt_of
from nutmegroad.foundations.types import Address

#: Seconds beyond its deadline after which a reply counts as hung.
PATIENCE: Final = 3.0

_OK: Final = 200
_EVENT: Final = b'data: '
_DONE: Final = b'[DONE]'
#: The stand-in states the true quality in an answer's last word.
_QUALITY: Final = re.compile(r'q=(\d+(?:\.\d+)?)\s*$')


@unique
class Outcome(Enum):
    """How a request ended, as its caller saw it."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    CUT = 'cut'
    LOST = 'lost'
    HUNG = 'hung'


@dataclass(slots=True)
class Record:
    """What became of one request; times are seconds.

    Attributes:
        ask: The request.
        sent: When it was really sent, after the run's start.
        outcome: How it ended.
        code: Name of the refusal, or of the client's error.
        not_run: What the refusal says.
        request: Its id.
        version: The version that answered.
        cost: What it cost.
        tokens: Words that the answer states to have.
        words: Words that came.
        quality: True quality; None where no whole answer came.
        first: From the intended time to the first piece.
        gaps: Between one piece and the next.
        whole: From the intended time to the end.
        held: It brought its session's token.
    """

    ask: Ask
    sent: float = 0
    outcome: Outcome = Outcome.LOST
    code: str = ''
    not_run: bool = False
    request: str = ''
    version: str = ''
    cost: float = 0
    tokens: int = 0
    words: int = 0
    quality: float | None = None
    first: float | None = None
    gaps: list[float] = field(default_factory=list)
    whole: float = 0
    held: bool = False

    @property
    def lag(self) -> float:
        """Return how late the client itself was."""
        return self.sent - self.ask.at

    @property
    def answered(self) -> bool:
        """Tell whether a whole answer came."""
        return self.outcome is Outcome.ANSWERED

    @property
    def in_time(self) -> bool:
        """Tell whether a whole answer came within the caller's deadline."""
        return self.answered and self.whole <= self.ask.deadline

    @property
    def met(self) -> bool:
        """Tell whether the answer was as good as it had to be."""
        reached = self.quality is not None
        return reached and (self.quality or 0) >= self.ask.target


@dataclass(slots=True)
class LoadClient:
    """Sends a run's requests.

    Attributes:
        hosts: Where the entry hosts listen.
        avoided: Hosts that the balancer has taken out, by index.
        tokens: Session tokens by session.
        origin: The event loop's time at the run's start.
    """

    hosts: tuple[Address, ...]
    avoided: set[int] = field(default_factory=set)
    tokens: dict[str, str] = field(default_factory=dict)
    origin: float = 0

    @property
    def now(self) -> float:
        """Return seconds since the run's start."""
        return time.monotonic() - self.origin

    async def run(
        self,
        session: ClientSession,
        asks: list[Ask],
    ) -> list[Record]:
        """Send all; return when each has ended."""
        tasks: list[asyncio.Task[Record]] = []
        for ask in asks:
            await asyncio.sleep(max(0, ask.at - self.now))
            tasks.append(asyncio.create_task(self._send(session, ask)))
        return list(await asyncio.gather(*tasks))

    async def _send(self, session: ClientSession, ask: Ask) -> Record:
        """Send one request and see it to its end."""
        record = Record(ask, sent=self.now)
        limit = ask.deadline + PATIENCE
        try:
            async with asyncio.timeout(limit):
                await self._exchange(session, record)
        except TimeoutError:
            record.outcome = Outcome.HUNG
            record.code = 'NO_END'
        except (ClientError, OSError) as problem:
            record.outcome = Outcome.LOST
            record.code = type(problem).__name__
        record.whole = self.now - ask.at
        return record

    async def _exchange(self, session: ClientSession, record: Record) -> None:
        """Make the HTTP exchange of one request."""
        ask = record.ask
        host = self._host(ask)
        headers = self._headers(record)
        if ask.is_service:
            url = f'http://{host}/v1/services/{ask.task}/{ask.path}'
            method = 'POST' if ask.key else 'GET'
            body: Any = {'amount': 1} if ask.key else None
        else:
            url = f'http://{host}/v1/chat/completions'
            method = 'POST'
            body = _model_body(ask)
        async with session.request(
            method,
            url,
            json=body,
            headers=headers,
        ) as response:
            await self._read(response, record)

    async def _read(self, response: ClientResponse, record: Record) -> None:
        """Read a reply of any kind."""
        ask = record.ask
        record.request = response.headers.get('Nutmegroad-Request', '')
        token = response.headers.get('Nutmegroad-Session', '')
        if token and ask.session:
            self.tokens.setdefault(ask.session, token)
        if response.content_type == 'text/event-stream':
            await self._read_stream(response, record)
        elif response.status == _OK:
            _take_whole(record, await response.read())
        else:
            _take_refusal(record, await response.read())

    async def _read_stream(
        self,
        response: ClientResponse,
        record: Record,
    ) -> None:
        """Read server-sent events as they come."""
        record.outcome = Outcome.CUT
        record.code = 'NO_END_MARK'
        last: float = 0
        text = ''
        async for line in response.content:
            if not line.startswith(_EVENT):
                continue
            content = line[len(_EVENT) :].strip()
            if content == _DONE:
                record.outcome = Outcome.ANSWERED
                record.code = ''
                break
            chunk = msgspec.json.decode(content)
            if 'error' in chunk:
                record.code = chunk['error']['name']
                break
            piece = chunk['choices'][0]['delta'].get('content', '')
            if piece:
                last = self._time_piece(record, last)
                text += piece
            _take_usage(record, chunk)
        _take_text(record, text)

    def _time_piece(self, record: Record, last: float) -> float:
        """Note when a piece came; return that time."""
        now = self.now
        if record.first is None:
            record.first = now - record.ask.at
        else:
            record.gaps.append(now - last)
        return now

    def _host(self, ask: Ask) -> Address:
        """Choose a host as a plain balancer does: any that it holds good."""
        good = [
            address
            for place, address in enumerate(self.hosts)
            if place not in self.avoided
        ]
        return good[ask.host % len(good)]

    def _headers(self, record: Record) -> dict[str, str]:
        """Return the headers of a request."""
        ask = record.ask
        headers = {
            'Authorization': f'Bearer {workspace_key(ask.workspace)}',
            'Nutmegroad-Deadline-Ms': str(round(ask.deadline * 1000)),
        }
        if ask.key:
            headers['Idempotency-Key'] = ask.key
        if ask.session:
            token = self.tokens.get(ask.session, '')
            record.held = bool(token)
            headers['Nutmegroad-Session'] = token or ask.session
        return headers


def client_session() -> ClientSession:
    """Return an HTTP client that bounds neither time nor connections."""
    return ClientSession(
        timeout=ClientTimeout(total=None),
        connector=TCPConnector(limit=0),
    )


def _model_body(ask: Ask) -> dict[str, Any]:
    """Return a model request's body."""
    return {
        'model': ask.task,
        'messages': [{'role': 'user', 'content': prompt_of(ask)}],
        'nutmegroad_tokens': ask.tokens,
        'stream': True,
    }


def _take_refusal(record: Record, content: bytes) -> None:
    """Note a refusal."""
    record.outcome = Outcome.REFUSED
    try:
        error = msgspec.json.decode(content)['error']
    except (msgspec.DecodeError, KeyError, TypeError):
        record.code = 'NO_REFUSAL_BODY'
        return
    record.code = error['name']
    record.not_run = error['not_run']


def _take_whole(record: Record, content: bytes) -> None:
    """Note an answer that came in one piece."""
    record.outcome = Outcome.ANSWERED
    if record.ask.is_service:
        return
    body = msgspec.json.decode(content)
    _take_usage(record, body)
    _take_text(record, body['choices'][0]['message']['content'])


def _take_usage(record: Record, body: dict[str, Any]) -> None:
    """Note the version, the tokens and the cost where they are stated."""
    usage = body.get('usage')
    if usage:
        record.version = body['model']
        record.cost = usage['cost']
        record.tokens = usage['completion_tokens']


def _take_text(record: Record, text: str) -> None:
    """Note the words, and the quality that the last one states."""
    record.words = len(text.split())
    found = _QUALITY.search(text)
    if record.answered and found is not None:
        record.quality = float(found.group(1))
