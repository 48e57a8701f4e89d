"""Account of the bytes that a host holds for others.

A body is admitted before it is read, by the length that its head announces, so
that what was admitted can be held until its request has ended. If there is no
room, it waits for a short time and is refused then.
"""

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import dataclass
from enum import Enum, unique
from heapq import heappop, heappush
from operator import attrgetter
from typing import Final

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.overload.slow_callers import Close, SlowCallers

_LOG: Final = part_logger('overload')

#: Fraction of the memory limit that is divided. The rest is for copies, and for
#: memory that the allocator has not returned.
USABLE_FRACTION: Final = 0.8

#: Fraction of the usable memory above the process's own that is held for
#: requests. The rest is for connections.
HELD_FRACTION: Final = 0.5

#: Memory limit in MB if the settings name none.
DEFAULT_LIMIT_MB: Final = 300

#: A host serves small requests whatever its limit is.
MIN_TOTAL: Final = 8_388_608

#: Bytes that the exchange of a request with an upstream may hold beside its
#: body and a whole answer: what has been received of an answer and is not sent
#: on, and what the caller has not taken, each with one read.
EXCHANGE_BYTES: Final = 262_144

#: Largest body in bytes of a request that counts as small.
SMALL_BODY: Final = 65_536

#: Bytes of a small request with its exchange, and the fraction of the total
#: that is reserved for such requests.
SMALL_BYTES: Final = EXCHANGE_BYTES + SMALL_BODY
SMALL_FRACTION: Final = 0.125

#: Fraction of the large part that one workspace or route may hold while others
#: may want some, and the fraction that has to stay free if it holds more.
SHARE_FRACTION: Final = 0.5
SPARE_FRACTION: Final = 0.25

#: Seconds for which a body waits for room, and how many may wait.
MAX_WAIT: Final = 0.5
MAX_WAITING: Final = 256

#: Minimum seconds after which a refused caller should return, and the factor
#: for bodies that arrive more slowly towards their end.
MIN_RETRY_AFTER: Final = 0.5
RETRY_MARGIN: Final = 1.25

#: Seconds that a body takes of which nothing has arrived yet.
UNKNOWN_BODY_SECONDS: Final = 5.0

_BYTES_PER_MB: Final = 1_048_576


@unique
class HeldPart(Enum):
    """What bytes are held for."""

    BODY = 'bodies'
    ANSWER = 'answers'


@dataclass(frozen=True, slots=True)
class Shortage:
    """Why bytes were not admitted.

    It is false in a boolean context, like a ``Refusal``.

    Attributes:
        size: The bytes that were asked for.
        free: The bytes that were free.
        retry_after: Seconds after which there will likely be room.
    """

    size: int
    free: int
    retry_after: float

    def __bool__(self) -> bool:
        """Return False, always."""
        return False


@dataclass(slots=True)
class _Waiter:
    """A reservation that waits for room."""

    holding: 'Holding'
    part: HeldPart
    size: int
    granted: asyncio.Future[None]


class Holding:
    """The bytes that are held for one request.

    Args:
        budget: The account.
        owners: The workspace and the route of the request.
        began: Clock seconds at which the request arrived.
    """

    def __init__(
        self, budget: 'MemoryBudget', owners: tuple[str, ...], began: float
    ) -> None:
        self._budget = budget
        self.owners = owners
        self.began = began
        #: Bytes of the body that have arrived.
        self.received = 0
        #: Bytes that are held for its body, and in all.
        self.body = 0
        self.size = 0
        self._is_closed = False

    def expected_seconds(self, now: float) -> float:
        """Return the seconds until its body will likely have arrived."""
        left = self.body - self.received
        if left <= 0:
            return 0
        if not self.received:
            return UNKNOWN_BODY_SECONDS
        return (now - self.began) * left / self.received

    def awaiting_caller(self, close: Close) -> AbstractContextManager[None]:
        """Wait in a block until the caller takes more of its answer.

        Args:
            close: Closes the caller's connection, if it takes nothing for long
                while others need the memory.
        """
        return self._budget.slow_callers.waiting(self, close)

    async def reserve(self, part: HeldPart, size: int) -> Shortage | None:
        """Reserve bytes, waiting for a short time if there is no room.

        Returns:
            Why there is none; None if they were reserved.
        """
        if self._is_closed:
            return None
        return await self._budget.reserve(self, part, size)

    def extend(self, part: HeldPart, size: int) -> bool:
        """Reserve bytes if there is room now, and return whether there is."""
        return self._budget.try_reserve(self, part, size)

    def close(self) -> None:
        """Give all bytes back.

        What goes on without its caller, to record an answer, is not counted.
        """
        self._is_closed = True
        if self.size:
            self._budget.release(self)


