"""Callers that don't take what is sent to them while others need memory."""

from collections.abc import Callable, Hashable, Iterator
from contextlib import contextmanager
from typing import Final, Generic, TypeVar

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger

_LOG: Final = part_logger('overload')

#: Seconds for which a caller may take nothing of an answer, or too little of a
#: piece of a stream, while others need its memory. A lost packet is sent again
#: within a second.
PATIENCE: Final = 2.0

_Holder = TypeVar('_Holder', bound=Hashable)

#: Closes the connection of a caller.
Close = Callable[[], None]


class SlowCallers(Generic[_Holder]):
    """Callers that an answer waits for, the longest first.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: dict[_Holder, tuple[float, Close]] = {}

    @contextmanager
    def waiting(self, holder: _Holder, close: Close) -> Iterator[None]:
        """Wait in a block until a caller takes more.

        Args:
            holder: What is held for the caller.
            close: Closes its connection.
        """
        self._waiting[holder] = (self._clock.now(), close)
        try:
            yield
        finally:
            self._waiting.pop(holder, None)

    def close_some(self, size: int, held_by: Callable[[_Holder], int]) -> None:
        """Close the connections of those that have taken nothing for longest.

        Args:
            size: Bytes that are needed.
            held_by: Returns the bytes that are held for a caller.
        """
        latest = self._clock.now() - PATIENCE
        closed, freed = 0, 0
        while self._waiting and freed < size:
            holder, (since, close) = next(iter(self._waiting.items()))
            if since > latest:
                break
            self._waiting.pop(holder)
            freed += held_by(holder)
            closed += 1
            close()
        if closed:
            _LOG.decision('slow callers closed', count=closed, held=freed)
