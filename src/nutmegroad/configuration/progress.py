"""How far a change has come: which hosts have it, by failure domain.

The host that an operator asks asks the hosts of its domain, and one host
of each other domain to ask those of its own.
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

#: Seconds that a host, and a host that asks others, may take to reply.
_HOST_TIMEOUT: Final = 0.7
_DOMAIN_TIMEOUT: Final = 1.5
#: Hosts of another domain that are tried, one after another.
_TRIES: Final = 2


class Change(Struct, frozen=True):
    """What the progress is asked of.

    Attributes:
        revision: A revision; 0 for none.
        version: A withdrawn version; empty for none.
        epoch: The withdrawn epoch.
    """

    revision: Revision
    version: VersionId = VersionId('')
    epoch: Epoch = NO_EPOCH


class HostProgress(Struct, frozen=True):
    """How one host stands to a change.

    Attributes:
        host: Its id.
        domain: Its failure domain.
        revision: What it has in force; 0 if it was not reached.
        acknowledged: Whether it has the change in force.
        isolated: Whether nothing confirms its configuration.
        reached: Whether it replied.
    """

    host: HostId
    domain: DomainId
    revision: Revision = Revision(0)
    acknowledged: bool = False
    isolated: bool = False
    reached: bool = False


class ProgressQuestion(Message, frozen=True, tag='progress-question'):
    """Asks how far a change has come.

    Attributes:
        change: The change.
        whole_domain: Whether the host is to ask those of its domain too.
    """

    part: ClassVar[str] = CONFIGURATION_PART

    change: Change
    whole_domain: bool = False


class ProgressReply(Message, frozen=True, tag='progress-reply'):
    """How hosts stand to a change.

    Attributes:
        hosts: The hosts.
    """

    part: ClassVar[str] = CONFIGURATION_PART

    hosts: tuple[HostProgress, ...]


class ChangeProgress:
    """Finds out how far a change has come.

    Args:
        mesh: Links to other hosts.
        configuration: What this host holds.
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

    def own(self, change: Change) -> HostProgress:
        """Tell how this host stands to a change."""
        held = self._configuration
        acknowledged = held.revision >= change.revision
        if change.version:
            acknowledged = acknowledged and held.is_withdrawn(
                change.version,
                change.epoch,
            )
        return HostProgress(
            self._host,
            self._domain,
            held.revision,
            acknowledged,
            held.isolated,
            reached=True,
        )

    async def ask(self, change: Change) -> tuple[HostProgress, ...]:
        """Ask all hosts that are known, in order of domain and name."""
        domains: dict[DomainId, list[Member]] = {}
        for member in self._mesh.members():
            if member.presence is not Presence.GONE:
                domains.setdefault(member.domain, []).append(member)
        domains.pop(self._domain, None)
        found = await asyncio.gather(
            self._ask_own(change),
            *(self._ask_domain(hosts, change) for hosts in domains.values()),
        )
        every = {entry.host: entry for part in found for entry in part}
        return tuple(
            sorted(every.values(), key=lambda entry: (entry.domain, entry.host))
        )

    async def _ask_own(self, change: Change) -> tuple[HostProgress, ...]:
        """Ask the hosts of this domain."""
        others = [
            member
            for member in self._mesh.members()
            if member.domain == self._domain
            and member.presence is not Presence.GONE
        ]
        asked = (self._ask_host(member, change) for member in others)
        return (self.own(change), *await asyncio.gather(*asked))

    async def _ask_host(self, member: Member, change: Change) -> HostProgress:
        """Ask one host."""
        question = ProgressQuestion(change)
        reply = await self._mesh.ask(member.host, question, _HOST_TIMEOUT)
        if isinstance(reply, ProgressReply) and reply.hosts:
            return reply.hosts[0]
        return HostProgress(member.host, member.domain)

    async def _ask_domain(
        self,
        members: list[Member],
        change: Change,
    ) -> tuple[HostProgress, ...]:
        """Ask one host of another domain for all of them."""
        question = ProgressQuestion(change, whole_domain=True)
        asked = 0
        for member in members:
            if asked == _TRIES:
                break
            reply = await self._mesh.ask(
                member.host,
                question,
                _DOMAIN_TIMEOUT,
            )
            if isinstance(reply, ProgressReply):
                return (*_unreached(members), *reply.hosts)
            # One to which there is no link was not asked at all.
            asked += not _is_unlinked(reply)
        return tuple(_unreached(members))

    async def _answer(
        self,
        host: HostId,
        question: ProgressQuestion,
    ) -> Message | None:
        """Answer for this host or for its domain."""
        if question.whole_domain:
            return ProgressReply(await self._ask_own(question.change))
        return ProgressReply((self.own(question.change),))


def _unreached(members: Iterable[Member]) -> list[HostProgress]:
    """Return hosts of which nothing is known yet."""
    return [HostProgress(member.host, member.domain) for member in members]


def _is_unlinked(reply: Message | Refusal) -> bool:
    """Tell whether a question was not even sent."""
    return isinstance(reply, Refusal) and reply.ran is Ran.NOT_RUN
