"""The caller's side of an answer."""

from typing import Protocol

from nutmegroad.relay.refusals import CallerRefusal
from nutmegroad.routes.headers import RawHeaders


class Reply(Protocol):
    """Takes an answer for one caller."""

    @property
    def begun(self) -> bool:
        """Tell whether any of an answer has gone out."""

    async def whole(
        self,
        status: int,
        reason: str,
        headers: RawHeaders,
        body: bytes,
    ) -> None:
        """Send an upstream's whole answer."""

    async def begin(
        self,
        status: int,
        reason: str,
        headers: RawHeaders,
    ) -> None:
        """Send the beginning of a stream."""

    async def write(self, text: bytes) -> None:
        """Send a piece of a stream."""

    async def finish(self) -> None:
        """End a stream that is whole."""

    def cut(self) -> None:
        """Break off an answer so that it can't be taken for a whole one."""

    async def refuse(self, refusal: CallerRefusal) -> None:
        """Send a final answer of our own."""
