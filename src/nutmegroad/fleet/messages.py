"""The datagrams that hosts send each other.

What is in them is true for a moment, or told again: a lost one does no harm.
"""

from msgspec import Struct

from nutmegroad.fleet.crash_book import CrashBook, ToldCrashes
from nutmegroad.fleet.domain_silence import ToldAges
from nutmegroad.fleet.evidence_book import EvidenceBook
from nutmegroad.fleet.heard_versions import NONE, HeardVersions
from nutmegroad.fleet.loads import Loads
from nutmegroad.fleet.prefix_marks import ToldPrefixes
from nutmegroad.fleet.rumors import Source
from nutmegroad.fleet.session_marks import SessionMarks, ToldMarks
from nutmegroad.fleet.told_counts import ToldCounts


class Digest(Struct, frozen=True, array_like=True):
    """What all hosts of all failure domains have to know in time.

    Attributes:
        sessions: Marks of sessions on an old version, with their ages.
        counts: What hosts have seen of roll-outs under way.
        crashes: Under which requests upstreams have ended a moment ago.
        configuration: The version that the sender has in force.
    """

    sessions: ToldMarks = ToldMarks()
    counts: ToldCounts = ToldCounts()
    crashes: ToldCrashes = ToldCrashes()
    configuration: int = NONE


class DigestMessage(Struct, frozen=True, array_like=True, tag=1):
    """A digest alone.

    Attributes:
        host: Who sends it.
        digest: What all have to know.
    """

    host: str
    digest: Digest


class ReportMessage(Struct, frozen=True, array_like=True, tag=2):
    """What a host does, for those that choose among the same upstreams.

    Attributes:
        host: Who sends it.
        digest: What all have to know.
        loads: What it has sent, by upstream.
        prefixes: Parts of prompts that it has sent a moment ago.
        heard: How long ago it has heard other failure domains.
    """

    host: str
    digest: Digest
    loads: Loads
    prefixes: ToldPrefixes = {}
    heard: ToldAges = {}


class RequestMessage(Struct, frozen=True, array_like=True, tag=3):
    """A request that a host has just sent.

    Attributes:
        host: Who sends it.
        loads: What it has at that request's upstream now.
    """

    host: str
    loads: Loads


Message = DigestMessage | ReportMessage | RequestMessage


class Digests:
    """Makes digests of what a host knows, and takes in those of others.

    Args:
        marks: Sessions that a roll-out must leave where they are.
        book: What was seen of roll-outs.
        crashes: Under which requests upstreams have ended.
        versions: Which configurations hosts have in force.
    """

    @property
    def has_news(self) -> bool:
        """Tell whether there is anything that others may not know."""
        return any(
            (
                self._marks.has_news,
                self._book.has_news,
                self._crashes.has_news,
                self._versions.store_lacks,
            ),
        )

    @property
    def is_empty(self) -> bool:
        """Tell whether there is nothing that others have to be told."""
        return not (
            self.has_news or self._marks.any_alive or self._book.under_way
        )

    def __init__(
        self,
        marks: SessionMarks,
        book: EvidenceBook,
        crashes: CrashBook,
        versions: HeardVersions,
    ) -> None:
        self._marks = marks
        self._book = book
        self._crashes = crashes
        self._versions = versions

    def for_near(self) -> Digest:
        """Return a digest for a datagram within the failure domain."""
        return self._make(self._marks.tell_near(), self._book.tell_near())

    def for_far(self) -> Digest:
        """Return a digest for a datagram to another failure domain."""
        return self._make(self._marks.tell_far(), self._book.tell_far())

    def take(self, digest: Digest, *, near: bool) -> None:
        """Take in what another host knows.

        Args:
            digest: What it tells.
            near: Whether it is of the own failure domain.
        """
        self._marks.told(digest.sessions, near=near)
        source = Source.HOME if near else Source.AWAY
        for counts, seen_by in (
            (digest.counts.home, source),
            (digest.counts.others, Source.AWAY),
        ):
            for each in counts:
                self._book.told(each.service, each.host, each.evidence, seen_by)
        self._crashes.told(digest.crashes)
        self._versions.told(digest.configuration)

    def _make(self, sessions: ToldMarks, counts: ToldCounts) -> Digest:
        """Return a digest with what else it has."""
        return Digest(
            sessions,
            counts,
            self._crashes.telling(),
            self._versions.own,
        )
