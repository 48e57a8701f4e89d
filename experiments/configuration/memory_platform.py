"""A simulated platform in memory, which injects faults into its calls.

It drops calls, delays them, executes a write and loses the reply, executes a
write after the caller timed out, and serves reads that are stale by a bounded
time.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final, TypeVar

from nutmegroad.contracts.platform import (
    ABSENT,
    Conflict,
    Row,
    RowKey,
    RowVersion,
    RowWrite,
)
from nutmegroad.foundations._owned_tasks import OwnedTasks
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import DomainId, Ran

#: Seconds after which a call times out, as in the HTTP adapter.
CALL_TIMEOUT: Final = 2.0

Outcome = TypeVar('Outcome')


@dataclass(slots=True)
class TableFaults:
    """Faults that the platform injects into calls.

    Attributes:
        delay: Minimum and maximum delay of a call and of its reply, in
            seconds.
        drop: Fraction of calls that never arrive.
        lose_reply: Fraction of calls that are executed and whose reply is
            lost.
        stale: Fraction of reads that return an earlier state of the row.
        lag: Maximum age of that state, in seconds.
        down: Whether every call is refused without being executed.
        cut: Failure domains whose calls do not arrive.
    """

    delay: tuple[float, float] = (0.001, 0.02)
    drop: float = 0
    lose_reply: float = 0
    stale: float = 0
    lag: float = 0
    down: bool = False
    cut: set[DomainId] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class WrittenRow:
    """A row and the time of its write.

    Attributes:
        at: Time of the write, in seconds of the platform's clock.
        row: The row that was written.
    """

    at: float
    row: Row


class MemoryPlatform:
    """The table and the object store that all hosts share.

    Args:
        clock: Clock for delays, time-outs and the times of writes.
        randomness: Decides which faults a call meets.

    Attributes:
        faults: Faults to inject; may be changed at any time.
        objects: Contents of the stored objects, by name.
        write_log: All row writes, in order.
    """

    def __init__(self, clock: Clock, randomness: random.Random) -> None:
        self.faults = TableFaults()
        self.objects: dict[str, bytes] = {}
        self.write_log: deque[WrittenRow] = deque()
        self._clock = clock
        self._randomness = randomness
        self._rows: dict[RowKey, Row] = {}
        self._tasks = OwnedTasks()

    async def aclose(self) -> None:
        """Cancel the calls in flight."""
        await self._tasks.aclose()

    def read_row(self, key: RowKey) -> Row:
        """Return a row, or an earlier state of it if the read is stale."""
        present = self._rows.get(key) or Row(key, '', ABSENT)
        if not self._occurs(self.faults.stale):
            return present
        oldest = self._clock.now() - self.faults.lag
        return self._row_at(
            key, self._randomness.uniform(oldest, self._clock.now())
        )

    def commit(
        self,
        writes: tuple[RowWrite, ...],
    ) -> tuple[Row, ...] | Conflict:
        """Apply all the writes, or none if one of them conflicts."""
        for write in writes:
            row = self._rows.get(write.key) or Row(write.key, '', ABSENT)
            if row.version != write.expected:
                return Conflict(row)
        return tuple(self._put(write) for write in writes)

    async def call(
        self,
        domain: DomainId,
        action: Callable[[], Outcome],
    ) -> Outcome | Refusal:
        """Execute a call subject to the faults, and return its outcome.

        Args:
            domain: Failure domain of the calling host.
            action: What the platform does when the call arrives. It may run
                after the caller timed out.
        """
        if self.faults.down:
            return _refuse('The platform is unavailable.', Ran.NOT_RUN)
        reply: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        if domain not in self.faults.cut:
            self._tasks.start(self._deliver(action, reply))
        timeout = asyncio.ensure_future(self._clock.sleep(CALL_TIMEOUT))
        either: set[asyncio.Future[Any]] = {reply, timeout}
        await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
        timeout.cancel()
        if reply.done():
            return reply.result()
        return _refuse(
            'The platform did not reply within the timeout.', Ran.UNKNOWN
        )

    async def _deliver(
        self,
        action: Callable[[], Outcome],
        reply: asyncio.Future[Outcome],
    ) -> None:
        """Deliver a call, execute it and deliver the reply."""
        faults = self.faults
        await self._clock.sleep(self._randomness.uniform(*faults.delay))
        if self._occurs(faults.drop):
            return
        outcome = action()
        if self._occurs(faults.lose_reply):
            return
        await self._clock.sleep(self._randomness.uniform(*faults.delay))
        if not reply.done():
            reply.set_result(outcome)

    def _put(self, write: RowWrite) -> Row:
        row = Row(write.key, write.text, RowVersion(write.expected + 1))
        self._rows[write.key] = row
        self.write_log.append(WrittenRow(self._clock.now(), row))
        return row

    def _row_at(self, key: RowKey, moment: float) -> Row:
        """Return the state of a row at an earlier moment."""
        past = [
            written.row
            for written in self.write_log
            if written.row.key == key and written.at <= moment
        ]
        return past[-1] if past else Row(key, '', ABSENT)

    def _occurs(self, probability: float) -> bool:
        return probability > 0 and self._randomness.random() < probability


class HostPlatform:
    """One host's client of the platform: a ``Table`` and an ``Objects``.

    Args:
        platform: The platform.
        domain: The failure domain of the host.
        clock: The host's clock; a paused host receives no reply.
    """

    def __init__(
        self,
        platform: MemoryPlatform,
        domain: DomainId,
        clock: Clock,
    ) -> None:
        self._platform = platform
        self._domain = domain
        self._clock = clock

    async def read(self, key: RowKey) -> Row | Refusal:
        """Return a row."""
        return await self._call(lambda: self._platform.read_row(key))

    async def scan(self, prefix: str) -> tuple[Row, ...] | Refusal:
        """Return no rows; the configuration code scans none."""
        return ()

    async def commit(
        self,
        writes: tuple[RowWrite, ...],
    ) -> tuple[Row, ...] | Conflict | Refusal:
        """Apply all the writes, or none if one of them conflicts."""
        return await self._call(lambda: self._platform.commit(writes))

    async def put(self, name: str, content: bytes) -> Refusal | None:
        """Store an object unless one of that name exists."""
        stored = await self._call(
            lambda: self._platform.objects.setdefault(name, content),
        )
        return stored if isinstance(stored, Refusal) else None

    async def fetch(self, name: str) -> bytes | Refusal:
        """Return an object's content."""
        return await self._call(lambda: self._platform.objects[name])

    async def names(self, prefix: str) -> tuple[str, ...] | Refusal:
        """Return no names; the configuration code lists none."""
        return ()

    async def _call(self, action: Callable[[], Outcome]) -> Outcome | Refusal:
        outcome = await self._platform.call(self._domain, action)
        # A host that was paused meanwhile receives the reply on resuming.
        await self._clock.sleep(0)
        return outcome


def _refuse(reason: str, ran: Ran) -> Refusal:
    return Refusal(ResultCode.TABLE_UNAVAILABLE, reason, ran, retry_after=1)
