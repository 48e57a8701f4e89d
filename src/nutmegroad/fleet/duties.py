"""Which hosts have a duty, by hashing, and when they perform it.

Every host that knows the same hosts comes to the same result.
"""

import math
from bisect import bisect_left, insort

from xxhash import xxh3_64_intdigest

from nutmegroad.foundations.types import HostId


def duty_hash(duty: str, host: HostId) -> int:
    """Return the rendezvous hash by which hosts are ranked for a duty."""
    return xxh3_64_intdigest(f'{duty}/{host}'.encode())


def duty_delay(rank: int, spread: float) -> float:
    """Return the seconds a host waits before it performs a duty.

    The delay grows with the logarithm of the rank: when many hosts are down,
    the next live one still takes over soon.

    Args:
        rank: The host's rank among all hosts for the duty; 0 for the first.
        spread: Seconds for which the second host waits; the first doesn't wait.
    """
    return spread * math.log2(1 + rank)


class HostRing:
    """All hosts on a ring of hash values (consistent hashing).

    The hosts that follow the hash of a duty have it. A rank takes one hash
    however many hosts there are, and a host that joins changes one rank in the
    first few of a duty at most.

    Args:
        own: This host.
    """

    def __init__(self, own: HostId) -> None:
        self._own = _place(own)
        self._places = [self._own]

    def __len__(self) -> int:
        """Return the number of hosts, including this one."""
        return len(self._places)

    def add(self, host: HostId) -> None:
        """Add a host, unless it is there."""
        place = _place(host)
        position = bisect_left(self._places, place)
        if self._places[position : position + 1] != [place]:
            insort(self._places, place)

    def rank(self, duty: str) -> int:
        """Return this host's rank for a duty, from 0."""
        own = bisect_left(self._places, self._own)
        return (own - self._start(duty)) % len(self._places)

    def first(self, duty: str, count: int) -> tuple[HostId, ...]:
        """Return the hosts that rank first for a duty."""
        start = self._start(duty)
        size = len(self._places)
        return tuple(
            self._places[(start + number) % size][1]
            for number in range(min(count, size))
        )

    def _start(self, duty: str) -> int:
        """Return the position of the host that ranks first for a duty."""
        digest = xxh3_64_intdigest(duty.encode())
        return bisect_left(self._places, (digest, HostId('')))


def _place(host: HostId) -> tuple[int, HostId]:
    """Return a host's place on the ring."""
    return xxh3_64_intdigest(host.encode()), host
