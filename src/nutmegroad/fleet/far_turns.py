"""Who tells the hosts of other failure domains, and whom, at a turn.

Bytes between domains are dear, and what must be known in all of them is soon
known to each host of one. So the hosts of a domain take turns: each other
domain is told by so many of them at a turn, however large both are.
"""

import math
from typing import Final

from xxhash import xxh32_intdigest

from nutmegroad.fleet.announcements import HostRow
from nutmegroad.foundations.types import DomainId, HostId

#: Hosts of a domain that tell another one at a turn while there is news: the
#: other one makes up for one that is paused, or for a datagram that is lost.
TELLERS: Final = 2

#: Times as rare as that where nothing is news: only for what was lost, and as
#: a sign that the domain is there.
CALM: Final = 4


class FarTurns:
    """Knows the hosts of the other domains, and this host's turns.

    Args:
        host: This host.
    """

    def __init__(self, host: HostId) -> None:
        self._host = host
        self._domains: dict[DomainId, list[HostId]] = {}
        self._rows: dict[HostId, HostRow] = {}
        # Whom of each domain this host tells next.
        self._next: dict[DomainId, int] = {}

    def found(self, host: HostId, row: HostRow) -> None:
        """Take in a host of another domain."""
        domain = DomainId(row.domain)
        if host not in self._rows:
            self._domains.setdefault(domain, []).append(host)
            # Hosts that start together begin at different ones.
            start = xxh32_intdigest(f'{self._host}/{domain}'.encode())
            self._next.setdefault(domain, start)
        self._rows[host] = row

    def due(self, turn: int, place: int, near: int, *, news: bool) -> bool:
        """Tell whether it is this host's turn.

        Args:
            turn: Number of the turn.
            place: This host's place among those of its domain.
            near: How many hosts its domain has, this one included.
            news: Whether there is news.
        """
        pause = 1 if news else CALM
        interval = math.ceil(near / TELLERS) * pause
        # Evenly over the interval, whatever its length.
        return (turn + place * pause) % interval == 0

    def receivers(self) -> list[HostRow]:
        """Return one host of each other domain, each time the next one."""
        chosen = []
        for domain, hosts in self._domains.items():
            self._next[domain] += 1
            host = hosts[self._next[domain] % len(hosts)]
            chosen.append(self._rows[host])
        return chosen
