"""Records of the crashes of upstreams under requests with one attribute."""

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Final, NewType, Self

from xxhash import xxh32_intdigest

from nutmegroad.fleet.request_attributes import Scope
from nutmegroad.foundations.types import UpstreamIncarnation

#: 32-bit fingerprint of an incarnation of an upstream.
UpstreamFingerprint = NewType('UpstreamFingerprint', int)

#: Crashes from which an attribute is suspected. Any request may see fewer than
#: that by chance where many requests run at each upstream.
HARMFUL_CRASHES: Final = 3

#: Crashes in series from which an attribute of a large fraction of all requests
#: is suspected: nearly any crash occurs under it, whatever the cause.
BROAD_CRASHES: Final = 6

#: Crashes under an attribute that was never answered from which it is suspected
#: again as soon as another attribute no longer explains all of them.
REPEATED_CRASHES: Final = 4

#: Seconds for which an attribute that is not suspected is tracked.
RETENTION: Final = 600.0

#: Seconds by which an execution may seem to have started before the crash that
#: preceded it: hosts report both by datagrams, whose delay distorts the times.
REPORT_SLACK: Final = 0.05

#: Clock time of an event that has not happened.
NEVER: Final = float('-inf')


def fingerprint_upstream(upstream: UpstreamIncarnation) -> UpstreamFingerprint:
    """Return the fingerprint of an upstream's incarnation."""
    return UpstreamFingerprint(xxh32_intdigest(upstream.encode()))


@dataclass(frozen=True, slots=True)
class UpstreamCrash:
    """Crash of an upstream while it was executing a request.

    Attributes:
        upstream: Fingerprint of the upstream.
        sent_at: Clock time in seconds at which the request was sent there.
        crashed_at: Clock time in seconds of the crash.
    """

    upstream: UpstreamFingerprint
    sent_at: float
    crashed_at: float

    def earlier(self, other: Self) -> Self:
        """Return the earlier-dated of two reports of the same crash."""
        return other if other.crashed_at < self.crashed_at else self


@dataclass(slots=True)
class CrashRecord:
    """Crashes of upstreams under requests with one attribute.

    Attributes:
        scope: How many requests have the attribute in common.
        crashes: Crashes under them since the last answer, by upstream.
        answered_at: Clock time in seconds of the last complete answer.
        progressed_at: Clock time in seconds at which an upstream had been
            answering one of them for a while, or had answered it.
    """

    scope: Scope
    crashes: dict[UpstreamFingerprint, UpstreamCrash] = field(
        default_factory=dict
    )
    answered_at: float = NEVER
    progressed_at: float = NEVER

    @property
    def latest_time(self) -> float:
        """Return the time of the last crash, else of the last answer."""
        return max(
            (crash.crashed_at for crash in self.crashes.values()),
            default=self.answered_at,
        )

    @property
    def has_progressed(self) -> bool:
        """Whether an upstream has ever answered a request with the attribute.

        What crashes each upstream is never answered.
        """
        return self.scope is not Scope.REQUEST and self.progressed_at != NEVER

    @property
    def is_suspect(self) -> bool:
        """Whether the crashes may be due to the attribute."""
        return self.is_suspect_by(self.crashes.values())

    def is_suspect_by(self, crashes: Collection[UpstreamCrash]) -> bool:
        """Return whether some of the crashes may be due to the attribute.

        Args:
            crashes: The crashes that no other attribute explains.
        """
        if self.scope is Scope.SHARED and not self.has_progressed:
            if crashes and len(self.crashes) >= REPEATED_CRASHES:
                return True
            return len(crashes) >= HARMFUL_CRASHES
        if self.scope is Scope.BROAD:
            return series_length(crashes) >= BROAD_CRASHES
        return series_length(crashes) >= HARMFUL_CRASHES

    def record_crash(self, crash: UpstreamCrash) -> None:
        """Record a crash, unless a later answer is known."""
        if crash.crashed_at <= self.answered_at:
            return
        if len(self.crashes) < HARMFUL_CRASHES:
            self._forget_before(crash.crashed_at - RETENTION)
        known = self.crashes.get(crash.upstream)
        self.crashes[crash.upstream] = (
            crash if known is None else known.earlier(crash)
        )

    def record_answer(self, time: float) -> bool:
        """Record a complete answer and return whether it cleared a crash."""
        if time <= self.answered_at:
            return False
        self.answered_at = time
        self.progressed_at = max(time, self.progressed_at)
        before = len(self.crashes)
        self._forget_before(time)
        return len(self.crashes) < before

    def _forget_before(self, time: float) -> None:
        """Forget the crashes up to a time."""
        self.crashes = {
            upstream: crash
            for upstream, crash in self.crashes.items()
            if crash.crashed_at > time
        }


def series_length(crashes: Collection[UpstreamCrash]) -> int:
    """Return how many crashes followed one another.

    Upstreams that crash at the same time count once: they may have a common
    cause, and what many requests have in common runs at several of them.
    """
    count = 0
    last = NEVER
    for crash in sorted(crashes, key=_crash_time):
        if crash.sent_at >= last - REPORT_SLACK:
            count += 1
            last = crash.crashed_at
    return count


def _crash_time(crash: UpstreamCrash) -> float:
    """Return when an upstream crashed; a sort key."""
    return crash.crashed_at
