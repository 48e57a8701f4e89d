"""Exchanges evidence and quarantines with other hosts."""

import random
from typing import Final

from nutmegroad.contracts.peers import Mesh, Message
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import HostId, Incarnation
from nutmegroad.rollouts.evidence import EvidenceMessage, EvidenceStore
from nutmegroad.rollouts.quarantines import QuarantineMessage, Quarantines

#: Number of hosts to which each host sends evidence in every period.
FANOUT: Final = 3
#: Seconds of absence from the member list after which an incarnation of a host
#: counts as ended. A domain that is cut off for some minutes is not forgotten.
FOLD_AFTER_SECONDS: Final = 900.0


class ExposureGossip:
    """Gossips evidence periodically, and broadcasts quarantines immediately.

    Args:
        mesh: Links to the other hosts.
        evidence: Counted attempts.
        quarantines: Quarantines that this host knows.
        clock: The host's clock.
        randomness: Selects the receivers.
        period: Seconds between gossip rounds.
    """

    def __init__(
        self,
        mesh: Mesh,
        evidence: EvidenceStore,
        quarantines: Quarantines,
        clock: Clock,
        randomness: random.Random,
        period: float,
    ) -> None:
        self._mesh = mesh
        self._evidence = evidence
        self._quarantines = quarantines
        self._clock = clock
        self._randomness = randomness
        self._period = period
        self._last_seen: dict[Incarnation, float] = {}
        mesh.handle(EvidenceMessage, self._receive_evidence)
        mesh.handle(QuarantineMessage, self._receive_quarantines)
        # This host itself has stopped sending requests to the version before it
        # broadcasts the quarantine.
        quarantines.listen(self._broadcast)

    async def run(self) -> None:
        """Gossip until cancelled."""
        while True:
            self.tick()
            await self._clock.sleep(self._period)

    def tick(self) -> None:
        """Run one gossip round: send recent changes to a few hosts."""
        message = self._evidence.next_message()
        if message.cells:
            self._send_to_some(message, FANOUT)
        # Sent even if empty: a receiver with more records sends them back.
        self._send_to_some(self._quarantines.message(), 1)
        self._fold()

    def _broadcast(self) -> None:
        self._mesh.broadcast(self._quarantines.message())

    def _send_to_some(self, message: Message, count: int) -> None:
        hosts = [member.host for member in self._mesh.members()]
        chosen = self._randomness.sample(hosts, min(count, len(hosts)))
        for host in chosen:
            self._mesh.send(host, message)

    def _fold(self) -> None:
        """Drop the evidence cells of incarnations that have ended."""
        now = self._clock.now()
        for member in self._mesh.members():
            self._last_seen[member.incarnation] = now
        self._last_seen = {
            name: last_seen
            for name, last_seen in self._last_seen.items()
            if now - last_seen < FOLD_AFTER_SECONDS
        }
        # Shortly after the start no peer has been seen yet, so no incarnation
        # may count as ended.
        if now >= FOLD_AFTER_SECONDS:
            self._evidence.fold(frozenset(self._last_seen))

    async def _receive_evidence(
        self,
        sender: HostId,
        message: EvidenceMessage,
    ) -> None:
        self._evidence.merge(message.cells)

    async def _receive_quarantines(
        self,
        sender: HostId,
        message: QuarantineMessage,
    ) -> None:
        # The listener broadcasts what is new.
        self._quarantines.merge(message.records)
        if self._quarantines.has_newer_than(message.records):
            self._mesh.send(sender, self._quarantines.message())
