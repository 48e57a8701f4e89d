"""Gossip datagrams that hosts send each other.

Their content is either valid for a short time or sent repeatedly, so the loss
of a datagram does no harm.
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
    """State that all hosts of all failure domains need in time.

    Attributes:
        sessions: Fingerprints of sessions on an old version, with their ages.
        counts: Counts of rollouts in progress.
        crashes: Recent crashes of upstreams, by request.
        configuration: Version of the configuration that the sender has in
            force.
    """

    sessions: ToldMarks = ToldMarks()
    counts: ToldCounts = ToldCounts()
    crashes: ToldCrashes = ToldCrashes()
    configuration: int = NONE


class DigestMessage(Struct, frozen=True, array_like=True, tag=1):
    """A datagram with only a digest.

    Attributes:
        host: The sender.
        digest: State that all hosts need.
    """

    host: str
    digest: Digest


class ReportMessage(Struct, frozen=True, array_like=True, tag=2):
    """Report to hosts that select among the same upstreams.

    Attributes:
        host: The sender.
        digest: State that all hosts need.
        loads: Load of the sender's requests, by upstream.
        prefixes: Parts of prompts that the sender has sent recently.
        heard: Milliseconds since the sender got a message, by failure
            domain.
    """

    host: str
    digest: Digest
    loads: Loads
    prefixes: ToldPrefixes = {}
    heard: ToldAges = {}


class RequestMessage(Struct, frozen=True, array_like=True, tag=3):
    """Report of a request that was sent just now.

    Attributes:
        host: The sender.
        loads: The sender's current load at the upstream of the request.
    """

    host: str
    loads: Loads


Message = DigestMessage | ReportMessage | RequestMessage


class Digests:
    """Creates digests of this host's state and merges those of other hosts.

    Args:
        sessions: Sessions that a rollout must leave on their version.
        evidence: Rollout counts.
        crashes: Requests under which upstreams have crashed.
        versions: Configuration versions that hosts have in force.
    """

    @property
    def has_news(self) -> bool:
        """Whether there is anything that other failure domains may lack."""
        return any(
            (
                self._marks.has_news,
                self._evidence.has_news,
                self._crashes.has_news,
                self._versions.store_lacks,
            ),
        )

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing that other hosts have to receive."""
        return not (
            self.has_news or self._marks.any_alive or self._evidence.under_way
        )

    def __init__(
        self,
        sessions: SessionMarks,
        evidence: EvidenceBook,
        crashes: CrashBook,
        versions: HeardVersions,
    ) -> None:
        self._marks = sessions
        self._evidence = evidence
        self._crashes = crashes
        self._versions = versions

    def for_near(self) -> Digest:
        """Return a digest for a datagram within the failure domain."""
        return self._build(self._marks.tell_near(), self._evidence.tell_near())

    def for_far(self) -> Digest:
        """Return a digest for a datagram to another failure domain."""
        return self._build(self._marks.tell_far(), self._evidence.tell_far())

    def take(self, digest: Digest, *, near: bool) -> None:
        """Merge a digest from another host.

        ``near`` states whether the sender is in this host's failure domain.
        """
        self._marks.told(digest.sessions, near=near)
        source = Source.HOME if near else Source.AWAY
        for counts, seen_by in (
            (digest.counts.home, source),
            (digest.counts.others, Source.AWAY),
        ):
            for each in counts:
                self._evidence.told(
                    each.service, each.host, each.evidence, seen_by
                )
        self._crashes.told(digest.crashes)
        self._versions.told(digest.configuration)

    def _build(self, sessions: ToldMarks, counts: ToldCounts) -> Digest:
        """Return a digest, adding the parts that all receivers get."""
        return Digest(
            sessions,
            counts,
            self._crashes.telling(),
            self._versions.own,
        )
