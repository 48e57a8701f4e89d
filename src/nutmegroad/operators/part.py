"""The kernel part that serves the operators' HTTP interface."""

from typing import Final

from aiohttp.typedefs import Handler
from aiohttp.web import (
    Application,
    Request,
    Response,
    StreamResponse,
    middleware,
)

from nutmegroad.callers._http_listener import Listener
from nutmegroad.callers._http_middleware import (
    BodyReader,
    install_request_middleware,
)
from nutmegroad.configuration.changes import ConfigurationChanges
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.peers import Mesh
from nutmegroad.foundations._cost_metrics import CostPublisher
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.supervision import TaskLabel
from nutmegroad.foundations.types import Presence
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register, registered
from nutmegroad.kernel.stops import GracefulStop
from nutmegroad.membership.members import Members
from nutmegroad.operators.interface import OperatorsInterface
from nutmegroad.operators.operator_access import Access
from nutmegroad.overload.loop_monitor import LoopMonitor
from nutmegroad.records.explanations import Explanations
from nutmegroad.rollouts.order_controller import OrderController
from nutmegroad.rollouts.rollout_service import RolloutService
from nutmegroad.routing.directory import Directory

_UNAVAILABLE = 503

#: Tasks without which a host serves by an outdated configuration.
_REQUIRED: Final = frozenset((TaskLabel('configuration'),))


def add_host_routes(app: Application, kernel: Kernel) -> None:
    """Add the metrics page, and fail readiness checks during a stop."""
    stop = kernel.need(GracefulStop)
    metrics = kernel.need(Metrics)
    publisher = kernel.need(CostPublisher)
    monitor = kernel.need(LoopMonitor)

    @middleware
    async def fail_readiness(
        request: Request,
        handler: Handler,
    ) -> StreamResponse:
        """Report the host as not ready if it stops, or can't keep up."""
        if request.path == '/readyz' and not stop.is_ready:
            return Response(status=_UNAVAILABLE, text='stopping\n')
        failing = _REQUIRED.intersection(kernel.supervisor.failing)
        if request.path == '/readyz' and failing:
            return Response(status=_UNAVAILABLE, text='a task fails\n')
        return await handler(request)

    async def show_metrics(http: Request) -> Response:
        """Return the metrics in the Prometheus text format."""
        publisher.publish()
        metrics.state.set_lateness(monitor.iteration, monitor.late_seconds)
        _publish_member_counts(kernel)
        return Response(body=metrics.render(), content_type='text/plain')

    app.middlewares.append(fail_readiness)
    app.router.add_get('/metrics', show_metrics)


def _publish_member_counts(kernel: Kernel) -> None:
    """Set the gauges of the number of other hosts by presence."""
    members = kernel.need(Members).members()
    presences = [member.presence for member in members]
    for presence in Presence:
        count = presences.count(presence)
        kernel.need(Metrics).state.set_members(presence, count)


@register('part', 'operators')
class OperatorsPart:
    """Serves the operators' HTTP interface on its own listener."""

    needs = (
        ConfigurationChanges,
        Directory,
        Explanations,
        GracefulStop,
        CostPublisher,
        Listener,
        LoopMonitor,
        Members,
        Mesh,
        Metrics,
        OrderController,
        RolloutService,
    )

    async def open(self, kernel: Kernel) -> None:
        """Create the interface and start to listen."""
        access = Access(
            kernel.need(Configuration),
            kernel.settings.bootstrap_token,
        )
        kernel.provide(Access, access)
        factories = registered('operator routes').values()
        interface = OperatorsInterface(
            kernel.settings.host,
            kernel.settings.domain,
            kernel.need(Configuration),
            kernel.need(Directory),
            kernel.need(GracefulStop),
            access,
            [factory(kernel, access) for factory in factories],
        )
        app = interface.application()
        add_host_routes(app, kernel)
        count = kernel.need(Metrics).operator_refused
        BodyReader(kernel.settings.body_timeout, count).install(app)
        install_request_middleware(kernel, app, 'operators', count)
        kernel.listening['operators'] = await kernel.need(Listener).listen(
            kernel,
            app,
            kernel.settings.operators,
        )
