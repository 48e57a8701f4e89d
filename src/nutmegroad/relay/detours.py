"""Connections by way of other hosts, for this host and for the others."""

import random

from nutmegroad.fleet.hosts import FleetHosts
from nutmegroad.overload.loop_monitor import LoopMonitor
from nutmegroad.relay.boundary import HostSettings
from nutmegroad.relay.connections import Connector
from nutmegroad.relay.counters import RelayCounters
from nutmegroad.relay.dialer import Dialer
from nutmegroad.relay.direct_paths import DirectPaths
from nutmegroad.relay.tunnel_hosts import TunnelHosts
from nutmegroad.relay.tunnel_server import TunnelServer
from nutmegroad.upstreams.directory import Directory
from nutmegroad.upstreams.placement import Evacuations


class Detours:
    """Opens connections by way of other hosts, and opens them for others.

    Attributes:
        dialer: Opens this host's connections to upstreams.
        server: Opens connections that other hosts ask for.

    Args:
        settings: The host's settings.
        fleet: The other hosts.
        connector: Opens direct connections.
        directory: All upstreams.
        evacuations: Evacuated failure domains.
        counters: The host's metrics.
        monitor: Measures how late this host is.
    """

    def __init__(
        self,
        settings: HostSettings,
        fleet: FleetHosts,
        connector: Connector,
        directory: Directory,
        evacuations: Evacuations,
        counters: RelayCounters,
        monitor: LoopMonitor,
    ) -> None:
        clock = monitor.clock
        paths = DirectPaths(
            clock, lambda service: len(directory.of_service(service))
        )
        hosts = TunnelHosts(
            fleet.peers,
            settings.domain,
            settings.regions,
            clock,
            random.Random(settings.seed),
        )
        self.dialer = Dialer(
            settings.host,
            settings.domain,
            connector,
            paths,
            hosts,
            clock,
            lambda: monitor.own_delay,
        )
        self.server = TunnelServer(
            directory,
            evacuations,
            paths,
            counters,
            connector.source_ip,
        )
        fleet.serve_tunnels(self.server.serve)
