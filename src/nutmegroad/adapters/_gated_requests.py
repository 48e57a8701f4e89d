"""aiohttp requests that check a gate immediately before their first byte.

Between the call of the session and the first byte, aiohttp connects and may
wait for a free connection. The gate is therefore checked inside the request,
right before the first write, with no ``await`` in between.
"""

from contextvars import ContextVar
from dataclasses import dataclass
from typing import Final

from aiohttp import ClientRequest, ClientResponse
from aiohttp.abc import AbstractStreamWriter
from aiohttp.client_exceptions import ClientConnectionError
from aiohttp.connector import Connection

from nutmegroad.contracts.upstreams import Gate
from nutmegroad.foundations.exceptions import GateClosed
from nutmegroad.foundations.results import Refusal


@dataclass(eq=False, slots=True)
class SendState:
    """State of one outgoing request, which is sent at most once.

    Attributes:
        gate: Called right before the first byte; None if there is no check.
        sent: Whether the first byte may have been sent.
        refusal: The refusal that the gate returned, if it was closed.
    """

    gate: Gate | None = None
    sent: bool = False
    refusal: Refusal | None = None

    def begin_send(self) -> None:
        """Check the gate and mark the request as sent.

        Must be called immediately before the first byte is written.

        Raises:
            GateClosed: If the gate returns a refusal.
            ClientConnectionError: If the request was sent before: aiohttp
                repeats some methods by itself if a connection breaks.
        """
        if self.sent:
            raise ClientConnectionError('The request has already been sent.')
        if self.gate is not None:
            self.refusal = self.gate()
        if self.refusal is not None:
            raise GateClosed(self.refusal)
        self.sent = True


#: State of the request that the current task is about to send.
current_sending: Final[ContextVar[SendState]] = ContextVar('current_sending')


class GatedRequest(ClientRequest):
    """A request that checks its gate and is sent at most once.

    Its state is taken from ``current_sending``.
    """

    async def write_bytes(
        self,
        writer: AbstractStreamWriter,
        conn: Connection,
        content_length: int | None = None,
    ) -> None:
        """Write headers and body unless the gate is closed."""
        # aiohttp runs this in a task of its own, which has a copy of the
        # caller's context.
        try:
            _begin_send(conn)
        except (GateClosed, ClientConnectionError) as error:
            if conn.protocol is not None:
                conn.protocol.set_exception(error)
            conn.close()
            return
        await super().write_bytes(writer, conn, content_length)

    async def send(self, conn: Connection) -> ClientResponse:
        """Send the request; without a body, it is written in this call."""
        if not self._is_written_later(conn):
            _begin_send(conn)
        return await super().send(conn)

    def _is_written_later(self, conn: Connection) -> bool:
        """Return whether ``write_bytes`` will send the first byte."""
        is_paused = conn.protocol is not None and conn.protocol.writing_paused
        return bool(self.body) or self._continue is not None or is_paused


def _begin_send(conn: Connection) -> None:
    """Check the connection and the gate, then mark the request as sent.

    Raises:
        GateClosed: If the gate returns a refusal.
        ClientConnectionError: If the connection is closed, or the request
            was sent before.
    """
    transport = conn.transport
    if transport is None or transport.is_closing():
        raise ClientConnectionError('The connection was closed before use.')
    current_sending.get().begin_send()
