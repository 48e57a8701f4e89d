"""Tells the end of an upstream's process from the loss of this host's path.

To a host that is cut off, each upstream looks as if its process had terminated.
Other hosts, and the other upstreams, show the difference.
"""

import asyncio
import random
from typing import Final

from nutmegroad.relay.connections import Connector
from nutmegroad.relay.dialer import Dialer
from nutmegroad.relay.process_checks import (
    PROXY_CLOSE_TIMEOUT,
    ProcessState,
    stays_open,
)
from nutmegroad.relay.sockets import ConnectionFailedError
from nutmegroad.upstreams.directory import Directory, Upstream

#: Seconds for a connection by way of another host, or to another upstream.
CHECK_TIMEOUT: Final = 0.3

#: Number of other upstreams that are tried.
MAX_OTHERS: Final = 2


class EndVerifier:
    """Verifies that an upstream whose connection failed has terminated.

    Args:
        dialer: Opens connections by way of other hosts.
        connector: Opens direct connections.
        directory: All upstreams.
        randomness: Chooses other upstreams.
    """

    def __init__(
        self,
        dialer: Dialer,
        connector: Connector,
        directory: Directory,
        randomness: random.Random,
    ) -> None:
        self._dialer = dialer
        self._connector = connector
        self._directory = directory
        self._randomness = randomness

    async def verify(
        self, upstream: Upstream, *, behind_proxy: bool
    ) -> ProcessState:
        """Return the state of an upstream that this host can't connect to.

        Args:
            upstream: The upstream.
            behind_proxy: Whether its connections were accepted, then closed at
                once, as by a proxy.
        """
        settle = PROXY_CLOSE_TIMEOUT if behind_proxy else 0
        alive, reached = await asyncio.gather(
            self._is_reached_elsewhere(upstream, settle),
            self._reaches_another(upstream, settle),
        )
        if alive:
            self._dialer.paths.record_detour(upstream)
            return ProcessState.ALIVE
        # A host without other hosts misleads no one.
        if reached or alive is None:
            return ProcessState.ENDED
        return ProcessState.UNKNOWN

    async def _is_reached_elsewhere(
        self, upstream: Upstream, settle: float
    ) -> bool | None:
        """Return whether another host reaches it; None without other hosts."""
        try:
            connection = await self._dialer.open_elsewhere(
                upstream, CHECK_TIMEOUT
            )
        except LookupError:
            return None
        return connection is not None and await stays_open(connection, settle)

    async def _reaches_another(self, upstream: Upstream, settle: float) -> bool:
        """Return whether this host reaches another upstream directly."""
        names = list(self._directory.unlisted((upstream.entry.upstream,)))
        self._randomness.shuffle(names)
        others = [self._directory.find(name) for name in names[:MAX_OTHERS]]
        reached = await asyncio.gather(
            *(self._reaches(other, settle) for other in others if other)
        )
        return any(reached)

    async def _reaches(self, upstream: Upstream, settle: float) -> bool:
        """Return whether this host reaches an upstream directly."""
        try:
            connection = await self._connector.open(
                upstream.entry.address, CHECK_TIMEOUT
            )
        except ConnectionFailedError:
            return False
        return await stays_open(connection, settle)
