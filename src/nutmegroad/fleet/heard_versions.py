"""The newest configuration that any host nearby has in force.

A store that came back from a copy shows an older one, and a host that has just
started knows no other. It hears of the newer one from those that hold it, and
takes nothing that the store shows for confirmed until then.
"""

from typing import Final

from nutmegroad.foundations.clocks import Clock

#: Seconds for which a version counts that was heard of: some tellings of a host
#: in another failure domain. Who told may be gone, with what it believed.
SPAN: Final = 3.0

#: What is told before the first configuration.
NONE: Final = -1


class HeardVersions:
    """Knows which version this host has in force, and which others have.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heard = NONE
        self._until = float('-inf')
        #: The version that this host has in force.
        self.own = NONE
        #: The version that the store shows.
        self.shown = NONE

    @property
    def store_lacks(self) -> bool:
        """Tell whether the store shows less than this host has in force.

        Then it has to be told, also by hosts that have nothing else to tell.
        """
        return self.shown < self.own

    @property
    def newest(self) -> int:
        """Return the newest version that is known of."""
        if self._clock.now() >= self._until:
            return self.own
        return max(self.own, self._heard)

    def told(self, version: int) -> None:
        """Take in which version another host has in force."""
        if version >= self.newest:
            self._heard = version
            self._until = self._clock.now() + SPAN
