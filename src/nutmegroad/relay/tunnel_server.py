"""Opens connections to upstreams for hosts that can't reach them.

The other host decides on the upstream and on the request. This host only
connects to upstreams that it knows itself and that take new work.
"""

import asyncio
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Final

import msgspec

from nutmegroad.fleet.frames import FrameKind, encode_frame, encode_message
from nutmegroad.fleet.tunnel_messages import (
    TunnelOpened,
    TunnelRefused,
    TunnelReply,
    TunnelRequest,
)
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import RequestId, UpstreamId
from nutmegroad.overload.departures import has_departed
from nutmegroad.relay.counters import RelayCounters
from nutmegroad.relay.direct_paths import DirectPaths
from nutmegroad.relay.sockets import (
    ConnectionFailedError,
    connect_protocol,
    prepare_socket,
)
from nutmegroad.upstreams.directory import Directory, Upstream
from nutmegroad.upstreams.placement import Evacuations
from nutmegroad.upstreams.selection import Selector

_LOG: Final = part_logger('tunnels')

#: Maximum number of tunnels through one host. Each takes two descriptors, and
#: the smallest hosts have some four thousand for everything.
MAX_TUNNELS: Final = 500

#: Maximum bytes copied at a time.
_CHUNK_BYTES: Final = 65_536

#: Seconds for which the other host may take to read the end of an exchange.
_CLOSE_TIMEOUT: Final = 5.0

_ENCODER: Final = msgspec.msgpack.Encoder()


