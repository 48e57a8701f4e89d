"""Detects a peer that sends without end and delivers nothing.

HTTP parsers limit the size of a head, but read any number of bytes of a chunk's
size and extension, or of trailers.
"""

from typing import Final

#: Bytes that a peer may send without delivering any part of a body.
MAX_WITHOUT_PROGRESS: Final = 262_144


class ProgressGuard:
    """Counts the bytes of one answer that were received since its body grew."""

    def __init__(self) -> None:
        self._received = 0
        self._delivered: object = None

    def is_stuck(self, received: int, delivered: object) -> bool:
        """Record received bytes, and return whether there are too many.

        Args:
            received: Number of bytes received.
            delivered: Changes with each byte that is delivered.
        """
        if delivered != self._delivered:
            self._delivered = delivered
            self._received = 0
            return False
        self._received += received
        return self._received > MAX_WITHOUT_PROGRESS
