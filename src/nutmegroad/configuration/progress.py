"""Progress of a configuration change: which hosts have it in force.

The host that receives the operator's request asks the hosts of its own failure
domain, and one host of each other domain to ask the hosts there.
"""

import asyncio
from collections.abc import Iterable
from typing import ClassVar, Final

from msgspec import Struct

from nutmegroad.configuration._configuration_messages import CONFIGURATION_PART
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.configuration.withdrawals import NO_EPOCH
from nutmegroad.contracts.peers import Member, Mesh, Message
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import (
    DomainId,
    Epoch,
    HostId,
    Presence,
    Ran,
    Revision,
    VersionId,
)

#: Seconds that a host may take to reply for itself.
_HOST_TIMEOUT: Final = 0.7
#: Seconds that a host may take to reply for all hosts of its domain.
_DOMAIN_TIMEOUT: Final = 1.5
#: Hosts of another domain that are asked at most, one after another.
_MAX_ATTEMPTS: Final = 2


class Change(Struct, frozen=True):
    """A change whose progress is queried: a revision, a withdrawal or both.

    Attributes:
        revision: The revision; 0 for none.
        version: The withdrawn version; empty for none.
        epoch: The withdrawn epoch.
    """

    revision: Revision
    version: VersionId = VersionId('')
    epoch: Epoch = NO_EPOCH


class HostProgress(Struct, frozen=True):
    """Progress of a change on one host.

    Attributes:
        host: The host.
        domain: Its failure domain.
        revision: The revision that it has in force; 0 if it did not reply.
        acknowledged: Whether it has the change in force.
        isolated: Whether the confirmation of its configuration has expired.
        reached: Whether it replied.
    """

    host: HostId
    domain: DomainId
    revision: Revision = Revision(0)
    acknowledged: bool = False
    isolated: bool = False
    reached: bool = False


class ProgressQuestion(Message, frozen=True, tag='progress-question'):
    """Asks a host for the progress of a change.

    Attributes:
        change: The change.
        whole_domain: Whether the host also asks the hosts of its domain.
    """

    part: ClassVar[str] = CONFIGURATION_PART

    change: Change
    whole_domain: bool = False


class ProgressReply(Message, frozen=True, tag='progress-reply'):
    """Progress of a change on one or more hosts.

    Attributes:
        hosts: The progress on each host.
    """

    part: ClassVar[str] = CONFIGURATION_PART

    hosts: tuple[HostProgress, ...]


class ChangeProgress:
    """Collects the progress of changes from all hosts.

    Args:
        mesh: Links to other hosts.
        configuration: The configuration on this host.
        host: This host.
        domain: Its failure domain.
    """

    def __init__(
        self,
        mesh: Mesh,
        configuration: Configuration,
        host: HostId,
        domain: DomainId,
    ) -> None:
        self._mesh = mesh
        self._configuration = configuration
        self._host = host
        self._domain = domain
        mesh.handle(ProgressQuestion, self._answer)

    def local_progress(self, change: Change) -> HostProgress:
        """Return the progress of a change on this host."""
        configuration = self._configuration
        acknowledged = configuration.revision >= change.revision
        if change.version:
            acknowledged = acknowledged and configuration.is_withdrawn(
                change.version,
                change.epoch,
            )
        return HostProgress(
            self._host,
            self._domain,
            configuration.revision,
            acknowledged,
            configuration.isolated,
            reached=True,
        )

    async def collect(self, change: Change) -> tuple[HostProgress, ...]:
        """Ask all known hosts.

        Returns:
            The progress on each host, ordered by domain and host.
        """
        domains: dict[DomainId, list[Member]] = {}
        for member in self._mesh.members():
            if member.presence is not Presence.GONE:
                domains.setdefault(member.domain, []).append(member)
        domains.pop(self._domain, None)
        found = await asyncio.gather(
            self._ask_local_domain(change),
            *(self._ask_domain(hosts, change) for hosts in domains.values()),
        )
        by_host = {entry.host: entry for group in found for entry in group}
        return tuple(
            sorted(
                by_host.values(),
                key=lambda entry: (entry.domain, entry.host),
            )
        )

    async def _ask_local_domain(
        self,
        change: Change,
    ) -> tuple[HostProgress, ...]:
        """Ask the other hosts of this domain, and include this host."""
        others = [
            member
            for member in self._mesh.members()
            if member.domain == self._domain
            and member.presence is not Presence.GONE
        ]
        queries = (self._ask_host(member, change) for member in others)
        return (self.local_progress(change), *await asyncio.gather(*queries))

    async def _ask_host(self, member: Member, change: Change) -> HostProgress:
        """Ask one host."""
        question = ProgressQuestion(change)
        reply = await self._mesh.request(member.host, question, _HOST_TIMEOUT)
        if isinstance(reply, ProgressReply) and reply.hosts:
            return reply.hosts[0]
        return HostProgress(member.host, member.domain)

    async def _ask_domain(
        self,
        members: list[Member],
        change: Change,
    ) -> tuple[HostProgress, ...]:
        """Ask one host of another domain on behalf of all its hosts."""
        question = ProgressQuestion(change, whole_domain=True)
        attempts = 0
        for member in members:
            if attempts == _MAX_ATTEMPTS:
                break
            reply = await self._mesh.request(
                member.host,
                question,
                _DOMAIN_TIMEOUT,
            )
            if isinstance(reply, ProgressReply):
                return (*_unreached(members), *reply.hosts)
            # A host without a link was not asked, so it does not count.
            attempts += not _was_not_sent(reply)
        return tuple(_unreached(members))

    async def _answer(
        self,
        host: HostId,
        question: ProgressQuestion,
    ) -> Message | None:
        """Reply for this host, or for its whole domain."""
        if question.whole_domain:
            return ProgressReply(await self._ask_local_domain(question.change))
        return ProgressReply((self.local_progress(question.change),))


def _unreached(members: Iterable[Member]) -> list[HostProgress]:
    """Return the progress of hosts that have not replied."""
    return [HostProgress(member.host, member.domain) for member in members]


def _was_not_sent(reply: Message | Refusal) -> bool:
    """Return whether a query was not sent for lack of a link."""
    return isinstance(reply, Refusal) and reply.ran is Ran.NOT_RUN
