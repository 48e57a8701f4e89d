"""What hosts tell each other of their work, by datagrams.

The hosts of a failure domain report to each other at every turn. Those of other
domains get the same only in a small fleet, where they hear it often enough to
go by it; in a larger one they get digests, from a few hosts of a domain at a
time.
Hosts find each other in the platform's store.
"""

import asyncio
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final, cast

import msgspec

from nutmegroad.fleet.announcements import HostRow
from nutmegroad.fleet.crash_book import CrashBook
from nutmegroad.fleet.domain_silence import DomainSilence
from nutmegroad.fleet.evidence import RunNumber
from nutmegroad.fleet.evidence_book import EvidenceBook
from nutmegroad.fleet.far_turns import FarTurns
from nutmegroad.fleet.heard_versions import HeardVersions
from nutmegroad.fleet.loads import STALE, Load, LoadLedger
from nutmegroad.fleet.messages import (
    DigestMessage,
    Digests,
    Message,
    ReportMessage,
    RequestMessage,
)
from nutmegroad.fleet.prefix_marks import HeldPrefixes
from nutmegroad.fleet.rumors import take
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

#: Hosts of other failure domains that get reports at each turn.
FAR_PER_TURN: Final = 1

#: Most hosts of other failure domains that get reports at all: with more of
#: them, a load is no longer believed when the next report comes.
FAR_WITH_REPORTS: Final = int(STALE / TURN) * FAR_PER_TURN

#: Seconds of reading from which a request is heavy: whatever is sent to the
#: same engine before its host has heard of it waits behind it.
HEAVY: Final = 0.1

#: Hosts that are told at once of each request, of the own failure domain, whose
#: hosts use the same upstreams first: requests come in clumps, and those of one
#: clump don't see each other until the next turn.
NEAR_AT_ONCE: Final = 8

#: Hosts that are told at once of a heavy request, near and far. Bytes between
#: failure domains are dear.
NEAR_OF_HEAVY: Final = 30
FAR_OF_HEAVY: Final = 8

#: Seconds after which a host does not count as heard any more.
HEARD_SPAN: Final = 5.0