class MemoryBudget:
    """All bytes that a host holds for others, and who holds them.

    Args:
        total: Maximum number of bytes.
        clock: The host's clock.
    """

    def __init__(self, total: int, clock: Clock) -> None:
        self.total = total
        self._clock = clock
        self._large_total = int(total * (1 - SMALL_FRACTION))
        self._spare = self._large_total * SPARE_FRACTION
        #: The bytes that are held, and those of them that are for bodies.
        self.used = 0
        self.bodies = 0
        self._large = 0
        self._by_owner: Counter[str] = Counter()
        self._waiting: deque[_Waiter] = deque()
        # Holdings that are large; the values are not used.
        self._holders: dict[Holding, None] = {}
        #: Callers that have not taken what was sent to them.
        self.slow_callers: SlowCallers[Holding] = SlowCallers(clock)
        # Clock seconds at which refused callers were told to return.
        self._promised: list[float] = []

    @property
    def free(self) -> int:
        """The bytes that are free for large requests."""
        return self._large_total - self._large

    @property
    def waiting(self) -> int:
        """Number of reservations that wait for room."""
        return len(self._waiting)

    def open(self, *owners: str) -> Holding:
        """Return a holding for a request.

        Args:
            owners: The workspace and the route of the request.
        """
        return Holding(self, owners, self._clock.now())

    async def reserve(
        self, holding: Holding, part: HeldPart, size: int
    ) -> Shortage | None:
        """Reserve bytes for a request; see ``Holding.reserve``."""
        # Large ones are admitted in order of arrival.
        may_pass = not self._waiting or _is_small(holding, size)
        if may_pass and self.try_reserve(holding, part, size):
            return None
        if len(self._waiting) < MAX_WAITING:
            granted = asyncio.get_running_loop().create_future()
            waiter = _Waiter(holding, part, size, granted)
            if await self._wait(waiter):
                return None
        return self._shortage(size)

    def try_reserve(self, holding: Holding, part: HeldPart, size: int) -> bool:
        """Reserve bytes if there is room now; see ``Holding.extend``."""
        if not self._has_room(holding, size):
            return False
        self._add(holding, part, size)
        return True

    def release(self, holding: Holding) -> None:
        """Give the bytes of a holding back; see ``Holding.close``."""
        self.used -= holding.size
        self.bodies -= holding.body
        if holding.size > SMALL_BYTES:
            self._release_large(holding)
        holding.size = 0
        holding.body = 0
        if self._waiting:
            self._grant()

    def _release_large(self, holding: Holding) -> None:
        """Give the bytes of a large holding back."""
        self._large -= holding.size
        self._holders.pop(holding)
        for owner in holding.owners:
            self._by_owner[owner] -= holding.size
            if not self._by_owner[owner]:
                self._by_owner.pop(owner)

    def _has_room(self, holding: Holding, size: int) -> bool:
        """Return whether a holding may grow by a number of bytes now."""
        if self.used + size > self.total:
            return False
        if _is_small(holding, size):
            return True
        grown = _growth(holding, size)
        if self.free < grown:
            return False
        is_alone = self._large + grown == holding.size + size
        if is_alone or self.free - grown >= self._spare:
            return True
        share = self._large_total * SHARE_FRACTION
        return all(
            self._by_owner[owner] + grown <= share for owner in holding.owners
        )

    def _add(self, holding: Holding, part: HeldPart, size: int) -> None:
        """Add bytes to a holding."""
        if not _is_small(holding, size):
            grown = _growth(holding, size)
            self._large += grown
            self._holders[holding] = None
            for owner in holding.owners:
                self._by_owner[owner] += grown
        holding.size += size
        self.used += size
        if part is HeldPart.BODY:
            holding.body += size
            self.bodies += size

    def _grant(self) -> None:
        """Grant what waits, in order, for as long as there is room.

        A holding whose owners have their share holds up nobody else.
        """
        for waiter in tuple(self._waiting):
            if waiter.granted.done():
                continue
            if self.try_reserve(waiter.holding, waiter.part, waiter.size):
                waiter.granted.set_result(None)
            elif self.free < waiter.size:
                return

    async def _wait(self, waiter: _Waiter) -> bool:
        """Wait for room, and return whether it was granted."""
        self._waiting.append(waiter)
        self.slow_callers.close_some(waiter.size, attrgetter('size'))
        try:
            await asyncio.wait((waiter.granted,), timeout=MAX_WAIT)
        finally:
            self._leave(waiter)
        return not waiter.granted.cancelled()

    def _leave(self, waiter: _Waiter) -> None:
        """Remove a waiter; those behind it may have waited for it."""
        self._waiting.remove(waiter)
        waiter.granted.cancel()
        self._grant()

    def _shortage(self, size: int) -> Shortage:
        """Return the shortage of a reservation that was not granted.

        Each caller that is refused is told to return when one more of the large
        holdings has likely ended.
        """
        now = self._clock.now()
        while self._promised and self._promised[0] <= now:
            heappop(self._promised)
        waits = sorted(each.expected_seconds(now) for each in self._holders)
        # Without any, what is small has filled the account.
        waits = waits or [0]
        round_number, place = divmod(len(self._promised), len(waits))
        wait = waits[place]
        if round_number and self._holders:
            # Others return first, and hold what they get for as long.
            wait += round_number * max(
                now - each.began + each.expected_seconds(now)
                for each in self._holders
            )
        retry_after = max(MIN_RETRY_AFTER, wait * RETRY_MARGIN)
        heappush(self._promised, now + retry_after)
        return Shortage(size, max(0, self.free), round(retry_after, 2))


