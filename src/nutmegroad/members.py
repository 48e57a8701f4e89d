"""The membership: which hosts there are, and which of them live.

Hosts of a failure domain are all linked and hear each other's heartbeats;
to each other domain a host has a few links. Changes travel as records in
the heartbeats, so that a host without a link is known too. A domain from
which no word comes by any way counts as cut off; its records are kept.
"""

import random
from collections.abc import Coroutine, Iterable
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Final, Protocol, Self

from nutmegroad._aims import Aims
from nutmegroad._beats import Beats, age_seconds
from nutmegroad._detector import Detector, Verdicts
from nutmegroad._handshake import Identity
from nutmegroad._link_context import LinkListener
from nutmegroad._member_messages import (
    MEMBERS_PART,
    Heartbeat,
    Record,
    TableReply,
    TableRequest,
)
from nutmegroad._member_table import MemberTable, Origin
from nutmegroad._peer_tasks import OwnedTasks
from nutmegroad._reach import Reach
from nutmegroad._synchronizer import Synchronizer
from nutmegroad.accounting import Account, Metered
from nutmegroad.clocks import Clock
from nutmegroad.logs import part_logger
from nutmegroad.peers import Member, Mesh, Message
from nutmegroad.platform import HostList
from nutmegroad.results import Refusal
from nutmegroad.types import Address, DomainId, HostId, Presence

_LOG: Final = part_logger('members')
#: A tick that is later than so many intervals was a pause of our own.
_PAUSE: Final = 2.0
#: Heartbeats are moved by up to this share, so that hosts don't march in step.
_JITTER: Final = 0.1
#: A domain unheard for so many intervals counts as cut off.
_DOMAIN_BOUND: Final = 15.0
#: A host that started so many seconds ago may still find that its wall
#: clock lies behind that of an earlier incarnation, and becomes later.
_GRACE: Final = 30.0
#: Ticks between looks for hosts that are not known.
_PROBE_EVERY: Final = 15
#: Ticks between looks at which links to keep.
_AIM_EVERY: Final = 5
#: Seconds between reads of the host list, at least; twice that at most.
_LIST_SECONDS: Final = 15.0


class LinkLayer(Mesh, Protocol):
    """What the membership needs of the links, beyond a ``Mesh``."""

    def listen(self, listener: LinkListener) -> None:
        """Tell a listener what becomes of links."""

    def aim(self, addresses: Iterable[Address]) -> None:
        """Keep links to whoever listens at these addresses."""

    def linked(self) -> dict[HostId, float]:
        """Return the hosts with a link, and when each was last heard."""

    def drop(self, host: HostId) -> None:
        """Close the link to a host."""

    def tell_each(self, hosts: Iterable[HostId], message: Message) -> int:
        """Queue a message to several hosts; return to how many."""


@dataclass(frozen=True, slots=True)
class MemberContext:
    """What the membership needs of the program around it.

    Attributes:
        clock: Time.
        randomness: Source of jitter.
        account: Where cost and events are written.
        heartbeat: Seconds between heartbeats.
        seeds: Peer addresses from the settings.
        host_list: The platform's list, if there is one.
    """

    clock: Clock
    randomness: random.Random
    account: Account
    heartbeat: float = 1.0
    seeds: tuple[Address, ...] = ()
    host_list: HostList | None = None


def make_table(
    identity: Identity,
    clock: Clock,
    heartbeat: float,
) -> tuple[MemberTable, Reach]:
    """Return what links and membership share."""
    reach = Reach(clock, _DOMAIN_BOUND * heartbeat)
    return MemberTable(identity, clock, reach), reach


