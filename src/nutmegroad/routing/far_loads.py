"""Fetches what is reported by the engines of other domains.

One host of each other domain is asked for all that its domain knows. Such
figures are as old as the time between two fetches, so they tell whether a
domain has room rather than which of its engines is the least loaded. That
an engine leaves is told at once, by ``departures``.
"""

import random
from collections import defaultdict
from typing import Final

from nutmegroad.contracts._watch_rows import (
    LoadAsk,
    LoadReply,
    RowWriter,
    RunIndex,
    age_of,
    report_of_row,
)
from nutmegroad.contracts.peers import Mesh
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import DomainId, HostId, Presence
from nutmegroad.routing.directory import Directory
from nutmegroad.routing.watch_sharing import WatchSharer

#: Seconds that a host of another domain may take to answer.
ASK_TIMEOUT: Final = 2.0
JITTER: Final = 0.2


class FarLoads:
    """Asks hosts of other domains, and answers theirs.

    Args:
        mesh: The other hosts.
        directory: What this host knows of upstreams.
        sharer: Takes the reports.
        clock: The host's clock.
        randomness: Chooses whom to ask.
        domain: The failure domain of this host.
    """

    def __init__(
        self,
        mesh: Mesh,
        directory: Directory,
        sharer: WatchSharer,
        clock: Clock,
        randomness: random.Random,
        domain: DomainId,
    ) -> None:
        self._mesh = mesh
        self._directory = directory
        self._sharer = sharer
        self._clock = clock
        self._randomness = randomness
        self._domain = domain
        self._index = RunIndex()
        mesh.handle(LoadAsk, self._answer)

    async def run(self) -> None:
        """Fetch from each other domain until cancelled."""
        while True:
            spread = self._randomness.uniform(1 - JITTER, 1 + JITTER)
            await self._clock.sleep(self._sharer.far_period * spread)
            await self.fetch()

    async def fetch(self) -> None:
        """Ask one host of each other domain."""
        hosts: defaultdict[DomainId, list[HostId]] = defaultdict(list)
        for member in self._mesh.members():
            if member.presence is Presence.LIVE:
                hosts[member.domain].append(member.host)
        hosts.pop(self._domain, None)
        for there in hosts.values():
            await self._fetch_from(there)

    async def _fetch_from(self, hosts: list[HostId]) -> None:
        """Ask the first of a domain's hosts that there is a link to."""
        self._randomness.shuffle(hosts)
        for host in hosts:
            reply = await self._mesh.ask(host, LoadAsk(), ASK_TIMEOUT)
            if isinstance(reply, LoadReply):
                self._take(reply)
                return

    def _take(self, reply: LoadReply) -> None:
        self._index.refresh(self._directory.states())
        now = self._clock.now()
        for row in reply.rows:
            state = self._index.find(row.run)
            report = report_of_row(row, reply.names, None)
            if state is None or report is None:
                continue
            self._sharer.take_report(state, report, now - age_of(row))

    async def _answer(self, host: HostId, ask: LoadAsk) -> LoadReply:
        """Return what the engines of this domain have reported."""
        writer = RowWriter(self._clock.now())
        for state in self._directory.states():
            if state.info.domain == self._domain:
                writer.add(state, with_versions=True)
        return LoadReply(writer.names, writer.rows)
