"""Keeps links to the wanted addresses, one task for each."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Final

from nutmegroad._dialing import Backoff, Pacer
from nutmegroad._link_context import LinkContext
from nutmegroad.types import Address

#: A link that lasted for so many seconds ends the row of failures.
_STEADY: Final = 10.0

Connect = Callable[[Address], Awaitable[bool]]


class Dialer:
    """Connects, and connects again after a wait with jitter.

    Args:
        context: Time, randomness and limits.
        connect: Connects to an address; true if there is a link then.
        is_linked: Tells whether there is a link to an address.
    """

    def __init__(
        self,
        context: LinkContext,
        connect: Connect,
        is_linked: Callable[[Address], bool],
    ) -> None:
        limits = context.limits
        self._clock = context.clock
        self._connect = connect
        self._is_linked = is_linked
        self._pacer = Pacer(context.clock, limits.dials)
        self._backoff = Backoff(
            limits.first_wait,
            limits.most_wait,
            context.randomness,
        )
        self._tasks: dict[Address, asyncio.Task[None]] = {}
        self._lost: dict[Address, asyncio.Event] = {}

    def keep_links(self, addresses: Iterable[Address]) -> frozenset[Address]:
        """Keep links to these addresses, and no longer to others.

        Links that exist are left; only no new ones are made.
        """
        wanted = frozenset(addresses)
        for old in self._tasks.keys() - wanted:
            self._tasks.pop(old).cancel()
            self._lost.pop(old)
        for new in sorted(wanted - self._tasks.keys(), key=str):
            self._lost[new] = asyncio.Event()
            self._tasks[new] = asyncio.ensure_future(self._keep(new))
        return wanted

    def link_lost(self) -> None:
        """Let all tasks look again whether their link is there."""
        for lost in self._lost.values():
            lost.set()

    async def aclose(self) -> None:
        """End all tasks."""
        tasks = tuple(self._tasks.values())
        self.keep_links(())
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _keep(self, address: Address) -> None:
        failures = 0
        while True:
            await self._clock.sleep(self._backoff.delay(failures))
            if not await self._reach(address):
                failures += 1
                continue
            began = self._clock.now()
            await self._wait_until_lost(address)
            lasted = self._clock.now() - began
            failures = 0 if lasted > _STEADY else failures + 1

    async def _reach(self, address: Address) -> bool:
        if self._is_linked(address):
            return True
        await self._pacer.turn()
        if self._is_linked(address):
            return True
        return await self._connect(address)

    async def _wait_until_lost(self, address: Address) -> None:
        lost = self._lost[address]
        while self._is_linked(address):
            lost.clear()
            await lost.wait()
