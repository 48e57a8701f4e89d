"""The parts that listen to callers and to operators."""

from aiohttp.web import Application, AppRunner, TCPSite

from nutmegroad.billing import Biller
from nutmegroad.callers import CallerParts, CallersInterface
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
from nutmegroad.operators import OperatorsInterface
from nutmegroad.registry import register
from nutmegroad.runs import Runner
from nutmegroad.service_routes import ServiceRoutes
from nutmegroad.services import ServiceCaller
from nutmegroad.sessions import SessionSigner
from nutmegroad.tickets import TicketOffice
from nutmegroad.types import Address


async def listen(
    kernel: Kernel,
    app: Application,
    address: Address,
) -> Address:
    """Serve an application until the kernel closes.

    Returns:
        Where it listens; the port is known even if 0 was asked for.
    """
    runner = AppRunner(
        app,
        access_log=None,
        shutdown_timeout=kernel.settings.drain,
        handler_cancellation=True,
    )
    await runner.setup()
    kernel.stack.push_async_callback(runner.cleanup)
    await TCPSite(runner, address.ip, address.port).start()
    ip, port = runner.addresses[0][:2]
    return Address(ip, port)


@register('part', 'operators')
class OperatorsPart:
    """Listens to operators."""

    needs = (Changes, Directory, Explanations)

    async def open(self, kernel: Kernel) -> None:
        """Begin to listen."""
        interface = OperatorsInterface(
            kernel.settings.host,
            kernel.need(Configuration),
            kernel.need(Changes),
            kernel.need(Directory),
            kernel.need(Explanations),
            kernel.settings.bootstrap_token,
        )
        app = interface.application()
        kernel.listening['operators'] = await listen(
            kernel,
            app,
            kernel.settings.operators,
        )


@register('part', 'callers')
class CallersPart:
    """Listens to callers."""

    needs = (Dispatcher, ServiceCaller, Once, Testator)

    async def open(self, kernel: Kernel) -> None:
        """Begin to listen; at the end wait for what still runs."""
        signer = SessionSigner(kernel.settings.cluster_key)
        kernel.provide(SessionSigner, signer)
        kernel.need(Observers).add(kernel.need(Biller))
        runner = await kernel.stack.enter_async_context(
            Runner(
                kernel.need(Once),
                kernel.need(Biller),
                kernel.need(Testator),
            ),
        )
        interface = CallersInterface(
            self._parts(kernel, runner, signer),
            kernel.incarnation,
            kernel.settings.body_timeout,
        )
        kernel.need(Forwarder).listen(interface.answer_forwarded)
        kernel.listening['callers'] = await listen(
            kernel,
            interface.application(kernel.settings.max_body),
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
        models = ModelParts(
            configuration=configuration,
            desk=IntakeDesk(configuration, signer, kernel.clock),
            dispatcher=kernel.need(Dispatcher),
            runner=runner,
            signer=signer,
            explanations=explanations,
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
            metrics=kernel.need(Metrics),
            clock=kernel.clock,
            randomness=kernel.randomness,
        )
