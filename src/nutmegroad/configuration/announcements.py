"""Changes of the configuration, told from host to host.

A host that learns of a change tells a few others at once, and they tell
others. As a message may be lost, each host also compares itself with one
other host again and again; whichever lacks something gets it.
"""

import random
from typing import Final

from nutmegroad.configuration._configuration_messages import HeadNotice
from nutmegroad.configuration.confirmations import Confirmations
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.configuration.spread import JITTER, ConfigurationPoller
from nutmegroad.contracts.peers import Mesh
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import HostId

#: Hosts that are told of a change at once. With 6, three or four rounds
#: reach 400 hosts; what these miss, the comparisons find.
FANOUT: Final = 6


class Announcer:
    """Tells others what changes here, and takes what they tell.

    Args:
        mesh: Links to other hosts.
        configuration: What this host holds.
        confirmations: Says what this host holds.
        poller: Takes a revision that another host has.
        clock: The host's clock.
        randomness: Chooses whom to tell.
        period: Seconds between comparisons with another host.
    """

    def __init__(
        self,
        mesh: Mesh,
        configuration: Configuration,
        confirmations: Confirmations,
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
        mesh.handle(HeadNotice, self._hear)
        configuration.listen(self.announce)

    async def run(self) -> None:
        """Compare with one other host after another, until cancelled."""
        while True:
            spread = self._randomness.uniform(-JITTER, JITTER)
            await self._clock.sleep(self._period * (1 + spread))
            self._tell(1)

    def announce(self) -> None:
        """Tell a few others at once."""
        self._tell(FANOUT)

    def _tell(self, count: int) -> None:
        """Tell so many others to whom there is a link."""
        hosts = [member.host for member in self._mesh.members()]
        self._randomness.shuffle(hosts)
        notice = self._confirmations.notice
        told = 0
        for host in hosts:
            told += self._mesh.tell(host, notice)
            if told >= count:
                break

    async def _hear(self, host: HostId, notice: HeadNotice) -> None:
        """Take what another host has, or tell it what it lacks."""
        configuration = self._configuration
        configuration.withdraw(notice.withdrawals)
        if notice.facts_digest != configuration.withdrawals_digest:
            await self._confirmations.pull_facts(host)
        await self._poller.adopt(notice, host)
        # What it lacks is told once; it will then have it, or ask.
        if notice.revision < configuration.revision or (
            notice.facts_digest != configuration.withdrawals_digest
        ):
            self._mesh.tell(host, self._confirmations.notice)
