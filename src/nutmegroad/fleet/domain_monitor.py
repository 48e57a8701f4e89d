"""Detects failure domains that have become unreachable.

Without this, each host would have to find out for each upstream that its domain
is cut off, at the cost of a request and several seconds each. But any message
from a domain, a datagram of one of its hosts or an answer of one of its
upstreams, shows that the domain is reachable; the hosts of one domain report to
each other how long ago they received one. A domain from which messages came
frequently and then stopped is likely cut off.

This is only a suspicion: other upstreams are preferred, and requests that wait
for an answer from there are executed elsewhere if that is allowed.
"""

from collections.abc import Mapping
from typing import Final

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import DomainId

_LOG: Final = part_logger('domains')

#: Minimum seconds without messages before a domain is suspected: the delay that
#: one lost gossip round and a slow link cause.
MIN_TIMEOUT: Final = 0.8

#: Multiple of the mean interval between messages after which a domain is
#: suspected. By chance alone, a gap that long occurs once in three thousand
#: intervals.
TIMEOUT_INTERVALS: Final = 8.0

#: Weight of the newest interval in the moving average: about the last ten
#: intervals determine it.
SMOOTHING_FACTOR: Final = 0.1

#: Longest interval that enters the average, in seconds: an outage is not an
#: interval.
MAX_INTERVAL: Final = 1.0

#: Maximum number of failure domains that are tracked: seven times those of the
#: largest planned deployment. Names of domains come from other hosts.
MAX_DOMAINS: Final = 64

#: Ages are reported in milliseconds.
_MILLISECONDS: Final = 1000
#: Seconds; older ages are not reported.
_MAX_AGE: Final = 5.0

#: Milliseconds since the last message, by domain.
DomainAges = dict[DomainId, int]


class DomainMonitor:
    """Tracks when the last message from each failure domain was received.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_received: dict[DomainId, float] = {}
        self._intervals: dict[DomainId, float] = {}
        self._suspected: set[DomainId] = set()

    def record_message(self, domain: DomainId) -> None:
        """Record that a message from a domain was received just now."""
        self._record(domain, self._clock.now())

    def merge_ages(self, ages: Mapping[DomainId, int]) -> None:
        """Merge the ages that another host of this domain reported.

        Args:
            ages: Milliseconds since that host received a message, by domain.
        """
        now = self._clock.now()
        for domain, age in ages.items():
            self._record(domain, now - max(0, age) / _MILLISECONDS)

    def ages(self) -> DomainAges:
        """Return the ages that are reported to other hosts."""
        now = self._clock.now()
        return {
            domain: int((now - received_at) * _MILLISECONDS)
            for domain, received_at in self._last_received.items()
            if now - received_at < _MAX_AGE
        }

    def is_suspected(self, domain: DomainId) -> bool:
        """Return whether a domain is likely cut off from this host."""
        last_received = self._last_received.get(domain)
        if last_received is None:
            return False
        usual = self._intervals.get(domain, MAX_INTERVAL)
        elapsed = self._clock.now() - last_received
        if elapsed <= max(MIN_TIMEOUT, TIMEOUT_INTERVALS * usual):
            return False
        if domain not in self._suspected:
            self._suspected.add(domain)
            _LOG.decision(
                'domain fell silent',
                domain=domain,
                seconds=round(elapsed, 3),
                usual=round(usual, 3),
            )
        return True

    def _record(self, domain: DomainId, received_at: float) -> None:
        """Record a message from a domain, unless a later one is known.

        Args:
            domain: The domain.
            received_at: Clock time in seconds at which the message was
                received.
        """
        known = self._last_received.get(domain)
        if known is None:
            if len(self._last_received) < MAX_DOMAINS:
                self._last_received[domain] = received_at
            return
        if received_at <= known:
            return
        if domain in self._suspected:
            self._suspected.discard(domain)
            _LOG.decision(
                'domain heard again',
                domain=domain,
                seconds=round(received_at - known, 3),
            )
        usual = self._intervals.get(domain, MAX_INTERVAL)
        interval = min(MAX_INTERVAL, received_at - known)
        self._intervals[domain] = usual + SMOOTHING_FACTOR * (interval - usual)
        self._last_received[domain] = received_at
