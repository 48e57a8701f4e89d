"""Parts for draining notices, pauses, lateness, graceful stop and sessions."""

from functools import partial
from typing import Final

from nutmegroad.callers.named_sessions import NamedSessions
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.configuration.poller import ConfigurationPoller
from nutmegroad.contracts.peers import Mesh
from nutmegroad.contracts.platform import Table
from nutmegroad.daemon.pauses import PauseDetector
from nutmegroad.foundations.invariants import Invariants
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.kernel.stops import GracefulStop
from nutmegroad.membership.duties import Duties
from nutmegroad.membership.members import Members
from nutmegroad.overload.loop_monitor import LoopMonitor
from nutmegroad.routing.directory import Directory
from nutmegroad.routing.draining_notices import DrainingNotices
from nutmegroad.routing.gates import Gatekeeper

_PART: Final = 'part'


@register(_PART, 'departures')
class DrainingNoticesPart:
    """Provides the broadcast of notices about draining upstreams."""

    needs = (Mesh, Directory)

    async def open(self, kernel: Kernel) -> None:
        """Start to broadcast and receive notices."""
        notices = DrainingNotices(
            kernel.need(Mesh),
            kernel.need(Directory),
            kernel.settings.domain,
        )
        kernel.provide(DrainingNotices, notices)


@register(_PART, 'pauses')
class PauseDetectorPart:
    """Holds back dispatch after a pause of the process."""

    needs = (Gatekeeper, Configuration, ConfigurationPoller)

    async def open(self, kernel: Kernel) -> None:
        """Start the detector, and make it a condition of dispatch."""
        detector = PauseDetector(
            kernel.clock,
            kernel.need(Configuration),
            kernel.settings.lease,
        )
        poller = kernel.need(ConfigurationPoller)
        gatekeeper = kernel.need(Gatekeeper)
        gatekeeper.add_condition(detector.dispatch_refusal)
        gatekeeper.on_pause(detector.wait_until_confirmed)
        kernel.spawn(detector.run, 'pauses')
        kernel.spawn(
            partial(detector.confirm_after_pauses, poller.poll), 'confirmations'
        )
        kernel.provide(PauseDetector, detector)


@register(_PART, 'loop monitor')
class LoopMonitorPart:
    """Measures whether the host is short of processor time."""

    needs = ()

    async def open(self, kernel: Kernel) -> None:
        """Start to measure."""
        monitor = LoopMonitor(kernel.clock)
        kernel.spawn(monitor.run, 'loop monitor')
        kernel.provide(LoopMonitor, monitor)


@register(_PART, 'stop')
class GracefulStopPart:
    """Provides the graceful stop."""

    needs = (Gatekeeper, Members)

    async def open(self, kernel: Kernel) -> None:
        """Connect the stop to the membership and to the dispatch gate."""
        settings = kernel.settings
        stop = GracefulStop(kernel.clock, settings.lame_duck, settings.drain)
        stop.on_start(kernel.need(Members).leave)
        kernel.need(Gatekeeper).add_condition(stop.gate_refusal)
        kernel.provide(GracefulStop, stop)


@register(_PART, 'session names')
class NamedSessionsPart:
    """Provides the sessions to which callers give names."""

    needs = (Table, Mesh, Duties, Invariants)

    async def open(self, kernel: Kernel) -> None:
        """Start to answer other hosts' questions about sessions."""
        sessions = NamedSessions(
            kernel.need(Table),
            kernel.need(Mesh),
            kernel.need(Duties),
            kernel.need(Invariants),
        )
        kernel.provide(NamedSessions, sessions)
