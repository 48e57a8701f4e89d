"""Which hosts have a duty, by rendezvous hashing.

Every host that knows the same hosts computes the same ranking.
"""

from collections.abc import Iterable
from heapq import nsmallest

from xxhash import xxh3_64_intdigest

from nutmegroad.foundations.types import HostId


def duty_hash(duty: str, host: HostId) -> int:
    """Return the hash by which hosts are ranked for a duty."""
    return xxh3_64_intdigest(f'{duty}/{host}'.encode())


def first_for_duty(
    duty: str, hosts: Iterable[HostId], count: int
) -> list[HostId]:
    """Return the hosts that rank first for a duty."""
    return nsmallest(count, hosts, key=lambda host: duty_hash(duty, host))
