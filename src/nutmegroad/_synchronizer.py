"""Fetches all records from another host when the digests differ."""

import random
from collections import Counter
from typing import Final

from nutmegroad._entries import Origin
from nutmegroad._member_messages import Record, TableReply, TableRequest
from nutmegroad._member_table import MemberTable
from nutmegroad.clocks import Clock
from nutmegroad.peers import Mesh
from nutmegroad.types import DomainId, HostId

#: A digest that differs for so many heartbeats in a row is no passing lag.
_PATIENCE: Final = 3
#: Seconds between two fetches, at least and at most.
_REST: Final = (3.0, 8.0)
_TIMEOUT: Final = 5.0


class Synchronizer:
    """Fetches records, one host at a time and not too often.

    Args:
        table: Where the records go.
        mesh: Whom to ask by.
        clock: Time.
        randomness: Spreads the fetches of many hosts.
    """

    def __init__(
        self,
        table: MemberTable,
        mesh: Mesh,
        clock: Clock,
        randomness: random.Random,
    ) -> None:
        self._table = table
        self._mesh = mesh
        self._clock = clock
        self._randomness = randomness
        self._differing: Counter[HostId] = Counter()
        self._next = clock.now()
        self._is_first = True

    def is_due(self, host: HostId, digest: int) -> bool:
        """Take in a digest; true if the records must be fetched now."""
        if digest == self._table.entries.digest:
            self._differing.pop(host, None)
            return False
        self._differing[host] += 1
        patience = 1 if self._is_first else _PATIENCE
        is_lasting = self._differing[host] >= patience
        return is_lasting and self._clock.now() >= self._next

    def forget(self, host: HostId) -> None:
        """Forget a host whose link was lost."""
        self._differing.pop(host, None)

    async def fetch(self, host: HostId, domain: DomainId) -> None:
        """Ask a host for all its records and take them in."""
        self._next = self._clock.now() + self._randomness.uniform(*_REST)
        self._differing.clear()
        reply = await self._mesh.ask(host, TableRequest(), _TIMEOUT)
        if not isinstance(reply, TableReply):
            return
        is_near = domain == self._table.identity.domain
        # Hosts of our domain have what one of them has; and who knew
        # nothing before has no news for anybody.
        quiet = is_near or self._is_first
        self._is_first = False
        self._take(host, reply.records, Origin.SYNC if quiet else Origin.FAR)

    def _take(
        self,
        host: HostId,
        records: tuple[Record, ...],
        origin: Origin,
    ) -> None:
        for record in records:
            self._table.merge(record, origin, host)
