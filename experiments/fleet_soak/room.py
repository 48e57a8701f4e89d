"""The slots of a worker of the soak, which may be brittle or in need."""

import time
from collections import deque
from collections.abc import Callable
from typing import Final

#: Rejections in a second that a brittle worker tolerates.
TOLERATED: Final = 4

#: Seconds after which a brittle worker lets no request wait.
NOTICE: Final = 3.0

#: Seconds for which a worker is brittle.
BRITTLE_DURATION: Final = 8.0

#: Requests in a second that a worker in need takes, and how long it is.
NEED_LIMIT: Final = 1.0
NEED_DURATION: Final = 9.0


class Room:
    """The slots of a worker.

    Args:
        slots: Number of requests that it executes.
        fall: Called when it falls over.
    """

    def __init__(self, slots: int, fall: Callable[[], None]) -> None:
        self._slots = slots
        self._fall = fall
        self._running = 0
        self._rejections: deque[float] = deque()
        self._brittle_since = float('-inf')
        self._brittle_until = float('-inf')
        self._in_need_until = float('-inf')

    @property
    def headers(self) -> dict[str, str]:
        """Headers of all answers."""
        headers = {}
        if time.monotonic() < self._brittle_until:
            headers['Server-Brittle'] = str(TOLERATED)
        if time.monotonic() < self._in_need_until:
            headers['Server-Limit'] = str(NEED_LIMIT)
        return headers

    def come_into_need(self) -> None:
        """Name a limit for a time."""
        self._in_need_until = time.monotonic() + NEED_DURATION

    def become_brittle(self) -> None:
        """Be brittle for a time, or for longer."""
        now = time.monotonic()
        if now >= self._brittle_until:
            self._brittle_since = now
        self._brittle_until = now + BRITTLE_DURATION

    def take(self) -> bool:
        """Take a slot; return whether the request is accepted."""
        now = time.monotonic()
        strict = self._brittle_since + NOTICE <= now < self._brittle_until
        if not strict or self._running < self._slots:
            self._running += 1
            return True
        self._rejections.append(now)
        while self._rejections[0] <= now - 1:
            self._rejections.popleft()
        if len(self._rejections) > TOLERATED:
            self._fall()
        return False

    def release(self) -> None:
        """Release a slot."""
        self._running -= 1
