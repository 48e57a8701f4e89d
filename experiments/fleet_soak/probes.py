"""Questions to every host for routes that an operator has just added."""

import asyncio
import itertools
import time
from collections.abc import Callable, Sequence
from typing import Final

from aiohttp import ClientError, ClientSession, ClientTimeout

from experiments.fleet_soak.callers import SIGNATURE, headers_of
from experiments.fleet_soak.history import Asked, History, Kind

#: Seconds for which a new route is asked for, and between two questions to a
#: host: the bound, and as much again for those that are late.
PROBED: Final = 4.5
EACH: Final = 0.2

#: Seconds that an answer may take.
PATIENCE: Final = 1.0


class Prober:
    """Asks for routes that are new.

    Args:
        session: What questions are sent by.
        history: What is seen.
        hosts: Returns where each host is reached, in their order.
        key: Returns the key to use now.
    """

    def __init__(
        self,
        session: ClientSession,
        history: History,
        hosts: Callable[[], Sequence[str]],
        key: Callable[[], str],
    ) -> None:
        self._session = session
        self._history = history
        self._hosts = hosts
        self._key = key
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()

    def begin(self, route: str) -> None:
        """Ask for a route from now on, for a while."""
        for number, address in enumerate(self._hosts()):
            work = self._probe(route, f'host-{number}', address)
            task = asyncio.create_task(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def ended(self) -> None:
        """Wait until nothing is asked any more."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def cancel(self) -> None:
        """Ask no more."""
        for task in self._tasks:
            task.cancel()

    async def _probe(self, route: str, host: str, address: str) -> None:
        """Ask one host for a route again and again."""
        latest = time.monotonic() + PROBED
        while time.monotonic() < latest:
            await self._ask(route, host, address)
            await asyncio.sleep(EACH)

    async def _ask(self, route: str, host: str, address: str) -> None:
        """Ask once, and note what came."""
        asked = Asked(
            f'probe-{next(self._numbers)}',
            Kind.LOOK,
            host,
            self._key(),
            time.monotonic(),
            left_early=True,
            route=route,
        )
        self._history.asked[asked.request] = asked
        try:
            async with self._session.post(
                f'http://{address}/{route}/1',
                headers=headers_of(asked.request, asked.key),
                timeout=ClientTimeout(total=PATIENCE),
            ) as answer:
                asked.signed = SIGNATURE in answer.headers
                asked.body = await answer.read()
                asked.status = answer.status
                asked.whole = True
        except (ClientError, TimeoutError, OSError):
            return
        finally:
            asked.ended = time.monotonic()