@dataclass(frozen=True, slots=True)
class Link:
    """One end of a tunnel.

    Attributes:
        reader: Reads what the peer sends.
        writer: Writes to the peer.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class TunnelServer:
    """Serves the tunnels that other hosts ask for.

    Args:
        directory: The upstreams that this host knows.
        evacuations: Evacuated failure domains.
        paths: Whether this host reaches upstreams itself.
        counters: The host's metrics.
        source_ip: IP address to connect from.
    """

    def __init__(
        self,
        directory: Directory,
        evacuations: Evacuations,
        paths: DirectPaths,
        counters: RelayCounters,
        source_ip: str,
    ) -> None:
        self._directory = directory
        self._evacuations = evacuations
        #: Has this host's shares of brittle and limited upstreams; None to lend
        #: nothing.
        self.selector: Selector | None = None
        self._paths = paths
        self._counters = counters
        self._source_ip = source_ip
        #: Number of tunnels that are open now.
        self.open_count = 0
        #: Whether no further tunnels are opened.
        self.stopping = False

    async def serve(
        self,
        request: TunnelRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Open a connection to an upstream, and copy until it ends."""
        prepare_socket(writer.get_extra_info('socket'))
        upstream = self._find(request)
        if isinstance(upstream, TunnelRefused):
            await self._refuse(request, writer, upstream)
            return
        with ExitStack() as stack:
            if request.borrows:
                refusal = self._lend(request, upstream, stack)
                if refusal is not None:
                    await self._refuse(request, writer, refusal)
                    return
            connected = await self._connect(upstream, request.timeout)
            if isinstance(connected, TunnelRefused):
                await self._refuse(request, writer, connected)
                return
            self._log(request)
            self.open_count += 1
            stack.callback(self._end_tunnel, connected)
            _reply(writer, TunnelOpened())
            await self._carry(Link(reader, writer), upstream, connected)

    def _lend(
        self, request: TunnelRequest, upstream: Upstream, stack: ExitStack
    ) -> TunnelRefused | None:
        """Use this host's share of an upstream until a stack closes.

        Returns:
            Why it has none left; None if it has.
        """
        selector = self.selector
        if selector is None:
            return TunnelRefused('host lends nothing', withheld=True)
        key = request.content or None
        if not selector.limited.may_send(upstream, key):
            wait = selector.limited.reserve(upstream, key, request.patience)
            return TunnelRefused(
                'no token left', withheld=True, retry_after=wait
            )
        loan = selector.brittle.lend(upstream)
        if loan is None:
            return TunnelRefused('no share left', withheld=True)
        selector.limited.take(upstream, key)
        stack.callback(loan)
        return None

    def _end_tunnel(self, connected: Link) -> None:
        """End a tunnel; the upstream sees an open request cancelled."""
        self.open_count -= 1
        connected.writer.transport.abort()

    def _find(self, request: TunnelRequest) -> Upstream | TunnelRefused:
        """Return the requested upstream, or why it can't be connected to."""
        if self.stopping:
            return TunnelRefused('host is stopping')
        if self.open_count >= MAX_TUNNELS:
            return TunnelRefused(f'{self.open_count} tunnels are open')
        upstream = self._directory.find(UpstreamId(request.upstream))
        if upstream is None or str(upstream.entry.address) != request.address:
            return TunnelRefused(
                f'no upstream {request.upstream!r} at {request.address}'
            )
        if self._paths.is_cut_off(upstream.entry.service):
            return TunnelRefused('host is cut off itself')
        if upstream.entry.draining:
            return TunnelRefused(f'upstream {request.upstream!r} is draining')
        if self._evacuations.is_evacuated(upstream.entry.domain):
            return TunnelRefused(
                f'domain {upstream.entry.domain!r} is evacuated'
            )
        return upstream

    async def _connect(
        self, upstream: Upstream, timeout: float
    ) -> Link | TunnelRefused:
        """Connect to an upstream."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(loop=loop)
        protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
        try:
            transport = await connect_protocol(
                upstream.entry.address,
                lambda: protocol,
                timeout,
                self._source_ip,
            )
        except ConnectionFailedError as problem:
            self._paths.record_failure(upstream)
            cut_off = self._paths.is_cut_off(upstream.entry.service)
            return TunnelRefused(str(problem), problem.refused and not cut_off)
        return Link(
            reader, asyncio.StreamWriter(transport, protocol, reader, loop)
        )

    async def _carry(
        self, other_host: Link, upstream: Upstream, to_upstream: Link
    ) -> None:
        """Copy both ways until the upstream or the other host closes.

        If the other host closes, its caller has left or it asks elsewhere: the
        upstream sees the request cancelled.
        """
        copies = {
            asyncio.create_task(_copy_request(other_host, to_upstream.writer)),
            asyncio.create_task(
                self._copy_answer(upstream, to_upstream, other_host)
            ),
        }
        try:
            done, _ = await asyncio.wait(
                copies, return_when=asyncio.FIRST_COMPLETED
            )
            for copy in done:
                # Raises if the upstream or the other host was lost.
                copy.result()
        finally:
            for copy in copies:
                copy.cancel()

    async def _copy_answer(
        self, upstream: Upstream, source: Link, target: Link
    ) -> None:
        """Copy what an upstream sends, and its orderly end."""
        chunk = await self._read_first(upstream, source)
        while chunk:
            target.writer.write(encode_frame(FrameKind.CONTENT, chunk))
            await target.writer.drain()
            chunk = await source.reader.read(_CHUNK_BYTES)
        target.writer.write(encode_frame(FrameKind.END))
        await _finish(target.writer)

    async def _read_first(self, upstream: Upstream, source: Link) -> bytes:
        """Return the first bytes that an upstream sends; none at its end.

        They show whether the path is open: a proxy may accept a connection in
        vain, and reset it then.
        """
        try:
            chunk = await source.reader.read(_CHUNK_BYTES)
        except OSError:
            self._paths.record_failure(upstream)
            raise
        if chunk:
            self._paths.record_answer(upstream)
        else:
            self._paths.record_failure(upstream)
        return chunk

    async def _refuse(
        self,
        request: TunnelRequest,
        writer: asyncio.StreamWriter,
        refusal: TunnelRefused,
    ) -> None:
        """Reply that there is no connection."""
        self._log(request, refusal.reason)
        _reply(writer, refusal)
        await _finish(writer)

    def _log(self, request: TunnelRequest, problem: str = '') -> None:
        """Log and count a request for a tunnel."""
        self._counters.tunnel_requested('refused' if problem else 'opened')
        _LOG.decision(
            'tunnel requested',
            request=RequestId(request.request),
            host=request.host,
            upstream=request.upstream,
            tunnels=self.open_count,
            problem=problem,
        )


async def _copy_request(other_host: Link, writer: asyncio.StreamWriter) -> None:
    """Copy the bytes of a request until its sender closes.

    Those that were received before the close may be read long after it.
    """
    while chunk := await other_host.reader.read(_CHUNK_BYTES):
        if has_departed(other_host.writer.transport):
            return
        writer.write(chunk)
        await writer.drain()


def _reply(writer: asyncio.StreamWriter, reply: TunnelReply) -> None:
    """Send the reply to a request for a tunnel."""
    writer.write(encode_message(_ENCODER.encode(reply)) or b'')


async def _finish(writer: asyncio.StreamWriter) -> None:
    """Close a link once its peer has read everything."""
    writer.close()
    async with asyncio.timeout(_CLOSE_TIMEOUT):
        await writer.wait_closed()
