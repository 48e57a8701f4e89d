"""Hosts that share upstreams of which some take few requests, on virtual time.

The hosts decide by the program's own code and inform each other by its gossip
datagrams. Answers, losses, cuts and kills are simulated.
"""

import asyncio
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field, replace
from typing import Final, cast

from experiments.virtual_time import VirtualClock, VirtualLoop

from nutmegroad.foundations.types import DomainId, HostId, UpstreamIncarnation
from nutmegroad.upstreams.directory import Upstream
from nutmegroad.upstreams.limited_upstreams import (
    PATIENCE_FRACTION,
    UNKNOWN_RETRY_AFTER,
    LimitedUpstreams,
)
from nutmegroad.upstreams.rate_shares import RateShares
from nutmegroad.upstreams.senders import SenderRanks
from tests.gossip_rig import GossipFleet, Member
from tests.limit_judge import Arrival
from tests.relay_samples import an_entry

#: Seconds that a request or an answer takes on its way, at most.
MAX_DELAY: Final = 0.01

#: Seconds of an upstream's work on a request, and the factor in need.
WORK: Final = (0.05, 0.3)
WORK_IN_NEED: Final = 3.0

#: Fraction of the requests that the busiest host receives in addition.
SKEW: Final = 0.1

#: Attempts of a request, and how often its caller returns after a refusal.
ATTEMPTS: Final = 3
RETURNS: Final = 1

#: Seconds for which a caller waits for an answer.
PATIENCE: Final = 12.0


@dataclass(frozen=True, slots=True)
class Need:
    """A time in which an upstream names a limit.

    Attributes:
        start: Virtual seconds of its start.
        end: Virtual seconds of its end.
        limit: Requests in a second.
    """

    start: float
    end: float
    limit: float


@dataclass(slots=True)
class LimitedWorker:
    """An upstream by the operators' description.

    Attributes:
        upstream: Its entry.
        needs: When it names which limit.
        arrivals: The requests that it received.
    """

    upstream: Upstream
    needs: Sequence[Need] = ()
    arrivals: list[Arrival] = field(default_factory=list)

    @property
    def name(self) -> UpstreamIncarnation:
        """The upstream's incarnation."""
        return self.upstream.entry.incarnation

    def limit_at(self, now: float) -> float | None:
        """Return the limit that it names."""
        for need in self.needs:
            if need.start <= now < need.end:
                return need.limit
        return None


@dataclass(slots=True)
class LimitedHost:
    """A host of the fleet.

    Attributes:
        member: Its gossip.
        limited: Its decisions.
        started_at: Virtual seconds of its start.
        told_at: When an answer first told it the limit of a worker, by name.
    """

    member: Member
    limited: LimitedUpstreams
    started_at: float
    told_at: dict[UpstreamIncarnation, float] = field(default_factory=dict)


@dataclass(slots=True)
class Tally:
    """What became of requests.

    Attributes:
        sent: Callers that arrived.
        served: Callers that were answered, at once or after a return.
        refused: Refusals.
        returned: Callers that returned when they were told to.
        served_on_return: Those of them that were answered then.
    """

    sent: int = 0
    served: int = 0
    refused: int = 0
    returned: int = 0
    served_on_return: int = 0


