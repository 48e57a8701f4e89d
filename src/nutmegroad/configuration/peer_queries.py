"""Queries between hosts about the configuration in force.

A host that can't read the table asks its peers. A reply contains the age of
the peer's own confirming read. The asking host subtracts that age from the
time before it sent the query. Since the peer computed the age after the query
was sent, the read can't have begun earlier than the result.
"""

import asyncio
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from nutmegroad.configuration._configuration_messages import (
    PAGE_SIZE,
    DocumentQuestion,
    DocumentReply,
    HeadNotice,
    HeadQuestion,
    HeadReply,
    WithdrawalsQuestion,
    WithdrawalsReply,
)
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.documents import digest_of, encode_document
from nutmegroad.contracts.peers import Mesh, Message
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Digest, DomainId, HostId, Ran

#: Seconds that a peer may take to reply.
REPLY_TIMEOUT: Final = 0.7
#: Peers that are asked in the local domain at a time, and as many in all other
#: domains together.
_PEERS_PER_GROUP: Final = 2
#: Peers that are asked for a document, one after another.
_MAX_DOCUMENT_ATTEMPTS: Final = 4
#: Pages of withdrawals that are fetched from a peer at most.
_MAX_PAGES: Final = 64


@dataclass(frozen=True, slots=True)
class PeerHead:
    """The configuration that a peer reports to have in force.

    Attributes:
        host: The peer.
        notice: Its configuration in force.
        confirmed: Earliest time, in seconds of this host's clock, at which its
            confirming read can have begun; None if the peer has no valid
            confirmation.
    """

    host: HostId
    notice: HeadNotice
    confirmed: float | None


class PeerQueries:
    """Asks peers about the configuration, and answers their queries.

    Args:
        mesh: Links to other hosts.
        configuration: The configuration on this host.
        clock: The host's clock.
        randomness: Selects the peers to ask.
        domain: The failure domain of this host.
    """

    def __init__(
        self,
        mesh: Mesh,
        configuration: Configuration,
        clock: Clock,
        randomness: random.Random,
        domain: DomainId,
    ) -> None:
        self._mesh = mesh
        self._configuration = configuration
        self._clock = clock
        self._randomness = randomness
        self._domain = domain
        mesh.handle(HeadQuestion, self._answer_head)
        mesh.handle(DocumentQuestion, self._answer_document)
        mesh.handle(WithdrawalsQuestion, self._answer_withdrawals)

    @property
    def notice(self) -> HeadNotice:
        """The configuration in force on this host, as a notice to peers."""
        accepted = self._configuration.accepted
        withdrawals = self._configuration.withdrawals
        return HeadNotice(
            revision=self._configuration.revision,
            digest='' if accepted is None else accepted.digest,
            preset='' if accepted is None else accepted.preset,
            author='' if accepted is None else accepted.author,
            withdrawals=withdrawals if len(withdrawals) <= PAGE_SIZE else (),
            facts_digest=self._configuration.withdrawals_digest,
        )

    async def query_heads(self) -> tuple[PeerHead, ...]:
        """Ask a few peers, in this domain and others, what is in force."""
        groups = [iter(group) for group in self._groups()]
        # Queries in a group share its iterator, so each asks another peer.
        queries = (self._ask_one(group) for group in groups * _PEERS_PER_GROUP)
        heads = await asyncio.gather(*queries)
        return tuple(head for head in heads if head is not None)

    async def fetch_document(
        self,
        digest: Digest,
        first: HostId | None,
    ) -> bytes | Refusal:
        """Fetch a document from peers.

        Args:
            digest: Digest of the document; other content is rejected.
            first: The peer to ask first, if any.
        """
        hosts = [host for group in self._groups() for host in group]
        if first is not None:
            hosts.insert(0, first)
        attempts = 0
        for host in hosts:
            reply = await self._mesh.request(
                host,
                DocumentQuestion(digest),
                REPLY_TIMEOUT,
            )
            content = _content_of(reply)
            if content is not None and digest_of(content) == digest:
                return content
            attempts += not _was_not_sent(reply)
            if attempts == _MAX_DOCUMENT_ATTEMPTS:
                break
        return Refusal(
            ResultCode.OBJECT_UNAVAILABLE,
            f'None of {attempts} peers returned the document {digest}.',
        )

    async def fetch_withdrawals(self, host: HostId) -> None:
        """Fetch and add the withdrawals that a peer knows."""
        after = ''
        for _ in range(_MAX_PAGES):
            reply = await self._mesh.request(
                host,
                WithdrawalsQuestion(after),
                REPLY_TIMEOUT,
            )
            if not isinstance(reply, WithdrawalsReply):
                return
            self._configuration.add_withdrawals(reply.withdrawals)
            if not reply.more or not reply.withdrawals:
                return
            after = reply.withdrawals[-1].version

    async def _ask_one(self, hosts: Iterator[HostId]) -> PeerHead | None:
        """Ask the first host with a link; return None if it does not reply."""
        for host in hosts:
            sent_at = self._clock.now()
            reply = await self._mesh.request(
                host, HeadQuestion(), REPLY_TIMEOUT
            )
            if isinstance(reply, HeadReply):
                confirmed = None if reply.age is None else sent_at - reply.age
                return PeerHead(host, reply.notice, confirmed)
            if not _was_not_sent(reply):
                break
        return None

    def _groups(self) -> tuple[list[HostId], list[HostId]]:
        """Return the remote and the local domain's hosts, each shuffled."""
        members = list(self._mesh.members())
        self._randomness.shuffle(members)
        local = [
            member.host for member in members if member.domain == self._domain
        ]
        remote = [
            member.host for member in members if member.domain != self._domain
        ]
        return remote, local

    async def _answer_head(
        self,
        host: HostId,
        question: HeadQuestion,
    ) -> Message | None:
        """Reply with the configuration in force and its confirmation's age."""
        configuration = self._configuration
        if configuration.is_behind or configuration.isolated:
            return HeadReply(self.notice)
        return HeadReply(self.notice, configuration.confirmation_age)

    async def _answer_document(
        self,
        host: HostId,
        question: DocumentQuestion,
    ) -> Message | None:
        """Reply with the document in force if it is the requested one."""
        accepted = self._configuration.accepted
        if accepted is None or accepted.digest != question.digest:
            return DocumentReply()
        return DocumentReply(encode_document(accepted.document))

    async def _answer_withdrawals(
        self,
        host: HostId,
        question: WithdrawalsQuestion,
    ) -> Message | None:
        """Reply with one page of withdrawals."""
        withdrawals = [
            withdrawal
            for withdrawal in self._configuration.withdrawals
            if withdrawal.version > question.after
        ]
        return WithdrawalsReply(
            tuple(withdrawals[:PAGE_SIZE]),
            more=len(withdrawals) > PAGE_SIZE,
        )


def _content_of(reply: Message | Refusal) -> bytes | None:
    """Return the document content in a reply, or None."""
    return reply.content if isinstance(reply, DocumentReply) else None


def _was_not_sent(reply: Message | Refusal) -> bool:
    """Return whether a query was not sent for lack of a link."""
    return isinstance(reply, Refusal) and reply.ran is Ran.NOT_RUN
