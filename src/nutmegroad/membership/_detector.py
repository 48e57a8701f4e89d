"""Which hosts of the own domain have failed, and who agrees."""

from dataclasses import dataclass
from typing import Final

from nutmegroad.foundations.types import HostId
from nutmegroad.membership._member_messages import Heartbeat
from nutmegroad.membership._member_table import MemberTable, Reachability

#: A bound is never less or more than so many heartbeat intervals.
_LEAST: Final = 3.0
_MOST: Final = 8.0
#: Weights of the smoothed mean and deviation, as in the retransmission
#: timer of TCP (RFC 6298), which has the same task.
_MEAN_WEIGHT: Final = 0.125
_DEVIATION_WEIGHT: Final = 0.25
_DEVIATIONS: Final = 4

#: How many others must also suspect a host, where there are as many.
_AGREEING: Final = 2
#: A host that others suspect too is gone after so many bounds.
_AGREED_BOUNDS: Final = 2
#: Without others a host is gone after so many bounds.
_ALONE_BOUNDS: Final = 5
_NEVER: Final = float('-inf')


class HeartbeatIntervals:
    """Learns the gaps between a host's heartbeats.

    Args:
        interval: Seconds between heartbeats as they are meant.
    """

    def __init__(self, interval: float) -> None:
        self._interval = interval
        self._last: float | None = None
        self._mean = interval
        self._deviation = interval / 2

    def note(self, now: float) -> None:
        """Take in a heartbeat."""
        if self._last is not None:
            self._learn(now - self._last)
        self._last = now

    def bound(self) -> float:
        """Return the seconds of silence that are still ordinary."""
        expected = self._mean + _DEVIATIONS * self._deviation
        least = _LEAST * self._interval
        return min(max(expected, least), _MOST * self._interval)

    def _learn(self, gap: float) -> None:
        error = gap - self._mean
        self._mean += _MEAN_WEIGHT * error
        self._deviation += _DEVIATION_WEIGHT * (abs(error) - self._deviation)


@dataclass(frozen=True, slots=True)
class Verdicts:
    """The outcome of one round.

    Attributes:
        suspects: Hosts that are silent for longer than their bound.
        gone: Those among them that have failed.
    """

    suspects: tuple[HostId, ...] = ()
    gone: tuple[HostId, ...] = ()


class Detector:
    """Suspects hosts of the domain, and gives them up by agreement.

    Args:
        table: All records.
        reachability: When hosts were last heard.
        interval: Seconds between heartbeats.
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
        self._vouched: dict[HostId, float] = {}
        self._vouching: set[HostId] = set()
        self._near_hosts: list[HostId] = []
        self._near_at = 0

    def take(self, sender: HostId, heartbeat: Heartbeat, now: float) -> None:
        """Take in a heartbeat of a host of the domain."""
        if sender not in self._intervals:
            self._intervals[sender] = HeartbeatIntervals(self._interval)
        self._intervals[sender].note(now)
        self._suspected_by[sender] = frozenset(heartbeat.suspects)
        for host in heartbeat.vouched:
            self._vouched[host] = now
        self._vouching.update(filter(self._hears, heartbeat.suspects))

    def take_vouching(self) -> tuple[HostId, ...]:
        """Return, once, the hosts that others suspect and we hear."""
        vouching = tuple(sorted(self._vouching))
        self._vouching.clear()
        return vouching

    def judge(self, now: float, *, in_contact: bool) -> Verdicts:
        """Return who is suspected now and who is gone.

        Args:
            now: Clock seconds.
            in_contact: Whether this host hears anybody. One that hears
                nobody has no evidence against any other.
        """
        near = self._near()
        suspects = [host for host in near if self._is_silent(host)]
        voters = frozenset(near).difference(suspects)
        gone = [
            host
            for host in suspects
            if in_contact and self._is_gone(host, voters, now)
        ]
        return Verdicts(tuple(suspects), tuple(gone))

    def forget(self, host: HostId) -> None:
        """Forget a host that is gone."""
        self._intervals.pop(host, None)
        self._suspected_by.pop(host, None)
        self._vouched.pop(host, None)

    def _is_gone(
        self,
        host: HostId,
        voters: frozenset[HostId],
        now: float,
    ) -> bool:
        silence = self._reachability.silence(host)
        bound = self._bound(host)
        if now - self._vouched.get(host, _NEVER) <= bound:
            return False
        agreeing = sum(
            1
            for voter in voters
            if host in self._suspected_by.get(voter, frozenset())
        )
        needed = min(_AGREEING, len(voters))
        if needed and agreeing >= needed:
            return silence > _AGREED_BOUNDS * bound
        return silence > _ALONE_BOUNDS * bound

    def _hears(self, host: HostId) -> bool:
        return host in self._intervals and not self._is_silent(host)

    def _is_silent(self, host: HostId) -> bool:
        return self._reachability.silence(host) > self._bound(host)

    def _bound(self, host: HostId) -> float:
        intervals = self._intervals.get(host)
        if intervals is None:
            intervals = HeartbeatIntervals(self._interval)
        return intervals.bound()

    def _near(self) -> list[HostId]:
        """Return the other hosts of the domain that are not gone."""
        if self._near_at != self._table.entries.change:
            domain = self._table.identity.domain
            self._near_at = self._table.entries.change
            self._near_hosts = [
                record.host
                for record in self._table.others()
                if record.identity.domain == domain
            ]
        return self._near_hosts
