"""Sends complete answers to callers, which may read slowly or not at all."""

import asyncio
from typing import Final

from aiohttp import web

from nutmegroad.overload.memory_budget import Holding

#: Bytes that are buffered for a caller without waiting until it has read them.
BUFFERED_BYTES: Final = 16_384

#: Seconds between two looks at how much of an answer has been taken.
CHECK_INTERVAL: Final = 0.5


async def deliver(
    request: web.BaseRequest,
    response: web.StreamResponse,
    max_stall: float,
    holding: Holding,
) -> int | None:
    """Send a complete answer for as long as the caller takes it.

    Args:
        request: The request.
        response: The answer, or the rest of one that has begun.
        max_stall: Seconds for which the caller may take nothing of it.
        holding: Accounts for the bytes of the answer.

    Returns:
        How many bytes the caller had taken when its connection was aborted
        because it took no more; None if it was not.
    """
    transport = request.transport
    if transport is None:
        return None
    size = transport.get_write_buffer_size() + (response.content_length or 0)
    if size <= BUFFERED_BYTES:
        await _send(request, response)
        return None
    sending = asyncio.create_task(_send(request, response))
    try:
        left = await _wait_while_taken(sending, transport, max_stall, holding)
    finally:
        sending.cancel()
    return None if left is None else size - left


async def _wait_while_taken(
    sending: asyncio.Task[None],
    transport: asyncio.WriteTransport,
    max_stall: float,
    holding: Holding,
) -> int | None:
    """Wait for the end of sending, or abort if the caller takes nothing.

    Returns:
        The bytes that were left then; None if all were taken.
    """
    while not sending.done():
        with holding.awaiting_caller(transport.abort):
            if not await _is_taken(sending, transport, max_stall):
                left = transport.get_write_buffer_size()
                transport.abort()
                return left
    # Raises if the connection was lost.
    sending.result()
    return None


async def _is_taken(
    sending: asyncio.Task[None],
    transport: asyncio.WriteTransport,
    max_stall: float,
) -> bool:
    """Wait for the end of sending, or until a caller takes some of an answer.

    Returns:
        False if it takes nothing for too long.
    """
    before = transport.get_write_buffer_size()
    waited: float = 0
    while waited < max_stall:
        step = min(CHECK_INTERVAL, max_stall - waited)
        await asyncio.wait((sending,), timeout=step)
        if sending.done() or transport.get_write_buffer_size() != before:
            return True
        waited += step
    return False


async def _send(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Send a complete response, or the end of a stream."""
    await response.prepare(request)
    await response.write_eof()