class LimitedFleet:
    """A fleet with its workers and callers.

    Args:
        hosts: Number of hosts.
        domains: Number of failure domains.
        workers: Number of workers, spread over the domains.
        rate: Requests in a second.
        seed: Seed of everything.
    """

    def __init__(
        self, hosts: int, domains: int, workers: int, rate: float, seed: int
    ) -> None:
        loop = cast(VirtualLoop, asyncio.get_running_loop())
        self.clock = VirtualClock(loop)
        self._gossip = GossipFleet(hosts, domains, self.clock, seed)
        self._randomness = random.Random(seed)
        created = [_worker(number, domains) for number in range(workers)]
        self.workers = {worker.name: worker for worker in created}
        self.hosts: dict[HostId, LimitedHost] = {}
        for member in self._gossip.members:
            self._add(member)
        self._by_second: dict[int, Tally] = {}
        # Hosts and domains that are cut off from all others, with the time.
        self._cut: dict[str, float] = {}
        # When each host was last killed, cut off or reached again.
        self._disturbed_at: dict[HostId, float] = {}
        self._rate = rate

    async def play(self, seconds: float) -> None:
        """Let callers arrive for a time."""
        end = self.clock.now() + seconds
        names = list(self.hosts)
        while self.clock.now() < end:
            await self.clock.sleep(self._randomness.expovariate(self._rate))
            busiest = self._randomness.random() < SKEW
            key = self._randomness.getrandbits(32)
            self._arrive(names[0] if busiest else None, key, RETURNS)

    def kill(self, name: HostId, down: float) -> None:
        """Kill a host, and start it again later."""
        host = self.hosts.pop(name, None)
        if host is None:
            return
        self._gossip.stop(host.member)
        self._disturbed_at[name] = self.clock.now() + down
        asyncio.get_running_loop().call_later(
            down, lambda: self._add(self._gossip.start(name))
        )

    def cut_off(self, place: str, seconds: float) -> None:
        """Cut a host or a failure domain off from all others for a time."""
        self._cut[place] = self.clock.now()
        asyncio.get_running_loop().call_later(seconds, self._heal, place)

    def served_part(self, start: float, end: float) -> float:
        """Return the part of the callers of some seconds that were served."""
        tallies = list(self._tallies(start, end))
        sent = sum(each.sent for each in tallies)
        return sum(each.served for each in tallies) / max(1, sent)

    def total(self, start: float, end: float) -> Tally:
        """Return the sums over some seconds."""
        total = Tally()
        for each in self._tallies(start, end):
            total.sent += each.sent
            total.served += each.served
            total.refused += each.refused
            total.returned += each.returned
            total.served_on_return += each.served_on_return
        return total

    def _tallies(self, start: float, end: float) -> Iterator[Tally]:
        """Yield the tallies of some seconds."""
        for second, tally in self._by_second.items():
            if start <= second < end:
                yield tally

    def _add(self, member: Member) -> None:
        """Add a host that has just started."""
        limited = LimitedUpstreams(self.clock)
        ranks = SenderRanks(
            member.gossip.ring, self._gossip.domain_of, {}, lambda: True
        )
        shares = RateShares(
            member.name, self.clock, member.state.limits, ranks.senders
        )
        limited.share_with(member.name, shares)
        self.hosts[member.name] = LimitedHost(member, limited, self.clock.now())

    def _heal(self, place: str) -> None:
        """End a cut."""
        self._cut.pop(place, None)
        for name, host in self.hosts.items():
            if place in (name, host.member.row.domain):
                self._disturbed_at[name] = self.clock.now()

    def is_cut(self, host: HostId, domain: str, other: str) -> bool:
        """Return whether a host can't reach something in another place.

        Args:
            host: The host.
            domain: Its failure domain.
            other: The failure domain of what it wants to reach.
        """
        if host in self._cut:
            return True
        return domain != other and not self._cut.keys().isdisjoint(
            (domain, other)
        )

    def _arrive(self, name: HostId | None, key: int, returns: int) -> None:
        """Let a caller arrive at a host, or at any."""
        if not self.hosts:
            # The balancer has no host to choose.
            return
        host = self.hosts.get(name) if name else None
        host = host or self._randomness.choice(list(self.hosts.values()))
        tally = self._by_second.setdefault(int(self.clock.now()), Tally())
        is_return = returns < RETURNS
        tally.sent += not is_return
        tally.returned += is_return
        delay = self._execute(host, key)
        if not delay:
            tally.served += 1
            tally.served_on_return += is_return
            return
        tally.refused += 1
        if returns and delay < PATIENCE * PATIENCE_FRACTION:
            asyncio.get_running_loop().call_later(
                delay, self._arrive, None, key, returns - 1
            )

    def _execute(self, host: LimitedHost, key: int) -> float:
        """Make the attempts of a request.

        Returns:
            Seconds after which the caller should retry; 0 if it is served.
        """
        left = {name: each.upstream for name, each in self.workers.items()}
        for _ in range(ATTEMPTS):
            upstreams = list(left.values())
            chosen = self._choose(host, upstreams, key)
            if chosen is None:
                return host.limited.reserve_own(
                    upstreams, key, PATIENCE * PATIENCE_FRACTION
                )
            sender = host
            if not host.limited.may_send(chosen, key):
                lender = self._ask(host, chosen, key)
                if isinstance(lender, float):
                    return lender
                if lender is None:
                    continue
                sender = lender
            sender.limited.take(chosen, key)
            if self._send(host, sender, chosen):
                return 0
            left.pop(chosen.entry.incarnation)
        return UNKNOWN_RETRY_AFTER

    def _choose(
        self, host: LimitedHost, upstreams: list[Upstream], key: int
    ) -> Upstream | None:
        """Return an upstream; those of the host's own domain come first."""
        for group in host.limited.by_preference(upstreams, key):
            near = [
                each
                for each in group
                if each.entry.domain == host.member.row.domain
            ]
            if near and self._randomness.random() < 3 / 4:
                return self._randomness.choice(near)
            if group:
                return self._randomness.choice(list(group))
        return None

    def _ask(
        self, host: LimitedHost, upstream: Upstream, key: int
    ) -> 'LimitedHost | float | None':
        """Ask another host for a token.

        Returns:
            The host if it has one, or the seconds until it has; None if it
            does not reply.
        """
        row = host.member.row
        name = host.limited.lender(upstream, key) or HostId('')
        lender = self.hosts.get(name)
        if (
            lender is None
            or name in self._cut
            or self.is_cut(
                host.member.name, row.domain, lender.member.row.domain
            )
        ):
            host.limited.record_no_reply(name)
            return None
        if lender.limited.may_send(upstream, key):
            return lender
        return lender.limited.reserve(
            upstream, key, PATIENCE * PATIENCE_FRACTION
        )

    def _send(
        self, host: LimitedHost, sender: LimitedHost, upstream: Upstream
    ) -> bool:
        """Send a request; return whether the upstream receives it."""
        row = sender.member.row
        if self.is_cut(sender.member.name, row.domain, upstream.entry.domain):
            return False
        asyncio.get_running_loop().call_later(
            self._randomness.uniform(0, MAX_DELAY),
            self._receive,
            host,
            self.workers[upstream.entry.incarnation],
            self.clock.now(),
        )
        return True

    def _receive(
        self, host: LimitedHost, worker: LimitedWorker, sent_at: float
    ) -> None:
        """Let a worker receive a request, and answer it."""
        now = self.clock.now()
        name = host.member.name
        told_at = host.told_at.get(worker.name)
        is_excused = (
            name in self._cut
            or host.member.row.domain in self._cut
            or self.hosts.get(name) is not host
        )
        disturbed_at = self._disturbed_at.get(name, float('-inf'))
        if is_excused:
            disturbed_at = float('inf')
        worker.arrivals.append(Arrival(now, told_at, disturbed_at))
        work = self._randomness.uniform(*WORK)
        if worker.limit_at(now) is not None:
            work *= WORK_IN_NEED
        asyncio.get_running_loop().call_later(
            work,
            self._answer,
            host,
            worker,
            sent_at,
        )

    def _answer(
        self, host: LimitedHost, worker: LimitedWorker, sent_at: float
    ) -> None:
        """Let a host receive an answer, unless it was killed meanwhile."""
        if self.hosts.get(host.member.name) is not host:
            return
        limit = worker.limit_at(self.clock.now())
        if limit is not None:
            host.told_at.setdefault(worker.name, self.clock.now())
        host.limited.shares.limits.observe(worker.name, limit, sent_at)


def _worker(number: int, domains: int) -> LimitedWorker:
    """Return a worker."""
    entry = replace(
        an_entry(f'u{number}'), domain=DomainId(f'd{number % domains}')
    )
    return LimitedWorker(Upstream(entry))
