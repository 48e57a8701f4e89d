"""This host's part of the requests that limited upstreams take.

The limit of an upstream applies to all hosts together. It is divided equally
among a few hosts, its senders, by the fleet table: hosts that can't reach each
other agree on them. Each has a token bucket that is empty at first and is lost
with the host, so whoever is killed, restarted or becomes a sender adds nothing.

In any span of t seconds an upstream with the limit L gets at most t L requests,
as many as its senders' buckets hold, L + 3, and what they may be overdrawn by,
a third of that. A host that learns late that another one has taken its place as
a sender adds its own part until then.

A caller that finds no token gets a reservation: the time at which it should
retry, and a token that is kept for it then.
"""

import math
from dataclasses import dataclass, field
from typing import Final, Protocol

from nutmegroad.fleet.request_limits import (
    MIN_SENDERS,
    RequestLimit,
    RequestLimits,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import DomainId, HostId, UpstreamIncarnation

#: Tokens beyond one second's that the buckets of an upstream hold together, so
#: that requests which do not arrive evenly find one.
SPARE_TOKENS: Final = 2

#: Seconds for which a reserved token is kept for a caller that is late.
RESERVATION_GRACE: Final = 0.3

#: Part of a token that may be missing when a caller with a reservation returns:
#: another caller may have taken one that a late caller has left.
MAX_OVERDRAFT: Final = 0.3

#: Part of the interval between two tokens for which one is kept for a caller
#: who is due. Callers without a reservation get what is left by those who do
#: not return.
KEPT_FRACTION: Final = 0.5

#: Tolerance for rounding errors of added fractions of a token.
ROUNDING: Final = 1e-9

#: Identifies a request when its caller sends it again.
RequestKey = int


class SenderLookup(Protocol):
    """Returns the senders of an upstream, alike on all hosts."""

    def __call__(
        self, duty: str, domain: DomainId, count: int, turn: int
    ) -> tuple[HostId, ...] | None:
        """Return the senders.

        Args:
            duty: The duty that they have.
            domain: Failure domain of the upstream.
            count: Maximum number of senders.
            turn: Number of the group of hosts that has the duty.

        Returns:
            The senders; None before the hosts are known.
        """


@dataclass(slots=True)
class _Bucket:
    """A token bucket.

    Attributes:
        updated_at: Clock seconds at which the tokens were last counted.
        rate: Tokens in a second.
        capacity: Maximum number of tokens.
        tokens: Number of tokens.
        reservations: When each reserved token is due, in order.
    """

    updated_at: float
    rate: float
    capacity: float
    tokens: float = 0
    reservations: dict[RequestKey, float] = field(default_factory=dict)

    def fill(self, now: float, rate: float, capacity: float) -> None:
        """Add the tokens since the last time, by the smaller rate."""
        added = max(0, now - self.updated_at) * min(rate, self.rate)
        self.updated_at = now
        self.rate = rate
        self.capacity = capacity
        self.tokens = min(capacity, self.tokens + added)
        self.reservations = {
            key: due
            for key, due in self.reservations.items()
            if now <= due + RESERVATION_GRACE
        }

    def has_token(self, key: RequestKey | None) -> bool:
        """Return whether a request may be sent."""
        if key is not None and key in self.reservations:
            return self.tokens >= 1 - MAX_OVERDRAFT
        soon = self.updated_at + KEPT_FRACTION / self.rate
        kept = sum(due <= soon for due in self.reservations.values())
        return self.tokens >= 1 + kept - ROUNDING

    def reserve(self, key: RequestKey | None, patience: float) -> float:
        """Reserve the next token that is left for a request.

        Args:
            key: The request; None to reserve nothing.
            patience: Seconds for which its caller waits at most.

        Returns:
            Seconds until the token is there.
        """
        known = None if key is None else self.reservations.get(key)
        if known is not None:
            return max(1 - self.tokens, 0) / self.rate
        missing = max(0, 1 - self.tokens) / self.rate
        last = max(self.reservations.values(), default=0)
        due = max(self.updated_at + missing, last + 1 / self.rate)
        wait = due - self.updated_at
        if key is not None and wait <= patience:
            self.reservations[key] = due
        return wait

    def take(self, key: RequestKey | None) -> None:
        """Take the token of a request."""
        self.tokens -= 1
        if key is not None:
            self.reservations.pop(key, None)


class RateShares:
    """Admits requests to limited upstreams.

    Args:
        host: This host.
        clock: The host's clock.
        limits: The limits of upstreams.
        senders: Returns the senders of an upstream.
    """

    def __init__(
        self,
        host: HostId,
        clock: Clock,
        limits: RequestLimits,
        senders: SenderLookup,
    ) -> None:
        #: The limits of upstreams.
        self.limits = limits
        self._host = host
        self._clock = clock
        self._senders = senders
        self._buckets: dict[UpstreamIncarnation, _Bucket] = {}

    def is_limited(self, upstream: UpstreamIncarnation) -> bool:
        """Return whether an upstream names a limit."""
        return self.limits.find(upstream) is not None

    def may_send(
        self,
        upstream: UpstreamIncarnation,
        domain: DomainId,
        key: RequestKey | None = None,
    ) -> bool:
        """Return whether this host may send a request now.

        Args:
            upstream: The upstream.
            domain: Its failure domain.
            key: The request, which may have a reservation.
        """
        limit = self.limits.find(upstream)
        if limit is None:
            self._buckets.pop(upstream, None)
            return True
        bucket = self._bucket(upstream, domain, limit)
        return bucket is not None and bucket.has_token(key)

    def take(
        self,
        upstream: UpstreamIncarnation,
        domain: DomainId,
        key: RequestKey | None = None,
    ) -> bool:
        """Take the token of a request; return whether there was one.

        A request to an upstream without a limit needs none.
        """
        if not self.may_send(upstream, domain, key):
            return False
        bucket = self._buckets.get(upstream)
        if bucket is not None:
            bucket.take(key)
        return True

    def reserve(
        self,
        upstream: UpstreamIncarnation,
        domain: DomainId,
        key: RequestKey | None,
        patience: float,
    ) -> float | None:
        """Reserve the next token that is left for a request.

        Args:
            upstream: The upstream.
            domain: Its failure domain.
            key: The request; None to reserve nothing.
            patience: Seconds for which its caller waits at most.

        Returns:
            Seconds until the token is there; None if this host is no sender of
            the upstream.
        """
        limit = self.limits.find(upstream)
        if limit is None:
            return 0
        bucket = self._bucket(upstream, domain, limit)
        return None if bucket is None else bucket.reserve(key, patience)

    def tokens(
        self, upstream: UpstreamIncarnation, domain: DomainId
    ) -> float | None:
        """Return how many tokens are left; None if this host is no sender."""
        limit = self.limits.find(upstream)
        if limit is None:
            return None
        bucket = self._bucket(upstream, domain, limit)
        return None if bucket is None else bucket.tokens

    def senders(
        self, upstream: UpstreamIncarnation, domain: DomainId
    ) -> tuple[HostId, ...]:
        """Return the hosts that may have a token; none without a limit."""
        limit = self.limits.find(upstream)
        if limit is None:
            return ()
        return self._senders_of(upstream, domain, limit) or ()

    def forget(self, upstream: UpstreamIncarnation) -> None:
        """Forget an upstream that has ended."""
        self._buckets.pop(upstream, None)
        self.limits.forget(upstream)

    def _bucket(
        self,
        upstream: UpstreamIncarnation,
        domain: DomainId,
        limit: RequestLimit,
    ) -> _Bucket | None:
        """Return this host's bucket; None if it is no sender."""
        senders = self._senders_of(upstream, domain, limit)
        if senders is None or self._host not in senders:
            self._buckets.pop(upstream, None)
            return None
        rate = limit.rate / len(senders)
        capacity = max(1, (limit.rate + SPARE_TOKENS) / len(senders))
        now = self._clock.now()
        bucket = self._buckets.setdefault(
            upstream, _Bucket(now, rate, capacity)
        )
        if bucket.updated_at < limit.since:
            # It is left from an earlier need.
            bucket.tokens = 0
            bucket.updated_at = limit.since
            bucket.reservations.clear()
        bucket.fill(now, rate, capacity)
        return bucket

    def _senders_of(
        self,
        upstream: UpstreamIncarnation,
        domain: DomainId,
        limit: RequestLimit,
    ) -> tuple[HostId, ...] | None:
        """Return the senders of an upstream."""
        count = max(MIN_SENDERS, math.ceil(limit.rate))
        return self._senders(f'limit/{upstream}', domain, count, limit.turn)


def lone_shares(clock: Clock, limits: RequestLimits) -> RateShares:
    """Return the shares of a host that is alone."""
    alone = HostId('')
    return RateShares(alone, clock, limits, lambda *_: (alone,))
