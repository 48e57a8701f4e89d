"""A caller's request as it was read, and where pieces of its answer go."""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from types import TracebackType
from typing import Final, Self

from nutmegroad.contracts.documents import WorkspaceEntry
from nutmegroad.foundations.types import RequestId, VersionId
from nutmegroad.routing.attempts import Sink

#: Headers that matter when a request is handed on to another host.
_PASSED: Final = (
    'Authorization',
    'Content-Type',
    'Idempotency-Key',
    'Nutmegroad-Priority',
    'Nutmegroad-Session',
    'Nutmegroad-Ticket',
)
_MILLISECONDS: Final = 1000


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request that was read whole.

    Attributes:
        request: Its id.
        workspace: Who asks.
        method: HTTP method.
        target: Path.
        headers: HTTP headers.
        content: Body.
    """

    request: RequestId
    workspace: WorkspaceEntry
    method: str
    target: str
    headers: Mapping[str, str]
    content: bytes


class DetachableSink:
    """A sink whose caller may leave while the answer is still written.

    Within its context the caller is there; afterwards pieces are dropped,
    so that a run that goes on without its caller is not broken off.

    Args:
        inner: The caller's stream.
    """

    def __init__(self, inner: Sink) -> None:
        self._inner = inner
        self._open = False

    def __enter__(self) -> Self:
        """Begin to pass pieces on."""
        self._open = True
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Pass on no more."""
        self._open = False

    def begin_version(self, version: VersionId) -> None:
        """Learn which version writes what comes next."""
        self._inner.begin_version(version)

    async def write(self, text: str) -> None:
        """Pass a piece on, unless the caller has left."""
        if not self._open:
            return
        try:
            await self._inner.write(text)
        except ConnectionError:
            self._open = False


def passed_headers(
    headers: Mapping[str, str],
    seconds: float,
) -> dict[str, str]:
    """Return the headers to hand on, with the seconds that are left."""
    passed = {name: headers[name] for name in _PASSED if name in headers}
    left = max(1, math.floor(seconds * _MILLISECONDS))
    passed['Nutmegroad-Deadline-Ms'] = str(left)
    return passed
