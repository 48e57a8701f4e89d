"""The cached configuration of a host, and how long its keys stay valid.

A key that the operator has revoked must not be accepted later than a fixed
bound after the revocation, not even by a host that has not received the update.
A host therefore accepts keys only for a limited time after it last confirmed
that its configuration was the newest one.
"""

from typing import Final

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.ingress.connections import ConnectionLimits
from nutmegroad.routes.deployment import (
    NO_VERSION,
    ConfigurationVersion,
    RoutingTable,
)

_LOG: Final = part_logger('configuration')

#: Fraction of the bound on revoked keys that a host leaves unused, for the time
#: between its check and the dispatch to the upstream.
KEY_VALIDITY_MARGIN: Final = 0.06

#: Fraction of that bound after which a host reports itself as not ready for new
#: connections. It may soon have to refuse their requests, and other hosts may
#: have a newer confirmation.
READY_FRACTION: Final = 0.8


#: Seconds after a restore of the store from a backup for which its responses
#: confirm nothing. The operator writes again what the backup lacks, within
#: about two seconds.
RESTORE_SETTLE_SECONDS: Final = 2.5


class CachedConfiguration:
    """The newest configuration that this host has received.

    Args:
        clock: The host's clock; it must count suspended time.
        key_validity: Seconds for which keys stay valid after a confirmation;
            None if they never expire.
    """

    def __init__(self, clock: Clock, key_validity: float | None) -> None:
        self._clock = clock
        self._key_validity = key_validity
        self._table: RoutingTable | None = None
        self._confirmed_at = float('-inf')
        self._expired = False
        # Clock seconds before which responses of the store confirm nothing.
        self._settled_at = float('-inf')

    @property
    def table(self) -> RoutingTable | None:
        """The configuration in force; None before the first."""
        return self._table

    @property
    def version(self) -> ConfigurationVersion:
        """Version of the configuration in force."""
        return NO_VERSION if self._table is None else self._table.version

    @property
    def connection_limits(self) -> ConnectionLimits:
        """How long callers may take on their connections."""
        if self._table is None:
            return ConnectionLimits()
        return self._table.limits.connections

    @property
    def age(self) -> float:
        """Seconds since the configuration was last confirmed as the newest."""
        return self._clock.now() - self._confirmed_at

    @property
    def keys_valid(self) -> bool:
        """Whether requests that need a key may still be accepted."""
        if self._key_validity is None:
            return True
        valid = self.age <= self._key_validity * (1 - KEY_VALIDITY_MARGIN)
        if valid == self._expired:
            self._expired = not valid
            _LOG.decision(
                'keys accepted' if valid else 'keys not accepted',
                age=round(self.age, 3),
                bound=self._key_validity,
            )
        return valid

    @property
    def fresh(self) -> bool:
        """Whether this host may ask the balancer for new connections."""
        if self._table is None:
            return False
        return (
            self._key_validity is None
            or self.age <= self._key_validity * READY_FRACTION
        )

    def update_key_validity(self, key_validity: float | None) -> None:
        """Change the seconds for which keys stay valid after a confirmation."""
        self._key_validity = key_validity

    def update(self, table: RoutingTable) -> None:
        """Put a configuration in force, unless it is not newer."""
        known = self.version
        if table.version <= known:
            return
        self._table = table
        _LOG.decision(
            'configuration taken',
            version=table.version,
            before=known,
            routes=len(table.routes),
            keys=len(table.keys),
        )

    def confirm(self, confirmed_at: float) -> None:
        """Record that no newer configuration existed at a clock time.

        Args:
            confirmed_at: Clock seconds. Times before the end of the settling
                period after a restore of the store are ignored.
        """
        if confirmed_at >= self._settled_at:
            self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def ignore_confirmations(self) -> None:
        """Record that the store may lack the operator's latest writes.

        The store was restored from a backup, in which a revoked key is still
        valid. Until the operator has had time to write again, no response of
        the store confirms the configuration.
        """
        self._settled_at = self._clock.now() + RESTORE_SETTLE_SECONDS
        _LOG.decision(
            'confirmations ignored after a store restore',
            version=self.version,
            seconds=RESTORE_SETTLE_SECONDS,
        )
