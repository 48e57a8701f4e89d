"""When hosts and failure domains were last heard."""

from collections.abc import Mapping

from nutmegroad.clocks import Clock
from nutmegroad.types import DomainId, HostId


class Reachability:
    """Keeps for how long hosts and domains have been silent.

    Args:
        clock: Time.
        domain_bound: Seconds of silence after which a domain counts as
            cut off.
    """

    def __init__(self, clock: Clock, domain_bound: float) -> None:
        self._clock = clock
        self._domain_bound = domain_bound
        self._hosts: dict[HostId, float] = {}
        self._domains: dict[DomainId, float] = {}
        self._told: dict[DomainId, float] = {}
        self._forgiven = clock.now()

    def heard_host(self, host: HostId, when: float) -> None:
        """Note that a host was heard, or heard of for the first time."""
        self._hosts[host] = max(when, self._hosts.get(host, when))

    def heard_domain(self, domain: DomainId, when: float) -> None:
        """Note when a domain was heard, by us or by others."""
        self._domains[domain] = max(when, self._domains.get(domain, when))
        self._told[domain] = self._clock.now()

    def forgive(self) -> None:
        """Count all silence from now on, after a pause of our own."""
        self._forgiven = self._clock.now()

    def forget_host(self, host: HostId) -> None:
        """Forget a host."""
        self._hosts.pop(host, None)

    def last_heard(self, host: HostId) -> float:
        """Return the clock seconds at which a host was last heard."""
        return self._hosts.get(host, self._forgiven)

    def silence(self, host: HostId) -> float:
        """Return for how many seconds a host has been silent."""
        heard = self._hosts.get(host, self._forgiven)
        return self._clock.now() - max(heard, self._forgiven)

    def is_cut_off(self, domain: DomainId) -> bool:
        """Tell whether nobody of a domain is heard, even by others."""
        heard = self._forgiven
        # What others tell after a pause of our own is worth more than
        # that we heard nothing during the pause.
        if self._told.get(domain, self._forgiven) > self._forgiven:
            heard = self._domains[domain]
        return self._clock.now() - heard > self._domain_bound

    def ages(self) -> Mapping[DomainId, float]:
        """Return for each domain the seconds since it was heard."""
        now = self._clock.now()
        return {domain: now - when for domain, when in self._domains.items()}
