"""What the platform gives: a Protocol for each of its services.

Adapters register themselves under these kinds (see ``registry``):
``table``, ``objects``, ``host list``, ``ratings`` and ``weights``.
"""

from dataclasses import dataclass
from typing import NewType, Protocol

from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import (
    HostInfo,
    RequestId,
    TaskName,
    UpstreamInfo,
    VersionId,
)

RowKey = NewType('RowKey', str)
RowVersion = NewType('RowVersion', int)

#: The version that a row has before it is first written.
ABSENT = RowVersion(0)


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table service.

    Attributes:
        key: Its name.
        text: Its value.
        version: Grows by one with each write; ``ABSENT`` if never written.
    """

    key: RowKey
    text: str
    version: RowVersion


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A write that takes effect only on the expected version.

    Attributes:
        key: The row.
        text: Its new value.
        expected: The version that the row must have; ``ABSENT`` for none.
    """

    key: RowKey
    text: str
    expected: RowVersion


@dataclass(frozen=True, slots=True)
class Conflict:
    """A write did not take effect, since a row had moved on.

    It is false, as a refusal is.

    Attributes:
        row: The row as it stands; version ``ABSENT`` if there is none.
    """

    row: Row

    def __bool__(self) -> bool:
        """Return false, always."""
        return False


class Table(Protocol):
    """The transactional table service.

    A refusal whose ``ran`` is ``UNKNOWN`` may hide a write that took
    effect; the writer reads back and looks for its own nonce.
    """

    async def read(self, key: RowKey) -> Row | Refusal:
        """Return a row; one that was never written has ``ABSENT``."""

    async def scan(self, prefix: str) -> tuple[Row, ...] | Refusal:
        """Return the rows whose keys begin with ``prefix``, in order."""

    async def commit(
        self,
        writes: tuple[RowWrite, ...],
    ) -> tuple[Row, ...] | Conflict | Refusal:
        """Do all the writes or none, and return the new rows."""


class Objects(Protocol):
    """The object store; an object never changes once it is stored."""

    async def put(self, name: str, content: bytes) -> Refusal | None:
        """Store an object; storing the same again changes nothing."""

    async def fetch(self, name: str) -> bytes | Refusal:
        """Return an object's content."""

    async def names(self, prefix: str) -> tuple[str, ...] | Refusal:
        """Return the names that begin with ``prefix``, in order."""


@dataclass(frozen=True, slots=True)
class Listing:
    """What the host list says at one moment; it lags behind the truth.

    Attributes:
        hosts: Entry hosts of ours.
        upstreams: Engines and plain services.
    """

    hosts: tuple[HostInfo, ...]
    upstreams: tuple[UpstreamInfo, ...]


class HostList(Protocol):
    """The lagging list of live and leaving hosts."""

    async def listing(self) -> Listing | Refusal:
        """Return the list as the platform has it."""


@dataclass(frozen=True, slots=True)
class RatedAnswer:
    """An answer that is given to the rating service.

    Attributes:
        request: Its request.
        task: The task class.
        version: The version that wrote it.
        text: The whole answer.
    """

    request: RequestId
    task: TaskName
    version: VersionId
    text: str


@dataclass(frozen=True, slots=True)
class Rating:
    """A rating that came back.

    Attributes:
        position: Place in the feed; the next read starts after it.
        request: Its request.
        task: The task class.
        version: The version that was rated.
        score: From 0 (useless) to 1 (perfect).
    """

    position: int
    request: RequestId
    task: TaskName
    version: VersionId
    score: float


class Ratings(Protocol):
    """The rating service: answers go in, ratings come out later."""

    async def submit(self, answer: RatedAnswer) -> Refusal | None:
        """Hand an answer in for rating."""

    async def feed(self, after: int) -> tuple[Rating, ...] | Refusal:
        """Return ratings whose position is greater than ``after``."""


class Weights(Protocol):
    """The weight store, as far as we need it: how many loads it bears."""

    async def loads_per_minute(self) -> float | Refusal:
        """Return how many weight loads a minute the store serves."""
