"""A caller's complete request, its forwarded headers and its answer sink."""

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass
from types import TracebackType
from typing import Final, Self

from nutmegroad.callers.replies import IDEMPOTENCY_KEY_HEADER
from nutmegroad.contracts.documents import WorkspaceEntry
from nutmegroad.foundations.types import RequestId, VersionId
from nutmegroad.routing.attempts import Sink

#: Headers that are passed on when a request is forwarded to another host.
_FORWARDED: Final = (
    'Authorization',
    'Content-Type',
    IDEMPOTENCY_KEY_HEADER,
    'Nutmegroad-Priority',
    'Nutmegroad-Session',
    'Nutmegroad-Ticket',
)
_MS_PER_SECOND: Final = 1000
_NONCE_BITS: Final = 64


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A caller's request after its body has been read.

    Attributes:
        request_id: Id of the request.
        workspace: The caller's workspace.
        method: HTTP method.
        target: Path of the request.
        headers: HTTP headers.
        content: Body.
        arrived: Clock seconds at which it arrived, before it was read.
    """

    request_id: RequestId
    workspace: WorkspaceEntry
    method: str
    target: str
    headers: Mapping[str, str]
    content: bytes
    arrived: float


class DetachableSink:
    """A sink whose caller may disconnect while the answer is being written.

    Pieces are written to the caller within the sink's context and dropped
    afterwards. A request that is executed to its end after its caller
    disconnected therefore does not fail on a write.

    Args:
        inner: The stream to the caller.
    """

    def __init__(self, inner: Sink) -> None:
        self._inner = inner
        self._open = False

    def __enter__(self) -> Self:
        """Start to write pieces to the caller."""
        self._open = True
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Drop all further pieces."""
        self._open = False

    def begin_version(self, version: VersionId) -> None:
        """Record which version writes the pieces that follow."""
        self._inner.begin_version(version)

    async def write(self, text: str) -> None:
        """Write a piece, unless the caller has disconnected."""
        if not self._open:
            return
        try:
            await self._inner.write(text)
        except ConnectionError:
            self._open = False


def new_request_id(incarnation: str, randomness: random.Random) -> RequestId:
    """Return a new request id, which begins with the host's incarnation."""
    nonce = f'{randomness.getrandbits(_NONCE_BITS):016x}'
    return RequestId(f'{incarnation}-{nonce}')


def forwarded_headers(
    headers: Mapping[str, str],
    seconds: float,
) -> dict[str, str]:
    """Return the headers of a request that is forwarded to another host.

    Args:
        headers: Headers of the caller's request.
        seconds: Seconds left until the deadline, sent as its new deadline.
    """
    forwarded = {name: headers[name] for name in _FORWARDED if name in headers}
    left_ms = max(1, math.floor(seconds * _MS_PER_SECOND))
    forwarded['Nutmegroad-Deadline-Ms'] = str(left_ms)
    return forwarded
