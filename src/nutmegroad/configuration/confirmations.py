"""What hosts learn from each other about the configuration.

A host that can't read the table asks others. The reply tells the age of
the peer's own confirming read. The asker counts from the moment before it
asked, less that age: the peer reckoned the age after the question was
sent, so that the read can't have begun earlier than that.
"""

import asyncio
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from nutmegroad.configuration._configuration_messages import (
    PAGE,
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
#: Peers that are asked at a time, in the own domain and in others.
_ASKED: Final = 2
#: Peers that are asked for a document, one after another.
_DOCUMENT_TRIES: Final = 4
#: Pages of withdrawals that are asked for at a time.
_MOST_PAGES: Final = 64


@dataclass(frozen=True, slots=True)
class PeerHead:
    """What a peer said it has in force.

    Attributes:
        host: The peer.
        notice: What it has.
        confirmed: Own clock's seconds at which its confirming read had not
            begun later; None if the peer has no confirmation.
    """

    host: HostId
    notice: HeadNotice
    confirmed: float | None


class Confirmations:
    """Asks peers about the configuration, and answers them.

    Args:
        mesh: Links to other hosts.
        configuration: What this host holds.
        clock: The host's clock.
        randomness: Chooses which peers are asked.
        domain: The domain of this host.
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
        mesh.handle(WithdrawalsQuestion, self._answer_facts)

    @property
    def notice(self) -> HeadNotice:
        """Return what this host has in force, to tell others."""
        accepted = self._configuration.accepted
        withdrawals = self._configuration.withdrawals
        return HeadNotice(
            revision=self._configuration.revision,
            digest='' if accepted is None else accepted.digest,
            preset='' if accepted is None else accepted.preset,
            author='' if accepted is None else accepted.author,
            withdrawals=withdrawals if len(withdrawals) <= PAGE else (),
            facts_digest=self._configuration.withdrawals_digest,
        )

    async def ask(self) -> tuple[PeerHead, ...]:
        """Ask a few peers, here and elsewhere, what is in force."""
        groups = [iter(group) for group in self._groups()]
        asked = (self._ask_one(group) for group in groups * _ASKED)
        heads = await asyncio.gather(*asked)
        return tuple(head for head in heads if head is not None)

    async def document(
        self,
        digest: Digest,
        first: HostId | None,
    ) -> bytes | Refusal:
        """Fetch a document from peers.

        Args:
            digest: Its name; content that does not fit it is not taken.
            first: The peer to ask first.
        """
        hosts = [host for group in self._groups() for host in group]
        if first is not None:
            hosts.insert(0, first)
        tries = 0
        for host in hosts:
            reply = await self._mesh.ask(
                host,
                DocumentQuestion(digest),
                REPLY_TIMEOUT,
            )
            content = _content_of(reply)
            if content is not None and digest_of(content) == digest:
                return content
            tries += not _is_unlinked(reply)
            if tries == _DOCUMENT_TRIES:
                break
        return Refusal(
            ResultCode.OBJECT_UNAVAILABLE,
            f'None of {tries} peers gave the document {digest}.',
        )

    async def pull_facts(self, host: HostId) -> None:
        """Take over the withdrawals that a peer knows."""
        after = ''
        for _ in range(_MOST_PAGES):
            reply = await self._mesh.ask(
                host,
                WithdrawalsQuestion(after),
                REPLY_TIMEOUT,
            )
            if not isinstance(reply, WithdrawalsReply):
                return
            self._configuration.withdraw(reply.withdrawals)
            if not reply.more or not reply.withdrawals:
                return
            after = reply.withdrawals[-1].version

    async def _ask_one(self, hosts: Iterator[HostId]) -> PeerHead | None:
        """Ask the first of the hosts that has a link; None if it is mute."""
        for host in hosts:
            asked = self._clock.now()
            reply = await self._mesh.ask(host, HeadQuestion(), REPLY_TIMEOUT)
            if isinstance(reply, HeadReply):
                confirmed = None if reply.age is None else asked - reply.age
                return PeerHead(host, reply.notice, confirmed)
            if not _is_unlinked(reply):
                break
        return None

    def _groups(self) -> tuple[list[HostId], list[HostId]]:
        """Return the hosts of other domains and of this one, shuffled."""
        members = list(self._mesh.members())
        self._randomness.shuffle(members)
        near = [mem.host for mem in members if mem.domain == self._domain]
        far = [mem.host for mem in members if mem.domain != self._domain]
        return far, near

    async def _answer_head(
        self,
        host: HostId,
        question: HeadQuestion,
    ) -> Message | None:
        """Tell what is in force here, and since when that is sure."""
        configuration = self._configuration
        if configuration.behind or configuration.isolated:
            return HeadReply(self.notice)
        return HeadReply(self.notice, configuration.confirmation_age)

    async def _answer_document(
        self,
        host: HostId,
        question: DocumentQuestion,
    ) -> Message | None:
        """Give the document in force here, if it is the one."""
        accepted = self._configuration.accepted
        if accepted is None or accepted.digest != question.digest:
            return DocumentReply()
        return DocumentReply(encode_document(accepted.document))

    async def _answer_facts(
        self,
        host: HostId,
        question: WithdrawalsQuestion,
    ) -> Message | None:
        """Give a page of withdrawals."""
        withdrawals = [
            withdrawal
            for withdrawal in self._configuration.withdrawals
            if withdrawal.version > question.after
        ]
        return WithdrawalsReply(
            tuple(withdrawals[:PAGE]), more=len(withdrawals) > PAGE
        )


def _content_of(reply: Message | Refusal) -> bytes | None:
    """Return the content of a document that a peer gave, or None."""
    return reply.content if isinstance(reply, DocumentReply) else None


def _is_unlinked(reply: Message | Refusal) -> bool:
    """Tell whether a question was not even sent."""
    return isinstance(reply, Refusal) and reply.ran is Ran.NOT_RUN
