"""Keeps this host's configuration in step with the platform."""

import asyncio
import random
from dataclasses import dataclass, replace
from typing import Final, Protocol

from nutmegroad.configuration._configuration_messages import HeadNotice
from nutmegroad.configuration.confirmations import PeerHead
from nutmegroad.configuration.heads import Head, HeadStore, accept
from nutmegroad.configuration.in_force import Accepted, Configuration
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Digest, HostId, PresetName, Revision

_LOG: Final = part_logger('spread')

#: Polls are spread over this share of their period, so that hosts which
#: started together do not read together.
JITTER: Final = 0.2
#: Share of the period after which a poll that failed is made again.
_HURRIED: Final = 0.25
#: Who writes withdrawals to the table that were given to a host.
_MERGER: Final = 'a host'


class PeerSource(Protocol):
    """What the poller needs of the other hosts."""

    async def ask(self) -> tuple[PeerHead, ...]:
        """Ask a few peers what is in force."""

    async def document(
        self,
        digest: Digest,
        first: HostId | None,
    ) -> bytes | Refusal:
        """Fetch a document from peers, and check it."""

    async def pull_facts(self, host: HostId) -> None:
        """Take over the withdrawals that a peer knows."""


@dataclass(frozen=True, slots=True)
class PollTiming:
    """When the head is read.

    Attributes:
        clock: The host's clock.
        randomness: Spreads the polls.
        period: Seconds between polls.
    """

    clock: Clock
    randomness: random.Random
    period: float

    def pause(self, *, hurried: bool) -> float:
        """Return the seconds until the next poll."""
        spread = self.randomness.uniform(-JITTER, JITTER)
        share = _HURRIED if hurried else 1
        return self.period * share * (1 + spread)


class ConfigurationPoller:
    """Reads the head again and again; asks peers where it can't.

    Args:
        store: Reads the head and documents.
        configuration: What this host holds.
        peers: The other hosts.
        timing: When the head is read.
    """

    def __init__(
        self,
        store: HeadStore,
        configuration: Configuration,
        peers: PeerSource,
        timing: PollTiming,
    ) -> None:
        self._store = store
        self._configuration = configuration
        self._peers = peers
        self._timing = timing
        self._taking = asyncio.Lock()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            refusal = await self.poll()
            pause = self._timing.pause(hurried=refusal is not None)
            await self._timing.clock.sleep(pause)

    async def poll(self) -> Refusal | None:
        """Confirm what is in force, by the table or else by peers.

        Returns:
            None if the configuration is confirmed, or why it is not.
        """
        asked = self._timing.clock.now()
        head = await self._store.read()
        if isinstance(head, Refusal):
            refusal = await self._ask_peers(head)
        else:
            refusal = await self._learn(head, asked)
            await self._record()
        if refusal is not None:
            _LOG.warning('not confirmed: %s', refusal.reason)
            self._configuration.fail(asked)
        return refusal

    async def renew(self) -> None:
        """Confirm anew if the lease has lapsed unnoticed, as by a pause."""
        if self._configuration.must_confirm:
            await self.poll()

    async def adopt(self, notice: HeadNotice, host: HostId) -> Refusal | None:
        """Take a revision that another host has; it confirms nothing."""
        head = Head(
            revision=notice.revision,
            digest=notice.digest,
            preset=notice.preset,
            author=notice.author,
        )
        return await self._take(head, host)

    async def _learn(self, head: Head, asked: float) -> Refusal | None:
        """Take a head that a read of the table begun at ``asked`` gave."""
        self._configuration.record(head.withdrawals)
        refusal = await self._take(head, None)
        if refusal is not None:
            return refusal
        if self._configuration.confirm(Revision(head.revision), asked):
            return None
        return Refusal(
            ResultCode.TABLE_UNAVAILABLE,
            f'The table gave the old revision {head.revision}.',
        )

    async def _ask_peers(self, refusal: Refusal) -> Refusal | None:
        """Take and confirm what peers have."""
        for peer in await self._peers.ask():
            notice = peer.notice
            self._configuration.withdraw(notice.withdrawals)
            if notice.facts_digest != self._configuration.withdrawals_digest:
                await self._peers.pull_facts(peer.host)
            await self.adopt(notice, peer.host)
            if peer.confirmed is not None:
                self._configuration.confirm(
                    Revision(notice.revision),
                    peer.confirmed,
                )
        return refusal if self._configuration.isolated else None

    async def _take(self, head: Head, host: HostId | None) -> Refusal | None:
        """Put a head into force if it is newer than what this host has."""
        self._configuration.hear(Revision(head.revision))
        async with self._taking:
            if head.revision <= self._configuration.revision:
                self._compare(head)
                return None
            accepted = await self._accepted(head, host)
            if isinstance(accepted, Refusal):
                return accepted
            if self._configuration.take(accepted):
                _LOG.info(
                    'revision %d, preset %s, by %s',
                    accepted.revision,
                    accepted.preset,
                    accepted.author,
                )
        return None

    def _compare(self, head: Head) -> None:
        """Say so if a revision is two things, which the table excludes."""
        present = self._configuration.accepted
        if present is None or head.revision != present.revision:
            return
        if (head.digest, head.preset) != (present.digest, present.preset):
            _LOG.error(
                'revision %d is preset %s here and preset %s elsewhere',
                head.revision,
                present.preset,
                head.preset,
            )

    async def _accepted(
        self,
        head: Head,
        host: HostId | None,
    ) -> Accepted | Refusal:
        """Find the document of a head: here, in the store, at a peer."""
        present = self._configuration.accepted
        if present is not None and present.digest == head.digest:
            return replace(
                present,
                revision=Revision(head.revision),
                preset=PresetName(head.preset),
                author=head.author,
            )
        digest = Digest(head.digest)
        content = await self._store.fetch(digest)
        if isinstance(content, Refusal):
            content = await self._peers.document(digest, host)
        if isinstance(content, Refusal):
            return content
        return accept(head, content)

    async def _record(self) -> None:
        """Write to the table what it lacks of the withdrawals."""
        missing = self._configuration.unrecorded
        if not missing:
            return
        head = await self._store.merge(missing, _MERGER)
        if not isinstance(head, Refusal):
            self._configuration.record(head.withdrawals)
