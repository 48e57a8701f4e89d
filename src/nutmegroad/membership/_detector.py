"""Failure detector for the hosts of the local failure domain."""

from dataclasses import dataclass
from typing import Final

from nutmegroad.foundations.types import HostId
from nutmegroad.membership._member_messages import Heartbeat
from nutmegroad.membership._member_table import MemberTable, Reachability

#: Minimum and maximum of a timeout, in heartbeat intervals.
_MIN_INTERVALS: Final = 3.0
_MAX_INTERVALS: Final = 8.0
#: Weights of the smoothed mean and deviation, as in the retransmission timer
#: of TCP (RFC 6298), which solves the same problem.
_MEAN_WEIGHT: Final = 0.125
_DEVIATION_WEIGHT: Final = 0.25
_DEVIATION_FACTOR: Final = 4

#: Number of other responsive local hosts that must also suspect a host; all of
#: them if there are fewer.
_REQUIRED_CONFIRMATIONS: Final = 2
#: Number of timeouts after which a host that others also suspect is gone.
_CONFIRMED_TIMEOUTS: Final = 2
#: Number of timeouts after which a host is gone without confirmation.
_UNCONFIRMED_TIMEOUTS: Final = 5
_NEVER: Final = float('-inf')


class HeartbeatIntervals:
    """Estimates a timeout from the intervals between a host's heartbeats.

    Args:
        interval: Configured seconds between heartbeats.
    """

    def __init__(self, interval: float) -> None:
        self._interval = interval
        self._last: float | None = None
        self._mean = interval
        self._deviation = interval / 2

    def record(self, now: float) -> None:
        """Record the arrival of a heartbeat."""
        if self._last is not None:
            self._update(now - self._last)
        self._last = now

    def timeout(self) -> float:
        """Return the seconds without heartbeat that are tolerated."""
        expected = self._mean + _DEVIATION_FACTOR * self._deviation
        minimum = _MIN_INTERVALS * self._interval
        return min(max(expected, minimum), _MAX_INTERVALS * self._interval)

    def _update(self, interval: float) -> None:
        error = interval - self._mean
        self._mean += _MEAN_WEIGHT * error
        self._deviation += _DEVIATION_WEIGHT * (abs(error) - self._deviation)


@dataclass(frozen=True, slots=True)
class Verdicts:
    """Result of one evaluation.

    Attributes:
        suspects: Hosts that are unresponsive for longer than their timeout.
        gone: Those of them that are to be declared gone.
    """

    suspects: tuple[HostId, ...] = ()
    gone: tuple[HostId, ...] = ()


class Detector:
    """Suspects unresponsive local hosts and declares them gone by agreement.

    Args:
        table: Member records.
        reachability: When hosts were last seen.
        interval: Configured seconds between heartbeats.
    """

    def __init__(
        self,
        table: MemberTable,
        reachability: Reachability,
        interval: float,
    ) -> None:
        self._table = table
        self._reachability = reachability
        self._interval = interval
        self._intervals: dict[HostId, HeartbeatIntervals] = {}
        self._suspected_by: dict[HostId, frozenset[HostId]] = {}
        self._vouched_at: dict[HostId, float] = {}
        self._pending_vouches: set[HostId] = set()
        self._local_hosts: list[HostId] = []
        self._local_hosts_change = 0

    def receive_heartbeat(
        self, sender: HostId, heartbeat: Heartbeat, now: float
    ) -> None:
        """Process a heartbeat of a host of the local domain."""
        if sender not in self._intervals:
            self._intervals[sender] = HeartbeatIntervals(self._interval)
        self._intervals[sender].record(now)
        self._suspected_by[sender] = frozenset(heartbeat.suspects)
        for host in heartbeat.vouched:
            self._vouched_at[host] = now
        self._pending_vouches.update(
            filter(self._is_responsive, heartbeat.suspects)
        )

    def pop_vouched(self) -> tuple[HostId, ...]:
        """Return and clear the suspects of others that respond to this host."""
        vouched = tuple(sorted(self._pending_vouches))
        self._pending_vouches.clear()
        return vouched

    def evaluate(self, now: float, *, in_contact: bool) -> Verdicts:
        """Return the hosts that are suspected now and those that are gone.

        Args:
            now: Clock seconds.
            in_contact: Whether this host receives anything. A host that
                receives nothing has no evidence against any other.
        """
        local_hosts = self._find_local_hosts()
        suspects = [host for host in local_hosts if self._is_unresponsive(host)]
        voters = frozenset(local_hosts).difference(suspects)
        gone = [
            host
            for host in suspects
            if in_contact and self._is_gone(host, voters, now)
        ]
        return Verdicts(tuple(suspects), tuple(gone))

    def forget(self, host: HostId) -> None:
        """Remove a host that is gone."""
        self._intervals.pop(host, None)
        self._suspected_by.pop(host, None)
        self._vouched_at.pop(host, None)

    def _is_gone(
        self,
        host: HostId,
        voters: frozenset[HostId],
        now: float,
    ) -> bool:
        seconds_since_seen = self._reachability.seconds_since_seen(host)
        timeout = self._timeout(host)
        if now - self._vouched_at.get(host, _NEVER) <= timeout:
            return False
        confirmations = sum(
            1
            for voter in voters
            if host in self._suspected_by.get(voter, frozenset())
        )
        required = min(_REQUIRED_CONFIRMATIONS, len(voters))
        if required and confirmations >= required:
            return seconds_since_seen > _CONFIRMED_TIMEOUTS * timeout
        return seconds_since_seen > _UNCONFIRMED_TIMEOUTS * timeout

    def _is_responsive(self, host: HostId) -> bool:
        return host in self._intervals and not self._is_unresponsive(host)

    def _is_unresponsive(self, host: HostId) -> bool:
        return self._reachability.seconds_since_seen(host) > self._timeout(host)

    def _timeout(self, host: HostId) -> float:
        intervals = self._intervals.get(host)
        if intervals is None:
            intervals = HeartbeatIntervals(self._interval)
        return intervals.timeout()

    def _find_local_hosts(self) -> list[HostId]:
        """Return the other local hosts that are not gone."""
        if self._local_hosts_change != self._table.entries.change_number:
            domain = self._table.identity.domain
            self._local_hosts_change = self._table.entries.change_number
            self._local_hosts = [
                record.host
                for record in self._table.others()
                if record.identity.domain == domain
            ]
        return self._local_hosts
