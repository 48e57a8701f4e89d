"""Copies of billing records that a peer holds until they are stored.

A host hands its records on before the end of their answers, as many at a
time as have come together. If the host is gone, or says so at its end, the
receiver takes the records over: it stores them as its own, and hands them
to a receiver too.
"""

import asyncio
from typing import ClassVar, Final

from nutmegroad.contracts.peers import Member, Mesh, Message
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.types import DomainId, HostId, Incarnation, Presence
from nutmegroad.records.billing import Batch, Biller, BillingRecord

#: Seconds that the end of an answer may wait for one peer to take its
#: record; it takes less than a millisecond unless the peer stands still.
HAND_WAIT: Final = 0.5
#: Peers that are tried in turn.
MOST_TRIED: Final = 2
#: Peers that hold what a host can not store at its end. From then on
#: nobody else has it, and one of them may die before it has handed it on.
HOLDERS_AT_END: Final = 2
#: Seconds for which a peer that did not take records is passed over.
SHUN: Final = 5.0
#: Seconds for which a host must be unknown before its records are stored.
GONE_AFTER: Final = 10.0
#: Records that a host holds for others.
MOST_HELD: Final = 200_000

_LOG: Final = part_logger('billing')

#: Whose cost the messages are.
RECORDS_PART: Final = 'billing'


class HandedRecords(Message, frozen=True, tag='billing-records'):
    """Records of one batch, from a place in it on.

    Attributes:
        incarnation: Whose batch it is.
        sequence: Its number.
        place: How many records stand before these.
        records: The records.
        last: The sender is at its end; the receiver is to store the batch.
    """

    part: ClassVar[str] = RECORDS_PART

    part = 'records'

    incarnation: str
    sequence: int
    place: int
    records: tuple[BillingRecord, ...]
    last: bool = False


class HeldRecords(Message, frozen=True, tag='billing-held'):
    """How many records of the batch the receiver holds now."""

    part: ClassVar[str] = RECORDS_PART

    part = 'records'

    held: int


class StoredBatches(Message, frozen=True, tag='billing-stored'):
    """The sender has stored its batches up to a number."""

    part: ClassVar[str] = RECORDS_PART

    part = 'records'

    incarnation: str
    sequence: int


