"""A platform in memory for randomised runs, as seen by each host.

It drops calls, delays them, does a write and loses the reply, does a write
after its caller gave up, and serves reads that lag by a bounded time.
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

#: Seconds after which a caller gives a call up, as the HTTP adapter does.
CALL_TIMEOUT: Final = 2.0

Outcome = TypeVar('Outcome')


@dataclass(slots=True)
class TableFaults:
    """How calls of the platform go.

    Attributes:
        delay: Least and greatest seconds of each way.
        drop: Share of calls that never arrive.
        lose_reply: Share of calls that are done and whose reply is lost.
        stale: Share of reads that see rows as they were.
        lag: Seconds by which such reads lag at most.
        down: Whether every call is refused, not run.
        cut: Domains whose calls do not arrive.
    """

    delay: tuple[float, float] = (0.001, 0.02)
    drop: float = 0
    lose_reply: float = 0
    stale: float = 0
    lag: float = 0
    down: bool = False
    cut: set[DomainId] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Written:
    """A row as it was written.

    Attributes:
        at: Clock seconds of the write.
        row: The row.
    """

    at: float
    row: Row


class MemoryPlatform:
    """Rows and objects that all hosts share.

    Args:
        clock: Time.
        randomness: Draws what becomes of each call.

    Attributes:
        faults: How calls go; may be changed at any time.
        objects: Stored objects.
        log: All rows that were ever written, in order.
    """

    def __init__(self, clock: Clock, randomness: random.Random) -> None:
        self.faults = TableFaults()
        self.objects: dict[str, bytes] = {}
        self.log: deque[Written] = deque()
        self._clock = clock
        self._randomness = randomness
        self._rows: dict[RowKey, Row] = {}
        self._tasks = OwnedTasks()

    async def aclose(self) -> None:
        """End the calls that are under way."""
        await self._tasks.aclose()

    def read_row(self, key: RowKey) -> Row:
        """Return a row, or one of a little before."""
        present = self._rows.get(key) or Row(key, '', ABSENT)
        if not self._draws(self.faults.stale):
            return present
        oldest = self._clock.now() - self.faults.lag
        return self._row_at(
            key, self._randomness.uniform(oldest, self._clock.now())
        )

    def commit(
        self,
        writes: tuple[RowWrite, ...],
    ) -> tuple[Row, ...] | Conflict:
        """Do all the writes or none."""
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
        """Carry a call there and back, with its faults."""
        if self.faults.down:
            return _refuse('The platform is down.', Ran.NOT_RUN)
        reply: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        if domain not in self.faults.cut:
            self._tasks.start(self._carry(action, reply))
        timeout = asyncio.ensure_future(self._clock.sleep(CALL_TIMEOUT))
        either: set[asyncio.Future[Any]] = {reply, timeout}
        await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
        timeout.cancel()
        if reply.done():
            return reply.result()
        return _refuse('The platform did not reply.', Ran.UNKNOWN)

    async def _carry(
        self,
        action: Callable[[], Outcome],
        reply: asyncio.Future[Outcome],
    ) -> None:
        faults = self.faults
        await self._clock.sleep(self._randomness.uniform(*faults.delay))
        if self._draws(faults.drop):
            return
        outcome = action()
        if self._draws(faults.lose_reply):
            return
        await self._clock.sleep(self._randomness.uniform(*faults.delay))
        if not reply.done():
            reply.set_result(outcome)

    def _put(self, write: RowWrite) -> Row:
        row = Row(write.key, write.text, RowVersion(write.expected + 1))
        self._rows[write.key] = row
        self.log.append(Written(self._clock.now(), row))
        return row

    def _row_at(self, key: RowKey, moment: float) -> Row:
        """Return a row as it was."""
        past = [
            written.row
            for written in self.log
            if written.row.key == key and written.at <= moment
        ]
        return past[-1] if past else Row(key, '', ABSENT)

    def _draws(self, share: float) -> bool:
        return share > 0 and self._randomness.random() < share


class HostPlatform:
    """The platform as one host sees it: a ``Table`` and an ``Objects``.

    Args:
        platform: The platform.
        domain: The domain of the host.
        clock: The host's clock; a paused host gets no reply.
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
        """Return no rows; the configuration scans none."""
        return ()

    async def commit(
        self,
        writes: tuple[RowWrite, ...],
    ) -> tuple[Row, ...] | Conflict | Refusal:
        """Do all the writes or none."""
        return await self._call(lambda: self._platform.commit(writes))

    async def put(self, name: str, content: bytes) -> Refusal | None:
        """Store an object."""
        stored = await self._call(
            lambda: self._platform.objects.setdefault(name, content),
        )
        return stored if isinstance(stored, Refusal) else None

    async def fetch(self, name: str) -> bytes | Refusal:
        """Return an object's content."""
        return await self._call(lambda: self._platform.objects[name])

    async def names(self, prefix: str) -> tuple[str, ...] | Refusal:
        """Return no names; the configuration lists none."""
        return ()

    async def _call(self, action: Callable[[], Outcome]) -> Outcome | Refusal:
        outcome = await self._platform.call(self._domain, action)
        # A host that is paused meanwhile sees the reply when it resumes.
        await self._clock.sleep(0)
        return outcome


def _refuse(reason: str, ran: Ran) -> Refusal:
    return Refusal(ResultCode.TABLE_UNAVAILABLE, reason, ran, retry_after=1)
