"""Connections to upstreams by way of another host.

A tunnel carries one exchange. The other host opens the connection to the
upstream and copies bytes both ways, without reading them. What the upstream
sends arrives in frames, so that the orderly end of its connection can be told
from the loss of the tunnel.
"""

import asyncio
from typing import Final

import msgspec

from nutmegroad.fleet.frames import (
    Frame,
    FrameBuffer,
    FrameError,
    FrameKind,
    encode_message,
)
from nutmegroad.fleet.tunnel_messages import (
    TunnelOpened,
    TunnelRefused,
    TunnelReply,
    TunnelRequest,
)
from nutmegroad.foundations.decoding import MessageDecoder, UndecodableError
from nutmegroad.foundations.timeouts import ReadTimeout
from nutmegroad.foundations.types import Address, HostId
from nutmegroad.relay.connections import UpstreamConnection
from nutmegroad.relay.sockets import ConnectionFailedError, connect_protocol

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = MessageDecoder[TunnelReply](
    msgspec.msgpack.Decoder(TunnelReply)
)


class TunnelProtocol(asyncio.Protocol):
    """The connection to the other host, which carries an upstream's.

    Args:
        connection: The connection that is carried.
        loop: The running event loop.
    """

    def __init__(
        self,
        connection: UpstreamConnection,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._connection = connection
        self._buffer = FrameBuffer()
        self._closed_early = False
        #: The other host's reply to the request.
        self.reply: asyncio.Future[TunnelReply] = loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Let the carried connection write directly."""
        self._connection.connection_made(transport)

    def data_received(self, received: bytes) -> None:
        """Deliver received frames to the carried connection."""
        try:
            for frame in self._buffer.feed(received):
                self._handle(frame)
        except (FrameError, UndecodableError) as problem:
            self._connection.fail(f'invalid tunnel: {problem}')

    def eof_received(self) -> None:
        """Record that the other host has closed the connection."""
        self._closed_early = True

    def connection_lost(self, exc: Exception | None) -> None:
        """End the carried connection; it is reset unless its end was sent."""
        if not self.reply.done():
            self.reply.set_result(TunnelRefused('tunnel lost'))
        if exc is None and self._closed_early:
            exc = ConnectionResetError('tunnel lost')
        self._end(exc)

    def pause_writing(self) -> None:
        """Stop the carried connection from writing."""
        self._connection.pause_writing()

    def resume_writing(self) -> None:
        """Let the carried connection write again."""
        self._connection.resume_writing()

    def _handle(self, frame: Frame) -> None:
        """Handle a frame."""
        if frame.kind is FrameKind.CONTENT:
            self._connection.data_received(frame.payload)
        elif frame.kind is FrameKind.END:
            self._connection.eof_received()
            self._end(None)
        elif not self.reply.done():
            self.reply.set_result(_DECODER.decode(frame.message()))

    def _end(self, exc: Exception | None) -> None:
        """End the carried connection once."""
        transport = self._connection.transport
        if transport is None:
            return
        self._connection.connection_lost(exc)
        transport.abort()


async def open_tunnel(
    host: HostId,
    address: Address,
    request: TunnelRequest,
    source_ip: str = '',
) -> UpstreamConnection:
    """Open a connection to an upstream by way of another host.

    Args:
        host: The other host.
        address: Address of its listener for hosts.
        request: What it is asked for.
        source_ip: IP address to connect from; empty to let the kernel choose.

    Raises:
        ConnectionFailedError: If there is none in time; nothing was sent.
    """
    loop = asyncio.get_running_loop()
    connection = UpstreamConnection(loop, via=host)
    tunnel = TunnelProtocol(connection, loop)
    transport = await connect_protocol(
        address, lambda: tunnel, request.timeout, source_ip
    )
    transport.write(encode_message(_ENCODER.encode(request)) or b'')
    try:
        async with ReadTimeout(request.timeout):
            reply = await tunnel.reply
    except TimeoutError as expired:
        transport.abort()
        reason = f'no reply of {host} within {request.timeout:.2f} s'
        raise ConnectionFailedError(reason, sent=False) from expired
    except asyncio.CancelledError:
        transport.abort()
        raise
    if isinstance(reply, TunnelOpened):
        return connection
    transport.abort()
    raise ConnectionFailedError(
        f'by way of {host}: {reply.reason}',
        sent=False,
        refused=reply.refused,
        withheld=reply.withheld,
        retry_after=reply.retry_after,
    )
