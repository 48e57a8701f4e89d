"""Probes of a store that does not answer.

A host follows several tables. While the store is unavailable, the follower of
one table asks again for all of them; the others wait for its answer, so a long
outage costs one series of calls a host and not one for each table.
"""

import asyncio
from collections.abc import Coroutine
from contextlib import suppress
from typing import Any, Final

from nutmegroad.foundations.clocks import Clock

#: Seconds after which a failed call is no longer reported to other hosts.
REPORT_SECONDS: Final = 60.0


class StoreProbes:
    """Chooses the table whose follower asks again."""

    def __init__(self) -> None:
        # The table whose follower asks; None while the store answers.
        self._table: str | None = None
        self._answered = asyncio.Event()

    def claim(self, table: str) -> bool:
        """Return whether the follower of a table is the one that asks again."""
        if self._table is None:
            self._table = table
            self._answered.clear()
        return self._table == table

    def record_answer(self) -> None:
        """Record that a call was answered, by whichever source."""
        self._table = None
        self._answered.set()

    async def wait(
        self, seconds: float, update: Coroutine[Any, Any, object]
    ) -> None:
        """Wait for the answer to a probe.

        Args:
            seconds: Maximum time to wait.
            update: Completes when another host sends an update, which ends the
                wait too.
        """
        waits = (
            asyncio.ensure_future(self._answered.wait()),
            asyncio.ensure_future(update),
        )
        try:
            await asyncio.wait(
                waits, timeout=seconds, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for each in waits:
                each.cancel()
            with suppress(asyncio.CancelledError):
                await asyncio.gather(*waits)


class OutageRecord:
    """The last time at which the store is known to have been unreachable.

    A host learns it from its own calls and from the host that reads the store
    for it. The store became reachable again between the last call that failed
    and the first one that was answered.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        #: Clock seconds at which the last failed call was made.
        self.last_failed = float('-inf')

    def record_failure(self, asked: float) -> None:
        """Record a call that was not answered.

        Args:
            asked: Clock seconds at which it was made.
        """
        self.last_failed = max(self.last_failed, asked)

    def merge_age(self, age: float) -> None:
        """Record the age of the last failed call of another host.

        Args:
            age: Seconds since that call; 0 for none.
        """
        if 0 < age < REPORT_SECONDS:
            self.record_failure(self._clock.now() - age)

    def age(self) -> float:
        """Return the seconds since the last failed call; 0 for none."""
        age = self._clock.now() - self.last_failed
        return age if age < REPORT_SECONDS else 0
