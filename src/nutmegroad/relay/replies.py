"""Interface for sending an answer to a caller."""

from typing import Protocol

from nutmegroad.relay.refusals import CallerRefusal
from nutmegroad.routes.headers import RawHeaders


class Reply(Protocol):
    """Sends the answer to one caller."""

    @property
    def stream_started(self) -> bool:
        """Whether the head of a stream has been sent."""

    @property
    def caller_left(self) -> bool:
        """Whether the caller has closed its connection."""

    def complete(
        self,
        status: int,
        reason: str,
        headers: RawHeaders,
        body: bytes,
    ) -> None:
        """Answer with an upstream's complete answer.

        It is sent once the request has ended, whatever its deadline.
        """

    async def start_stream(
        self,
        status: int,
        reason: str,
        headers: RawHeaders,
    ) -> None:
        """Send the head of a stream."""

    async def write(self, text: bytes) -> None:
        """Send a part of a stream."""

    def finish_stream(self) -> None:
        """End a complete stream."""

    def abort(self) -> None:
        """Abort an answer; the caller can't take it for a complete one."""

    def refuse(self, refusal: CallerRefusal) -> None:
        """Answer with a refusal by this host."""
