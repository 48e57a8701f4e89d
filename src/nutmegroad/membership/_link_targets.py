"""Selects the hosts to which this one should have links."""

import random
from collections import defaultdict
from collections.abc import Iterable
from typing import Final

from nutmegroad.foundations.types import Address, DomainId, HostId
from nutmegroad.membership._member_messages import Record
from nutmegroad.membership._member_table import MemberTable, Reachability
from nutmegroad.membership._rendezvous import rank_hosts

#: Number of links from a host to each other domain.
LINKS_PER_REMOTE_DOMAIN: Final = 2
#: Maximum number of addresses probed at a time while there is no link.
_MAX_INITIAL_PROBES: Final = 8


class LinkTargets:
    """Selects the hosts to connect to.

    These are all hosts of the local domain, the highest-ranked hosts of each
    other domain, and a changing selection of addresses at which there may be
    unknown or unreachable hosts.

    Args:
        table: Member records.
        reachability: When hosts and domains were last seen.
        randomness: Selects the addresses to probe.
        seeds: Addresses from the settings.
    """

    def __init__(
        self,
        table: MemberTable,
        reachability: Reachability,
        randomness: random.Random,
        seeds: Iterable[Address],
    ) -> None:
        self._table = table
        self._reachability = reachability
        self._randomness = randomness
        self._seeds = frozenset(seeds)
        self._listed_addresses: frozenset[Address] = frozenset()
        self._probes: frozenset[Address] = frozenset()
        self._chosen: dict[HostId, Address] = {}
        self._chosen_change = 0

    def update_listed_addresses(self, addresses: Iterable[Address]) -> None:
        """Update the addresses that the host list contains."""
        self._listed_addresses = frozenset(addresses)

    def hosts(self) -> dict[HostId, Address]:
        """Return the known hosts to which there should be links."""
        if self._chosen_change != self._table.entries.change_number:
            self._chosen_change = self._table.entries.change_number
            self._chosen = self._choose()
        return self._chosen

    def addresses(self) -> frozenset[Address]:
        """Return all addresses to which there should be links."""
        chosen = self.hosts().values()
        if not self._probes:
            return frozenset(chosen)
        # A probed address at which a host has been found needs a link only if
        # that host was chosen.
        return (self._probes - self._known_addresses()).union(chosen)

    def choose_probes(self, *, has_links: bool) -> None:
        """Select new addresses at which to look for hosts.

        Args:
            has_links: Whether there is any link; without one, several
                addresses are probed at a time.
        """
        candidates = (
            self._seeds
            | self._listed_addresses
            | self._addresses_of_empty_domains()
        )
        addresses = sorted(candidates - self._known_addresses(), key=str)
        self._randomness.shuffle(addresses)
        size = 1 if has_links else _MAX_INITIAL_PROBES
        self._probes = frozenset(addresses[:size])

    def _choose(self) -> dict[HostId, Address]:
        by_domain = self._by_domain()
        chosen = by_domain.pop(self._table.identity.domain, [])
        for records in by_domain.values():
            by_host = {record.host: record for record in records}
            selected = rank_hosts(self._table.own.host, by_host)[
                :LINKS_PER_REMOTE_DOMAIN
            ]
            chosen.extend(by_host[host] for host in selected)
        return {record.host: record.identity.address for record in chosen}

    def _known_addresses(self) -> frozenset[Address]:
        """Return the addresses of known hosts, including this one."""
        own = self._table.identity.address
        others = [record.identity.address for record in self._table.others()]
        return frozenset((own, *others))

    def _addresses_of_empty_domains(self) -> frozenset[Address]:
        """Return addresses of gone hosts in domains without other members."""
        populated = self._by_domain()
        return frozenset(
            record.identity.address
            for record in self._table.entries.records()
            if record.is_gone and record.identity.domain not in populated
        )

    def _by_domain(self) -> dict[DomainId, list[Record]]:
        """Return the other hosts that are not gone, by domain."""
        records: defaultdict[DomainId, list[Record]] = defaultdict(list)
        for record in self._table.others():
            records[record.identity.domain].append(record)
        return records