@dataclass(frozen=True, slots=True)
class Told:
    """What a host knows of the others' work.

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
    marks = SessionMarks(clock, session_span + MARK_SLACK, run)
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

    @property
    def _reports_far(self) -> bool:
        """Tell whether hosts of other failure domains get reports."""
        return len(self._far) <= FAR_WITH_REPORTS

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
        self._prefixes = told.prefixes
        self._silence = told.silence
        self._digests = Digests(
            told.marks,
            told.book,
            told.crashes,
            told.versions,
        )
        self._clock = clock
        self._near: dict[HostId, HostRow] = {}
        self._far: dict[HostId, HostRow] = {}
        self._far_turns = FarTurns(host)
        # This host's place among those of its failure domain.
        self._place = 0
        self._heard: dict[HostId, float] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._decoder: msgspec.msgpack.Decoder[Message] = (
            msgspec.msgpack.Decoder(Message)
        )
        self._silent = True
        self._at_once = 0
        self._ledger.tell_of_requests(self._tell_at_once)

    def count_heard(self) -> int:
        """Return how many other hosts were heard a moment ago."""
        oldest = self._clock.now() - HEARD_SPAN
        return sum(heard >= oldest for heard in self._heard.values())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket to send on."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in what another host tells."""
        try:
            message = self._decoder.decode(data)
        except msgspec.DecodeError:
            _LOG.decision('datagram not understood', sender=addr[0])
            return
        host = HostId(message.host)
        self._heard[host] = self._clock.now()
        far = self._far.get(host)
        if far is not None:
            self._silence.heard(DomainId(far.domain))
        if isinstance(message, RequestMessage):
            self._ledger.told_part(host, message.loads)
            return
        self._digests.take(message.digest, near=far is None)
        if isinstance(message, ReportMessage):
            self._take(host, message)

    def found(self, host: HostId, row: HostRow) -> None:
        """Take in where a host listens."""
        if host == self._host:
            return
        if row.domain == self._own.domain:
            self._near[host] = row
            self._place = sum(other < self._host for other in self._near)
        else:
            self._far[host] = row
            self._far_turns.found(host, row)
        _LOG.decision(
            'host found',
            host=host,
            address=row.ip,
            domain=row.domain,
        )

    def telling(self) -> bytes:
        """Return what this host reports now."""
        far = len(self._far) if self._reports_far else 0
        return msgspec.msgpack.encode(
            ReportMessage(
                self._host,
                self._digests.for_near(),
                self._ledger.own,
                self._prefixes.recent(_round(len(self._near), far)),
                self._silence.ages(),
            ),
        )

    async def run(self) -> None:
        """Tell the neighbours at every turn, until cancelled."""
        turn = 0
        while True:
            await self._clock.sleep(TURN)
            turn += 1
            self._tell(turn)

    def _take(self, host: HostId, report: ReportMessage) -> None:
        """Take in what a host does."""
        self._ledger.told(host, report.loads)
        self._prefixes.told(report.prefixes)
        if host not in self._far:
            # Only those on this side of a cut hear what this host would hear.
            self._silence.told(report.heard)

    def _tell(self, turn: int) -> None:
        """Tell what this host has sent, unless it is nothing as before."""
        empty = self._digests.is_empty and not self._ledger.own
        if self._transport is None or (self._silent and empty):
            return
        self._silent = empty
        # Asked first: what is told counts as news for some datagrams only.
        news = self._digests.has_news
        report = self.telling()
        near = _turn_of(self._near, turn, NEAR_PER_TURN, self._place)
        self._send(report, near)
        if self._reports_far:
            far = _turn_of(self._far, turn, FAR_PER_TURN, self._place)
            self._send(report, far)
        else:
            self._tell_far(turn, news=news)

    def _tell_far(self, turn: int, *, news: bool) -> None:
        """Tell other failure domains what all have to know, in its turn."""
        hosts = len(self._near) + 1
        if self._far_turns.due(turn, self._place, hosts, news=news):
            digest = DigestMessage(self._host, self._digests.for_far())
            text = msgspec.msgpack.encode(digest)
            self._send(text, self._far_turns.receivers())

    def _tell_at_once(self, upstream: UpstreamIncarnation, load: Load) -> None:
        """Tell what this host has at one upstream, before the next turn."""
        self._at_once += 1
        heavy = load.reading >= HEAVY
        loads = {upstream: self._ledger.own[upstream]}
        text = msgspec.msgpack.encode(RequestMessage(self._host, loads))
        near = NEAR_OF_HEAVY if heavy else NEAR_AT_ONCE
        self._send(text, _turn_of(self._near, self._at_once, near, self._place))
        if heavy and self._reports_far:
            far = _turn_of(self._far, self._at_once, FAR_OF_HEAVY, self._place)
            self._send(text, far)

    def _send(self, text: bytes, receivers: Iterable[HostRow]) -> None:
        """Send a datagram to some hosts."""
        if self._transport is None:
            return
        for row in receivers:
            self._transport.sendto(text, (row.ip, row.port))


def _round(near: int, far: int) -> float:
    """Return the seconds in which each host that gets reports gets two.

    Args:
        near: How many of them there are in the failure domain.
        far: How many in others.
    """
    turns = max(near / NEAR_PER_TURN, far / FAR_PER_TURN, 1)
    return 2 * turns * TURN


def _turn_of(
    hosts: Mapping[HostId, HostRow],
    turn: int,
    count: int,
    place: int,
) -> tuple[HostRow, ...]:
    """Return the hosts whose turn it is: so many, or all if they are few.

    Args:
        hosts: All hosts.
        turn: Number of the turn.
        count: How many are told at a turn.
        place: Where this host begins. Hosts that start together, and know the
            same others, would all tell the same ones else.
    """
    return take(tuple(hosts.values()), turn * count + place, count)
