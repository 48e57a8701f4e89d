"""Gossip between hosts by datagrams: loads, prefixes and digests.

Hosts of a failure domain send each other reports in each gossip round. Hosts of
other domains receive reports only in a small fleet, where these arrive often
enough to be useful; in a larger fleet they receive digests, from a few hosts of
a domain at a time. Hosts find each other in the platform's store.
"""

import asyncio
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final, cast

import msgspec

from nutmegroad.fleet.cached_prefixes import CachedPrefixes
from nutmegroad.fleet.crash_tracker import CrashTracker
from nutmegroad.fleet.domain_monitor import DomainMonitor
from nutmegroad.fleet.duties import HostRing
from nutmegroad.fleet.evidence import HostIncarnation
from nutmegroad.fleet.evidence_tracker import EvidenceTracker
from nutmegroad.fleet.gossip_queue import cyclic_slice
from nutmegroad.fleet.host_registration import HostRow
from nutmegroad.fleet.limit_gossip import LimitGossip
from nutmegroad.fleet.loads import LOAD_TTL, Load, LoadLedger
from nutmegroad.fleet.messages import (
    DigestMessage,
    Digests,
    LimitMessage,
    Message,
    ReportMessage,
    RequestMessage,
)
from nutmegroad.fleet.old_version_sessions import OldVersionSessions
from nutmegroad.fleet.received_versions import ReceivedVersions
from nutmegroad.fleet.remote_rounds import RemoteRounds
from nutmegroad.fleet.request_limits import RequestLimits
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.decoding import MessageDecoder, UndecodableError
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import DomainId, HostId, UpstreamIncarnation

_LOG: Final = part_logger('neighbours')

#: Seconds between gossip rounds. A prompt takes about as long to process, and
#: hosts don't see each other's requests of the same round.
ROUND_INTERVAL: Final = 0.15

#: Seconds beyond its span for which a session counts as live where other hosts
#: have seen it: their reports arrive with a delay.
SESSION_SLACK: Final = 1.0

#: Maximum number of hosts of this failure domain that receive a report per
#: round: all of them in today's fleets; in larger ones it bounds the cost of
#: gossip. In a domain of forty-four hosts, each receives a report from each
#: other one about once a second.
LOCAL_PER_ROUND: Final = 8

#: Hosts of other failure domains that receive a report per round.
REMOTE_PER_ROUND: Final = 1

#: Maximum number of hosts in other failure domains for which reports are sent
#: at all: with more hosts, a load expires before the next report arrives.
MAX_REMOTE_WITH_REPORTS: Final = (
    int(LOAD_TTL / ROUND_INTERVAL) * REMOTE_PER_ROUND
)

#: Seconds of prompt processing from which a request is heavy: a request that
#: another host sends to the same engine before it receives the report waits
#: behind it.
HEAVY_PREFILL: Final = 0.1

#: Hosts of this failure domain that are informed of each request immediately.
#: They prefer the same upstreams, and requests arrive in bursts; without these
#: messages the requests of one burst would be invisible to other hosts until
#: the next round.
LOCAL_IMMEDIATE: Final = 8

#: Hosts that are informed of a heavy request immediately, in this failure
#: domain and in others. Traffic between failure domains is expensive.
LOCAL_OF_HEAVY: Final = 30
REMOTE_OF_HEAVY: Final = 8

#: Seconds after its last message for which a host counts as responsive.
RESPONSIVE_PERIOD: Final = 5.0


@dataclass(frozen=True, slots=True)
class SharedState:
    """State that a host receives from its peers and shares with them.

    Attributes:
        ledger: Loads of upstreams.
        sessions: Sessions that a rollout must leave on their version.
        evidence: Rollout counts.
        prefixes: Parts of prompts that upstreams have cached.
        domains: When messages from other failure domains were received.
        crashes: Requests under which upstreams have crashed.
        versions: Configuration versions that hosts have in force.
        limits: Limits that upstreams have named.
    """

    ledger: LoadLedger
    sessions: OldVersionSessions
    evidence: EvidenceTracker
    prefixes: CachedPrefixes
    domains: DomainMonitor
    crashes: CrashTracker
    versions: ReceivedVersions
    limits: RequestLimits


