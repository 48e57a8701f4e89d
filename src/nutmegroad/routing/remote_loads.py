"""Fetches the load reports of engines in remote failure domains.

One host of each remote domain is asked for all that its domain knows. The
reports are as old as the interval between two fetches, so they show whether a
domain has free slots rather than which of its engines has the least load.
Draining engines are announced immediately by ``draining_notices``.
"""

import random
from collections import defaultdict
from typing import Final

from nutmegroad.contracts._report_rows import (
    EndpointIndex,
    LoadAsk,
    LoadReply,
    RowWriter,
    decode_report,
    report_age,
)
from nutmegroad.contracts.peers import Mesh
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import DomainId, HostId, Presence
from nutmegroad.routing.directory import Directory
from nutmegroad.routing.watch_sharing import WatchSharer

#: Seconds to wait for an answer from a host of a remote domain.
ASK_TIMEOUT: Final = 2.0
#: Relative jitter of the interval between two fetches.
JITTER: Final = 0.2


class RemoteLoads:
    """Requests load reports from remote hosts, and answers their requests.

    Args:
        mesh: The other hosts.
        directory: What this host knows of upstreams.
        sharer: Receives the reports.
        clock: The host's clock.
        randomness: Chooses the hosts to ask, and the jitter.
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
        self._index = EndpointIndex()
        mesh.handle(LoadAsk, self._answer)

    async def run(self) -> None:
        """Fetch from each remote domain periodically until cancelled."""
        while True:
            spread = self._randomness.uniform(1 - JITTER, 1 + JITTER)
            await self._clock.sleep(self._sharer.remote_fetch_interval * spread)
            await self.fetch()

    async def fetch(self) -> None:
        """Ask one host of each remote domain."""
        hosts: defaultdict[DomainId, list[HostId]] = defaultdict(list)
        for member in self._mesh.members():
            if member.presence is Presence.LIVE:
                hosts[member.domain].append(member.host)
        hosts.pop(self._domain, None)
        for domain_hosts in hosts.values():
            await self._fetch_from(domain_hosts)

    async def _fetch_from(self, hosts: list[HostId]) -> None:
        """Ask a domain's hosts in random order until one answers."""
        self._randomness.shuffle(hosts)
        for host in hosts:
            reply = await self._mesh.request(host, LoadAsk(), ASK_TIMEOUT)
            if isinstance(reply, LoadReply):
                self._apply(reply)
                return

    def _apply(self, reply: LoadReply) -> None:
        """Apply the reports of a remote domain, as received from its host."""
        self._index.refresh(self._directory.states())
        now = self._clock.now()
        for row in reply.rows:
            state = self._index.find(row.endpoint)
            report = decode_report(row, reply.names, None)
            if state is None or report is None:
                continue
            self._sharer.take_report(state, report, now - report_age(row))

    async def _answer(self, host: HostId, ask: LoadAsk) -> LoadReply:
        """Return the reports of the engines in this host's domain."""
        writer = RowWriter(self._clock.now())
        for state in self._directory.states():
            if state.info.domain == self._domain:
                writer.add(state, with_versions=True)
        return LoadReply(writer.names, writer.rows)
