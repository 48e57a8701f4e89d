"""Checks whether an upstream's process has terminated.

A connection may break because of the network, too. If the process has
terminated, its machine refuses new connections at once, so a connection attempt
distinguishes the two cases. A proxy in front of the process may accept the
connection all the same; since it has no process to forward to, it closes the
connection soon.
"""

import asyncio
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from nutmegroad.foundations.types import UpstreamIncarnation
from nutmegroad.relay.attempts import CONNECT_TIMEOUT
from nutmegroad.relay.connections import Connector, UpstreamConnection
from nutmegroad.relay.sockets import ConnectionFailedError
from nutmegroad.upstreams.directory import UpstreamEntry

#: Maximum number of connection attempts: packets of the first may be lost.
MAX_CONNECTION_ATTEMPTS: Final = 2

#: Seconds within which a proxy closes a connection that it can't forward. Its
#: own connection is refused within a round trip; the rest is for a loaded
#: machine. Live servers keep a connection without a request open for seconds.
PROXY_CLOSE_TIMEOUT: Final = 0.2


@unique
class ProcessState(Enum):
    """State of an upstream's process, as shown by a connection attempt."""

    ENDED = 'ended'
    ALIVE = 'alive'
    #: A proxy accepted the connection, then closed it: no process behind it.
    CLOSED_BY_PROXY = 'passed on in vain'
    #: No response: a network partition, or a machine without power.
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class CheckResult:
    """Result of a connection attempt.

    Attributes:
        state: State of the upstream's process.
        closing: Returns whether the connection was closed at once; None if no
            connection was accepted.
    """

    state: ProcessState
    closing: asyncio.Task[bool] | None = None

    async def was_closed_at_once(self) -> bool:
        """Return whether the accepted connection was closed at once."""
        if self.closing is None:
            return False
        return await asyncio.shield(self.closing)


class ProcessChecker:
    """Checks upstreams by connection attempts.

    Args:
        connector: Opens direct connections to upstreams.
    """

    def __init__(self, connector: Connector) -> None:
        self._connector = connector
        self._running_checks: dict[
            UpstreamIncarnation, asyncio.Task[CheckResult]
        ] = {}
        # References that keep the tasks from being garbage-collected.
        self._watch_tasks: set[asyncio.Task[bool]] = set()

    async def check(self, entry: UpstreamEntry) -> CheckResult:
        """Return the state of an upstream after a broken exchange.

        Exchanges that break at the same time share the connection attempts.
        """
        name = entry.incarnation
        running = self._running_checks.get(name)
        if running is None:
            running = asyncio.create_task(self._check(entry))
            self._running_checks[name] = running
            running.add_done_callback(
                lambda _: self._running_checks.pop(name, None)
            )
        return await asyncio.shield(running)

    async def _check(self, entry: UpstreamEntry) -> CheckResult:
        """Attempt to connect until an attempt is accepted or refused."""
        for _ in range(MAX_CONNECTION_ATTEMPTS):
            found = await self._attempt_connection(entry)
            if found.state is not ProcessState.UNKNOWN:
                return found
        return CheckResult(ProcessState.UNKNOWN)

    async def _attempt_connection(self, entry: UpstreamEntry) -> CheckResult:
        """Make one connection attempt."""
        try:
            connection = await self._connector.open(
                entry.address, CONNECT_TIMEOUT
            )
        except ConnectionFailedError as problem:
            return CheckResult(
                ProcessState.ENDED if problem.refused else ProcessState.UNKNOWN
            )
        closing = asyncio.create_task(_is_closed_at_once(connection))
        self._watch_tasks.add(closing)
        closing.add_done_callback(self._watch_tasks.discard)
        return CheckResult(ProcessState.ALIVE, closing)


async def _is_closed_at_once(connection: UpstreamConnection) -> bool:
    """Return whether a new connection is closed at once; close it then."""
    return not await stays_open(connection, PROXY_CLOSE_TIMEOUT)


async def stays_open(connection: UpstreamConnection, seconds: float) -> bool:
    """Return whether a connection stays open for a time; close it then."""
    try:
        return not seconds or not await connection.closes_within(seconds)
    finally:
        connection.abort()
