"""The parts that listen to callers and to operators."""

from aiohttp.web import Application, AppRunner, TCPSite

from nutmegroad._order_routes import OrderRoutes
from nutmegroad._rollout_routes import RolloutDesk, RolloutRoutes
from nutmegroad.billing import Biller
from nutmegroad.callers import CallerParts, CallersInterface
from nutmegroad.changes import Changes
from nutmegroad.configuration import Configuration
from nutmegroad.core import Kernel
from nutmegroad.directory import Directory
from nutmegroad.dispatch import Dispatcher
from nutmegroad.explanations import Explanations
from nutmegroad.intake import IntakeDesk
from nutmegroad.intents import IntentLedger
from nutmegroad.operators import OperatorsInterface
from nutmegroad.order_keeper import OrderKeeper
from nutmegroad.registry import register
from nutmegroad.services import ServiceCaller
from nutmegroad.sessions import SessionSigner
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

    needs = (Changes, Directory, Explanations, RolloutDesk, OrderKeeper)

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
        routes = RolloutRoutes(kernel.need(RolloutDesk), interface.authorize)
        routes.add_to(app)
        orders = OrderRoutes(kernel.need(OrderKeeper), interface.authorize)
        orders.add_to(app)
        kernel.listening['operators'] = await listen(
            kernel,
            app,
            kernel.settings.operators,
        )


@register('part', 'callers')
class CallersPart:
    """Listens to callers."""

    needs = (Dispatcher, ServiceCaller, IntentLedger, Biller)

    async def open(self, kernel: Kernel) -> None:
        """Begin to listen."""
        configuration = kernel.need(Configuration)
        signer = SessionSigner(kernel.settings.cluster_key)
        kernel.provide(SessionSigner, signer)
        parts = CallerParts(
            configuration=configuration,
            desk=IntakeDesk(configuration, signer, kernel.clock),
            dispatcher=kernel.need(Dispatcher),
            services=kernel.need(ServiceCaller),
            intents=kernel.need(IntentLedger),
            signer=signer,
            biller=kernel.need(Biller),
            explanations=kernel.need(Explanations),
            clock=kernel.clock,
            randomness=kernel.randomness,
        )
        interface = CallersInterface(
            parts,
            kernel.incarnation,
            kernel.settings.body_timeout,
        )
        kernel.listening['callers'] = await listen(
            kernel,
            interface.application(kernel.settings.max_body),
            kernel.settings.callers,
        )
