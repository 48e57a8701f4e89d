"""Callers of the soak: they keep connections and obey ``Retry-After``."""

import asyncio
import random
import time
from collections.abc import AsyncIterator, Callable
from typing import Final

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from experiments.fleet_soak.history import History, Kind, RequestRecord

#: Host name of all routes.
ROUTER_HOST_NAME: Final = 'router.example'

#: Header with a worker's signature, which proves that it sent the answer.
SIGNATURE: Final = 'Nutmegroad-Response-Signature'

#: Seconds within which a caller expects its answer.
ANSWER_TIMEOUT: Final = 4.0

#: Minimum and maximum seconds between two requests of a caller.
PAUSE_RANGE: Final = (0.02, 0.25)

#: Number of sessions; requests of each are sent to all hosts.
SESSION_COUNT: Final = 60

#: Fraction of requests whose caller disconnects before the answer.
ABANDON_FRACTION: Final = 0.03

#: Seconds after which it disconnects.
ABANDON_DELAY: Final = 0.05

#: Fraction of request bodies that are long and are sent slowly.
SLOW_BODY_FRACTION: Final = 0.05

#: Number of chunks of a slow body, and seconds after each.
SLOW_BODY_CHUNKS: Final = 5
CHUNK_INTERVAL: Final = 0.05


def request_headers(request_id: str, key: str) -> dict[str, str]:
    """Return the headers that every request carries."""
    return {
        'Host': ROUTER_HOST_NAME,
        'Nutmegroad-Request-Id': request_id,
        'Authorization': f'Bearer {key}',
    }


class Caller:
    """Sends one request after another to one host.

    Args:
        name: Prefix of its request ids; also seeds its random choices.
        host: The host's name.
        address: The address of the host, as IP:PORT.
        history: Receives a record of each request.
        key: Returns the API key to use.
    """

    def __init__(
        self,
        name: str,
        host: str,
        address: str,
        history: History,
        key: Callable[[], str],
    ) -> None:
        self._name = name
        self._host = host
        self._address = address
        self._history = history
        self._key = key
        self._rng = random.Random(name)

    async def run(self, is_stopped: Callable[[], bool]) -> None:
        """Send requests until ``is_stopped`` returns true."""
        number = 0
        timeout = ClientTimeout(total=ANSWER_TIMEOUT * 2, sock_connect=1)
        connector = TCPConnector(limit=1)
        async with ClientSession(
            connector=connector,
            timeout=timeout,
            auto_decompress=False,
        ) as session:
            while not is_stopped():
                number += 1
                wait = await self._send_request(
                    session, f'{self._name}-{number}'
                )
                pause = self._rng.uniform(*PAUSE_RANGE)
                await asyncio.sleep(min(1, max(wait, pause)))

    async def _send_request(
        self, session: ClientSession, request_id: str
    ) -> float:
        """Send a request; return its answer's ``Retry-After``, 0 if none."""
        kind = self._rng.choice(tuple(Kind))
        record = RequestRecord(
            request_id, kind, self._host, self._key(), time.monotonic()
        )
        record.session = f's{self._rng.randrange(SESSION_COUNT)}'
        self._history.requests_by_id[request_id] = record
        timeout_s = ANSWER_TIMEOUT * 2
        if self._rng.random() < ABANDON_FRACTION:
            record.abandoned = True
            timeout_s = ABANDON_DELAY
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(session, record)
        except (ClientError, TimeoutError, OSError):
            return 0
        finally:
            record.ended_at = time.monotonic()

    async def _exchange(
        self, session: ClientSession, record: RequestRecord
    ) -> float:
        """Send a request, and record its answer as far as it is received."""
        headers = {
            **request_headers(record.request_id, record.key),
            'Nutmegroad-Deadline-Ms': str(int(ANSWER_TIMEOUT * 1000)),
            'Session': record.session,
        }
        async with session.post(
            f'http://{self._address}/{record.kind.value}/1',
            headers=headers,
            data=self._body(),
        ) as answer:
            record.status = answer.status
            record.signed = SIGNATURE in answer.headers
            async for chunk in answer.content.iter_any():
                record.body += chunk
            record.complete = True
            return float(answer.headers.get('Retry-After', 0))

    def _body(self) -> bytes | AsyncIterator[bytes]:
        """Return a short body, or a long one that is sent slowly."""
        if self._rng.random() >= SLOW_BODY_FRACTION:
            return b'body'
        return _slow_body()


async def _slow_body() -> AsyncIterator[bytes]:
    """Yield a long body in chunks, with pauses."""
    for _ in range(SLOW_BODY_CHUNKS):
        yield b'x' * 10_000
        await asyncio.sleep(CHUNK_INTERVAL)
