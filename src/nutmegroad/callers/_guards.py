"""Middlewares around the callers' routes, in their order."""

from aiohttp.web import Application

from nutmegroad.callers._http_middleware import install_request_middleware
from nutmegroad.callers._memory_guard import MemoryGuard
from nutmegroad.callers._pause_guard import PauseGuard
from nutmegroad.callers._stop_guard import StopGuard
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.process_memory import resident_bytes
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.stops import GracefulStop
from nutmegroad.overload.departures import departed_caller_refusal
from nutmegroad.overload.memory_budget import memory_budget
from nutmegroad.routing.gates import Gatekeeper


def install_guards(kernel: Kernel, app: Application) -> None:
    """Add what surrounds each request of a caller to an application.

    Args:
        kernel: Provides the components.
        app: The application.
    """
    metrics = kernel.need(Metrics)
    StopGuard(kernel.need(GracefulStop), metrics).install(app)
    gatekeeper = kernel.need(Gatekeeper)
    gatekeeper.add_condition(departed_caller_refusal)
    PauseGuard(gatekeeper).install(app)
    install_request_middleware(kernel, app, 'callers', metrics.refused)
    memory = memory_budget(
        kernel.settings.memory_mb, kernel.clock, resident_bytes
    )
    MemoryGuard(memory, metrics).install(app)
