"""A host list with a cache for readers that accept an older result."""

from typing import Final

from nutmegroad.contracts.platform import HostList, Listing
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal

#: Maximum age in seconds of a cached result. The membership, which only needs
#: addresses, uses the one that the watch has read: reading the list itself
#: would cost it 8 KB per second at 890 upstreams.
MAX_LIST_AGE: Final = 120.0


class CachedHostList:
    """A host list that caches its last result.

    Args:
        host_list: The platform's host list.
        clock: The host's clock.
    """

    def __init__(self, host_list: HostList, clock: Clock) -> None:
        self._host_list = host_list
        self._clock = clock
        self._cached: Listing | None = None
        self._read_at: float = 0

    async def listing(self) -> Listing | Refusal:
        """Read the list from the platform and cache it."""
        listing = await self._host_list.listing()
        if isinstance(listing, Listing):
            self._cached = listing
            self._read_at = self._clock.now()
        return listing

    async def recent(self) -> Listing | Refusal:
        """Return the cached list, or read it if that is missing or too old."""
        if (
            self._cached is not None
            and self._clock.now() - self._read_at < MAX_LIST_AGE
        ):
            return self._cached
        return await self.listing()


class CachedListReader:
    """A ``HostList`` that returns a cached result unless it is too old.

    Args:
        cached_list: The list with its cache.
    """

    def __init__(self, cached_list: CachedHostList) -> None:
        self._cached_list = cached_list

    async def listing(self) -> Listing | Refusal:
        """Return the cached list, or read it if that is missing or too old."""
        return await self._cached_list.recent()


def cached_host_list(host_list: HostList) -> HostList:
    """Return a list that uses the cache of ``host_list`` if it has one."""
    if isinstance(host_list, CachedHostList):
        return CachedListReader(host_list)
    return host_list
