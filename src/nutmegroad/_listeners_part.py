"""The parts that listen to callers and to operators."""

from typing import Protocol

from aiohttp.typedefs import Handler
from aiohttp.web import (
    Application,
    AppRunner,
    Request,
    Response,
    StreamResponse,
    TCPSite,
    middleware,
)

from nutmegroad._caller_guard import CallerGuard
from nutmegroad._caller_parts import CallerParts
from nutmegroad.billing import Biller
from nutmegroad.callers import CallersInterface
from nutmegroad.changes import Changes
from nutmegroad.configuration import Configuration
from nutmegroad.core import Kernel
from nutmegroad.decisions import Observers
from nutmegroad.directory import Directory
from nutmegroad.dispatch import Dispatcher
from nutmegroad.explanations import Explanations
from nutmegroad.forwards import Forwarder
from nutmegroad.heirs import Testator
from nutmegroad.intake import IntakeDesk
from nutmegroad.metrics import Metrics
from nutmegroad.model_routes import ModelParts, ModelRoutes
from nutmegroad.once import Once
from nutmegroad.operator_access import Access
from nutmegroad.operators import OperatorsInterface
from nutmegroad.registry import register, registered
from nutmegroad.runs import Runner
from nutmegroad.service_routes import ServiceRoutes
from nutmegroad.services import ServiceCaller
from nutmegroad.session_names import SessionNames
from nutmegroad.session_pins import SessionPins
from nutmegroad.sessions import SessionSigner
from nutmegroad.stops import GracefulStop
from nutmegroad.tickets import TicketOffice
from nutmegroad.types import Address

#: Seconds that a listener's last replies may take when it closes.
LAST_REPLIES = 1.0

_UNAVAILABLE = 503


class Listener(Protocol):
    """Serves applications, as a rule on sockets."""

    async def listen(
        self,
        kernel: Kernel,
        app: Application,
        address: Address,
    ) -> Address:
        """Serve an application until the kernel closes.

        Returns:
            Where it listens; the port is known even if 0 was asked for.
        """


class SocketListener:
    """Serves applications on TCP sockets."""

    async def listen(
        self,
        kernel: Kernel,
        app: Application,
        address: Address,
    ) -> Address:
        """Serve an application until the kernel closes."""
        return await _serve(kernel, app, address)


async def _serve(
    kernel: Kernel,
    app: Application,
    address: Address,
) -> Address:
    """Serve an application on a TCP socket until the kernel closes."""
    runner = AppRunner(
        app,
        access_log=None,
        # The graceful stop has waited for what was open before this.
        shutdown_timeout=LAST_REPLIES,
        handler_cancellation=True,
    )
    await runner.setup()
    kernel.stack.push_async_callback(runner.cleanup)
    await TCPSite(runner, address.ip, address.port).start()
    ip, port = runner.addresses[0][:2]
    return Address(ip, port)


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


@register('part', 'listener')
class ListenerPart:
    """Provides what serves the applications of the other parts."""

    needs = ()

    async def open(self, kernel: Kernel) -> None:
        """Serve on sockets."""
        kernel.provide(Listener, SocketListener())


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


@register('part', 'callers')
class CallersPart:
    """Listens to callers."""

    needs = (
        Dispatcher,
        ServiceCaller,
        Once,
        Testator,
        SessionNames,
        GracefulStop,
        Listener,
        Metrics,
    )

    async def open(self, kernel: Kernel) -> None:
        """Begin to listen."""
        signer = SessionSigner(kernel.settings.cluster_key)
        kernel.provide(SessionSigner, signer)
        biller = kernel.need(Biller)
        kernel.need(Observers).add(biller)
        runner = await kernel.stack.enter_async_context(
            Runner(kernel.need(Once), biller, kernel.need(Testator)),
        )
        interface = CallersInterface(
            self._parts(kernel, runner, signer),
            kernel.incarnation,
            kernel.settings.body_timeout,
        )
        kernel.need(Forwarder).listen(interface.answer_forwarded)
        app = interface.application(kernel.settings.max_body)
        stop = kernel.need(GracefulStop)
        CallerGuard(stop, kernel.need(Metrics)).protect(app)
        kernel.listening['callers'] = await kernel.need(Listener).listen(
            kernel,
            app,
            kernel.settings.callers,
        )

    def _parts(
        self,
        kernel: Kernel,
        runner: Runner,
        signer: SessionSigner,
    ) -> CallerParts:
        """Return what requests are handed to."""
        configuration = kernel.need(Configuration)
        explanations = kernel.need(Explanations)
        metrics = kernel.need(Metrics)
        dispatcher = kernel.need(Dispatcher)
        models = ModelParts(
            desk=IntakeDesk(configuration, signer, kernel.clock),
            dispatcher=dispatcher,
            runner=runner,
            pins=SessionPins(
                kernel.need(SessionNames),
                dispatcher,
                configuration,
                signer,
            ),
            explanations=explanations,
            metrics=metrics,
            clock=kernel.clock,
        )
        services = ServiceRoutes(
            kernel.need(ServiceCaller),
            runner,
            explanations,
            kernel.clock,
        )
        return CallerParts(
            configuration=configuration,
            models=ModelRoutes(models),
            services=services,
            office=kernel.need(TicketOffice),
            forwarder=kernel.need(Forwarder),
            metrics=metrics,
            clock=kernel.clock,
            randomness=kernel.randomness,
        )