class RecordSender:
    """Hands this host's records to the peer that receives them.

    Args:
        biller: Has the records.
        mesh: Links to peers.
        domain: The failure domain of this host.
        clock: The host's clock.
        metrics: Where failures are counted.
    """

    def __init__(
        self,
        biller: Biller,
        mesh: Mesh,
        domain: DomainId,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._biller = biller
        self._mesh = mesh
        self._domain = domain
        self._clock = clock
        self._metrics = metrics
        self._receiver: Member | None = None
        self._shunned: dict[HostId, float] = {}
        self._lock = asyncio.Lock()

    @property
    def pending(self) -> int:
        """Return how many records are not stored yet."""
        return self._biller.pending

    async def hand(self, last: bool = False) -> bool:
        """Hand on what is not handed on yet.

        Args:
            last: The receiver is to store what it gets.

        Returns:
            Whether a peer holds all records that waited.
        """
        # Whoever waits for the lock finds its record handed on with others.
        async with self._lock:
            for _ in range(MOST_TRIED):
                if await self._hand_all(last):
                    return True
        return False

    async def flush(self) -> None:
        """Store all batches, and tell the receiver that it need not."""
        open_batches = self._biller.batches
        refusal = await self._biller.flush()
        if refusal is not None:
            # What can not be stored is the more worth a second holder.
            await self.hand()
            return
        receiver = self._receiver
        if receiver is not None and open_batches:
            sequence = open_batches[-1].sequence
            incarnation = self._biller.incarnation
            self._mesh.tell(receiver.host, StoredBatches(incarnation, sequence))

    async def end(self) -> None:
        """Store all batches at a graceful stop, or leave them to peers."""
        await self.flush()
        if not self._biller.pending:
            return
        taken = [await self._leave_to_peer() for _ in range(HOLDERS_AT_END)]
        holders = sum(taken)
        event = 'billing_handed_at_stop' if holders else 'billing_lost_at_stop'
        self._metrics.record_event(event)
        _LOG.warning(
            '%d records could not be stored at the end; %d peers hold them',
            self._biller.pending,
            holders,
        )

    async def _leave_to_peer(self) -> bool:
        """Leave all batches to one peer, and pass it over from then on."""
        for batch in self._biller.batches:
            batch.handed = 0
        handed = await self.hand(last=True)
        if handed and self._receiver is not None:
            self._shunned[self._receiver.host] = self._clock.now() + SHUN
        return handed

    async def _hand_all(self, last: bool) -> bool:
        """Hand all batches to one peer."""
        for batch in self._biller.batches:
            if not await self._hand_batch(batch, last):
                return False
        return True

    async def _hand_batch(self, batch: Batch, last: bool) -> bool:
        """Hand one batch on, from where the receiver's part of it ends."""
        receiver = self._choose()
        if receiver is None:
            return False
        place = batch.handed
        records = tuple(batch.records[place:])
        if not records:
            return True
        message = HandedRecords(
            batch.incarnation,
            batch.sequence,
            place,
            records,
            last,
        )
        reply = await self._mesh.ask(receiver.host, message, HAND_WAIT)
        if isinstance(reply, HeldRecords):
            batch.handed = min(reply.held, place + len(records))
            return batch.handed == place + len(records)
        self._metrics.record_event('billing_not_handed')
        self._shunned[receiver.host] = self._clock.now() + SHUN
        return False

    def _choose(self) -> Member | None:
        """Return the receiver; a new one gets everything from the start."""
        members = self._mesh.members()
        now = self._clock.now()
        fit = [
            member
            for member in members
            if member.presence is Presence.LIVE
            and self._shunned.get(member.host, 0) <= now
        ]
        for member in fit:
            if self._receiver is not None and (
                member.incarnation == self._receiver.incarnation
            ):
                return member
        for batch in self._biller.batches:
            batch.handed = 0
        self._receiver = min(fit, key=self._rank) if fit else None
        return self._receiver

    def _rank(self, member: Member) -> tuple[bool, bool, str]:
        """Order peers: of this domain first, then the next by name."""
        own = self._biller.incarnation
        return (
            member.domain != self._domain,
            # The next one round, so that hosts do not all choose the same.
            member.incarnation <= own,
            member.incarnation,
        )


class RecordKeeper:
    """Holds the records of other hosts, and takes over those of the gone.

    Args:
        biller: Stores what is taken over.
        mesh: Links to peers.
        clock: The host's clock.
        metrics: Where events are counted.
        most_held: Records that may be held.
    """

    def __init__(
        self,
        biller: Biller,
        mesh: Mesh,
        clock: Clock,
        metrics: Metrics,
        most_held: int = MOST_HELD,
    ) -> None:
        self._biller = biller
        self._mesh = mesh
        self._clock = clock
        self._metrics = metrics
        self._most_held = most_held
        self._held: dict[tuple[str, int], Batch] = {}
        self._heard: dict[str, float] = {}
        self._left: set[str] = set()

    @property
    def held(self) -> int:
        """Return how many records are held for others."""
        return sum(len(batch.records) for batch in self._held.values())

    def listen(self) -> None:
        """Begin to take records."""
        self._mesh.handle(HandedRecords, self._take)
        self._mesh.handle(HeldRecords, _ignore)
        self._mesh.handle(StoredBatches, self._release)

    def take_over(self) -> None:
        """Take over what is held for hosts that are gone or have ended."""
        self._listen_about()
        for key, batch in tuple(self._held.items()):
            if not self._is_gone(batch.incarnation):
                continue
            self._metrics.record_event('billing_taken_over')
            self._biller.adopt(batch)
            self._held.pop(key)
        self._forget_owners()

    async def _take(
        self,
        host: HostId,
        message: HandedRecords,
    ) -> HeldRecords | None:
        """Hold records; None refuses them."""
        self._heard[message.incarnation] = self._clock.now()
        key = (message.incarnation, message.sequence)
        batch = self._held.get(key)
        if batch is None:
            batch = Batch(Incarnation(message.incarnation), message.sequence)
        # Records before these may be missing, or some may come again.
        known = len(batch.records)
        fresh = message.records[max(0, known - message.place) :]
        if message.place > known or self.held + len(fresh) > self._most_held:
            return None
        batch.records.extend(fresh)
        self._held[key] = batch
        if message.last:
            self._left.add(message.incarnation)
        return HeldRecords(len(batch.records))

    async def _release(self, host: HostId, message: StoredBatches) -> None:
        """Forget batches that their owner has stored."""
        done = [
            key
            for key in self._held
            if key[0] == message.incarnation and key[1] <= message.sequence
        ]
        for key in done:
            self._held.pop(key)

    def _listen_about(self) -> None:
        """Take in which owners are members, and which came back anew."""
        now = self._clock.now()
        running = {
            member.host: member.incarnation for member in self._mesh.members()
        }
        for owner in self._heard:
            present = running.get(HostId(owner.rpartition('.')[0]))
            if present == owner:
                self._heard[owner] = now
            elif present is not None:
                # A later run of the host: the owner is gone for good.
                self._left.add(owner)

    def _is_gone(self, owner: str) -> bool:
        """Tell whether a host's batches are to be taken over."""
        now = self._clock.now()
        unheard = now - self._heard.get(owner, now)
        return owner in self._left or unheard >= GONE_AFTER

    def _forget_owners(self) -> None:
        """Forget hosts for which nothing is held."""
        owners = {incarnation for incarnation, _ in self._held}
        for owner in self._heard.keys() - owners:
            self._heard.pop(owner)
        self._left &= owners


async def _ignore(host: HostId, message: HeldRecords) -> None:
    """Take a reply that came as a message of its own for nothing."""
