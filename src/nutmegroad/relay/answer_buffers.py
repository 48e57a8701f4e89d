"""Reads complete answers into memory, within the budget of the host.

An upstream with a fault may send without end, and a host has little memory.
"""

from dataclasses import dataclass
from io import BytesIO
from typing import Final

from nutmegroad.foundations.logs import part_logger
from nutmegroad.overload.memory_budget import HeldPart, Holding
from nutmegroad.relay.connections import Framing
from nutmegroad.relay.outcomes import UpstreamAnswer
from nutmegroad.relay.sockets import ConnectionFailedError

_LOG: Final = part_logger('relay')

#: Maximum bytes of an answer that is read completely before it is sent on.
MAX_ANSWER_BYTES: Final = 4_194_304


@dataclass(frozen=True, slots=True)
class OversizedAnswer:
    """The beginning of an answer that is too long to be read completely.

    Attributes:
        start: Its first bytes.
        has_end: Whether the framing marks its end, so that it may be sent on as
            it arrives.
    """

    start: bytes
    has_end: bool


async def read_answer(
    answering: UpstreamAnswer, holding: Holding
) -> bytes | OversizedAnswer | None:
    """Return the body of an answer.

    Args:
        answering: The answer.
        holding: Accounts for the bytes until the request has ended.

    Returns:
        The body, or its beginning if it is too long; None if it was truncated.
    """
    body = BytesIO()
    try:
        while chunk := await answering.head.body.readany():
            body.write(chunk)
            if body.tell() > MAX_ANSWER_BYTES or not holding.extend(
                HeldPart.ANSWER, len(chunk)
            ):
                return _oversized(answering, body.getvalue(), holding)
    except (ConnectionFailedError, ConnectionError):
        return None
    return body.getvalue()


def _oversized(
    answering: UpstreamAnswer, start: bytes, holding: Holding
) -> OversizedAnswer:
    """Log an answer that is too long, and return its beginning."""
    framing = answering.head.framing
    _LOG.decision(
        'answer too long',
        upstream=answering.upstream.entry.upstream,
        status=answering.head.status,
        framing=framing.value,
        size=len(start),
        held=holding.size,
    )
    return OversizedAnswer(start, framing is not Framing.CONNECTION)
