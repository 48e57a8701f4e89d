"""The host list, with the last reading kept for whoever is in no hurry."""

from typing import Final

from nutmegroad.contracts.platform import HostList, Listing
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal

#: Seconds for which the membership, which only looks for addresses, takes a
#: reading that the watch has made; reading anew would cost it 8 KB a second
#: at 890 upstreams.
RECENT: Final = 120.0


class RememberedList:
    """Reads the list, and remembers what it said.

    Args:
        host_list: The platform's list.
        clock: The host's clock.
    """

    def __init__(self, host_list: HostList, clock: Clock) -> None:
        self._host_list = host_list
        self._clock = clock
        self._last: Listing | None = None
        self._at: float = 0

    async def listing(self) -> Listing | Refusal:
        """Read the list now."""
        listing = await self._host_list.listing()
        if isinstance(listing, Listing):
            self._last = listing
            self._at = self._clock.now()
        return listing

    async def recent(self) -> Listing | Refusal:
        """Return the last reading, or read anew if that is too old."""
        if self._last is not None and self._clock.now() - self._at < RECENT:
            return self._last
        return await self.listing()


class RecentList:
    """A ``HostList`` whose readings may be old.

    Args:
        remembered: The list.
    """

    def __init__(self, remembered: RememberedList) -> None:
        self._remembered = remembered

    async def listing(self) -> Listing | Refusal:
        """Return a recent reading."""
        return await self._remembered.recent()


def recent_list(host_list: HostList) -> HostList:
    """Return the list as the membership reads it."""
    if isinstance(host_list, RememberedList):
        return RecentList(host_list)
    return host_list
