"""Limits the requests to upstreams that say how many they take in a second.

The limit applies to all hosts together and is divided as in the relay. Each
request takes a token in the step that sends its first byte, so those that
waited in a queue since before the limit was known count as well.
"""

from collections.abc import Collection, Iterable
from functools import partial
from typing import Final

from nutmegroad.contracts.peers import Member
from nutmegroad.contracts.upstreams import LimitCallback, UpstreamState
from nutmegroad.fleet.duties import HostRing
from nutmegroad.fleet.request_limits import RequestLimits
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    DomainId,
    HostId,
    UpstreamIncarnation,
    UpstreamInfo,
)
from nutmegroad.upstreams.rate_shares import RateShares, lone_shares
from nutmegroad.upstreams.senders import SenderRanks

#: Seconds after its start until which a host sends nothing to a limited
#: upstream: it does not know the other hosts yet.
STARTUP_DELAY: Final = 5.0

#: Seconds after which a caller should retry if this host is no sender of any
#: upstream of use. Another host may have a token.
OTHER_HOST_RETRY_AFTER: Final = 1.0


class KnownHosts:
    """All hosts that this one has seen, by failure domain.

    Hosts that can't be reached are kept, or a host that is cut off would take
    the shares of all others.

    Args:
        host: This host.
        domain: Its failure domain.
        clock: The host's clock.
    """

    def __init__(self, host: HostId, domain: DomainId, clock: Clock) -> None:
        self._domains = {host: domain}
        self._reached = 0
        self._clock = clock
        self._complete_at = clock.now() + STARTUP_DELAY
        self._ring = HostRing(host)
        #: Ranks the hosts as senders.
        self.ranks = SenderRanks(
            self._ring, self._domains.__getitem__, {}, self._is_complete
        )

    def hears_others(self) -> bool:
        """Return whether most hosts are reached."""
        return 2 * (self._reached + 1) > len(self._domains)

    def update(self, members: Collection[Member]) -> None:
        """Add the hosts that are reached at present."""
        self._reached = len(members)
        for member in members:
            self._domains[member.host] = member.domain
            self._ring.add(member.host)

    def _is_complete(self) -> bool:
        """Return whether there was time to see all hosts."""
        return self._clock.now() >= self._complete_at


class UpstreamLimits:
    """The limits of upstreams, and this host's part of them.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        #: What upstreams have said.
        self.limits = RequestLimits(clock)
        self._clock = clock
        self._shares = lone_shares(clock, self.limits)

    def share_with(self, host: HostId, hosts: KnownHosts) -> None:
        """Share the limits with other hosts.

        Args:
            host: This host.
            hosts: All hosts.
        """
        self.limits.hears_others = hosts.hears_others
        self._shares = RateShares(
            host, self._clock, self.limits, hosts.ranks.senders
        )

    def may_send(self, upstream: UpstreamInfo) -> bool:
        """Return whether this host may send one more request now."""
        return self._shares.may_send(_name(upstream), upstream.domain)

    def take(self, upstream: UpstreamInfo) -> Refusal | None:
        """Take the token of a request; return why there is none, or None."""
        if self._shares.take(_name(upstream), upstream.domain):
            return None
        return self._refusal(upstream)

    def refusal_for(self, states: Iterable[UpstreamState]) -> Refusal | None:
        """Return the refusal if limited upstreams are the only ones left."""
        refusals = [
            self._refusal(state.info)
            for state in states
            if not self.may_send(state.info)
        ]
        return min(
            refusals, key=lambda refusal: refusal.retry_after, default=None
        )

    def callback(self, upstream: UpstreamInfo) -> LimitCallback:
        """Return a function that records what an answer says.

        Args:
            upstream: The upstream to which a request is sent now.
        """
        return partial(self._observe, _name(upstream), self._clock.now())

    def _observe(
        self,
        upstream: UpstreamIncarnation,
        sent_at: float,
        limit: float | None,
    ) -> None:
        """Record what an answer says."""
        self.limits.observe(upstream, limit, sent_at)

    def _refusal(self, upstream: UpstreamInfo) -> Refusal:
        """Return the refusal of a request for which there is no token."""
        wait = self._shares.reserve(_name(upstream), upstream.domain, None, 0)
        return Refusal(
            ResultCode.UPSTREAM_LIMITED,
            f'The upstream {upstream.upstream} takes no more requests of this '
            'host now.',
            retry_after=OTHER_HOST_RETRY_AFTER if wait is None else wait,
        )


def _name(upstream: UpstreamInfo) -> UpstreamIncarnation:
    """Return the name under which an upstream's limit is known."""
    return UpstreamIncarnation(f'{upstream.upstream}@{upstream.address}')
