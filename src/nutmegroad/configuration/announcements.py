"""Propagation of configuration changes between hosts by gossip.

A host that learns of a change immediately sends it to a few other hosts, which
do the same. Since messages may be lost, each host also periodically sends its
configuration to one other host, and whichever of the two is missing something
receives it.
"""

import random
from typing import Final

from nutmegroad.configuration._configuration_messages import HeadNotice
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.configuration.peer_queries import PeerQueries
from nutmegroad.configuration.poller import JITTER, ConfigurationPoller
from nutmegroad.contracts.peers import Mesh
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import HostId

#: Hosts to which a change is sent immediately. With 6, three or four rounds
#: reach 400 hosts; the periodic comparisons reach those that were missed.
FANOUT: Final = 6


class Announcer:
    """Sends changes on this host to others, and applies changes they send.

    Args:
        mesh: Links to other hosts.
        configuration: The configuration on this host.
        confirmations: Builds this host's notices and queries peers.
        poller: Applies revisions that other hosts have.
        clock: The host's clock.
        randomness: Selects the recipients.
        period: Seconds between comparisons with another host.
    """

    def __init__(
        self,
        mesh: Mesh,
        configuration: Configuration,
        confirmations: PeerQueries,
        poller: ConfigurationPoller,
        clock: Clock,
        randomness: random.Random,
        period: float,
    ) -> None:
        self._mesh = mesh
        self._configuration = configuration
        self._confirmations = confirmations
        self._poller = poller
        self._clock = clock
        self._randomness = randomness
        self._period = period
        mesh.handle(HeadNotice, self._handle_notice)
        configuration.subscribe(self.announce)

    async def run(self) -> None:
        """Periodically compare with one other host, until cancelled."""
        while True:
            jitter = self._randomness.uniform(-JITTER, JITTER)
            await self._clock.sleep(self._period * (1 + jitter))
            self._announce(1)

    def announce(self) -> None:
        """Send the configuration in force to a few hosts immediately."""
        self._announce(FANOUT)

    def _announce(self, count: int) -> None:
        """Send a notice to ``count`` random hosts to which there is a link."""
        hosts = [member.host for member in self._mesh.members()]
        self._randomness.shuffle(hosts)
        notice = self._confirmations.notice
        sent = 0
        for host in hosts:
            sent += self._mesh.send(host, notice)
            if sent >= count:
                break

    async def _handle_notice(self, host: HostId, notice: HeadNotice) -> None:
        """Apply what another host has, or reply with what it is missing."""
        configuration = self._configuration
        configuration.add_withdrawals(notice.withdrawals)
        if notice.facts_digest != configuration.withdrawals_digest:
            await self._confirmations.fetch_withdrawals(host)
        await self._poller.apply_notice(notice, host)
        # One reply is enough: with it the peer either has what it was missing
        # or asks for it.
        if notice.revision < configuration.revision or (
            notice.facts_digest != configuration.withdrawals_digest
        ):
            self._mesh.send(host, self._confirmations.notice)
