"""Tells other hosts of evidence and quarantines, and hears from them."""

import random
from typing import Final

from nutmegroad.contracts.peers import Mesh, Message
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import HostId, Incarnation
from nutmegroad.rollouts.evidence import EvidenceMessage, EvidenceStore
from nutmegroad.rollouts.quarantines import QuarantineMessage, Quarantines

#: Hosts to which each host passes evidence on in every period.
FANOUT: Final = 3
#: Seconds after which a run of a host that nobody hears of is over. A
#: domain that is cut off for some minutes is not forgotten.
FOLD_AFTER: Final = 900.0


class ExposureSpread:
    """Spreads evidence by and by, and quarantines at once.

    Args:
        mesh: The other hosts.
        evidence: What was counted.
        quarantines: What was decided.
        clock: The host's clock.
        randomness: Chooses whom to tell.
        period: Seconds between messages.
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
        self._heard: dict[Incarnation, float] = {}
        mesh.handle(EvidenceMessage, self._take_evidence)
        mesh.handle(QuarantineMessage, self._take_quarantines)
        # The host itself has stopped sending when it tells the others.
        quarantines.listen(self._announce)

    async def run(self) -> None:
        """Spread until cancelled."""
        while True:
            self.tick()
            await self._clock.sleep(self._period)

    def tick(self) -> None:
        """Tell a few hosts what is new."""
        message = self._evidence.outgoing()
        if message.cells:
            self._tell_some(message, FANOUT)
        # Also if there is none: whoever knows more answers.
        self._tell_some(self._quarantines.message(), 1)
        self._fold()

    def _announce(self) -> None:
        self._mesh.tell_all(self._quarantines.message())

    def _tell_some(self, message: Message, count: int) -> None:
        hosts = [member.host for member in self._mesh.members()]
        chosen = self._randomness.sample(hosts, min(count, len(hosts)))
        for host in chosen:
            self._mesh.tell(host, message)

    def _fold(self) -> None:
        now = self._clock.now()
        for member in self._mesh.members():
            self._heard[member.incarnation] = now
        self._heard = {
            name: heard
            for name, heard in self._heard.items()
            if now - heard < FOLD_AFTER
        }
        # At the start nobody has been heard, and nothing may be over yet.
        if now >= FOLD_AFTER:
            self._evidence.fold(frozenset(self._heard))

    async def _take_evidence(
        self,
        sender: HostId,
        message: EvidenceMessage,
    ) -> None:
        self._evidence.learn(message.cells)

    async def _take_quarantines(
        self,
        sender: HostId,
        message: QuarantineMessage,
    ) -> None:
        # What is new is announced to all by the listener.
        self._quarantines.learn(message.records)
        if self._quarantines.lacks(message.records):
            self._mesh.tell(sender, self._quarantines.message())
