"""Selects among upstreams of which some take few requests.

A request goes to an upstream without a limit, or with one at which this host
has a token. If there is none, one host that may have a token is asked to send
it, the same one wherever the caller retries. If that host has none, it reserves
one, and the caller is refused at once with the time to retry.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Final

from xxhash import xxh3_64_intdigest

from nutmegroad.fleet.request_limits import RequestLimits
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import HostId
from nutmegroad.upstreams.directory import Upstream
from nutmegroad.upstreams.rate_shares import (
    RateShares,
    RequestKey,
    lone_shares,
)

#: Part of its time for which a caller waits before it retries, at most.
PATIENCE_FRACTION: Final = 1 / 3

#: Seconds for which a host that did not reply is not asked again.
SILENCE: Final = 2.0

#: Seconds after which a caller should retry if no host could tell.
UNKNOWN_RETRY_AFTER: Final = 1.0


@dataclass(frozen=True, slots=True)
class TokenSource:
    """A host that may have a token of a limited upstream.

    Attributes:
        upstream: The upstream.
        host: The host.
    """

    upstream: Upstream
    host: HostId


class LimitedUpstreams:
    """Admits requests to upstreams that name a limit.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._host = HostId('')
        #: This host's part of the requests that upstreams take.
        self.shares = lone_shares(clock, RequestLimits(clock))
        # Clock seconds until which hosts are not asked.
        self._silent_until: dict[HostId, float] = {}

    def share_with(self, host: HostId, shares: RateShares) -> None:
        """Share the limits with other hosts.

        Args:
            host: This host.
            shares: Its part of the requests that upstreams take.
        """
        self._host = host
        self.shares = shares

    def is_limited(self, upstream: Upstream) -> bool:
        """Return whether an upstream names a limit."""
        return self.shares.is_limited(upstream.entry.incarnation)

    def by_preference(
        self, upstreams: Collection[Upstream], key: RequestKey | None
    ) -> Sequence[Collection[Upstream]]:
        """Return groups of upstreams; the second if the first has no use.

        The first one has those to which this host may send by itself. The
        second one has the one for which another host is asked, if any.

        Args:
            upstreams: The upstreams.
            key: The request.
        """
        limited = self._limited(upstreams)
        if not limited:
            return (upstreams,)
        exhausted = {
            each.entry.upstream
            for each in limited
            if not self.may_send(each, key)
        }
        if not exhausted:
            return (upstreams,)
        own = [
            each for each in upstreams if each.entry.upstream not in exhausted
        ]
        source = self._first_source(limited, key)
        if source is None or source.host == self._host:
            return (own,)
        return own, (source.upstream,)

    def without_limit(
        self, upstreams: Collection[Upstream]
    ) -> Collection[Upstream]:
        """Return the upstreams that name no limit."""
        limited = {each.entry.upstream for each in self._limited(upstreams)}
        if not limited:
            return upstreams
        return [
            each for each in upstreams if each.entry.upstream not in limited
        ]

    def may_send(
        self, upstream: Upstream, key: RequestKey | None = None
    ) -> bool:
        """Return whether this host may send a request by itself now.

        Args:
            upstream: The upstream.
            key: The request, which may have a reservation.
        """
        entry = upstream.entry
        return self.shares.may_send(entry.incarnation, entry.domain, key)

    def take(self, upstream: Upstream, key: RequestKey | None = None) -> bool:
        """Take the token of a request; return whether there was one."""
        entry = upstream.entry
        return self.shares.take(entry.incarnation, entry.domain, key)

    def lender(
        self, upstream: Upstream, key: RequestKey | None
    ) -> HostId | None:
        """Return the host to ask for a token; None if none is needed."""
        if self.may_send(upstream, key):
            return None
        source = self._first_source((upstream,), key)
        return None if source is None else source.host

    def record_no_reply(self, host: HostId) -> None:
        """Record that a host did not reply when it was asked for a token."""
        now = self._clock.now()
        self._silent_until = {
            other: until
            for other, until in self._silent_until.items()
            if now < until
        }
        self._silent_until[host] = now + SILENCE

    def reserve(
        self, upstream: Upstream, key: RequestKey | None, patience: float
    ) -> float:
        """Reserve the next token that is left for a request.

        Args:
            upstream: The upstream.
            key: The request; None to reserve nothing.
            patience: Seconds for which its caller waits at most.

        Returns:
            Seconds until the token is there.
        """
        entry = upstream.entry
        wait = self.shares.reserve(
            entry.incarnation, entry.domain, key, patience
        )
        return UNKNOWN_RETRY_AFTER if wait is None else wait

    def reserve_own(
        self,
        upstreams: Collection[Upstream],
        key: RequestKey | None,
        patience: float,
    ) -> float:
        """Reserve a token of this host, and return the seconds until then.

        Args:
            upstreams: The upstreams that a request may be sent to.
            key: The request.
            patience: Seconds for which its caller waits at most.
        """
        source = self._first_source(upstreams, key)
        if source is None or source.host != self._host:
            return UNKNOWN_RETRY_AFTER
        return self.reserve(source.upstream, key, patience)

    def count_exhausted(self, upstreams: Collection[Upstream]) -> int:
        """Return at how many upstreams this host has no token."""
        return sum(not self.may_send(each) for each in self._limited(upstreams))

    def log_fields(self, upstream: Upstream) -> dict[str, object]:
        """Return the fields of a log line; none without a limit."""
        name, domain = upstream.entry.incarnation, upstream.entry.domain
        limit = self.shares.limits.find(name)
        if limit is None:
            return {}
        tokens = self.shares.tokens(name, domain)
        return {
            'limit': limit.rate,
            'limited_for': round(self._clock.now() - limit.since, 3),
            'tokens': None if tokens is None else round(tokens, 2),
        }

    def _limited(self, upstreams: Collection[Upstream]) -> Collection[Upstream]:
        """Return the upstreams that name a limit."""
        in_need = self.shares.limits.in_need()
        if not in_need:
            return ()
        return [each for each in upstreams if each.entry.incarnation in in_need]

    def _first_source(
        self, upstreams: Collection[Upstream], key: RequestKey | None
    ) -> TokenSource | None:
        """Return the host to ask for a token, alike wherever a caller is.

        Args:
            upstreams: The upstreams that the request may be sent to.
            key: The request.
        """
        now = self._clock.now()
        sources = [
            TokenSource(each, host)
            for each in upstreams
            for host in self.shares.senders(
                each.entry.incarnation, each.entry.domain
            )
            if now >= self._silent_until.get(host, now)
        ]
        return min(
            sources,
            key=lambda source: _source_hash(source, key),
            default=None,
        )


def _source_hash(source: TokenSource, key: RequestKey | None) -> int:
    """Return the rendezvous hash of a source for a request."""
    name = f'{key}/{source.upstream.entry.incarnation}/{source.host}'
    return xxh3_64_intdigest(name.encode())
