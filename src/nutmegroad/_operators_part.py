"""The part that listens to operators."""

from aiohttp.typedefs import Handler
from aiohttp.web import (
    Application,
    Request,
    Response,
    StreamResponse,
    middleware,
)

from nutmegroad._listening import Listener
from nutmegroad.changes import Changes
from nutmegroad.configuration import Configuration
from nutmegroad.core import Kernel
from nutmegroad.directory import Directory
from nutmegroad.explanations import Explanations
from nutmegroad.metrics import Metrics
from nutmegroad.operator_access import Access
from nutmegroad.operators import OperatorsInterface
from nutmegroad.order_keeper import OrderKeeper
from nutmegroad.registry import register, registered
from nutmegroad.rollout_desk import RolloutDesk
from nutmegroad.stops import GracefulStop

_UNAVAILABLE = 503


def add_host_routes(app: Application, kernel: Kernel) -> None:
    """Show metrics, and that a host which stops is not ready."""
    stop = kernel.need(GracefulStop)
    metrics = kernel.need(Metrics)

    @middleware
    async def fall(request: Request, handler: Handler) -> StreamResponse:
        """Have readiness fall as soon as the stop begins."""
        if request.path == '/readyz' and not stop.is_ready:
            return Response(status=_UNAVAILABLE, text='stopping\n')
        return await handler(request)

    async def show(http: Request) -> Response:
        """Show the metrics."""
        return Response(body=metrics.render(), content_type='text/plain')

    app.middlewares.append(fall)
    app.router.add_get('/metrics', show)


@register('part', 'operators')
class OperatorsPart:
    """Listens to operators."""

    needs = (
        Changes,
        Directory,
        Explanations,
        GracefulStop,
        Listener,
        Metrics,
        OrderKeeper,
        RolloutDesk,
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
            kernel.need(Configuration),
            kernel.need(Directory),
            kernel.need(Explanations),
            access,
            [make(kernel, access) for make in groups],
        )
        app = interface.application()
        add_host_routes(app, kernel)
        kernel.listening['operators'] = await kernel.need(Listener).listen(
            kernel,
            app,
            kernel.settings.operators,
        )
