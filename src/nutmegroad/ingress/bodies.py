"""Reads the bodies of callers' requests within the memory of the host."""

from io import BytesIO

from aiohttp import web

from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.overload.memory_budget import (
    EXCHANGE_BYTES,
    HeldPart,
    Holding,
    Shortage,
)


async def read_body(
    http: web.BaseRequest, max_bytes: int, holding: Holding
) -> bytes | Refusal:
    """Return the complete body, or the refusal of one that is too large.

    Room for a body is reserved before it is read, or with each part if its
    length is not announced, and room for its exchange with an upstream after.

    Args:
        http: The request.
        max_bytes: Maximum size of a body.
        holding: Accounts for the bytes of the body.
    """
    announced = http.content_length
    if announced is not None and announced > max_bytes:
        return _too_large(max_bytes)
    if announced:
        shortage = await holding.reserve(HeldPart.BODY, announced)
        if shortage is not None:
            return _memory_short(shortage)
    body = _allocate(announced or 0)
    async for part in http.content.iter_any():
        if holding.received + len(part) > max_bytes:
            return _too_large(max_bytes)
        if announced is None:
            shortage = await holding.reserve(HeldPart.BODY, len(part))
            if shortage is not None:
                return _memory_short(shortage)
        holding.received += body.write(part)
    shortage = await holding.reserve(HeldPart.ANSWER, EXCHANGE_BYTES)
    return body.getvalue() if shortage is None else _memory_short(shortage)


def _memory_short(shortage: Shortage) -> Refusal:
    """Return the refusal of a request for which there is no memory."""
    return Refusal(
        ResultCode.HOST_MEMORY_SHORT,
        f'The request needs {shortage.size} more bytes; '
        f'{shortage.free} are free here for large ones.',
        retry_after=shortage.retry_after,
    )


def _too_large(max_bytes: int) -> Refusal:
    """Return the refusal of a body that is too large."""
    return Refusal(
        ResultCode.BODY_TOO_LARGE,
        f'The body has more than {max_bytes} bytes.',
    )


def _allocate(size: int) -> BytesIO:
    """Return an empty buffer with room for a number of bytes.

    Many buffers that grow beside each other would leave gaps that the allocator
    does not return.
    """
    buffer = BytesIO(bytes(size))
    buffer.seek(0)
    return buffer
