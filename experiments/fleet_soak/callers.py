"""Callers of the soak: they keep connections, leave, repeat by the rules."""

import asyncio
import random
import time
from collections.abc import AsyncIterator, Callable
from typing import Final

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from experiments.fleet_soak.history import Asked, History, Kind

#: The host name of all routes.
ROUTER: Final = 'router.example'

#: The header by which a worker proves that an answer is its own.
SIGNATURE: Final = 'Nutmegroad-Response-Signature'

#: Seconds that a caller waits for its answer, and between two requests.
PATIENCE: Final = 4.0
PAUSES: Final = (0.02, 0.25)

#: Sessions that requests belong to; each comes to all hosts.
SESSIONS: Final = 60

#: Part of the requests whose caller leaves before the answer, and how soon.
LEAVING: Final = 0.03
LEAVES_AFTER: Final = 0.05

#: Part of the bodies that are long and are sent slowly.
SLOW_BODIES: Final = 0.05
SLOW_PIECES: Final = 5


def headers_of(request: str, key: str) -> dict[str, str]:
    """Return the headers that each request of a caller has."""
    return {
        'Host': ROUTER,
        'Nutmegroad-Request-Id': request,
        'Authorization': f'Bearer {key}',
    }


class Caller:
    """Sends one request after another to one host.

    Args:
        name: Begins the ids of its requests.
        host: The host's name.
        address: Where the host is reached.
        history: What is seen.
        key: Returns the key to use now.
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
        self._randomness = random.Random(name)

    async def run(self, until: Callable[[], bool]) -> None:
        """Send requests until told to stop."""
        number = 0
        timeout = ClientTimeout(total=PATIENCE * 2, sock_connect=1)
        connector = TCPConnector(limit=1)
        async with ClientSession(
            connector=connector,
            timeout=timeout,
            auto_decompress=False,
        ) as session:
            while not until():
                number += 1
                wait = await self._ask(session, f'{self._name}-{number}')
                pause = self._randomness.uniform(*PAUSES)
                await asyncio.sleep(min(1, max(wait, pause)))

    async def _ask(self, session: ClientSession, request: str) -> float:
        """Send one request; return the seconds to wait before the next."""
        kind = self._randomness.choice(tuple(Kind))
        asked = Asked(request, kind, self._host, self._key(), time.monotonic())
        asked.session = f's{self._randomness.randrange(SESSIONS)}'
        self._history.asked[request] = asked
        patience = PATIENCE * 2
        if self._randomness.random() < LEAVING:
            asked.left_early = True
            patience = LEAVES_AFTER
        try:
            async with asyncio.timeout(patience):
                return await self._exchange(session, asked)
        except (ClientError, TimeoutError, OSError):
            return 0
        finally:
            asked.ended = time.monotonic()

    async def _exchange(self, session: ClientSession, asked: Asked) -> float:
        """Send a request and take its answer in, as far as it comes."""
        headers = {
            **headers_of(asked.request, asked.key),
            'Nutmegroad-Deadline-Ms': str(int(PATIENCE * 1000)),
            'Session': asked.session,
        }
        async with session.post(
            f'http://{self._address}/{asked.kind.value}/1',
            headers=headers,
            data=self._body(),
        ) as answer:
            asked.status = answer.status
            asked.signed = SIGNATURE in answer.headers
            async for piece in answer.content.iter_any():
                asked.body += piece
            asked.whole = True
            return float(answer.headers.get('Retry-After', 0))

    def _body(self) -> bytes | AsyncIterator[bytes]:
        """Return a short body, or a long one that comes slowly."""
        if self._randomness.random() >= SLOW_BODIES:
            return b'body'
        return _slow_body()


async def _slow_body() -> AsyncIterator[bytes]:
    """Yield a long body, piece by piece."""
    for _ in range(SLOW_PIECES):
        yield b'x' * 10_000
        await asyncio.sleep(LEAVES_AFTER)
