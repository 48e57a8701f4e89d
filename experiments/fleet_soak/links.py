"""TCP proxies of the soak, which can delay, block, reset or refuse traffic."""

import asyncio
import contextlib
from enum import Enum, unique
from typing import Final

from fakes.connections import reset_connection

#: Maximum bytes forwarded at a time.
CHUNK_BYTES: Final = 65_536

#: Seconds by which a slow link delays each chunk; also the polling interval of
#: a blocked one.
SLOW_DELAY: Final = 0.1


@unique
class LinkState(Enum):
    """How a link treats its traffic.

    Attributes:
        HEALTHY: Forwards everything.
        SLOW: Delays each chunk.
        SILENT: Forwards nothing; connections stay open.
        ONE_WAY: Forwards nothing from the target to the client.
        REFUSED: Resets new connections.
    """

    HEALTHY = 'well'
    SLOW = 'slow'
    SILENT = 'silent'
    ONE_WAY = 'one way'
    REFUSED = 'refused'


class Link:
    """A TCP proxy that treats connections according to its state.

    Args:
        ip: The IP address to listen on.
        port: The port to listen on.
        target: IP and port to which connections are forwarded.
    """

    @property
    def address(self) -> str:
        """The address it listens on, as IP:PORT."""
        ip, port = self._listen_address
        return f'{ip}:{port}'

    def __init__(self, ip: str, port: int, target: tuple[str, int]) -> None:
        self.state = LinkState.HEALTHY
        #: State for the clients at some IP addresses, in place of the above.
        self.client_states: dict[str, LinkState] = {}
        self._listen_address = (ip, port)
        self._target = target
        self._server: asyncio.Server | None = None
        # The IP address of the client, by the writer of each connection.
        self._writers: dict[asyncio.StreamWriter, str] = {}

    async def open(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(
            self._accept, *self._listen_address
        )

    def close(self) -> None:
        """Stop listening, and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self, client: str = '') -> None:
        """Reset all connections, or those of the client at an IP address."""
        for writer, ip in tuple(self._writers.items()):
            if client in {'', ip}:
                reset_connection(writer.transport)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Handle one connection."""
        client: str = writer.get_extra_info('peername')[0]
        self._writers[writer] = client
        try:
            await self._forward(client, reader, writer)
        except (OSError, asyncio.CancelledError):
            reset_connection(writer.transport)
        finally:
            self._writers.pop(writer)
            writer.close()

    async def _forward(
        self,
        client: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Connect to the target, and copy both ways until both have ended."""
        if self._state_for(client) is LinkState.REFUSED:
            reset_connection(writer.transport)
            return
        while self._state_for(client) is LinkState.SILENT:
            await asyncio.sleep(SLOW_DELAY)
        target_reader, target_writer = await asyncio.open_connection(
            *self._target
        )
        self._writers[target_writer] = client
        try:
            await asyncio.gather(
                self._copy(client, reader, target_writer, to_client=False),
                self._copy(client, target_reader, writer, to_client=True),
            )
        finally:
            self._writers.pop(target_writer)
            target_writer.close()

    async def _copy(
        self,
        client: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        to_client: bool,
    ) -> None:
        """Copy one direction, delayed or blocked according to the state."""
        while True:
            chunk = await reader.read(CHUNK_BYTES)
            while self._is_blocked(client, to_client=to_client):
                await asyncio.sleep(SLOW_DELAY)
            if self._state_for(client) is LinkState.SLOW:
                await asyncio.sleep(SLOW_DELAY)
            if not chunk:
                break
            writer.write(chunk)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()

    def _state_for(self, client: str) -> LinkState:
        """Return the state for the client at an IP address."""
        return self.client_states.get(client, self.state)

    def _is_blocked(self, client: str, *, to_client: bool) -> bool:
        """Return whether a direction is blocked now."""
        state = self._state_for(client)
        if state is LinkState.SILENT:
            return True
        return state is LinkState.ONE_WAY and to_client
