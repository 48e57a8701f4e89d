"""Crowds of callers that don't behave.

Each caller has a connection of its own, which it keeps open. Nothing here
measures time: the limits in seconds end waits that would last for ever.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from itertools import cycle, repeat
from typing import Final

from experiments.processes import LOOPBACK

#: Seconds after which a caller stops to send if its host takes nothing more.
BLOCKED_SECONDS: Final = 3

#: Seconds after which a crowd is complete though some callers still send.
SENDING_SECONDS: Final = 20

#: Bytes that are sent at a time where the host sees one flow of bytes.
PIECE_BYTES: Final = 65_536

#: Bytes that are sent at a time by a caller that sends without a pause.
FLOOD_BYTES: Final = 1_048_576

#: A caller's bytes, in pieces.
Pieces = Iterable[bytes]

#: Returns the bytes of a caller by its number.
CallerFactory = Callable[[int], Pieces]


def endless_head(start: bytes, field_bytes: int) -> Pieces:
    """Yield a request's head that has no end.

    Args:
        start: The request line.
        field_bytes: Size of each field.
    """
    yield start
    yield from repeat(_field(field_bytes))


def endless_text(start: bytes) -> Pieces:
    """Yield the start of a line that has no end.

    Args:
        start: What comes before the line, and its beginning.
    """
    yield start
    yield from repeat(b'x' * FLOOD_BYTES)


def unfinished_head(start: bytes, field_bytes: int, fields: int) -> Pieces:
    """Yield a request's head of some fields that stops before its end."""
    yield start
    yield from repeat(_field(field_bytes), fields)


def large_head(start: bytes, field_bytes: int, fields: int) -> Pieces:
    """Yield a whole head of some fields."""
    yield from unfinished_head(start, field_bytes, fields)
    yield b'\r\n'


def empty_lines() -> Pieces:
    """Yield empty lines without end, which may come before a request."""
    yield from repeat(b'\r\n' * (FLOOD_BYTES // 2))


def announced_body(start: bytes, size: int) -> Pieces:
    """Yield a request whose body stops one byte before its end."""
    yield b'%bContent-Length: %d\r\n\r\n' % (start, size)
    for sent in range(0, size - 1, PIECE_BYTES):
        yield b'x' * min(PIECE_BYTES, size - 1 - sent)


def chunked_body(start: bytes, size: int, piece: int) -> Pieces:
    """Yield a request whose body comes in chunks, without the last one."""
    yield b'%bTransfer-Encoding: chunked\r\n\r\n' % start
    chunk = b'%x\r\n%b\r\n' % (piece, b'x' * piece)
    joined = max(1, PIECE_BYTES // len(chunk))
    for _ in range(size // (piece * joined)):
        yield chunk * joined


def pipelined(request: bytes, count: int) -> Pieces:
    """Yield some requests in one write; nothing of the answers is read."""
    yield request * count


def alternating(*factories: Callable[[], Pieces]) -> CallerFactory:
    """Return a factory by which callers take turns in what they send."""
    turns = cycle(factories)
    return lambda _number: next(turns)()


@asynccontextmanager
async def crowd(
    port: int, size: int, make_caller: CallerFactory
) -> AsyncIterator[None]:
    """Connect callers to a host, and keep their connections open in a block.

    The block is entered when no caller sends any more, or all of them have
    done so for long.

    Args:
        port: Port of the host.
        size: Number of callers.
        make_caller: Returns what each of them sends.
    """
    async with AsyncExitStack() as stack:
        callers = [
            asyncio.create_task(_call(port, stack, make_caller(number)))
            for number in range(size)
        ]
        stack.push_async_callback(_cancel, callers)
        await asyncio.wait(callers, timeout=SENDING_SECONDS)
        yield


async def _call(port: int, stack: AsyncExitStack, pieces: Pieces) -> None:
    """Connect, and send until all is sent or the host takes nothing more."""
    with suppress(OSError, TimeoutError):
        _, writer = await asyncio.open_connection(LOOPBACK, port)
        # Nothing is read: what arrives stays where it waits to be taken.
        writer.transport.pause_reading()
        # A writer that nothing refers to closes its connection.
        stack.callback(lambda: writer.transport.abort())
        for piece in pieces:
            writer.write(piece)
            async with asyncio.timeout(BLOCKED_SECONDS):
                await writer.drain()


async def _cancel(callers: Iterable[asyncio.Task[None]]) -> None:
    """Cancel callers that still send."""
    for caller in callers:
        caller.cancel()
    await asyncio.gather(*callers, return_exceptions=True)


def _field(size: int) -> bytes:
    """Return a header field of some bytes."""
    name = b'X-Filler: '
    return name + b'x' * (size - len(name) - 2) + b'\r\n'
