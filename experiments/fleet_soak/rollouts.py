"""Roll-outs of a soak: an operator orders one and heeds what hosts write."""

import asyncio
import base64
import itertools
import json
import time
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

from experiments.fleet_soak.history import History, OrderedRollout, RolloutEnd
from experiments.fleet_soak.workers import Workers

#: Seconds that hosts may take to carry a roll-out out.
DURATION: Final = 12.0

#: Seconds after that in which their last word may still come.
LAST_WORD: Final = 4.0

#: Seconds between two looks at what they have written.
LOOK: Final = 0.2

#: Part of the requests that a bad version fails.
FAILING: Final = 0.5


class RolloutFleet(Protocol):
    """What a roll-out needs of a fleet."""

    history: History
    workers: Workers

    async def put(self, table: str, key: str, content: bytes) -> bool:
        """Write a row; tell whether that was acknowledged."""

    async def row(self, table: str, key: str) -> str:
        """Return a row's value as the store gives it; empty if it has none."""


class Rollouts:
    """Orders roll-outs, one at a time.

    Args:
        fleet: Where.
        clock: Returns monotonic seconds.
        sleep: Waits for seconds.
    """

    def __init__(
        self,
        fleet: RolloutFleet,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._sleep = sleep
        self._numbers = itertools.count(2)
        self._one_at_a_time = asyncio.Lock()

    async def order(self, *, bad: bool) -> None:
        """Order a roll-out, unless one is under way, and heed its end."""
        if self._one_at_a_time.locked():
            return
        async with self._one_at_a_time:
            version = f'v{next(self._numbers)}'
            await self._fleet.workers.begin_version(
                version, FAILING if bad else 0
            )
            order = await self._write(version, bad=bad)
            order.end = await self._wait(order)
            order.ended = self._clock()
            if order.end is RolloutEnd.SUCCEEDED:
                await self._fleet.workers.keep_version()
            else:
                await self._fleet.workers.drop_version()

    async def _write(self, version: str, *, bad: bool) -> OrderedRollout:
        """Write an order until that is acknowledged."""
        document = {'service': 'desk', 'to': version, 'durationS': DURATION}
        content = json.dumps(document).encode()
        order = OrderedRollout(version, bad, self._clock(), DURATION)
        self._fleet.history.rollouts.append(order)
        while not await self._fleet.put('op', 'rollout/desk', content):
            await self._sleep(LOOK)
        order.ordered = self._clock()
        return order

    async def _wait(self, order: OrderedRollout) -> RolloutEnd:
        """Return what hosts have written in the end."""
        latest = order.ordered + DURATION + LAST_WORD
        while self._clock() < latest:
            await self._sleep(LOOK)
            text = await self._fleet.row('status', 'rollout/desk')
            if not text:
                continue
            status = json.loads(base64.b64decode(text))
            state = RolloutEnd(status['state'])
            if status['to'] == order.to and state is not RolloutEnd.NONE:
                return state
        return RolloutEnd.NONE
