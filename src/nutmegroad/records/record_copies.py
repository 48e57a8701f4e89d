"""Copies of billing records that a peer holds until they are stored.

A host copies its records to a peer before their answers end; records that
accumulate meanwhile are sent together. If the host terminates or announces
its stop, the peer takes the records over: it stores them itself and copies
them to a peer of its own.
"""

import asyncio
from typing import ClassVar, Final

from nutmegroad.contracts.peers import Member, Mesh, Message
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.types import DomainId, HostId, Incarnation, Presence
from nutmegroad.records.billing import Batch, Biller, BillingRecord

#: Maximum seconds that the end of an answer waits for one peer to accept its
#: record. This takes less than a millisecond unless the peer is stalled.
HAND_TIMEOUT: Final = 0.5
#: Maximum number of peers tried one after the other.
MAX_PEERS_TRIED: Final = 2
#: Number of peers that receive the records that a host cannot store when it
#: stops. No other copy remains then, and one of these peers may terminate
#: before it has copied the records to another one.
COPIES_AT_STOP: Final = 2
#: Seconds for which a peer that did not accept records is excluded.
EXCLUSION_PERIOD: Final = 5.0
#: Seconds for which a host must be absent from the member list before its
#: records are taken over.
TERMINATED_AFTER: Final = 10.0
#: Maximum number of records that a host holds for other hosts.
MAX_HELD: Final = 200_000

_LOG: Final = part_logger('billing')

#: The part that the cost of the messages is attributed to.
RECORDS_PART: Final = 'billing'


class RecordCopies(Message, frozen=True, tag='billing-records'):
    """Records of one batch, starting at a given position.

    Attributes:
        incarnation: Incarnation of the host that created the batch.
        sequence: Sequence number of the batch.
        place: Number of records of the batch that precede these.
        records: The records.
        last: Whether the sender is stopping; the receiver must then store the
            batch.
    """

    part: ClassVar[str] = RECORDS_PART

    incarnation: str
    sequence: int
    place: int
    records: tuple[BillingRecord, ...]
    last: bool = False


class CopiesAccepted(Message, frozen=True, tag='billing-held'):
    """Reply to ``RecordCopies``.

    Attributes:
        held: Number of records of the batch that the receiver now holds.
    """

    part: ClassVar[str] = RECORDS_PART

    held: int


class BatchesStored(Message, frozen=True, tag='billing-stored'):
    """Notice that the sender has stored its batches up to a sequence number.

    Attributes:
        incarnation: Incarnation of the sender.
        sequence: Sequence number of the last stored batch.
    """

    part: ClassVar[str] = RECORDS_PART

    incarnation: str
    sequence: int


