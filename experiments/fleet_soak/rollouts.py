"""Rollouts of a soak: the operator orders one and waits for its outcome."""

import asyncio
import base64
import itertools
import json
import time
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

from experiments.fleet_soak.history import (
    History,
    OrderedRollout,
    RolloutOutcome,
)
from experiments.fleet_soak.workers import Workers

#: Time limit of a rollout in seconds.
DURATION: Final = 12.0

#: Seconds after that in which hosts may still write the outcome.
STATUS_GRACE: Final = 4.0

#: Seconds between two calls to the store.
POLL_INTERVAL: Final = 0.2

#: Fraction of requests that a bad version fails.
FAILURE_FRACTION: Final = 0.5


class RolloutFleet(Protocol):
    """The part of a fleet that rollouts use."""

    history: History
    workers: Workers

    async def put(self, table: str, key: str, content: bytes) -> bool:
        """Write a row; return whether the store acknowledged it."""

    async def row(self, table: str, key: str) -> str:
        """Return a row's value, encoded in base64; empty if there is none."""


class Rollouts:
    """Orders rollouts, one at a time.

    Args:
        fleet: The fleet.
        clock: Returns monotonic seconds.
        sleep: Waits for a number of seconds.
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
        self._rollout_lock = asyncio.Lock()

    async def order(self, *, bad: bool) -> None:
        """Order a rollout and wait for its outcome, unless one is running.

        If the rollout succeeds, the old version's workers are stopped; else the
        new version's.
        """
        if self._rollout_lock.locked():
            return
        async with self._rollout_lock:
            version = f'v{next(self._numbers)}'
            await self._fleet.workers.start_version(
                version, FAILURE_FRACTION if bad else 0
            )
            order = await self._place_order(version, bad=bad)
            order.outcome = await self._wait_for_outcome(order)
            order.ended_at = self._clock()
            if order.outcome is RolloutOutcome.SUCCEEDED:
                await self._fleet.workers.promote_version()
            else:
                await self._fleet.workers.discard_version()

    async def _place_order(self, version: str, *, bad: bool) -> OrderedRollout:
        """Write an order until the store acknowledges it."""
        document = {'service': 'desk', 'to': version, 'durationS': DURATION}
        content = json.dumps(document).encode()
        order = OrderedRollout(version, bad, self._clock(), DURATION)
        self._fleet.history.rollouts.append(order)
        while not await self._fleet.put('op', 'rollout/desk', content):
            await self._sleep(POLL_INTERVAL)
        order.ordered_at = self._clock()
        return order

    async def _wait_for_outcome(self, order: OrderedRollout) -> RolloutOutcome:
        """Return the outcome that hosts write; ``RUNNING`` after a timeout."""
        latest = order.ordered_at + DURATION + STATUS_GRACE
        while self._clock() < latest:
            await self._sleep(POLL_INTERVAL)
            text = await self._fleet.row('status', 'rollout/desk')
            if not text:
                continue
            status = json.loads(base64.b64decode(text))
            state = RolloutOutcome(status['state'])
            if (
                status['to'] == order.version
                and state is not RolloutOutcome.RUNNING
            ):
                return state
        return RolloutOutcome.RUNNING
