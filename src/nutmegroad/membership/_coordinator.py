"""Decides, at each tick and message, what the membership does next."""

import random
from collections import Counter
from typing import Final

from nutmegroad.contracts.peers import Mesh
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import DomainId, HostId, Presence
from nutmegroad.membership._detector import Detector, Verdicts
from nutmegroad.membership._handshake import Identity
from nutmegroad.membership._heartbeats import HeartbeatSender, age_seconds
from nutmegroad.membership._link_targets import LinkTargets
from nutmegroad.membership._member_context import LinkLayer, MemberContext
from nutmegroad.membership._member_messages import (
    Heartbeat,
    Record,
    TableReply,
    TableRequest,
)
from nutmegroad.membership._member_table import (
    MemberTable,
    Origin,
    Reachability,
)

#: A digest that differs for so many heartbeats in a row is no passing lag.
_PATIENCE: Final = 3
#: Seconds between two fetches, at least and at most.
_REST: Final = (3.0, 8.0)
_TIMEOUT: Final = 5.0

_LOG: Final = part_logger('members')
#: A host that started so many seconds ago may still find that its wall
#: clock lies behind that of an earlier incarnation, and becomes later.
_GRACE: Final = 30.0
#: Who has heard nobody for so many intervals is itself cut off.
_CONTACT: Final = 5.0
#: Ticks between looks for hosts that are not known.
_PROBE_EVERY: Final = 15
#: Ticks between looks at which links nobody needs, and at old records.
_DROP_EVERY: Final = 5


class Synchronizer:
    """Fetches records, one host at a time and not too often.

    Args:
        table: Where the records go.
        mesh: Whom to ask by.
        clock: Time.
        randomness: Spreads the fetches of many hosts.
    """

    def __init__(
        self,
        table: MemberTable,
        mesh: Mesh,
        clock: Clock,
        randomness: random.Random,
    ) -> None:
        self._table = table
        self._mesh = mesh
        self._clock = clock
        self._randomness = randomness
        self._differing: Counter[HostId] = Counter()
        self._next = clock.now()
        self._is_first = True

    def is_due(self, host: HostId, digest: int) -> bool:
        """Take in a digest; true if the records must be fetched now."""
        if digest == self._table.entries.digest:
            self._differing.pop(host, None)
            return False
        self._differing[host] += 1
        patience = 1 if self._is_first else _PATIENCE
        is_lasting = self._differing[host] >= patience
        return is_lasting and self._clock.now() >= self._next

    def forget(self, host: HostId) -> None:
        """Forget a host whose link was lost."""
        self._differing.pop(host, None)

    async def fetch(self, host: HostId, domain: DomainId) -> None:
        """Ask a host for all its records and take them in."""
        self._next = self._clock.now() + self._randomness.uniform(*_REST)
        self._differing.clear()
        reply = await self._mesh.ask(host, TableRequest(), _TIMEOUT)
        if not isinstance(reply, TableReply):
            return
        is_near = domain == self._table.identity.domain
        # Hosts of our domain have what one of them has; and who knew
        # nothing before has no news for anybody.
        quiet = is_near or self._is_first
        self._is_first = False
        self._take(host, reply.records, Origin.SYNC if quiet else Origin.FAR)

    def _take(
        self,
        host: HostId,
        records: tuple[Record, ...],
        origin: Origin,
    ) -> None:
        for record in records:
            self._table.merge(record, origin, host)


class Coordinator:
    """Ties links, records, heartbeats and the detector together.

    Attributes:
        targets: To which hosts there should be links.
        verdicts: The outcome of the latest tick.

    Args:
        context: Time, randomness, account and where to start from.
        links: The links.
        table: Records and who we are.
        reachability: When hosts and domains were last heard.
    """

    def __init__(
        self,
        context: MemberContext,
        links: LinkLayer,
        table: MemberTable,
        reachability: Reachability,
    ) -> None:
        self.targets = LinkTargets(
            table, reachability, context.randomness, context.seeds
        )
        self.verdicts = Verdicts()
        self._context = context
        self._links = links
        self._table = table
        self._reachability = reachability
        self._detector = Detector(table, reachability, context.heartbeat)
        self._heartbeats = HeartbeatSender(
            table, reachability, self._detector, links
        )
        self._synchronizer = Synchronizer(
            table,
            links,
            context.clock,
            context.randomness,
        )
        self._started = context.clock.now()
        self._ticks = 0

    def open(self) -> None:
        """Begin to listen to links, and look for the first hosts."""
        self._links.listen(self)
        self._links.handle(Heartbeat, self._take_heartbeat)
        self._links.handle(TableRequest, self._answer_request)
        self.targets.choose_probe(has_links=False)
        self._links.keep_links(self.targets.addresses())

    def tick(self) -> None:
        """Judge who has failed, look after links, send heartbeats."""
        self._ticks += 1
        linked = self._links.linked()
        self._note_heard(linked)
        now = self._context.clock.now()
        self.verdicts = self._detector.judge(
            now,
            in_contact=self._is_in_contact(linked, now),
        )
        for host in self.verdicts.gone:
            self._give_up(host)
        if self._ticks % _PROBE_EVERY == 0 or not linked:
            self.targets.choose_probe(has_links=bool(linked))
        if self._ticks % _DROP_EVERY == 0:
            self._drop_unwanted()
            self._table.purge()
        self._links.keep_links(self.targets.addresses())
        self.send()

    def send(self) -> None:
        """Send heartbeats now."""
        wanted = self.targets.hosts().keys()
        self._heartbeats.send_all(self.verdicts.suspects, wanted)

    def link_opened(self, identity: Identity) -> None:
        """Greet a host to which there is a link now."""
        now = self._context.clock.now()
        self._reachability.heard_host(identity.host, now)
        self._reachability.heard_domain(identity.domain, now)
        record = Record(identity, 0, Presence.LIVE)
        self._table.merge(record, self._origin(identity.domain), identity.host)
        self._heartbeats.opened(identity)

    def link_closed(self, identity: Identity) -> None:
        """Take in that a link is lost."""
        self._heartbeats.closed(identity.host)
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

    def _is_in_contact(self, linked: dict[HostId, float], now: float) -> bool:
        """Tell whether anybody was heard of late."""
        bound = _CONTACT * self._context.heartbeat
        return any(now - heard < bound for heard in linked.values())

    def _note_heard(self, linked: dict[HostId, float]) -> None:
        for host, heard in linked.items():
            record = self._table.get(host)
            if record is not None:
                self._reachability.heard_host(host, heard)
                self._reachability.heard_domain(record.identity.domain, heard)

    def _give_up(self, host: HostId) -> None:
        _LOG.info('host %s is gone', host)
        self._context.account.count('members_gone')
        self._table.declare_gone(host)
        self._detector.forget(host)
        self._links.drop(host)

    def _drop_unwanted(self) -> None:
        for host in self._heartbeats.unwanted(self.targets.hosts().keys()):
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
            self._reachability.heard_domain(name, now - age_seconds(tenths))
        self._heartbeats.taken(host, they_want=beat.wanted)
        if domain == self._table.identity.domain:
            self._detector.take(host, beat, now)
        if self._synchronizer.is_due(host, beat.digest):
            await self._synchronizer.fetch(host, domain)

    async def _answer_request(
        self,
        host: HostId,
        request: TableRequest,
    ) -> TableReply:
        return TableReply(self._table.entries.records())

    def _origin(self, domain: DomainId) -> Origin:
        return (
            Origin.NEAR if domain == self._table.identity.domain else Origin.FAR
        )
