"""The newest configuration version that this host or a peer has in force.

A store that was restored from a backup shows an older configuration, and a host
that has just started knows no other. Such a host receives the newer version
number from the hosts that have it in force. Until it has that version, it does
not treat anything that the store shows as confirmed.
"""

from typing import Final

from nutmegroad.foundations.clocks import Clock

#: Seconds for which a received version is valid: several gossip intervals of a
#: host in another failure domain. The host that sent it may have terminated,
#: and its configuration with it.
VALIDITY: Final = 3.0

#: Version that is sent before the first configuration.
NO_VERSION: Final = -1


class ReceivedVersions:
    """Tracks the configuration versions of this host, its peers and the store.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._received = NO_VERSION
        self._valid_until = float('-inf')
        #: The version that this host has in force.
        self.own = NO_VERSION
        #: The version that the store shows.
        self.in_store = NO_VERSION

    @property
    def is_store_behind(self) -> bool:
        """Whether the store shows an older version than this host has in force.

        In that case the version has to be sent, even by hosts that have nothing
        else to send.
        """
        return self.in_store < self.own

    @property
    def newest(self) -> int:
        """The newest version that is known."""
        if self._clock.now() >= self._valid_until:
            return self.own
        return max(self.own, self._received)

    def receive(self, version: int) -> None:
        """Record the version that another host has in force."""
        if version >= self.newest:
            self._received = version
            self._valid_until = self._clock.now() + VALIDITY