class RecordSender:
    """Copies the records of this host to a peer, the receiver.

    Args:
        biller: Supplies the records.
        mesh: Links to peers.
        domain: The failure domain of this host.
        clock: The host's clock.
        metrics: Counts failures.
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
        self._excluded_until: dict[HostId, float] = {}
        self._lock = asyncio.Lock()

    @property
    def pending(self) -> int:
        """Number of records not stored yet."""
        return self._biller.pending

    async def send_copies(self, last: bool = False) -> bool:
        """Copy all records that have not been copied yet to a peer.

        Args:
            last: Whether the receiver must store the records.

        Returns:
            Whether a peer holds all records that waited.
        """
        # Records added while the lock is held are copied together by the
        # next holder.
        async with self._lock:
            for _ in range(MAX_PEERS_TRIED):
                if await self._copy_all(last):
                    return True
        return False

    async def flush(self) -> None:
        """Store all batches, and notify the receiver of stored batches."""
        open_batches = self._biller.batches
        refusal = await self._biller.flush()
        if refusal is not None:
            # Records that cannot be stored must at least have a second copy.
            await self.send_copies()
            return
        receiver = self._receiver
        if receiver is not None and open_batches:
            sequence = open_batches[-1].sequence
            incarnation = self._biller.incarnation
            self._mesh.send(receiver.host, BatchesStored(incarnation, sequence))

    async def close(self) -> None:
        """Store all batches at a graceful stop, or copy them to peers."""
        await self.flush()
        if not self._biller.pending:
            return
        accepted = [await self._copy_at_stop() for _ in range(COPIES_AT_STOP)]
        holders = sum(accepted)
        event = 'billing_handed_at_stop' if holders else 'billing_lost_at_stop'
        self._metrics.record_event(event)
        _LOG.warning(
            '%d billing records could not be stored at the stop; '
            'held by %d peers',
            self._biller.pending,
            holders,
        )

    async def _copy_at_stop(self) -> bool:
        """Copy all batches to one peer, then exclude this peer."""
        for batch in self._biller.batches:
            batch.copied = 0
        accepted = await self.send_copies(last=True)
        if accepted and self._receiver is not None:
            self._excluded_until[self._receiver.host] = (
                self._clock.now() + EXCLUSION_PERIOD
            )
        return accepted

    async def _copy_all(self, last: bool) -> bool:
        """Copy all batches to one peer."""
        for batch in self._biller.batches:
            if not await self._copy_batch(batch, last):
                return False
        return True

    async def _copy_batch(self, batch: Batch, last: bool) -> bool:
        """Copy the part of a batch that the receiver does not hold."""
        receiver = self._choose_receiver()
        if receiver is None:
            return False
        place = batch.copied
        records = tuple(batch.records[place:])
        if not records:
            return True
        message = RecordCopies(
            batch.incarnation,
            batch.sequence,
            place,
            records,
            last,
        )
        reply = await self._mesh.request(receiver.host, message, HAND_TIMEOUT)
        if isinstance(reply, CopiesAccepted):
            batch.copied = min(reply.held, place + len(records))
            return batch.copied == place + len(records)
        self._metrics.record_event('billing_not_handed')
        self._excluded_until[receiver.host] = (
            self._clock.now() + EXCLUSION_PERIOD
        )
        return False

    def _choose_receiver(self) -> Member | None:
        """Return the peer that receives copies, or None if there is none.

        The receiver is kept as long as it is live and accepts records. A new
        receiver is sent every batch from its first record.
        """
        members = self._mesh.members()
        now = self._clock.now()
        candidates = [
            member
            for member in members
            if member.presence is Presence.LIVE
            and self._excluded_until.get(member.host, 0) <= now
        ]
        for member in candidates:
            if self._receiver is not None and (
                member.incarnation == self._receiver.incarnation
            ):
                return member
        for batch in self._biller.batches:
            batch.copied = 0
        self._receiver = min(candidates, key=self._rank) if candidates else None
        return self._receiver

    def _rank(self, member: Member) -> tuple[bool, bool, str]:
        """Return the sort key of peers: local failure domain, then name."""
        own = self._biller.incarnation
        return (
            member.domain != self._domain,
            # Incarnations after this one come first, so that hosts choose
            # different receivers.
            member.incarnation <= own,
            member.incarnation,
        )


class RecordCopyStore:
    """Holds other hosts' records; takes over those of terminated hosts.

    Args:
        biller: Stores the batches that are taken over.
        mesh: Links to peers.
        clock: The host's clock.
        metrics: Counts events.
        max_held: Maximum number of records held.
    """

    def __init__(
        self,
        biller: Biller,
        mesh: Mesh,
        clock: Clock,
        metrics: Metrics,
        max_held: int = MAX_HELD,
    ) -> None:
        self._biller = biller
        self._mesh = mesh
        self._clock = clock
        self._metrics = metrics
        self._max_held = max_held
        self._held: dict[tuple[str, int], Batch] = {}
        self._last_seen: dict[str, float] = {}
        self._terminated: set[str] = set()

    @property
    def held(self) -> int:
        """Number of records held for other hosts."""
        return sum(len(batch.records) for batch in self._held.values())

    def listen(self) -> None:
        """Register the message handlers; copies are accepted from now on."""
        self._mesh.handle(RecordCopies, self._handle_copies)
        self._mesh.handle(CopiesAccepted, _ignore_reply)
        self._mesh.handle(BatchesStored, self._handle_stored)

    def take_over(self) -> None:
        """Take over the batches of hosts that terminated or stopped."""
        self._check_owners()
        for key, batch in tuple(self._held.items()):
            if not self._is_terminated(batch.incarnation):
                continue
            self._metrics.record_event('billing_taken_over')
            self._biller.adopt(batch)
            self._held.pop(key)
        self._drop_owners()

    async def _handle_copies(
        self,
        host: HostId,
        message: RecordCopies,
    ) -> CopiesAccepted | None:
        """Accept copies of records; return None to reject them."""
        self._last_seen[message.incarnation] = self._clock.now()
        key = (message.incarnation, message.sequence)
        batch = self._held.get(key)
        if batch is None:
            batch = Batch(Incarnation(message.incarnation), message.sequence)
        # Earlier records may be missing, and records may be sent repeatedly.
        known = len(batch.records)
        fresh = message.records[max(0, known - message.place) :]
        if message.place > known or self.held + len(fresh) > self._max_held:
            return None
        batch.records.extend(fresh)
        self._held[key] = batch
        if message.last:
            self._terminated.add(message.incarnation)
        return CopiesAccepted(len(batch.records))

    async def _handle_stored(
        self, host: HostId, message: BatchesStored
    ) -> None:
        """Drop batches that their owner has stored."""
        done = [
            key
            for key in self._held
            if key[0] == message.incarnation and key[1] <= message.sequence
        ]
        for key in done:
            self._held.pop(key)

    def _check_owners(self) -> None:
        """Update which owners are members and which have restarted."""
        now = self._clock.now()
        running = {
            member.host: member.incarnation for member in self._mesh.members()
        }
        for owner in self._last_seen:
            present = running.get(HostId(owner.rpartition('.')[0]))
            if present == owner:
                self._last_seen[owner] = now
            elif present is not None:
                # A later incarnation of the host: the owner has terminated.
                self._terminated.add(owner)

    def _is_terminated(self, owner: str) -> bool:
        """Return whether an owner's batches are to be taken over."""
        now = self._clock.now()
        unseen = now - self._last_seen.get(owner, now)
        return owner in self._terminated or unseen >= TERMINATED_AFTER

    def _drop_owners(self) -> None:
        """Drop the state of owners without held batches."""
        owners = {incarnation for incarnation, _ in self._held}
        for owner in self._last_seen.keys() - owners:
            self._last_seen.pop(owner)
        self._terminated &= owners


async def _ignore_reply(host: HostId, message: CopiesAccepted) -> None:
    """Ignore a reply received outside a request-reply exchange."""
