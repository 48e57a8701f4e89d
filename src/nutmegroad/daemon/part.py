"""The parts that keep work away from where it must not go."""

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
from nutmegroad.routing.directory import Directory
from nutmegroad.routing.draining_notices import DrainingNotices
from nutmegroad.routing.gates import Gatekeeper

_PART: Final = 'part'


@register(_PART, 'departures')
class DeparturesPart:
    """Spreads which upstreams are leaving."""

    needs = (Mesh, Directory)

    async def open(self, kernel: Kernel) -> None:
        """Begin to listen and to tell."""
        departures = DrainingNotices(
            kernel.need(Mesh),
            kernel.need(Directory),
            kernel.settings.domain,
        )
        kernel.provide(DrainingNotices, departures)


@register(_PART, 'pauses')
class PausesPart:
    """Holds dispatch after a pause of the process."""

    needs = (Gatekeeper, Configuration, ConfigurationPoller)

    async def open(self, kernel: Kernel) -> None:
        """Begin to tick."""
        detector = PauseDetector(
            kernel.clock,
            kernel.need(Configuration),
            kernel.settings.lease,
        )
        poller = kernel.need(ConfigurationPoller)
        kernel.need(Gatekeeper).add_condition(detector.refusal)
        kernel.spawn(detector.run(), 'pauses')
        kernel.spawn(detector.confirm_after(poller.poll), 'confirmations')
        kernel.provide(PauseDetector, detector)


@register(_PART, 'stop')
class StopPart:
    """Provides the graceful stop."""

    needs = (Gatekeeper, Members)

    async def open(self, kernel: Kernel) -> None:
        """Tell the gate and the members of it."""
        settings = kernel.settings
        stop = GracefulStop(kernel.clock, settings.lame_duck, settings.drain)
        stop.listen(kernel.need(Members).leave)
        kernel.need(Gatekeeper).add_condition(stop.gate_refusal)
        kernel.provide(GracefulStop, stop)


@register(_PART, 'session names')
class SessionNamesPart:
    """Provides the sessions that callers name."""

    needs = (Table, Mesh, Duties, Invariants)

    async def open(self, kernel: Kernel) -> None:
        """Begin to answer other hosts."""
        names = NamedSessions(
            kernel.need(Table),
            kernel.need(Mesh),
            kernel.need(Duties),
            kernel.need(Invariants),
        )
        kernel.provide(NamedSessions, names)