def memory_budget(
    limit_mb: float,
    clock: Clock,
    own_bytes: Callable[[], int],
) -> MemoryBudget:
    """Return the budget of a host that has been built.

    Args:
        limit_mb: Memory limit of the process in MB; 0 if it is not known.
        clock: The host's clock.
        own_bytes: Returns the bytes that the process needs for itself.
    """
    own = own_bytes()
    total = max(MIN_TOTAL, int(_usable(limit_mb, own) * HELD_FRACTION))
    _LOG.decision('memory budget', limit_mb=limit_mb, own=own, total=total)
    return MemoryBudget(total, clock)


def connection_memory(limit_mb: float, own: int) -> int:
    """Return the bytes that connections may hold beside the budget.

    Args:
        limit_mb: Memory limit of the process in MB; 0 if it is not known.
        own: Bytes that the process needs for itself.
    """
    spare = int(_usable(limit_mb, own) * (1 - HELD_FRACTION))
    return max(MIN_TOTAL, spare)


def _usable(limit_mb: float, own: int) -> float:
    """Return the bytes that a process may use beside its own."""
    limit = (limit_mb or DEFAULT_LIMIT_MB) * _BYTES_PER_MB
    return limit * USABLE_FRACTION - own


def _is_small(holding: Holding, size: int) -> bool:
    """Return whether a holding is small with so many more bytes."""
    return holding.size + size <= SMALL_BYTES


def _growth(holding: Holding, size: int) -> int:
    """Return by how much a holding adds to what large ones hold."""
    if holding.size > SMALL_BYTES:
        return size
    return holding.size + size
