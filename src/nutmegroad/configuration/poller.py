"""Polls the platform for the configuration, and peers if it is unavailable."""

import asyncio
import random
from dataclasses import dataclass, replace
from typing import Final, Protocol

from nutmegroad.configuration._configuration_messages import HeadNotice
from nutmegroad.configuration.heads import Head, HeadStore, accept
from nutmegroad.configuration.in_force import (
    AcceptedConfiguration,
    Configuration,
)
from nutmegroad.configuration.peer_queries import PeerHead
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Digest, HostId, PresetName, Revision

_LOG: Final = part_logger('spread')

#: Fraction of the period by which polls vary either way, so that hosts which
#: started together do not read at the same time.
JITTER: Final = 0.2
#: Fraction of the period after which a failed poll is repeated.
_RETRY_FRACTION: Final = 0.25
#: Author of withdrawals that a host writes to the table on behalf of others.
_MERGE_AUTHOR: Final = 'a host'


class PeerSource(Protocol):
    """Interface through which the poller queries other hosts."""

    async def query_heads(self) -> tuple[PeerHead, ...]:
        """Query a few peers for their configuration in force."""

    async def fetch_document(
        self,
        digest: Digest,
        first: HostId | None,
    ) -> bytes | Refusal:
        """Fetch a document from peers, and verify its digest."""

    async def fetch_withdrawals(self, host: HostId) -> None:
        """Fetch and add the withdrawals that a peer knows."""


@dataclass(frozen=True, slots=True)
class PollTiming:
    """Schedule of the reads of the head.

    Attributes:
        clock: The host's clock.
        randomness: Source of the jitter.
        period: Seconds between polls.
    """

    clock: Clock
    randomness: random.Random
    period: float

    def delay(self, *, after_failure: bool) -> float:
        """Return the seconds until the next poll."""
        jitter = self.randomness.uniform(-JITTER, JITTER)
        fraction = _RETRY_FRACTION if after_failure else 1
        return self.period * fraction * (1 + jitter)


class ConfigurationPoller:
    """Reads the head periodically, or asks peers if it can't be read.

    Args:
        store: Reads the head and documents.
        configuration: The configuration on this host; updated by polls.
        peers: Queries to other hosts.
        timing: Schedule of the reads.
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
        self._apply_lock = asyncio.Lock()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            refusal = await self.poll()
            delay = self._timing.delay(after_failure=refusal is not None)
            await self._timing.clock.sleep(delay)

    async def poll(self) -> Refusal | None:
        """Update and confirm the configuration, from the table or from peers.

        Returns:
            None if the configuration is confirmed, otherwise the reason why it
            is not.
        """
        started = self._timing.clock.now()
        head = await self._store.read()
        if isinstance(head, Refusal):
            refusal = await self._ask_peers(head)
        else:
            refusal = await self._apply_read(head, started)
            await self._write_unrecorded()
        if refusal is not None:
            _LOG.warning('configuration not confirmed: %s', refusal.reason)
            self._configuration.record_failure(started)
        return refusal

    async def apply_notice(
        self,
        notice: HeadNotice,
        host: HostId,
    ) -> Refusal | None:
        """Apply a revision that another host has, without confirming it."""
        head = Head(
            revision=notice.revision,
            digest=notice.digest,
            preset=notice.preset,
            author=notice.author,
        )
        return await self._take(head, host)

    async def _apply_read(self, head: Head, started: float) -> Refusal | None:
        """Apply and confirm the head that a read begun at ``started`` gave."""
        self._configuration.add_recorded(head.withdrawals)
        refusal = await self._take(head, None)
        if refusal is not None:
            return refusal
        if self._configuration.confirm(Revision(head.revision), started):
            return None
        return Refusal(
            ResultCode.TABLE_UNAVAILABLE,
            f'The table returned the outdated revision {head.revision}.',
        )

    async def _ask_peers(self, refusal: Refusal) -> Refusal | None:
        """Apply what peers have in force, and their confirmations."""
        for peer in await self._peers.query_heads():
            notice = peer.notice
            self._configuration.add_withdrawals(notice.withdrawals)
            if notice.facts_digest != self._configuration.withdrawals_digest:
                await self._peers.fetch_withdrawals(peer.host)
            await self.apply_notice(notice, peer.host)
            if peer.confirmed is not None:
                self._configuration.confirm(
                    Revision(notice.revision),
                    peer.confirmed,
                )
        return refusal if self._configuration.isolated else None

    async def _take(self, head: Head, host: HostId | None) -> Refusal | None:
        """Put a head into force if it is newer than the one on this host."""
        self._configuration.observe_revision(Revision(head.revision))
        async with self._apply_lock:
            if head.revision <= self._configuration.revision:
                self._check_consistency(head)
                return None
            accepted = await self._accepted(head, host)
            if isinstance(accepted, Refusal):
                return accepted
            if self._configuration.apply(accepted):
                _LOG.info(
                    'applied revision %d with preset %s, by %s',
                    accepted.revision,
                    accepted.preset,
                    accepted.author,
                )
        return None

    def _check_consistency(self, head: Head) -> None:
        """Log an error if one revision has two contents.

        The compare-and-set on the table rules this out.
        """
        current = self._configuration.accepted
        if current is None or head.revision != current.revision:
            return
        if (head.digest, head.preset) != (current.digest, current.preset):
            _LOG.error(
                'revision %d has preset %s here but preset %s elsewhere',
                head.revision,
                current.preset,
                head.preset,
            )

    async def _accepted(
        self,
        head: Head,
        host: HostId | None,
    ) -> AcceptedConfiguration | Refusal:
        """Find the document of a head: locally, in the store or at a peer."""
        current = self._configuration.accepted
        if current is not None and current.digest == head.digest:
            return replace(
                current,
                revision=Revision(head.revision),
                preset=PresetName(head.preset),
                author=head.author,
            )
        digest = Digest(head.digest)
        content = await self._store.fetch_document(digest)
        if isinstance(content, Refusal):
            content = await self._peers.fetch_document(digest, host)
        if isinstance(content, Refusal):
            return content
        return accept(head, content)

    async def _write_unrecorded(self) -> None:
        """Write the withdrawals to the table that it does not have yet."""
        missing = self._configuration.unrecorded
        if not missing:
            return
        head = await self._store.merge_withdrawals(missing, _MERGE_AUTHOR)
        if not isinstance(head, Refusal):
            self._configuration.add_recorded(head.withdrawals)
