"""The part that listens to operators."""

from aiohttp.typedefs import Handler
from aiohttp.web import (
    Application,
    Request,
    Response,
    StreamResponse,
    middleware,
)

from nutmegroad.callers._http_edge import BodyReader, protect
from nutmegroad.callers._http_listener import Listener
from nutmegroad.configuration.changes import Changes
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.peers import Mesh
from nutmegroad.foundations._cost_metrics import CostPublisher
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.types import Presence
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register, registered
from nutmegroad.kernel.stops import GracefulStop
from nutmegroad.membership.members import Members
from nutmegroad.operators.interface import OperatorsInterface
from nutmegroad.operators.operator_access import Access
from nutmegroad.records.explanations import Explanations
from nutmegroad.rollouts.order_controller import OrderController
from nutmegroad.rollouts.rollout_service import RolloutService
from nutmegroad.routing.directory import Directory

_UNAVAILABLE = 503


def add_host_routes(app: Application, kernel: Kernel) -> None:
    """Show metrics, and that a host which stops is not ready."""
    stop = kernel.need(GracefulStop)
    metrics = kernel.need(Metrics)
    publisher = kernel.need(CostPublisher)

    @middleware
    async def fall(request: Request, handler: Handler) -> StreamResponse:
        """Have readiness fall as soon as the stop begins."""
        if request.path == '/readyz' and not stop.is_ready:
            return Response(status=_UNAVAILABLE, text='stopping\n')
        return await handler(request)

    async def show(http: Request) -> Response:
        """Show the metrics."""
        publisher.publish()
        _show_members(kernel)
        return Response(body=metrics.render(), content_type='text/plain')

    app.middlewares.append(fall)
    app.router.add_get('/metrics', show)


def _show_members(kernel: Kernel) -> None:
    """Count the other hosts by how they stand."""
    presences = [one.presence for one in kernel.need(Members).members()]
    for presence in Presence:
        count = presences.count(presence)
        kernel.need(Metrics).state.members(presence, count)


@register('part', 'operators')
class OperatorsPart:
    """Listens to operators."""

    needs = (
        Changes,
        Directory,
        Explanations,
        GracefulStop,
        CostPublisher,
        Listener,
        Members,
        Mesh,
        Metrics,
        OrderController,
        RolloutService,
    )

    async def open(self, kernel: Kernel) -> None:
        """Begin to listen."""
        access = Access(
            kernel.need(Configuration),
            kernel.settings.bootstrap_token,
        )
        kernel.provide(Access, access)
        groups = registered('operator routes').values()
        interface = OperatorsInterface(
            kernel.settings.host,
            kernel.settings.domain,
            kernel.need(Configuration),
            kernel.need(Directory),
            kernel.need(GracefulStop),
            access,
            [make(kernel, access) for make in groups],
        )
        app = interface.application()
        add_host_routes(app, kernel)
        count = kernel.need(Metrics).operator_refused
        BodyReader(kernel.settings.body_timeout, count).protect(app)
        protect(kernel, app, 'operators', count)
        kernel.listening['operators'] = await kernel.need(Listener).listen(
            kernel,
            app,
            kernel.settings.operators,
        )
