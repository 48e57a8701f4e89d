"""Detects a peer that sends without end and delivers nothing.

HTTP parsers limit the size of a head, but read any number of bytes of a chunk's
size and extension, or of trailers.
"""

from typing import Final

#: Bytes that a peer may send without delivering any part of a body.
MAX_WITHOUT_PROGRESS: Final = 262_144


class ProgressGuard:
    """Counts the bytes that were received since any were delivered."""

    def __init__(self) -> None:
        self._received = 0
        self._delivered: object = None

    def is_stuck(
        self,
        received: int,
        delivered: object,
        limit: int = MAX_WITHOUT_PROGRESS,
    ) -> bool:
        """Record received bytes, and return whether there are too many.

        Args:
            received: Number of bytes received.
            delivered: Changes with each byte that is delivered.
            limit: Maximum bytes without a delivery.
        """
        if delivered != self._delivered:
            self._delivered = delivered
            self._received = 0
            return False
        self._received += received
        return self._received > limit
