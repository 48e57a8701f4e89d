"""Coordinates the membership: reacts to ticks, messages and link events."""

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

#: Number of consecutive heartbeats with a different digest after which the
#: difference is not attributed to propagation delay.
_PERSISTENT_HEARTBEATS: Final = 3
#: Minimum and maximum seconds between two fetches.
_FETCH_INTERVAL: Final = (3.0, 8.0)
#: Seconds to wait for the reply to a fetch.
_FETCH_TIMEOUT: Final = 5.0

_LOG: Final = part_logger('members')
#: Seconds after its start during which a host may find that its wall clock is
#: behind that of an earlier incarnation, and choose a later generation.
_STARTUP_PERIOD: Final = 30.0
#: Number of heartbeat intervals without any message after which this host
#: considers itself disconnected.
_CONTACT_INTERVALS: Final = 5.0
#: Ticks between probes for unknown hosts.
_PROBE_TICKS: Final = 15
#: Ticks between removals of unneeded links and old records.
_CLEANUP_TICKS: Final = 5


class Synchronizer:
    """Fetches member tables from one host at a time, at a limited rate.

    Args:
        table: Destination of the records.
        mesh: Links on which the requests are sent.
        clock: Source of time.
        randomness: Spreads the fetches of many hosts over time.
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
        self._differing_digests: Counter[HostId] = Counter()
        self._next_fetch = clock.now()
        self._is_first = True

    def is_due(self, host: HostId, digest: int) -> bool:
        """Compare a digest; return whether to fetch the records now."""
        if digest == self._table.entries.digest:
            self._differing_digests.pop(host, None)
            return False
        self._differing_digests[host] += 1
        required = 1 if self._is_first else _PERSISTENT_HEARTBEATS
        is_persistent = self._differing_digests[host] >= required
        return is_persistent and self._clock.now() >= self._next_fetch

    def forget(self, host: HostId) -> None:
        """Remove the state of a host whose link was lost."""
        self._differing_digests.pop(host, None)

    async def fetch(self, host: HostId, domain: DomainId) -> None:
        """Request all records of a host and merge them."""
        self._next_fetch = self._clock.now() + self._randomness.uniform(
            *_FETCH_INTERVAL
        )
        self._differing_digests.clear()
        reply = await self._mesh.request(host, TableRequest(), _FETCH_TIMEOUT)
        if not isinstance(reply, TableReply):
            return
        is_local = domain == self._table.identity.domain
        # What one host of this domain knows, the others know too; and a host
        # that knew nothing before its first fetch has no updates for others.
        needs_no_forwarding = is_local or self._is_first
        self._is_first = False
        self._merge_all(
            host,
            reply.records,
            Origin.SYNC if needs_no_forwarding else Origin.REMOTE,
        )

    def _merge_all(
        self,
        host: HostId,
        records: tuple[Record, ...],
        origin: Origin,
    ) -> None:
        for record in records:
            self._table.merge(record, origin, host)


class Coordinator:
    """Connects links, member records, heartbeats and the failure detector.

    Attributes:
        targets: Hosts to which there should be links.
        verdicts: Suspected and gone hosts, as of the latest evaluation.

    Args:
        context: Clock, randomness, cost account and initial peers.
        links: The links.
        table: Member records.
        reachability: When hosts and domains were last seen.
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
        self._started_at = context.clock.now()
        self._ticks = 0

    def open(self) -> None:
        """Subscribe to the links and start connecting to initial peers."""
        self._links.listen(self)
        self._links.handle(Heartbeat, self._handle_heartbeat)
        self._links.handle(TableRequest, self._handle_table_request)
        self.targets.choose_probes(has_links=False)
        self._links.maintain_links(self.targets.addresses())

    def tick(self) -> None:
        """Detect failures, update links and send heartbeats."""
        self._ticks += 1
        linked = self._links.linked()
        self._update_reachability(linked)
        now = self._context.clock.now()
        self.verdicts = self._detector.evaluate(
            now,
            in_contact=self._is_in_contact(linked, now),
        )
        for host in self.verdicts.gone:
            self._remove_host(host)
        if self._ticks % _PROBE_TICKS == 0 or not linked:
            self.targets.choose_probes(has_links=bool(linked))
        if self._ticks % _CLEANUP_TICKS == 0:
            self._drop_unwanted()
            self._table.purge()
        self._links.maintain_links(self.targets.addresses())
        self.send()

    def send(self) -> None:
        """Send heartbeats now."""
        wanted = self.targets.hosts().keys()
        self._heartbeats.send_all(self.verdicts.suspects, wanted)

    def link_opened(self, identity: Identity) -> None:
        """Record a linked host and send it a first heartbeat."""
        now = self._context.clock.now()
        self._reachability.record_host_seen(identity.host, now)
        self._reachability.record_domain_seen(identity.domain, now)
        record = Record(identity, 0, Presence.LIVE)
        self._table.merge(record, self._origin(identity.domain), identity.host)
        self._heartbeats.link_opened(identity)

    def link_closed(self, identity: Identity) -> None:
        """Handle the loss of a link; a leaving host is then gone."""
        self._heartbeats.link_closed(identity.host)
        self._synchronizer.forget(identity.host)
        record = self._table.get(identity.host)
        if record is not None and record.presence is Presence.LEAVING:
            self._remove_host(identity.host)

    def generation_outdated(self, known: int) -> None:
        """Choose a later generation if this host has just started."""
        if self._context.clock.now() - self._started_at > _STARTUP_PERIOD:
            # Another process runs under the same host id, and it is the later
            # one.
            self._context.account.count_event('members_superseded')
            _LOG.error(
                'a later incarnation of this host is running, generation %d',
                known,
            )
            return
        if known >= self._table.identity.generation:
            self._table.raise_generation(known)

    def _is_in_contact(self, linked: dict[HostId, float], now: float) -> bool:
        """Return whether any linked host sent something recently."""
        timeout = _CONTACT_INTERVALS * self._context.heartbeat
        return any(
            now - last_received < timeout for last_received in linked.values()
        )

    def _update_reachability(self, linked: dict[HostId, float]) -> None:
        for host, last_received in linked.items():
            record = self._table.get(host)
            if record is not None:
                self._reachability.record_host_seen(host, last_received)
                self._reachability.record_domain_seen(
                    record.identity.domain, last_received
                )

    def _remove_host(self, host: HostId) -> None:
        _LOG.info('host %s declared gone', host)
        self._context.account.count_event('members_gone')
        self._table.declare_gone(host)
        self._detector.forget(host)
        self._links.drop(host)

    def _drop_unwanted(self) -> None:
        for host in self._heartbeats.unwanted(self.targets.hosts().keys()):
            self._links.drop(host)

    async def _handle_heartbeat(
        self, host: HostId, heartbeat: Heartbeat
    ) -> None:
        sender = self._table.get(host)
        if sender is None:
            return
        domain = sender.identity.domain
        for record in heartbeat.news:
            self._table.merge(record, self._origin(domain), host)
        now = self._context.clock.now()
        for reported_domain, tenths in heartbeat.ages.items():
            self._reachability.record_domain_seen(
                reported_domain, now - age_seconds(tenths)
            )
        self._heartbeats.set_wanted_by_peer(
            host, wanted_by_peer=heartbeat.wanted
        )
        if domain == self._table.identity.domain:
            self._detector.receive_heartbeat(host, heartbeat, now)
        if self._synchronizer.is_due(host, heartbeat.digest):
            await self._synchronizer.fetch(host, domain)

    async def _handle_table_request(
        self,
        host: HostId,
        request: TableRequest,
    ) -> TableReply:
        return TableReply(self._table.entries.records())

    def _origin(self, domain: DomainId) -> Origin:
        return (
            Origin.LOCAL
            if domain == self._table.identity.domain
            else Origin.REMOTE
        )
