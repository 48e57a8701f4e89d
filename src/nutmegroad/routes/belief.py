"""What a host believes of the operator's configuration, and for how long.

A key that was taken away may not be served later than a bound after that,
also by a host that has not heard of it. So a host trusts its keys only for
so long after the moment at which it last knew them to be the newest.
"""

from typing import Final

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.routes.deployment import NO_VERSION, RoutingTable

_LOG: Final = part_logger('configuration')

#: Part of the bound on withdrawn keys that a host leaves unused, for the
#: way from its check to the upstream.
MARGIN: Final = 0.06

#: Part of that bound after which a host asks for no new connections: it may
#: soon have to refuse them, and others may know more.
READY_PART: Final = 0.8


#: Seconds after the store came back from a copy in which its answers confirm
#: nothing: the operator writes again what the copy lacks, within about two.
SETTLING: Final = 2.5


class ConfigurationBelief:
    """The newest configuration that this host has heard of.

    Args:
        clock: The host's clock; it must count suspended time.
        trust: Seconds for which keys hold after they were confirmed; None
            if they hold for ever.
    """

    def __init__(self, clock: Clock, trust: float | None) -> None:
        self._clock = clock
        self._trust = trust
        self._table: RoutingTable | None = None
        self._confirmed = float('-inf')
        self._lapsed = False
        # Clock seconds before which answers of the store confirm nothing.
        self._settled = float('-inf')

    @property
    def table(self) -> RoutingTable | None:
        """Return the configuration in force, or None before the first."""
        return self._table

    @property
    def age(self) -> float:
        """Return the seconds since it was last known to be the newest."""
        return self._clock.now() - self._confirmed

    @property
    def trusted(self) -> bool:
        """Tell whether requests with a key may still be let in."""
        if self._trust is None:
            return True
        trusted = self.age <= self._trust * (1 - MARGIN)
        if trusted == self._lapsed:
            self._lapsed = not trusted
            _LOG.decision(
                'keys trusted' if trusted else 'keys not trusted',
                age=round(self.age, 3),
                bound=self._trust,
            )
        return trusted

    @property
    def fresh(self) -> bool:
        """Tell whether this host may ask for new connections."""
        if self._table is None:
            return False
        return self._trust is None or self.age <= self._trust * READY_PART

    def trust_for(self, trust: float | None) -> None:
        """Change for how long keys hold after they were confirmed."""
        self._trust = trust

    def take(self, table: RoutingTable) -> None:
        """Take a configuration, unless it is not newer."""
        known = NO_VERSION if self._table is None else self._table.version
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

    def confirm(self, moment: float) -> None:
        """Note that nothing newer existed at a moment."""
        if moment >= self._settled:
            self._confirmed = max(self._confirmed, moment)

    def doubt(self) -> None:
        """Note that the store may lack what the operator wrote last.

        A key that was taken away seems to hold there, so until the operator
        has had time to write again, nothing that is read confirms a key.
        """
        self._settled = self._clock.now() + SETTLING
        _LOG.decision(
            'not confirmed while the store settles',
            version=NO_VERSION if self._table is None else self._table.version,
            seconds=SETTLING,
        )
