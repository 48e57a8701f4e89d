"""Requests that look at a gate in the step that sends their first byte.

aiohttp connects, and may wait for a free connection, between a call of the
session and the first byte. The look at the gate therefore sits inside the
request, right before the first write, with no ``await`` between.
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
class Sending:
    """One request on its way out, which is sent at most once.

    Attributes:
        gate: The last check; None if there is nothing to check.
        sent: The first byte may have gone out.
        refusal: What the gate said, if it was closed.
    """

    gate: Gate | None = None
    sent: bool = False
    refusal: Refusal | None = None

    def start(self) -> None:
        """Note that the first byte goes out now.

        Raises:
            GateClosed: If the gate says no.
            ClientConnectionError: If it was sent before; the library sends
                some methods again by itself on a connection that broke.
        """
        if self.sent:
            raise ClientConnectionError('The request was sent already.')
        if self.gate is not None:
            self.refusal = self.gate()
        if self.refusal is not None:
            raise GateClosed(self.refusal)
        self.sent = True


#: The request that the current task is about to make.
current_sending: Final[ContextVar[Sending]] = ContextVar('current_sending')


class GatedRequest(ClientRequest):
    """A request that starts its :class:`Sending` with its first byte."""

    async def write_bytes(
        self,
        writer: AbstractStreamWriter,
        conn: Connection,
        content_length: int | None = None,
    ) -> None:
        """Write headers and body, unless the gate is closed."""
        # This runs in a task of the library's own, which started with a
        # copy of the caller's context.
        try:
            _start(conn)
        except (GateClosed, ClientConnectionError) as error:
            if conn.protocol is not None:
                conn.protocol.set_exception(error)
            conn.close()
            return
        await super().write_bytes(writer, conn, content_length)

    async def send(self, conn: Connection) -> ClientResponse:
        """Send the request; one without a body goes out in this step."""
        if not self._is_written_later(conn):
            _start(conn)
        return await super().send(conn)

    def _is_written_later(self, conn: Connection) -> bool:
        """Tell whether ``write_bytes`` will send the first byte."""
        is_paused = conn.protocol is not None and conn.protocol.writing_paused
        return bool(self.body) or self._continue is not None or is_paused


def _start(conn: Connection) -> None:
    """Start the current sending, if the connection still stands.

    Raises:
        GateClosed: If the gate says no.
        ClientConnectionError: If the connection is closed, or the request
            was sent before.
    """
    transport = conn.transport
    if transport is None or transport.is_closing():
        raise ClientConnectionError('The connection was closed before use.')
    current_sending.get().start()
