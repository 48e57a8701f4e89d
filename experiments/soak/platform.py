"""The platform of a randomised run: rows, objects, lists and ratings."""

import random
from collections import defaultdict, deque
from collections.abc import Callable
from typing import Final

from experiments.configuration.memory_platform import (
    HostPlatform,
    MemoryPlatform,
    Written,
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

#: Versions of a row that reads which lag can still see.
_MAX_ROW_VERSIONS: Final = 30
#: Ratings that are kept for their readers.
_MAX_RATINGS: Final = 5_000
_LOADS_PER_MINUTE: Final = 6.0


class SoakPlatform(MemoryPlatform):
    """All services of the platform, shared by all hosts.

    Attributes:
        listing: The host list as it is read now; it lags.
        ratings: Ratings so far.
        bad: Versions whose answers are rated low.
        watch: Called with each row that is written.
    """

    def __init__(self, clock: Clock, randomness: random.Random) -> None:
        super().__init__(clock, randomness)
        self.listing = Listing((), ())
        self.ratings: deque[Rating] = deque(maxlen=_MAX_RATINGS)
        self.low_rated: set[str] = set()
        self.on_row_written: Callable[[Row], None] = _ignore_row
        self._row_history: dict[RowKey, deque[Written]] = defaultdict(
            lambda: deque(maxlen=_MAX_ROW_VERSIONS),
        )

    def scan_rows(self, prefix: str) -> tuple[Row, ...]:
        """Return the rows whose keys begin with a prefix."""
        keys = sorted(key for key in self._rows if key.startswith(prefix))
        return tuple(self._rows[key] for key in keys)

    def object_names(self, prefix: str) -> tuple[str, ...]:
        """Return the names of objects that begin with a prefix."""
        return tuple(
            sorted(name for name in self.objects if name.startswith(prefix)),
        )

    def rate(self, answer: RatedAnswer) -> None:
        """Rate an answer at once; readers see it with their next read."""
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
        self._row_history[write.key].append(Written(self._clock.now(), row))
        self.on_row_written(row)
        return row

    def _row_at(self, key: RowKey, moment: float) -> Row:
        """Return a row as it was."""
        before = Row(key, '', ABSENT)
        for written in self._row_history[key]:
            if written.at <= moment:
                before = written.row
        return before


class SoakHostPlatform(HostPlatform):
    """The platform as one host sees it, all its services."""

    _platform: SoakPlatform

    async def scan(self, prefix: str) -> tuple[Row, ...] | Refusal:
        """Return rows by prefix."""
        return await self._call(lambda: self._platform.scan_rows(prefix))

    async def fetch(self, name: str) -> bytes | Refusal:
        """Return an object's content."""
        found = await self._call(lambda: self._platform.objects.get(name))
        if found is None:
            reason = f'There is no object {name}.'
            return Refusal(ResultCode.OBJECT_MISSING, reason)
        return found

    async def names(self, prefix: str) -> tuple[str, ...] | Refusal:
        """Return names of objects by prefix."""
        return await self._call(lambda: self._platform.object_names(prefix))

    async def listing(self) -> Listing | Refusal:
        """Return the host list."""
        return await self._call(lambda: self._platform.listing)

    async def submit(self, answer: RatedAnswer) -> Refusal | None:
        """Have an answer rated."""
        return await self._call(lambda: self._platform.rate(answer))

    async def feed(self, after: int) -> tuple[Rating, ...] | Refusal:
        """Return later ratings."""
        return await self._call(
            lambda: tuple(
                rating
                for rating in self._platform.ratings
                if rating.position > after
            ),
        )

    async def loads_per_minute(self) -> float | Refusal:
        """Return the weight store's rate."""
        return await self._call(lambda: _LOADS_PER_MINUTE)


def _ignore_row(row: Row) -> None:
    """Watch nothing."""
