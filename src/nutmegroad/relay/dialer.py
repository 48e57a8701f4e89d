"""Opens connections to upstreams, by way of other hosts if necessary.

A direct connection has a head start. If it fails or takes long, other hosts are
asked for one, and the first connection is used. A host that is cut off asks
them first, and sends an occasional request directly to notice that its paths
are open again.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import Final

from nutmegroad.fleet.host_registration import HostRow
from nutmegroad.fleet.tunnel_messages import TunnelRequest
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.races import StaggeredRace, Way
from nutmegroad.foundations.types import Address, DomainId, HostId
from nutmegroad.relay.connections import Connector, UpstreamConnection
from nutmegroad.relay.direct_paths import DirectPaths
from nutmegroad.relay.sockets import ConnectionFailedError
from nutmegroad.relay.tunnel_hosts import TunnelHosts
from nutmegroad.relay.tunnels import open_tunnel
from nutmegroad.upstreams.brittle_limits import brittle_duty
from nutmegroad.upstreams.directory import Upstream

#: Seconds by which a direct connection is ahead of other hosts, and each of
#: these ahead of the next one: ten times the latency of the slowest network
#: path within a region at present.
HEAD_START: Final = 0.1

#: A way to open a connection, and its head start in seconds.
DialWay = Way[UpstreamConnection]


@dataclass(frozen=True, slots=True)
class DialPurpose:
    """What a connection is for.

    Attributes:
        request: Id of the caller's request; empty for a check.
        is_last: Whether no other attempt of the request may follow if this one
            is executed.
        borrowed: Whether another host has to send the request within its share
            of a brittle or limited upstream.
        lender_count: Number of hosts, by rank, that have a share of a brittle
            upstream; None if all have.
        lender: The host to ask for a token of a limited upstream; None if none
            is needed.
        content: Fingerprint of the request, for a reservation of a token.
        patience: Seconds for which its caller waits for one.
        hurried: Whether there is less time than a connection may take, so that
            a missing one shows nothing.
    """

    request: str = ''
    is_last: bool = False
    borrowed: bool = False
    lender_count: int | None = None
    lender: HostId | None = None
    content: int = 0
    patience: float = 0
    hurried: bool = False


class Dialer:
    """Opens connections to upstreams.

    Args:
        host: This host.
        domain: Its failure domain.
        connector: Opens direct connections.
        paths: Whether this host reaches upstreams itself.
        hosts: The hosts that may be asked for a connection.
        clock: The host's clock.
        own_delay: Returns the seconds by which this host delays an exchange.
    """

    @property
    def _head_start(self) -> float:
        """Seconds by which each way is ahead of the next one."""
        return HEAD_START + self.own_delay()

    def __init__(
        self,
        host: HostId,
        domain: DomainId,
        connector: Connector,
        paths: DirectPaths,
        hosts: TunnelHosts,
        clock: Clock,
        own_delay: Callable[[], float],
    ) -> None:
        self.paths = paths
        self.own_delay = own_delay
        self._host = host
        self._domain = domain
        self._connector = connector
        self._hosts = hosts
        self._clock = clock

    async def open(
        self, upstream: Upstream, timeout: float, purpose: DialPurpose
    ) -> UpstreamConnection:
        """Open a connection to an upstream.

        Args:
            upstream: The upstream.
            timeout: Maximum seconds to wait.
            purpose: What the connection is for.

        Raises:
            ConnectionFailedError: If there is none in time; nothing was sent.
        """
        deadline = self._clock.now() + timeout
        if not (self._hosts.any_known or purpose.borrowed):
            return await self._open_directly(upstream, deadline, purpose)
        direct_first = self._tries_direct_first(upstream, purpose)
        ways = self._tunnels(upstream, deadline, purpose)
        if not purpose.borrowed:
            direct = partial(self._open_directly, upstream, deadline, purpose)
            ways = _with_direct(
                upstream,
                direct,
                ways,
                first=direct_first,
                head_start=self._head_start,
            )
        race = StaggeredRace[UpstreamConnection](UpstreamConnection.abort)
        connection = await race.run(ways)
        if connection is None:
            raise self._failure(upstream, race.errors, purpose)
        if connection.via is not None and not purpose.borrowed:
            if direct_first:
                self.paths.record_failure(upstream)
            self.paths.record_detour(upstream)
        return connection

    def record_broken(
        self, upstream: Upstream, connection: UpstreamConnection
    ) -> None:
        """Record that a connection broke before an answer."""
        if connection.via is None:
            self.paths.record_failure(upstream)
        else:
            # A proxy may accept connections of a host that is cut off, too.
            self._hosts.record_failure(connection.via, upstream.entry.service)

    async def open_elsewhere(
        self, upstream: Upstream, timeout: float
    ) -> UpstreamConnection | None:
        """Return a connection that another host opens, or None.

        Raises:
            LookupError: If there is no other host. Hosts that may not be asked
                count as well: they are told of crashes.
        """
        if not self._hosts.any_known:
            raise LookupError('no other host is known')
        deadline = self._clock.now() + timeout
        tunnels = self._tunnels(upstream, deadline, DialPurpose())
        race = StaggeredRace[UpstreamConnection](UpstreamConnection.abort)
        return await race.run(tunnels)

    def _tries_direct_first(
        self, upstream: Upstream, purpose: DialPurpose
    ) -> bool:
        """Return whether the direct connection is the first choice."""
        service = upstream.entry.service
        if not self.paths.is_cut_off(service):
            return True
        near = upstream.entry.domain == self._domain
        if near and not self.paths.has_failed(upstream):
            # Failures elsewhere may be due to a cut between domains.
            return True
        # A proxy may accept a connection in vain, which costs an execution.
        return not purpose.is_last and self.paths.claim_probe(service)

    def _tunnels(
        self, upstream: Upstream, deadline: float, purpose: DialPurpose
    ) -> Iterator[DialWay]:
        """Yield the ways to connect by other hosts."""
        entry = upstream.entry
        for host, row in self._hosts.candidates(
            entry.service,
            brittle_duty(upstream),
            purpose.lender_count,
            None if purpose.lender is None else (purpose.lender,),
        ):
            dial = partial(
                self._open_by, host, row, upstream, deadline, purpose
            )
            yield dial, self._head_start

    async def _open_directly(
        self, upstream: Upstream, deadline: float, purpose: DialPurpose
    ) -> UpstreamConnection:
        """Open a direct connection."""
        timeout = max(0, deadline - self._clock.now())
        try:
            return await self._connector.open(upstream.entry.address, timeout)
        except ConnectionFailedError as problem:
            if not (problem.timed_out and purpose.hurried):
                self.paths.record_failure(upstream)
            raise

    async def _open_by(
        self,
        host: HostId,
        row: HostRow,
        upstream: Upstream,
        deadline: float,
        purpose: DialPurpose,
    ) -> UpstreamConnection:
        """Open a connection by way of another host."""
        started = self._clock.now()
        entry = upstream.entry
        request = TunnelRequest(
            row.key,
            self._host,
            entry.upstream,
            str(entry.address),
            max(0, deadline - started),
            purpose.request,
            purpose.borrowed,
            purpose.content,
            purpose.patience,
        )
        address = Address(row.ip, row.port)
        try:
            connection = await open_tunnel(
                host, address, request, self._connector.source_ip
            )
        except ConnectionFailedError as problem:
            if not problem.withheld:
                self._hosts.record_failure(host, entry.service)
            raise
        except asyncio.CancelledError:
            if self._clock.now() - started >= self._head_start:
                # It has lost the race because it did not reply.
                self._hosts.record_failure(host, entry.service)
            raise
        self._hosts.record_success(host, entry.service)
        return connection

    def _failure(
        self,
        upstream: Upstream,
        errors: list[BaseException],
        purpose: DialPurpose,
    ) -> ConnectionFailedError:
        """Return the error of a connection that could not be opened.

        It counts as refused only if that shows that no process listens.
        """
        failures = [
            each for each in errors if isinstance(each, ConnectionFailedError)
        ]
        refused = bool(failures) and all(each.refused for each in failures)
        return ConnectionFailedError(
            '; '.join(str(each) for each in errors),
            sent=False,
            withheld=purpose.borrowed,
            timed_out=any(each.timed_out for each in failures),
            retry_after=min(
                (each.retry_after for each in failures if each.retry_after),
                default=0,
            ),
            refused=refused
            and not self.paths.is_cut_off(upstream.entry.service),
        )


def _with_direct(
    upstream: Upstream,
    direct: Callable[[], Awaitable[UpstreamConnection]],
    tunnels: Iterator[DialWay],
    *,
    first: bool,
    head_start: float,
) -> Iterator[DialWay]:
    """Yield a direct way to connect before or after those by other hosts."""
    if first:
        yield direct, 0 if upstream.path_lost else head_start
    yield from tunnels
    if not first:
        # Other hosts may be unable to help, too.
        yield direct, 0
