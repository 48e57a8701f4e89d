"""Exchanges load digests between hosts and lends slots to hosts in need."""

import asyncio
import random
from math import ceil
from typing import Final

from nutmegroad.contracts.peers import Member, Mesh, Message
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import DomainId, HostId, Presence
from nutmegroad.routing._slots import Identity
from nutmegroad.routing.admission import FairAdmitter
from nutmegroad.routing.fleet_load import FleetLoad, LoadDigest
from nutmegroad.routing.shares import ShareLedger, ShareLoan, ShareRequest

#: Minimum seconds between the load digests that a host sends.
DIGEST_INTERVAL: Final = 2.0

#: Seconds between checks for missing slots, and the fraction by which the
#: interval varies at random.
CHECK_INTERVAL: Final = 0.25
_JITTER: Final = 0.2

#: Minimum seconds between two rounds of requests for slots that follow from
#: queued requests. If no host lent any, the next one is a regular check away:
#: under overload every request is queued.
MIN_BORROW_INTERVAL: Final = 0.02

#: Hosts of its own domain to which a host sends each digest.
DIGEST_FANOUT: Final = 8

#: Hosts that are asked for slots in one round.
MAX_LENDERS_ASKED: Final = 2

#: Seconds to wait for the reply to a request for slots.
_LOAN_TIMEOUT: Final = 0.5

#: Seconds before the end of a loan at which its slots are requested again.
_RENEWAL_MARGIN: Final = 2.0

#: Slots that a lender keeps free for itself.
_RESERVED_SLOTS: Final = 1


class SlotExchange:
    """Sends load digests to other hosts, and lends and borrows slots.

    Args:
        mesh: Links to other hosts.
        admitter: The admitter whose slots are lent and borrowed.
        fleet: Stores the digests of other hosts.
        ledger: Stores the loans.
        clock: The host's clock.
        randomness: Chooses receivers of digests and jitter.
    """

    def __init__(
        self,
        mesh: Mesh,
        admitter: FairAdmitter,
        fleet: FleetLoad,
        ledger: ShareLedger,
        clock: Clock,
        randomness: random.Random,
    ) -> None:
        self._mesh = mesh
        self._admitter = admitter
        self._fleet = fleet
        self._ledger = ledger
        self._clock = clock
        self._randomness = randomness
        self._last_digest_at = float('-inf')
        # Two concurrent rounds would borrow the same missing slots twice.
        self._borrowing = asyncio.Lock()

    @property
    def _identity(self) -> Identity:
        """Return the id and failure domain of this host."""
        return self._admitter.slots.identity

    def register_handlers(self) -> None:
        """Register the message handlers."""
        self._mesh.handle(LoadDigest, self._receive_digest)
        self._mesh.handle(ShareRequest, self._lend)

    async def borrow_on_demand(self) -> None:
        """Borrow missing slots whenever a request is queued, until cancelled.

        A request must not wait for the next regular check while other hosts
        have idle slots.
        """
        while True:
            await self._admitter.request_queued.wait()
            self._admitter.request_queued.clear()
            borrowed = await self._borrow_missing()
            pause = MIN_BORROW_INTERVAL if borrowed else CHECK_INTERVAL
            await self._clock.sleep(pause)

    async def run(self) -> None:
        """Run a round at each check interval, until cancelled."""
        while True:
            jitter = self._randomness.uniform(1 - _JITTER, 1 + _JITTER)
            await self._clock.sleep(CHECK_INTERVAL * jitter)
            await self.round()

    async def round(self) -> None:
        """Send a digest if one is due, and borrow slots if they are missing."""
        now = self._clock.now()
        self._fleet.record_members(self._mesh.members())
        if now - self._last_digest_at >= DIGEST_INTERVAL:
            self._last_digest_at = now
            self._send_digests(self._live_members())
        await self._borrow_missing()

    async def _borrow_missing(self) -> int:
        """Borrow the slots that are missing, and grant what is free.

        Returns:
            The number of slots that were borrowed.
        """
        async with self._borrowing:
            wanted = self._missing_slots()
            borrowed = await self._borrow(wanted) if wanted > 0 else 0
        # Also needed if nothing was borrowed: loans expire on their own,
        # which changes the limits.
        self._admitter.permits.grant_waiting()
        return borrowed

    def _live_members(self) -> list[Member]:
        """Return the other live hosts."""
        return [
            member
            for member in self._mesh.members()
            if member.presence is Presence.LIVE
            and member.host != self._identity.host
        ]

    def _send_digests(self, members: list[Member]) -> None:
        """Send a digest to some local hosts and to one per remote domain."""
        digest = self._admitter.digest()
        domains: dict[DomainId, list[HostId]] = {}
        for member in members:
            domains.setdefault(member.domain, []).append(member.host)
        for domain, hosts in domains.items():
            fanout = DIGEST_FANOUT if domain == self._identity.domain else 1
            receivers = self._randomness.sample(hosts, min(fanout, len(hosts)))
            for host in receivers:
                self._mesh.send(host, digest)

    def _missing_slots(self) -> int:
        """Return how many more slots this host could use."""
        slots = self._admitter.slots
        needed = (
            self._admitter.permits.running
            + self._admitter.queued
            + _RESERVED_SLOTS
        )
        ending = self._ledger.expiring_slots(self._clock.now(), _RENEWAL_MARGIN)
        return needed - slots.allotment + ending

    async def _borrow(self, wanted: int) -> int:
        """Request slots from the hosts with the most spare ones.

        Returns:
            The number of slots that were borrowed.
        """
        lacking = self._admitter.entitlement - self._admitter.slots.allotment
        claim = max(0, ceil(lacking))
        borrowed = 0
        for digest in self._lenders()[:MAX_LENDERS_ASKED]:
            missing = wanted - borrowed
            if missing <= 0 or not (digest.spare or claim):
                break
            ask = ShareRequest(wanted=missing, claim=min(claim, missing))
            slots = await self._request_loan(HostId(digest.host), ask)
            borrowed += slots
            claim -= slots
        return borrowed

    async def _request_loan(self, host: HostId, ask: ShareRequest) -> int:
        """Request slots from a host; return how many it lent."""
        requested_at = self._clock.now()
        reply = await self._mesh.request(host, ask, _LOAN_TIMEOUT)
        if not isinstance(reply, ShareLoan) or reply.slots <= 0:
            return 0
        self._ledger.borrow(reply.slots, requested_at)
        return reply.slots

    def _lenders(self) -> list[LoadDigest]:
        """Return the digests of this domain's members, most spare first."""
        present = {member.host for member in self._mesh.members()}
        digests = [
            digest
            for digest in self._fleet.valid_digests(self._identity.domain)
            if HostId(digest.host) in present
        ]
        digests.sort(key=lambda digest: digest.spare, reverse=True)
        return digests

    async def _receive_digest(self, host: HostId, digest: LoadDigest) -> None:
        """Store a digest from another host."""
        self._fleet.store(digest)

    async def _lend(self, host: HostId, ask: ShareRequest) -> Message:
        """Lend slots that are idle or that other hosts are entitled to."""
        admitter = self._admitter
        holding = admitter.slots.allotment
        busy = admitter.permits.running + admitter.queued + _RESERVED_SLOTS
        idle = holding - busy
        owed = min(ask.claim, int(holding - admitter.entitlement))
        slots = min(ask.wanted, max(idle, owed), holding - 1)
        if slots <= 0:
            return ShareLoan(slots=0)
        self._ledger.lend(slots, self._clock.now())
        return ShareLoan(slots=slots)
