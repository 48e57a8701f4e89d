"""Runs of requests: claimed, carried out, settled and billed, each once.

A request with a key or a ticket goes on to its end although its caller
has left, so that a repeat gets its answer.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Final, Self

from nutmegroad.contracts.fences import Fence
from nutmegroad.contracts.upstreams import ServiceReply
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal
from nutmegroad.records.billing import Biller, BillingRecord
from nutmegroad.records.intents import FirstAnswer
from nutmegroad.records.once import Elsewhere, Once, Order, Run
from nutmegroad.records.record_copies import RecordSender

_LOG: Final = part_logger('runs')

#: Seconds that runs whose callers have left are given when the host stops.
LAST_RUNS: Final = 2.0


@dataclass(frozen=True, slots=True)
class Ended:
    """How a run ended here.

    Attributes:
        reply: The answer, or why there is none.
        record: What is billed.
    """

    reply: ServiceReply | Refusal
    record: BillingRecord


#: Carries a request out; its attempts pass the fence.
Work = Callable[[Fence], Awaitable[Ended]]

#: Returns what is billed for a request that was broken off.
BrokenOff = Callable[[], BillingRecord]

#: What became of a request that came to the runner.
Outcome = Ended | FirstAnswer | Elsewhere | Refusal


class Runner:
    """Has requests run at most once, and bills them.

    Args:
        once: Says what may run.
        biller: Takes billing records.
        sender: Hands them to a peer.
    """

    def __init__(
        self, once: Once, biller: Biller, sender: RecordSender
    ) -> None:
        self._once = once
        self._biller = biller
        self._sender = sender
        self._tasks: set[asyncio.Task[Outcome]] = set()

    async def __aenter__(self) -> Self:
        """Begin with no run."""
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Wait a little for runs whose callers have left, and end them."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=LAST_RUNS)
        left = tuple(self._tasks)
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)

    async def run(
        self,
        order: Order,
        work: Work,
        broken_off: BrokenOff,
    ) -> Outcome:
        """Have a request run, unless it ran or runs already.

        Args:
            order: The request.
            work: Carries it out.
            broken_off: Returns what is billed if it is broken off.
        """
        carrying = self._claim_and_carry(order, work, broken_off)
        if order.key or order.ticket:
            return await self._shielded(carrying)
        return await carrying

    async def _shielded(
        self,
        carrying: Coroutine[Any, Any, Outcome],
    ) -> Outcome:
        """Carry out to the end, whether or not the caller waits."""
        task = asyncio.create_task(carrying)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def _claim_and_carry(
        self,
        order: Order,
        work: Work,
        broken_off: BrokenOff,
    ) -> Outcome:
        """Claim a request, and carry it out if it may run here."""
        claim = await self._once.claim(order)
        if not isinstance(claim, Run):
            return claim
        return await self._carry(claim, work, broken_off)

    async def _carry(
        self,
        run: Run,
        work: Work,
        broken_off: BrokenOff,
    ) -> Ended:
        """Carry a run out; whatever happens, it is settled and billed."""
        ended: Ended | None = None
        try:
            ended = await work(run.fence)
        finally:
            if ended is None:
                self._once.give_up(run)
                self._biller.record(broken_off())
        self._biller.record(ended.record)
        reply = await self._once.settle(run, ended.reply)
        await self._sender.hand()
        return Ended(reply, ended.record)
