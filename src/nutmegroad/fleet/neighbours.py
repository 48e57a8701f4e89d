"""What hosts tell each other of their work, by datagrams.

The hosts of a failure domain tell each other at every turn. Bytes between
domains are dear, so a host tells those of others in turn, a few a second
however many there are. What is told is true for a moment only, so a lost
datagram is not sent again. Hosts find each other in the platform's store.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final, cast

import msgspec
from msgspec import Struct

from nutmegroad.fleet.announcements import HostRow
from nutmegroad.fleet.crash_book import CrashBook, ToldCrashes
from nutmegroad.fleet.domain_silence import DomainSilence, ToldAges
from nutmegroad.fleet.evidence import RunNumber
from nutmegroad.fleet.evidence_book import (
    EndedRun,
    EvidenceBook,
    EvidenceByService,
)
from nutmegroad.fleet.heard_versions import NONE, HeardVersions
from nutmegroad.fleet.loads import Load, LoadLedger, Loads
from nutmegroad.fleet.prefix_marks import HeldPrefixes, ToldPrefixes
from nutmegroad.fleet.session_marks import SessionMarks
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import DomainId, HostId, UpstreamIncarnation

_LOG: Final = part_logger('neighbours')

#: Seconds between two tellings. A prompt takes about as long to read, and
#: requests that are sent within one turn don't see each other.
TURN: Final = 0.15

#: Seconds that a session counts as alive beyond its span where other hosts
#: have seen it: their word is a moment old.
MARK_SLACK: Final = 1.0

#: Hosts of the own failure domain that are told at each turn: all of today's,
#: and a bound on what telling costs where there are many; at forty-four, each
#: hears from each about once a second.
NEAR_PER_TURN: Final = 8

#: The same for hosts of other failure domains: with today's six or so, each
#: hears from each about once a second.
FAR_PER_TURN: Final = 1

#: Seconds of reading from which a request is heavy: whatever is sent to the
#: same engine before its host has heard of it waits behind it.
HEAVY: Final = 0.1

#: Hosts that are told at once of each request, of the own failure domain, whose
#: hosts use the same upstreams first: all of today's. Requests come in clumps,
#: and of those that met an unread prompt of which their host did not know, half
#: met one that a near host had sent within the last 50 ms. Without telling at
#: once a day is worth 0.008 less of its whole (standard error 0.005), measured
#: by six paired days with all else in place.
NEAR_AT_ONCE: Final = 8

#: Hosts that are told at once of a heavy request, near and far. Bytes between
#: failure domains are dear: told of all, a second deployment lost 0.015.
NEAR_OF_HEAVY: Final = 30
FAR_OF_HEAVY: Final = 8

#: Seconds without a word after which a neighbour is told less often, and
#: every how many turns it still is.
QUIET: Final = 5.0
QUIET_TURNS: Final = 20


class Telling(Struct, frozen=True, array_like=True):
    """A datagram.

    Attributes:
        host: Who tells.
        loads: What it has sent, by upstream.
        sessions: Marks of sessions on an old version, with their ages.
        evidence: What it has seen of roll-outs under way.
        prefixes: Parts of prompts that it has sent a moment ago.
        partial: Whether the loads are some of those that it has.
        ended_runs: What hosts had seen of roll-outs that have started again.
        heard: How long ago it has heard other failure domains.
        crashes: Under which requests upstreams have ended a moment ago.
        configuration: The version that it has in force.
    """

    host: str
    loads: Loads
    sessions: dict[int, int] = {}
    evidence: EvidenceByService = {}
    prefixes: ToldPrefixes = {}
    partial: bool = False
    ended_runs: tuple[EndedRun, ...] = ()
    heard: ToldAges = {}
    crashes: ToldCrashes = ToldCrashes()
    configuration: int = NONE


@dataclass(frozen=True, slots=True)
class Told:
    """What hosts tell each other.

    Attributes:
        ledger: What upstreams are busy with.
        marks: Sessions that a roll-out must leave where they are.
        book: What was seen of roll-outs.
        prefixes: What upstreams hold of prompts.
        silence: When other failure domains were heard.
        crashes: Under which requests upstreams have ended.
        versions: Which configurations hosts have in force.
    """

    ledger: LoadLedger
    marks: SessionMarks
    book: EvidenceBook
    prefixes: HeldPrefixes
    silence: DomainSilence
    crashes: CrashBook
    versions: HeardVersions


def nothing_told(
    host: HostId,
    run: RunNumber,
    clock: Clock,
    session_span: float,
) -> Told:
    """Return what a host knows at first.

    Args:
        host: The host.
        run: Which start of it this is.
        clock: The host's clock.
        session_span: Seconds within which requests belong together.
    """
    marks = SessionMarks(clock, session_span + MARK_SLACK)
    return Told(
        LoadLedger(clock),
        marks,
        EvidenceBook(host, run),
        HeldPrefixes(clock),
        DomainSilence(clock),
        CrashBook(clock),
        HeardVersions(clock),
    )


class Neighbours(asyncio.DatagramProtocol):
    """Tells neighbours what this host does, and hears them.

    Args:
        host: This host.
        own: As what it makes itself known.
        told: What is told and heard.
        clock: The host's clock.
    """

    @property
    def count(self) -> int:
        """Return how many other hosts are known, near and far."""
        return len(self._near) + len(self._far)

    @property
    def near(self) -> Mapping[HostId, HostRow]:
        """Return the other hosts of the failure domain."""
        return self._near

    @property
    def far(self) -> Mapping[HostId, HostRow]:
        """Return the hosts of the other failure domains."""
        return self._far

    def __init__(
        self,
        host: HostId,
        own: HostRow,
        told: Told,
        clock: Clock,
    ) -> None:
        self._host = host
        self._own = own
        self._ledger = told.ledger
        self._marks = told.marks
        self._book = told.book
        self._prefixes = told.prefixes
        self._silence = told.silence
        self._crashes = told.crashes
        self._versions = told.versions
        self._clock = clock
        self._near: dict[HostId, HostRow] = {}
        self._far: dict[HostId, HostRow] = {}
        self._heard: dict[HostId, float] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._decoder = msgspec.msgpack.Decoder(Telling)
        self._silent = True
        self._at_once = 0
        self._ledger.tell_of_requests(self._tell_at_once)

    def count_heard(self) -> int:
        """Return how many other hosts were heard a moment ago."""
        oldest = self._clock.now() - QUIET
        return sum(heard >= oldest for heard in self._heard.values())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket to send on."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in what a neighbour tells."""
        try:
            telling = self._decoder.decode(data)
        except msgspec.DecodeError:
            _LOG.decision('datagram not understood', sender=addr[0])
            return
        host = HostId(telling.host)
        self._heard[host] = self._clock.now()
        far = self._far.get(host)
        if far is not None:
            self._silence.heard(DomainId(far.domain))
        if telling.partial:
            self._ledger.told_part(host, telling.loads)
            return
        if far is None:
            # Only those on this side of a cut hear what this host would hear.
            self._silence.told(telling.heard)
        self._take(host, telling)

    def found(self, host: HostId, row: HostRow) -> None:
        """Take in where a host listens."""
        if host == self._host:
            return
        is_near = row.domain == self._own.domain
        hosts = self._near if is_near else self._far
        hosts[host] = row
        self._heard[host] = self._clock.now()
        _LOG.decision(
            'host found',
            host=host,
            address=row.ip,
            domain=row.domain,
        )

    def telling(self) -> bytes:
        """Return what this host tells now."""
        return msgspec.msgpack.encode(
            Telling(
                self._host,
                self._ledger.own,
                self._marks.ages(),
                self._book.own_counts,
                self._prefixes.recent(self._round()),
                ended_runs=self._book.ended_runs(),
                heard=self._silence.ages(),
                crashes=self._crashes.telling(),
                configuration=self._versions.own,
            ),
        )

    async def run(self) -> None:
        """Tell the neighbours at every turn, until cancelled."""
        turn = 0
        while True:
            await self._clock.sleep(TURN)
            turn += 1
            self._tell(turn)

    def _take(self, host: HostId, telling: Telling) -> None:
        """Take in all that a host tells."""
        self._ledger.told(host, telling.loads)
        self._marks.told(telling.sessions)
        self._prefixes.told(telling.prefixes)
        self._crashes.told(telling.crashes)
        self._versions.told(telling.configuration)
        for service, evidence in telling.evidence.items():
            self._book.told(service, host, evidence)
        for ended in telling.ended_runs:
            self._book.told_on(ended)

    def _tell(self, turn: int) -> None:
        """Tell what this host has sent, unless it is nothing as before."""
        empty = not any(
            (
                self._ledger.own,
                self._marks.any_alive,
                self._book.own_counts,
                self._crashes.has_news,
                self._versions.store_lacks,
            ),
        )
        if self._transport is None or (self._silent and empty):
            return
        self._silent = empty
        text = self.telling()
        for hosts, count in (
            (self._near, NEAR_PER_TURN),
            (self._far, FAR_PER_TURN),
        ):
            for host in in_turn(tuple(hosts), turn, count):
                if self._is_due(host, turn):
                    row = hosts[host]
                    self._transport.sendto(text, (row.ip, row.port))

    def _tell_at_once(self, upstream: UpstreamIncarnation, load: Load) -> None:
        """Tell what this host has at one upstream, before the next turn."""
        if self._transport is None:
            return
        self._at_once += 1
        heavy = load.reading >= HEAVY
        loads = {upstream: self._ledger.own[upstream]}
        text = msgspec.msgpack.encode(Telling(self._host, loads, partial=True))
        for hosts, count in (
            (self._near, NEAR_OF_HEAVY if heavy else NEAR_AT_ONCE),
            (self._far, FAR_OF_HEAVY if heavy else 0),
        ):
            for host in in_turn(tuple(hosts), self._at_once, count):
                if self._is_due(host, self._at_once):
                    row = hosts[host]
                    self._transport.sendto(text, (row.ip, row.port))

    def _round(self) -> float:
        """Return the seconds in which each other host is told twice."""
        turns = max(
            len(self._near) / NEAR_PER_TURN,
            len(self._far) / FAR_PER_TURN,
            1,
        )
        return 2 * turns * TURN

    def _is_due(self, host: HostId, turn: int) -> bool:
        """Tell whether a neighbour is to be told at a turn."""
        quiet = self._clock.now() - self._heard[host] > QUIET
        return not quiet or turn % QUIET_TURNS == 0


def in_turn(
    hosts: tuple[HostId, ...],
    turn: int,
    count: int,
) -> tuple[HostId, ...]:
    """Return the hosts whose turn it is: so many, or all if they are few."""
    if len(hosts) <= count:
        return hosts
    begin = turn * count
    return tuple(hosts[(begin + each) % len(hosts)] for each in range(count))
