"""To which hosts this one should have links."""

import random
from collections import defaultdict
from collections.abc import Iterable
from typing import Final

from nutmegroad.foundations.types import Address, DomainId, HostId
from nutmegroad.membership._member_messages import Record
from nutmegroad.membership._member_table import MemberTable, Reachability
from nutmegroad.membership._rendezvous import ranked

#: Links that a host makes to each other domain.
CROSS_LINKS: Final = 2
#: Seeds that are tried at a time while there is no link at all.
_FIRST_SEEDS: Final = 8


class LinkTargets:
    """Chooses whom to connect to.

    All hosts of the own domain; of each other domain those that stand
    first for this host; and, by turns, an address at which there may be
    hosts that are not known or not in reach.

    Args:
        table: All records.
        reachability: When hosts and domains were last heard.
        randomness: Chooses what to probe.
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
        self._listed: frozenset[Address] = frozenset()
        self._probe: frozenset[Address] = frozenset()
        self._chosen: dict[HostId, Address] = {}
        self._chosen_at = 0

    def take_listing(self, addresses: Iterable[Address]) -> None:
        """Take in where the host list says that hosts of ours listen."""
        self._listed = frozenset(addresses)

    def hosts(self) -> dict[HostId, Address]:
        """Return the known hosts to which there should be links."""
        if self._chosen_at != self._table.entries.change:
            self._chosen_at = self._table.entries.change
            self._chosen = self._choose()
        return self._chosen

    def addresses(self) -> frozenset[Address]:
        """Return all addresses to which there should be links."""
        chosen = self.hosts().values()
        if not self._probe:
            return frozenset(chosen)
        # Who was found at a probed address is a host like any other.
        return (self._probe - self._known()).union(chosen)

    def choose_probe(self, *, has_links: bool) -> None:
        """Choose anew at which other addresses to look for hosts.

        Args:
            has_links: Whether there is any link; without one all seeds
                are tried, up to a bound.
        """
        places = self._seeds | self._listed | self._lost()
        choices = sorted(places - self._known(), key=str)
        self._randomness.shuffle(choices)
        size = 1 if has_links else _FIRST_SEEDS
        self._probe = frozenset(choices[:size])

    def _choose(self) -> dict[HostId, Address]:
        by_domain = self._by_domain()
        chosen = by_domain.pop(self._table.identity.domain, [])
        for records in by_domain.values():
            names = {record.host: record for record in records}
            first = ranked(self._table.own.host, names)[:CROSS_LINKS]
            chosen.extend(names[host] for host in first)
        return {record.host: record.identity.address for record in chosen}

    def _known(self) -> frozenset[Address]:
        """Return where known hosts listen, this one among them."""
        own = self._table.identity.address
        others = [record.identity.address for record in self._table.others()]
        return frozenset((own, *others))

    def _lost(self) -> frozenset[Address]:
        """Return where gone hosts were of domains without a live one."""
        inhabited = self._by_domain()
        return frozenset(
            record.identity.address
            for record in self._table.entries.records()
            if record.is_gone and record.identity.domain not in inhabited
        )

    def _by_domain(self) -> dict[DomainId, list[Record]]:
        """Return the other hosts that are not gone."""
        records: defaultdict[DomainId, list[Record]] = defaultdict(list)
        for record in self._table.others():
            records[record.identity.domain].append(record)
        return records
