"""In-memory platform of a randomized run: rows, objects, lists and ratings."""

import random
from collections import defaultdict, deque
from collections.abc import Callable
from typing import Final

from experiments.configuration.memory_platform import (
    HostPlatform,
    MemoryPlatform,
    WrittenRow,
)
from nutmegroad.contracts.platform import (
    ABSENT,
    Listing,
    RatedAnswer,
    Rating,
    Row,
    RowKey,
    RowVersion,
    RowWrite,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal, ResultCode

#: Maximum number of past versions of a row that stale reads can return.
_MAX_ROW_VERSIONS: Final = 30
#: Maximum number of retained ratings.
_MAX_RATINGS: Final = 5_000
_LOADS_PER_MINUTE: Final = 6.0


class SoakPlatform(MemoryPlatform):
    """All services of the platform, shared by all hosts.

    Attributes:
        listing: The host list that reads return; it may be out of date.
        ratings: The most recent ratings.
        low_rated: Versions whose answers receive low ratings.
        on_row_written: Called with each row that is written.
    """

    def __init__(self, clock: Clock, randomness: random.Random) -> None:
        super().__init__(clock, randomness)
        self.listing = Listing((), ())
        self.ratings: deque[Rating] = deque(maxlen=_MAX_RATINGS)
        self.low_rated: set[str] = set()
        self.on_row_written: Callable[[Row], None] = _ignore_row
        self._row_history: dict[RowKey, deque[WrittenRow]] = defaultdict(
            lambda: deque(maxlen=_MAX_ROW_VERSIONS),
        )

    def scan_rows(self, prefix: str) -> tuple[Row, ...]:
        """Return the rows whose keys start with a prefix."""
        keys = sorted(key for key in self._rows if key.startswith(prefix))
        return tuple(self._rows[key] for key in keys)

    def object_names(self, prefix: str) -> tuple[str, ...]:
        """Return the names of the objects that start with a prefix."""
        return tuple(
            sorted(name for name in self.objects if name.startswith(prefix)),
        )

    def rate(self, answer: RatedAnswer) -> None:
        """Rate an answer immediately; the next read returns the rating."""
        is_bad = answer.version in self.low_rated
        rating = Rating(
            (self.ratings[-1].position + 1) if self.ratings else 1,
            answer.request,
            answer.task,
            answer.version,
            self._randomness.uniform(0.2, 0.4) if is_bad else 0.95,
        )
        self.ratings.append(rating)

    def _put(self, write: RowWrite) -> Row:
        row = Row(write.key, write.text, RowVersion(write.expected + 1))
        self._rows[write.key] = row
        self._row_history[write.key].append(WrittenRow(self._clock.now(), row))
        self.on_row_written(row)
        return row

    def _row_at(self, key: RowKey, moment: float) -> Row:
        """Return a row as it was at a given time."""
        before = Row(key, '', ABSENT)
        for written in self._row_history[key]:
            if written.at <= moment:
                before = written.row
        return before


class SoakHostPlatform(HostPlatform):
    """The platform as accessed by one host, with all its services."""

    _platform: SoakPlatform

    async def scan(self, prefix: str) -> tuple[Row, ...] | Refusal:
        """Return the rows whose keys start with a prefix."""
        return await self._call(lambda: self._platform.scan_rows(prefix))

    async def fetch(self, name: str) -> bytes | Refusal:
        """Return the content of an object."""
        found = await self._call(lambda: self._platform.objects.get(name))
        if found is None:
            reason = f'There is no object {name}.'
            return Refusal(ResultCode.OBJECT_MISSING, reason)
        return found

    async def names(self, prefix: str) -> tuple[str, ...] | Refusal:
        """Return the names of the objects that start with a prefix."""
        return await self._call(lambda: self._platform.object_names(prefix))

    async def listing(self) -> Listing | Refusal:
        """Return the host list."""
        return await self._call(lambda: self._platform.listing)

    async def submit(self, answer: RatedAnswer) -> Refusal | None:
        """Submit an answer for rating."""
        return await self._call(lambda: self._platform.rate(answer))

    async def feed(self, after: int) -> tuple[Rating, ...] | Refusal:
        """Return the ratings after a position."""
        return await self._call(
            lambda: tuple(
                rating
                for rating in self._platform.ratings
                if rating.position > after
            ),
        )

    async def loads_per_minute(self) -> float | Refusal:
        """Return the throughput of the weight store, in loads per minute."""
        return await self._call(lambda: _LOADS_PER_MINUTE)


def _ignore_row(row: Row) -> None:
    """Ignore a written row; the default of ``on_row_written``."""