class Members:
    """Keeps the membership of one host.

    It sends heartbeats while it is open; at its end it says that the host
    is leaving, and then that it is gone.

    Args:
        context: Time, randomness, account and where to start from.
        links: The links; opened before and closed after this.
        table: Records and who we are; the links' roster.
        reach: When hosts and domains were last heard.
    """

    def __init__(
        self,
        context: MemberContext,
        links: LinkLayer,
        table: MemberTable,
        reach: Reach,
    ) -> None:
        self._context = context
        self._links = links
        self._table = table
        self._reach = reach
        interval = context.heartbeat
        self._detector = Detector(table, reach, interval)
        self._beats = Beats(table, reach, self._detector, links)
        self._aims = Aims(table, reach, context.randomness, context.seeds)
        self._synchronizer = Synchronizer(
            table,
            links,
            context.clock,
            context.randomness,
        )
        self._tasks = OwnedTasks()
        self._verdicts = Verdicts()
        self._started = context.clock.now()
        self._ticks = 0

    @property
    def host(self) -> HostId:
        """This host."""
        return self._table.own.host

    @property
    def domain(self) -> DomainId:
        """The failure domain of this host."""
        return self._table.domain

    @property
    def presence(self) -> Presence:
        """Whether this host is live, leaving or gone."""
        return self._table.own.presence

    @property
    def suspects(self) -> tuple[HostId, ...]:
        """Hosts of the domain that are silent and not yet given up."""
        return self._verdicts.suspects

    async def __aenter__(self) -> Self:
        """Begin to send heartbeats and to look for hosts."""
        self._links.listen(self)
        self._links.handle(Heartbeat, self._take_heartbeat)
        self._links.handle(TableRequest, self._answer_request)
        self._aims.choose_probe(has_links=False)
        self._links.aim(self._aims.addresses())
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
        self._send()

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
            self._send()

    def link_opened(self, identity: Identity) -> None:
        """Greet a host to which there is a link now."""
        now = self._context.clock.now()
        self._reach.heard_host(identity.host, now)
        self._reach.heard_domain(identity.domain, now)
        record = Record(identity, 0, Presence.LIVE)
        self._table.merge(record, self._origin(identity.domain), identity.host)
        self._beats.opened(identity)

    def link_closed(self, identity: Identity) -> None:
        """Take in that a link is lost."""
        self._beats.closed(identity.host)
        self._synchronizer.forget(identity.host)
        record = self._table.get(identity.host)
        if record is not None and record.presence is Presence.LEAVING:
            self._give_up(identity.host)

    def outdated(self, known: int) -> None:
        """Become later than an earlier incarnation, if we just started."""
        if self._context.clock.now() - self._started > _GRACE:
            # Another process runs under our name, and it is the later one.
            self._context.account.count('members_superseded')
            _LOG.error('a later incarnation of this host is about')
            return
        if known >= self._table.identity.generation:
            self._table.raise_generation(known)

    async def _run(self) -> None:
        clock = self._context.clock
        interval = self._context.heartbeat
        while True:
            began = clock.now()
            spread = self._context.randomness.uniform(-_JITTER, _JITTER)
            await clock.sleep(interval * (1 + spread))
            if clock.now() - began > _PAUSE * interval:
                self._context.account.count('members_own_pause')
                self._reach.forgive()
            self._tick()

    def _tick(self) -> None:
        self._ticks += 1
        linked = self._links.linked()
        self._note_heard(linked)
        now = self._context.clock.now()
        self._verdicts = self._detector.judge(now, in_contact=bool(linked))
        for host in self._verdicts.gone:
            self._give_up(host)
        if self._ticks % _PROBE_EVERY == 0 or not linked:
            self._aims.choose_probe(has_links=bool(linked))
        if self._ticks % _AIM_EVERY == 0:
            self._drop_unwanted()
        self._links.aim(self._aims.addresses())
        self._send()
        self._table.purge()

    def _note_heard(self, linked: dict[HostId, float]) -> None:
        for host, heard in linked.items():
            record = self._table.get(host)
            if record is not None:
                self._reach.heard_host(host, heard)
                self._reach.heard_domain(record.identity.domain, heard)

    def _send(self) -> None:
        wanted = self._aims.hosts().keys()
        self._beats.send_all(self._verdicts.suspects, wanted)

    def _give_up(self, host: HostId) -> None:
        _LOG.info('host %s is gone', host)
        self._context.account.count('members_gone')
        self._table.declare_gone(host)
        self._detector.forget(host)
        self._links.drop(host)

    def _drop_unwanted(self) -> None:
        for host in self._beats.unwanted(self._aims.hosts().keys()):
            self._links.drop(host)

    async def _take_heartbeat(self, host: HostId, beat: Heartbeat) -> None:
        sender = self._table.get(host)
        if sender is None:
            return
        domain = sender.identity.domain
        for record in beat.news:
            self._table.merge(record, self._origin(domain), host)
        now = self._context.clock.now()
        for name, tenths in beat.ages.items():
            self._reach.heard_domain(name, now - age_seconds(tenths))
        self._beats.taken(host, they_want=beat.wanted)
        if domain == self.domain:
            self._detector.take(host, beat, now)
        if self._synchronizer.is_due(host, beat.digest):
            await self._synchronizer.fetch(host, domain)

    async def _answer_request(
        self,
        host: HostId,
        request: TableRequest,
    ) -> TableReply:
        return TableReply(self._table.records())

    async def _read_list(self, host_list: HostList) -> None:
        while True:
            listing = await host_list.listing()
            if not isinstance(listing, Refusal):
                hosts = listing.hosts
                self._aims.take_listing(host.address for host in hosts)
            spread = self._context.randomness.uniform(1, 2)
            await self._context.clock.sleep(_LIST_SECONDS * spread)

    def _origin(self, domain: DomainId) -> Origin:
        return Origin.NEAR if domain == self.domain else Origin.FAR

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        account = self._context.account
        self._tasks.start(Metered(account, MEMBERS_PART, work))
