"""Membership of one host: which hosts exist and which of them are live.

All hosts of a failure domain are linked to each other and receive each
other's heartbeats; each host has a few links to every other domain. Changed
records are propagated in heartbeats, so that hosts without a direct link are
known too. A domain about which no update arrives, directly or through other
hosts, is considered unreachable; its records are kept.
"""

from functools import partial
from types import TracebackType
from typing import Final, Self

from nutmegroad.contracts.peers import Member
from nutmegroad.contracts.platform import HostList
from nutmegroad.foundations._owned_tasks import OwnedTasks
from nutmegroad.foundations.accounting import MeteredCoroutine
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.supervision import (
    Supervisor,
    TaskLabel,
    TaskStart,
)
from nutmegroad.foundations.types import DomainId, HostId, Presence
from nutmegroad.membership._coordinator import Coordinator
from nutmegroad.membership._member_context import LinkLayer, MemberContext
from nutmegroad.membership._member_messages import MEMBERS_PART
from nutmegroad.membership._member_table import MemberTable, Reachability

#: Number of heartbeat intervals after which a late tick is treated as a pause
#: of this process.
_PAUSE_FACTOR: Final = 2.0
#: Maximum fraction by which heartbeat intervals vary, so that hosts do not
#: send in step.
_JITTER: Final = 0.1
#: Minimum seconds between reads of the host list; the maximum is twice as
#: much.
_MIN_LIST_INTERVAL: Final = 15.0


class Members:
    """Membership of one host.

    Sends heartbeats while it is open. On exit it announces that the host is
    leaving, and then that it is gone.

    Args:
        context: Clock, randomness, cost account and initial peers.
        links: Links to other hosts; opened before and closed after this.
        table: Member records; also the roster of the links.
        reachability: When hosts and domains were last seen.
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
        self._supervisor = Supervisor(context.clock)

    @property
    def host(self) -> HostId:
        """Id of this host."""
        return self._table.own.host

    @property
    def domain(self) -> DomainId:
        """Failure domain of this host."""
        return self._table.identity.domain

    @property
    def presence(self) -> Presence:
        """Presence of this host: live, leaving or gone."""
        return self._table.own.presence

    @property
    def suspects(self) -> tuple[HostId, ...]:
        """Local hosts that are unresponsive and not declared gone."""
        return self._coordinator.verdicts.suspects

    async def __aenter__(self) -> Self:
        """Start sending heartbeats and discovering hosts."""
        self._coordinator.open()
        self._start_task('heartbeats', self._send_heartbeats)
        if self._context.host_list is not None:
            self._start_task(
                'host list',
                partial(self._poll_host_list, self._context.host_list),
            )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Announce that this host is gone and stop all tasks."""
        self.leave()
        await self._tasks.aclose()
        self._table.set_presence(Presence.GONE)
        self._coordinator.send()

    def members(self) -> tuple[Member, ...]:
        """Return the other reachable hosts that are live or leaving."""
        return self._table.members()

    def live_hosts(self) -> tuple[HostId, ...]:
        """Return the live hosts of this domain, including this one."""
        live = [
            member.host
            for member in self.members()
            if member.domain == self.domain and member.presence is Presence.LIVE
        ]
        if self.presence is Presence.LIVE:
            live.append(self.host)
        return tuple(sorted(live))

    def leave(self) -> None:
        """Announce immediately that this host accepts no new work."""
        if self.presence is Presence.LIVE:
            self._table.set_presence(Presence.LEAVING)
            self._coordinator.send()

    async def _send_heartbeats(self) -> None:
        clock = self._context.clock
        interval = self._context.heartbeat
        while True:
            started = clock.now()
            jitter = self._context.randomness.uniform(-_JITTER, _JITTER)
            await clock.sleep(interval * (1 + jitter))
            if clock.now() - started > _PAUSE_FACTOR * interval:
                self._context.account.count_event('members_own_pause')
                self._reachability.reset_timers()
            self._coordinator.tick()

    async def _poll_host_list(self, host_list: HostList) -> None:
        while True:
            listing = await host_list.listing()
            if not isinstance(listing, Refusal):
                hosts = listing.hosts
                self._coordinator.targets.update_listed_addresses(
                    host.address for host in hosts
                )
            jitter = self._context.randomness.uniform(1, 2)
            await self._context.clock.sleep(_MIN_LIST_INTERVAL * jitter)

    def _start_task(self, name: str, start: TaskStart) -> None:
        account = self._context.account
        work = self._supervisor.run(TaskLabel(name), start)
        self._tasks.start(MeteredCoroutine(account, MEMBERS_PART, work))