def new_shared_state(
    host: HostId,
    incarnation: HostIncarnation,
    clock: Clock,
    session_span: float,
) -> SharedState:
    """Return the empty shared state of a host that has just started.

    Args:
        host: The host.
        incarnation: Its current incarnation.
        clock: The host's clock.
        session_span: Seconds within which requests belong to one session.
    """
    sessions = OldVersionSessions(
        clock, session_span + SESSION_SLACK, incarnation
    )
    return SharedState(
        LoadLedger(clock),
        sessions,
        EvidenceTracker(host, incarnation),
        CachedPrefixes(clock),
        DomainMonitor(clock),
        CrashTracker(clock),
        ReceivedVersions(clock),
        RequestLimits(clock),
    )


class PeerGossip(asyncio.DatagramProtocol):
    """Exchanges this host's state with its peers.

    Args:
        host: This host.
        own: This host's row in the fleet table.
        state: State that is sent and received.
        clock: The host's clock.
    """

    @property
    def count(self) -> int:
        """Return how many other hosts are known, in all failure domains."""
        return len(self._local) + len(self._remote)

    @property
    def local_hosts(self) -> Mapping[HostId, HostRow]:
        """Return the other hosts of this failure domain."""
        return self._local

    @property
    def remote_hosts(self) -> Mapping[HostId, HostRow]:
        """Return the hosts of the other failure domains."""
        return self._remote

    @property
    def _sends_remote_reports(self) -> bool:
        """Whether hosts of other failure domains receive reports."""
        return len(self._remote) <= MAX_REMOTE_WITH_REPORTS

    def __init__(
        self,
        host: HostId,
        own: HostRow,
        state: SharedState,
        clock: Clock,
    ) -> None:
        self._host = host
        self._own = own
        self._ledger = state.ledger
        self._prefixes = state.prefixes
        self._domains = state.domains
        self._digests = Digests(
            state.sessions,
            state.evidence,
            state.crashes,
            state.versions,
            state.limits,
        )
        self._limits = state.limits
        self._clock = clock
        self._local: dict[HostId, HostRow] = {}
        self._remote: dict[HostId, HostRow] = {}
        #: All known hosts, including this one, by duty.
        self.ring = HostRing(host)
        self._remote_rounds = RemoteRounds(host)
        limits = LimitGossip(
            host,
            self._local,
            self._remote_rounds,
            self._send,
            self._domains,
        )
        self._limits.subscribe(limits.send)
        self._limits.hears_others = limits.hears_others
        # This host's rank among those of its failure domain.
        self._rank = 0
        #: Clock seconds of each host's last message.
        self.last_received: dict[HostId, float] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._decoder: MessageDecoder[Message] = MessageDecoder(
            msgspec.msgpack.Decoder(Message)
        )
        self._was_empty = True
        self._immediate_count = 0
        self._ledger.subscribe_to_requests(self._send_immediately)

    def count_responsive(self) -> int:
        """Return how many other hosts have sent a message recently."""
        oldest = self._clock.now() - RESPONSIVE_PERIOD
        return sum(
            received_at >= oldest for received_at in self.last_received.values()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for sending."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Merge a datagram from another host; ignore it if it is malformed."""
        try:
            message = self._decoder.decode(datagram)
        except UndecodableError:
            _LOG.decision('malformed datagram ignored', sender=addr[0])
            return
        host = HostId(message.host)
        self.last_received[host] = self._clock.now()
        remote = self._remote.get(host)
        if remote is not None:
            self._domains.record_message(DomainId(remote.domain))
        if isinstance(message, RequestMessage):
            self._ledger.update_reported(host, message.loads)
            return
        if isinstance(message, LimitMessage):
            self._limits.merge((message.limit,), local=remote is None)
            return
        self._digests.merge(message.digest, local=remote is None)
        if isinstance(message, ReportMessage):
            self._merge_report(host, message)

    def add_host(self, host: HostId, row: HostRow) -> None:
        """Add a host that was found in the store."""
        if host == self._host:
            return
        self.ring.add(host)
        if row.domain == self._own.domain:
            self._local[host] = row
            self._rank = sum(other < self._host for other in self._local)
        else:
            self._remote[host] = row
            self._remote_rounds.add_host(host, row)
        _LOG.decision(
            'host found',
            host=host,
            address=row.ip,
            domain=row.domain,
        )

    def encode_report(self) -> bytes:
        """Return this host's current report, encoded."""
        remote = len(self._remote) if self._sends_remote_reports else 0
        return msgspec.msgpack.encode(
            ReportMessage(
                self._host,
                self._digests.for_local(),
                self._ledger.own,
                self._prefixes.recent(
                    _two_reports_span(len(self._local), remote)
                ),
                self._domains.ages(),
            ),
        )

    async def run(self) -> None:
        """Send to the peers in each round, until cancelled."""
        round_number = 0
        while True:
            await self._clock.sleep(ROUND_INTERVAL)
            round_number += 1
            self._send_round(round_number)

    def _merge_report(self, host: HostId, report: ReportMessage) -> None:
        """Merge the report of a host."""
        self._ledger.replace_reported(host, report.loads)
        self._prefixes.merge(report.prefixes)
        if host not in self._remote:
            # Only hosts of this failure domain are on the same side of a
            # network partition as this host; ages reported by remote hosts say
            # nothing about it.
            self._domains.merge_ages(report.domain_ages)

    def _send_round(self, round_number: int) -> None:
        """Send this host's state, unless it is empty and was empty before."""
        empty = self._digests.is_empty and not self._ledger.own
        if self._transport is None or (self._was_empty and empty):
            return
        self._was_empty = empty
        # Must be read before the report is built: building it uses up the
        # datagrams for which an entry counts as an update.
        has_updates = self._digests.has_updates
        report = self.encode_report()
        local = _receivers_of(
            self._local, round_number, LOCAL_PER_ROUND, self._rank
        )
        self._send(report, local)
        if self._sends_remote_reports:
            remote = _receivers_of(
                self._remote, round_number, REMOTE_PER_ROUND, self._rank
            )
            self._send(report, remote)
        else:
            self._send_remote(round_number, has_updates=has_updates)

    def _send_remote(self, round_number: int, *, has_updates: bool) -> None:
        """Send a digest to other failure domains if it is this host's round."""
        hosts = len(self._local) + 1
        if self._remote_rounds.due(
            round_number, self._rank, hosts, has_updates=has_updates
        ):
            digest = DigestMessage(self._host, self._digests.for_remote())
            payload = msgspec.msgpack.encode(digest)
            self._send(payload, self._remote_rounds.receivers())

    def _send_immediately(
        self, upstream: UpstreamIncarnation, load: Load
    ) -> None:
        """Send this host's load at one upstream before the next round."""
        self._immediate_count += 1
        heavy = load.prefill_seconds >= HEAVY_PREFILL
        loads = {upstream: self._ledger.own[upstream]}
        payload = msgspec.msgpack.encode(RequestMessage(self._host, loads))
        local = LOCAL_OF_HEAVY if heavy else LOCAL_IMMEDIATE
        self._send(
            payload,
            _receivers_of(
                self._local, self._immediate_count, local, self._rank
            ),
        )
        if heavy and self._sends_remote_reports:
            remote = _receivers_of(
                self._remote, self._immediate_count, REMOTE_OF_HEAVY, self._rank
            )
            self._send(payload, remote)

    def _send(self, payload: bytes, receivers: Iterable[HostRow]) -> None:
        """Send a datagram to some hosts."""
        if self._transport is None:
            return
        for row in receivers:
            self._transport.sendto(payload, (row.ip, row.port))


def _two_reports_span(local: int, remote: int) -> float:
    """Return the seconds in which each receiver of reports gets two of them.

    Args:
        local: Number of receivers in this failure domain.
        remote: Number of receivers in other domains.
    """
    rounds = max(local / LOCAL_PER_ROUND, remote / REMOTE_PER_ROUND, 1)
    return 2 * rounds * ROUND_INTERVAL


def _receivers_of(
    hosts: Mapping[HostId, HostRow],
    round_number: int,
    count: int,
    offset: int,
) -> tuple[HostRow, ...]:
    """Return the hosts that are sent to in a round, or all if they are few.

    Args:
        hosts: All hosts.
        round_number: Number of the round.
        count: Number of hosts per round.
        offset: Offset at which this host begins. Without it, hosts that start
            together and know the same peers would all send to the same ones.
    """
    return cyclic_slice(
        tuple(hosts.values()), round_number * count + offset, count
    )
