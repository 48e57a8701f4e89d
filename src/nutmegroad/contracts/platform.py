"""Protocols of the services that the platform provides.

Adapters are registered as plug-ins of the kinds ``table``, ``objects``,
``host list``, ``ratings`` and ``weights`` (see ``kernel.registry``).
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

#: The version of a row that was never written.
ABSENT = RowVersion(0)


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table service.

    Attributes:
        key: The key.
        text: The value.
        version: Incremented by each write; ``ABSENT`` if never written.
    """

    key: RowKey
    text: str
    version: RowVersion


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A conditional write: it requires the expected version of the row.

    Attributes:
        key: The key of the row.
        text: The new value.
        expected: The version that the row must have; ``ABSENT`` if the row
            must not exist.
    """

    key: RowKey
    text: str
    expected: RowVersion


@dataclass(frozen=True, slots=True)
class Conflict:
    """The result of a commit in which a row had an unexpected version.

    Like a refusal, it is false in a condition.

    Attributes:
        row: The current row; its version is ``ABSENT`` if there is none.
    """

    row: Row

    def __bool__(self) -> bool:
        """Return false."""
        return False


class Table(Protocol):
    """The transactional table service.

    After a refusal whose ``ran`` is ``UNKNOWN`` the write may have taken
    effect; the writer reads the row back and looks for its own nonce.
    """

    async def read(self, key: RowKey) -> Row | Refusal:
        """Return a row; its version is ``ABSENT`` if it was never written."""

    async def scan(self, prefix: str) -> tuple[Row, ...] | Refusal:
        """Return the rows whose keys start with ``prefix``, in order."""

    async def commit(
        self,
        writes: tuple[RowWrite, ...],
    ) -> tuple[Row, ...] | Conflict | Refusal:
        """Apply all writes atomically and return the new rows."""


class Objects(Protocol):
    """The object store; stored objects are immutable."""

    async def put(self, name: str, content: bytes) -> Refusal | None:
        """Store an object; storing the same object again has no effect."""

    async def fetch(self, name: str) -> bytes | Refusal:
        """Return the content of an object."""

    async def names(self, prefix: str) -> tuple[str, ...] | Refusal:
        """Return the object names that start with ``prefix``, in order."""


@dataclass(frozen=True, slots=True)
class Listing:
    """The content of the host list at one time, which may be out of date.

    Attributes:
        hosts: Hosts of this router.
        upstreams: Engines and plain services.
    """

    hosts: tuple[HostInfo, ...]
    upstreams: tuple[UpstreamInfo, ...]


class HostList(Protocol):
    """The list of live and leaving hosts and upstreams, which may lag."""

    async def listing(self) -> Listing | Refusal:
        """Return the current content of the list."""


@dataclass(frozen=True, slots=True)
class RatedAnswer:
    """An answer that is submitted to the rating service.

    Attributes:
        request: The request that it answers.
        task: The task class.
        version: The version that produced it.
        text: The complete answer.
    """

    request: RequestId
    task: TaskName
    version: VersionId
    text: str


@dataclass(frozen=True, slots=True)
class Rating:
    """A rating of an answer, read from the feed of the rating service.

    Attributes:
        position: Position in the feed, after which the next read starts.
        request: The request whose answer was rated.
        task: The task class.
        version: The rated version.
        score: From 0 (useless) to 1 (perfect).
    """

    position: int
    request: RequestId
    task: TaskName
    version: VersionId
    score: float


class Ratings(Protocol):
    """The rating service, which rates submitted answers asynchronously."""

    async def submit(self, answer: RatedAnswer) -> Refusal | None:
        """Submit an answer for rating."""

    async def feed(self, after: int) -> tuple[Rating, ...] | Refusal:
        """Return the ratings whose position is greater than ``after``."""


class Weights(Protocol):
    """The weight store, of which only the load capacity is used here."""

    async def loads_per_minute(self) -> float | Refusal:
        """Return how many weight loads per minute the store can serve."""
