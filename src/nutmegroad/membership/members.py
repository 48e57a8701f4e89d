"""The membership: which hosts there are, and which of them live.

Hosts of a failure domain are all linked and hear each other's heartbeats;
to each other domain a host has a few links. Changes travel as records in
the heartbeats, so that a host without a link is known too. A domain from
which no word comes by any way counts as cut off; its records are kept.
"""

from collections.abc import Coroutine
from types import TracebackType
from typing import Any, Final, Self

from nutmegroad.contracts.peers import Member
from nutmegroad.contracts.platform import HostList
from nutmegroad.foundations._owned_tasks import OwnedTasks
from nutmegroad.foundations.accounting import Metered
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import DomainId, HostId, Presence
from nutmegroad.membership._coordinator import Coordinator
from nutmegroad.membership._member_context import LinkLayer, MemberContext
from nutmegroad.membership._member_messages import MEMBERS_PART
from nutmegroad.membership._member_table import MemberTable, Reachability

#: A tick that is later than so many intervals was a pause of our own.
_PAUSE: Final = 2.0
#: Heartbeats are moved by up to this share, so that hosts don't march in step.
_JITTER: Final = 0.1
#: Seconds between reads of the host list, at least; twice that at most.
_LIST_SECONDS: Final = 15.0


class Members:
    """Keeps the membership of one host.

    It sends heartbeats while it is open; at its end it says that the host
    is leaving, and then that it is gone.

    Args:
        context: Time, randomness, account and where to start from.
        links: The links; opened before and closed after this.
        table: Records and who we are; the links' roster.
        reachability: When hosts and domains were last heard.
    """

    def __init__(
        self,
        context: MemberContext,
        links: LinkLayer,
        table: MemberTable,
        reachability: Reachability,
    ) -> None:
        self._context = context
        self._table = table
        self._reachability = reachability
        self._coordinator = Coordinator(context, links, table, reachability)
        self._tasks = OwnedTasks()

    @property
    def host(self) -> HostId:
        """This host."""
        return self._table.own.host

    @property
    def domain(self) -> DomainId:
        """The failure domain of this host."""
        return self._table.identity.domain

    @property
    def presence(self) -> Presence:
        """Whether this host is live, leaving or gone."""
        return self._table.own.presence

    @property
    def suspects(self) -> tuple[HostId, ...]:
        """Hosts of the domain that are silent and not yet given up."""
        return self._coordinator.verdicts.suspects

    async def __aenter__(self) -> Self:
        """Begin to send heartbeats and to look for hosts."""
        self._coordinator.open()
        self._start(self._run())
        if self._context.host_list is not None:
            self._start(self._read_list(self._context.host_list))
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Say goodbye and stop."""
        self.leave()
        await self._tasks.aclose()
        self._table.set_presence(Presence.GONE)
        self._coordinator.send()

    def members(self) -> tuple[Member, ...]:
        """Return the other hosts that are live or leaving, as known now."""
        return self._table.members()

    def live_hosts(self) -> tuple[HostId, ...]:
        """Return the live hosts of this domain, this one among them."""
        live = [
            member.host
            for member in self.members()
            if member.domain == self.domain and member.presence is Presence.LIVE
        ]
        if self.presence is Presence.LIVE:
            live.append(self.host)
        return tuple(sorted(live))

    def leave(self) -> None:
        """Tell all at once that this host takes no new work."""
        if self.presence is Presence.LIVE:
            self._table.set_presence(Presence.LEAVING)
            self._coordinator.send()

    async def _run(self) -> None:
        clock = self._context.clock
        interval = self._context.heartbeat
        while True:
            began = clock.now()
            spread = self._context.randomness.uniform(-_JITTER, _JITTER)
            await clock.sleep(interval * (1 + spread))
            if clock.now() - began > _PAUSE * interval:
                self._context.account.count('members_own_pause')
                self._reachability.forgive()
            self._coordinator.tick()

    async def _read_list(self, host_list: HostList) -> None:
        while True:
            listing = await host_list.listing()
            if not isinstance(listing, Refusal):
                hosts = listing.hosts
                self._coordinator.targets.take_listing(
                    host.address for host in hosts
                )
            spread = self._context.randomness.uniform(1, 2)
            await self._context.clock.sleep(_LIST_SECONDS * spread)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        account = self._context.account
        self._tasks.start(Metered(account, MEMBERS_PART, work))
