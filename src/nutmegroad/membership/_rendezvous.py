"""Rendezvous hashing: everybody ranks the same hosts in the same order.

When a host comes or goes, only what it ranked first for moves.
"""

from collections.abc import Iterable

import xxhash

from nutmegroad.foundations.types import HostId


def ranked(key: str, hosts: Iterable[HostId]) -> list[HostId]:
    """Return hosts in the order in which they stand for a key."""
    # A length before the key keeps ('ab', 'c') and ('a', 'bc') apart.
    prefix = f'{len(key)}:{key}'
    return sorted(hosts, key=lambda host: (_weight(prefix, host), host))


def _weight(prefix: str, host: HostId) -> int:
    return xxhash.xxh64_intdigest(f'{prefix}{host}'.encode())
