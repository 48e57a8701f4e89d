"""Accepts connections as soon as they arrive, also when the host is late.

The event loop in use accepts one connection in each iteration. A crowd would
wait in the kernel for as many iterations as it has callers, in order of
arrival, where nobody sees how long the queue is or who has left it.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import Final, Protocol

from nutmegroad.foundations._owned_tasks import OwnedTasks
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.overload.departures import is_closed_by_peer
from nutmegroad.overload.listening import limit_buffers

_LOG: Final = part_logger('overload')

#: Maximum number of connections that are accepted in one iteration of the event
#: loop, and of those that are opened.
MAX_ACCEPTED: Final = 64
MAX_OPENED: Final = 1

#: Seconds for which a connection may be queued before it is refused. A caller
#: with a second left allows a third of it for the reading of its request.
MAX_QUEUED: Final = 0.25

#: Longest iteration of the event loop that overload explains, in seconds.
MAX_ITERATION: Final = 0.2

#: Seconds until connections are accepted again after the process could open no
#: further descriptor.
RETRY_INTERVAL: Final = 0.2


class UnservedHandler(Protocol):
    """Handles connections that are not served."""

    def departed(self) -> None:
        """Handle a connection that its peer has closed already."""

    def refuse(self, connection: socket.socket, waited: float) -> bool:
        """Refuse a connection that has waited too long, and close it.

        Args:
            connection: The connection.
            waited: Seconds since it was accepted.

        Returns:
            False if it has to be served after all.
        """

    def turn_away(self, connection: socket.socket) -> None:
        """Refuse a connection for which there is no room, and close it."""


#: Returns whether one more connection may be kept, beside so many queued ones.
HasRoom = Callable[[int], bool]


def _always(_queued: int) -> bool:
    """Keep each connection."""
    return True


class Acceptor:
    """Accepts connections on a socket, and serves those whose peers wait.

    All that wait are accepted at once and queued here. Few of them are served
    in each iteration of the event loop, so that a host that is short of
    processor time completes requests instead of beginning more of them.

    Args:
        listener: A socket that listens and does not block.
        factory: Returns the protocol of a connection.
        unserved: Handles connections that are not served.
        clock: The host's clock.
        has_room: Returns whether one more connection may be kept.
    """

    @property
    def queued(self) -> int:
        """Number of connections that wait to be served."""
        return len(self._queue)

    def __init__(
        self,
        listener: socket.socket,
        factory: Callable[[], asyncio.BaseProtocol],
        unserved: UnservedHandler,
        clock: Clock,
        has_room: HasRoom = _always,
    ) -> None:
        self._has_room = has_room
        self._listener = listener
        self._factory = factory
        self._unserved = unserved
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._opening = OwnedTasks()
        self._retry: asyncio.TimerHandle | None = None
        self._queue: deque[tuple[float, socket.socket]] = deque()
        self._next: asyncio.Handle | None = None
        #: Seconds for which connections were queued here, without pauses.
        self._queue_time: float = 0
        self._counted_at: float = 0

    def start(self) -> None:
        """Accept connections until closed."""
        self._retry = None
        self._loop.add_reader(self._listener.fileno(), self._accept_waiting)

    def close(self) -> None:
        """Stop accepting connections; those that wait are still served."""
        if self._listener.fileno() < 0:
            return
        self._accept_waiting()
        self._pause()
        if self._retry is not None:
            self._retry.cancel()
        self._listener.close()

    def _pause(self) -> None:
        """Leave connections waiting."""
        self._loop.remove_reader(self._listener.fileno())

    def _accept_waiting(self) -> None:
        """Queue the connections that are waiting."""
        self._count_time()
        for _ in range(MAX_ACCEPTED):
            try:
                connection, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError):
                break
            except ConnectionAbortedError:
                self._unserved.departed()
                continue
            except OSError as problem:
                self._retry_later(problem)
                break
            connection.setblocking(False)
            limit_buffers(connection)
            if self._has_room(len(self._queue)):
                self._queue.append((self._queue_time, connection))
            else:
                self._unserved.turn_away(connection)
        if self._next is None:
            self._serve_next()

    def _serve_next(self) -> None:
        """Serve some of the queued connections, and go on later."""
        self._count_time()
        self._next = None
        opened = 0
        while self._queue and opened < MAX_OPENED:
            queued_at, connection = self._queue.popleft()
            opened += self._serve(connection, self._queue_time - queued_at)
        if self._queue:
            self._next = self._loop.call_soon(self._serve_next)

    def _count_time(self) -> None:
        """Advance the time of the queue, at most by a long iteration.

        More than that is a pause of the process and no sign of overload.
        """
        now = self._clock.now()
        elapsed = now - self._counted_at
        self._counted_at = now
        self._queue_time += min(max(0, elapsed), MAX_ITERATION)

    def _serve(self, connection: socket.socket, waited: float) -> bool:
        """Serve a connection, and return whether it was opened."""
        if is_closed_by_peer(connection.fileno()):
            connection.close()
            self._unserved.departed()
            return False
        if waited > MAX_QUEUED and self._unserved.refuse(connection, waited):
            return False
        self._opening.start(self._open(connection))
        return True

    async def _open(self, connection: socket.socket) -> None:
        """Connect a protocol to an accepted connection."""
        try:
            await self._loop.connect_accepted_socket(self._factory, connection)
        except OSError as problem:
            # It was reset meanwhile.
            _LOG.decision('connection not opened', reason=str(problem))
            connection.close()

    def _retry_later(self, problem: OSError) -> None:
        """Leave connections waiting for a time after a failure."""
        _LOG.decision('connections not accepted', reason=str(problem))
        self._pause()
        self._retry = self._loop.call_later(RETRY_INTERVAL, self.start)
