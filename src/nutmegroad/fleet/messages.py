"""Gossip datagrams that hosts send each other.

Their content is either valid for a short time or sent repeatedly, so the loss
of a datagram does no harm.
"""

from msgspec import Struct

from nutmegroad.fleet.cached_prefixes import PrefixReport
from nutmegroad.fleet.crash_reports import CrashReport
from nutmegroad.fleet.crash_tracker import CrashTracker
from nutmegroad.fleet.domain_monitor import DomainAges
from nutmegroad.fleet.evidence_gossip import CountsReport
from nutmegroad.fleet.evidence_tracker import EvidenceTracker
from nutmegroad.fleet.gossip_queue import Source
from nutmegroad.fleet.loads import Loads
from nutmegroad.fleet.old_version_sessions import (
    OldVersionSessions,
    SessionReport,
)
from nutmegroad.fleet.received_versions import NO_VERSION, ReceivedVersions
from nutmegroad.fleet.request_limits import (
    LimitReport,
    ReportedLimit,
    RequestLimits,
)
from nutmegroad.foundations.decoding import Number


class Digest(Struct, frozen=True, array_like=True):
    """State that all hosts of all failure domains need in time.

    Attributes:
        sessions: Fingerprints of sessions on an old version, with their ages.
        counts: Counts of rollouts in progress.
        crashes: Recent crashes of upstreams, by request.
        configuration: Version of the configuration that the sender has in
            force.
        limits: Limits that upstreams have named.
    """

    sessions: SessionReport = SessionReport()
    counts: CountsReport = CountsReport()
    crashes: CrashReport = CrashReport()
    configuration: Number = NO_VERSION
    limits: LimitReport = ()


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
        domain_ages: Milliseconds since the sender got a message, by failure
            domain.
    """

    host: str
    digest: Digest
    loads: Loads
    prefixes: PrefixReport = {}
    domain_ages: DomainAges = {}


class RequestMessage(Struct, frozen=True, array_like=True, tag=3):
    """Report of a request that was sent just now.

    Attributes:
        host: The sender.
        loads: The sender's current load at the upstream of the request.
    """

    host: str
    loads: Loads


class LimitMessage(Struct, frozen=True, array_like=True, tag=4):
    """A limit that an upstream has just named, or ended.

    Attributes:
        host: The sender.
        limit: The limit.
    """

    host: str
    limit: ReportedLimit


Message = DigestMessage | ReportMessage | RequestMessage | LimitMessage


class Digests:
    """Creates digests of this host's state and merges those of other hosts.

    Args:
        sessions: Sessions that a rollout must leave on their version.
        evidence: Rollout counts.
        crashes: Requests under which upstreams have crashed.
        versions: Configuration versions that hosts have in force.
        limits: Limits that upstreams have named.
    """

    @property
    def has_updates(self) -> bool:
        """Whether there is anything that other failure domains may lack."""
        return any(
            (
                self._sessions.has_updates,
                self._evidence.has_updates,
                self._crashes.has_updates,
                self._versions.is_store_behind,
                self._limits.has_updates,
            ),
        )

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing that other hosts have to receive."""
        return not (
            self.has_updates
            or self._sessions.any_live
            or self._evidence.in_progress
            or self._limits.any_known
        )

    def __init__(
        self,
        sessions: OldVersionSessions,
        evidence: EvidenceTracker,
        crashes: CrashTracker,
        versions: ReceivedVersions,
        limits: RequestLimits,
    ) -> None:
        self._limits = limits
        self._sessions = sessions
        self._evidence = evidence
        self._crashes = crashes
        self._versions = versions

    def for_local(self) -> Digest:
        """Return a digest for a datagram within the failure domain."""
        return self._build(
            self._sessions.local_report(), self._evidence.local_report()
        )

    def for_remote(self) -> Digest:
        """Return a digest for a datagram to another failure domain."""
        return self._build(
            self._sessions.remote_report(), self._evidence.remote_report()
        )

    def merge(self, digest: Digest, *, local: bool) -> None:
        """Merge a digest from another host.

        ``local`` states whether the sender is in this host's failure domain.
        """
        self._sessions.merge(digest.sessions, local=local)
        source = Source.LOCAL if local else Source.REMOTE
        for counts, seen_by in (
            (digest.counts.local, source),
            (digest.counts.remote, Source.REMOTE),
        ):
            for each in counts:
                self._evidence.merge(
                    each.service, each.host, each.evidence, seen_by
                )
        self._crashes.merge(digest.crashes)
        self._versions.receive(digest.configuration)
        self._limits.merge(digest.limits, local=local)

    def _build(self, sessions: SessionReport, counts: CountsReport) -> Digest:
        """Return a digest, adding the parts that all receivers get."""
        return Digest(
            sessions,
            counts,
            self._crashes.report(),
            self._versions.own,
            self._limits.report(),
        )
