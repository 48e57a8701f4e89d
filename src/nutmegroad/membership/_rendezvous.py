"""Rendezvous hashing: all hosts rank the same hosts in the same order.

If a host is added or removed, the first rank changes only for those keys for
which that host ranks first.
"""

from collections.abc import Iterable

import xxhash

from nutmegroad.foundations.types import HostId


def rank_hosts(key: str, hosts: Iterable[HostId]) -> list[HostId]:
    """Return the hosts in the order of their rank for a key."""
    # The length prefix keeps ('ab', 'c') and ('a', 'bc') distinct.
    prefix = f'{len(key)}:{key}'
    return sorted(hosts, key=lambda host: (_weight(prefix, host), host))


def _weight(prefix: str, host: HostId) -> int:
    return xxhash.xxh64_intdigest(f'{prefix}{host}'.encode())
