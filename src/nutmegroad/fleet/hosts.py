"""A host's view of the fleet: its peers, and the state it shares with them."""

import asyncio
import random
from contextlib import AsyncExitStack
from functools import partial
from typing import Final

from nutmegroad.fleet.crash_rows import CrashRows
from nutmegroad.fleet.duties import duty_hash
from nutmegroad.fleet.eras import EraStore
from nutmegroad.fleet.evidence import HostIncarnation
from nutmegroad.fleet.followers import FollowerFactory
from nutmegroad.fleet.host_registration import HostRegistration, HostRow
from nutmegroad.fleet.peer_gossip import PeerGossip, new_shared_state
from nutmegroad.fleet.peer_listener import PeerListener, TunnelHandler
from nutmegroad.fleet.shared_store import SharedStore
from nutmegroad.fleet.store_clock import StoreClock
from nutmegroad.fleet.store_interface import Store
from nutmegroad.fleet.store_probes import OutageRecord
from nutmegroad.fleet.update_link import UpdateLink
from nutmegroad.fleet.update_server import UpdateServer
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.supervision import TaskLabel, TaskStart
from nutmegroad.foundations.types import Address, DomainId, HostId

#: Bits of a host's incarnation number: two incarnations of one host during one
#: rollout never get the same number in practice.
_INCARNATION_BITS: Final = 32


class FleetHosts:
    """A host's registration, gossip and store access as one object.

    The host shares loads and sessions with all hosts, and store reads with the
    hosts of its failure domain.

    Args:
        host: This host.
        own: This host's row in the fleet table.
        store: The platform's store.
        session_span: Seconds within which requests belong to one session.
        clock: The host's clock.
        randomness: Randomizes the retries of many hosts.
        first: Whether all hosts of the fleet start for the first time.
    """

    def __init__(
        self,
        host: HostId,
        own: HostRow,
        store: Store,
        session_span: float,
        clock: Clock,
        randomness: random.Random,
        *,
        first: bool = False,
    ) -> None:
        self._host = host
        self._own = own
        self._first = first
        self.store_clock = StoreClock(clock)
        #: The platform's store, with positions in place of versions.
        self.store = EraStore(store)
        self.store.subscribe_to_restores(self.store_clock.reset)
        incarnation = HostIncarnation(randomness.getrandbits(_INCARNATION_BITS))
        self.shared_state = new_shared_state(
            host, incarnation, clock, session_span
        )
        self.peers = PeerGossip(host, own, self.shared_state, clock)
        #: Crash reports in the store.
        self.crash_rows = CrashRows(
            self.shared_state.crashes,
            self.store,
            self.store_clock,
            clock,
            self.duty_rank,
        )
        self._registration = HostRegistration(host, own, self.store, clock)
        self._server = UpdateServer(clock)
        self._link = UpdateLink(
            host, own, lambda: self.peers.local_hosts, clock, self.outages
        )
        self._listener = PeerListener(self._registration.own_key, self._server)
        #: Creates followers of the store's tables.
        self.tables = FollowerFactory(
            SharedStore(
                self.store,
                self._link,
                self._server,
                self.store_clock,
                clock,
                self._registration.wait_for_startup,
                self.store.observe_position,
            ),
            clock,
            self.store_clock,
            randomness,
        )

    @property
    def outages(self) -> OutageRecord:
        """When the store last did not answer."""
        return self._server.outages

    def count(self) -> int:
        """Return how many hosts are known, including this one."""
        return self.peers.count + 1

    def serve_tunnels(self, handler: TunnelHandler) -> None:
        """Serve hosts that ask for a connection to an upstream."""
        self._listener.tunnel_handler = handler

    async def open(self, stack: AsyncExitStack) -> None:
        """Listen for peers until a stack closes.

        Args:
            stack: Closes the sockets.
        """
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self.peers,
            local_addr=(self._own.ip, self._own.port),
        )
        stack.callback(transport.close)
        await self._listener.open(Address(self._own.ip, self._own.port), stack)

    def add_host(self, host: HostId, row: HostRow) -> None:
        """Add a host that was found in the store."""
        self._registration.observe_row(host, row)
        self.peers.add_host(host, row)

    def on_store_restored(self) -> None:
        """Record that the store may have lost this host's row and others."""
        self._registration.on_store_restored()
        self.crash_rows.on_store_restored()

    def on_hosts_loaded(self) -> None:
        """Record that the full fleet table was read."""
        self._registration.on_hosts_loaded()
        self._link.start()

    def duty_rank(self, duty: str) -> int:
        """Return this host's rank among all hosts for a duty.

        Every host that knows the same peers computes the same ranking.

        Args:
            duty: Name of a task that one host has to perform.
        """
        mine = duty_hash(duty, self._host)
        others = (*self.peers.local_hosts, *self.peers.remote_hosts)
        return sum(duty_hash(duty, other) < mine for other in others)

    def domain_of(self, host: HostId) -> DomainId:
        """Return the failure domain of a host."""
        remote = self.peers.remote_hosts.get(host)
        return DomainId(self._own.domain if remote is None else remote.domain)

    def known_count(self) -> int | None:
        """Return the number of hosts; None before they are known."""
        return self.count() if self._registration.knows_hosts else None

    def known_rank(self, duty: str) -> int | None:
        """Return this host's rank for a duty; None before hosts are known."""
        if not self._registration.knows_hosts:
            return None
        return self.peers.ring.rank(duty)

    def tasks(self) -> dict[TaskLabel, TaskStart]:
        """Return the tasks that run as long as the host does, by name."""
        return {
            TaskLabel('registration'): partial(
                self._registration.run, first=self._first
            ),
            TaskLabel('gossip'): self.peers.run,
            TaskLabel('crash rows'): self.crash_rows.run,
            TaskLabel('table updates'): self._server.run,
            TaskLabel('update link'): self._link.run,
        }
