"""The part that listens to callers."""

from nutmegroad._caller_guard import CallerGuard
from nutmegroad._caller_parts import CallerParts
from nutmegroad._http_edge import protect
from nutmegroad._http_listener import listen
from nutmegroad.billing import Biller
from nutmegroad.callers import CallersInterface
from nutmegroad.configuration import Configuration
from nutmegroad.core import Kernel
from nutmegroad.dispatch import Dispatcher
from nutmegroad.explanations import Explanations
from nutmegroad.intake import IntakeDesk
from nutmegroad.intents import IntentLedger
from nutmegroad.metrics import Metrics
from nutmegroad.registry import register
from nutmegroad.services import ServiceCaller
from nutmegroad.session_names import SessionNames
from nutmegroad.session_pins import SessionPins
from nutmegroad.sessions import SessionSigner
from nutmegroad.stops import GracefulStop


@register('part', 'callers')
class CallersPart:
    """Listens to callers."""

    needs = (
        Dispatcher,
        ServiceCaller,
        IntentLedger,
        Biller,
        SessionNames,
        GracefulStop,
        Metrics,
    )

    async def open(self, kernel: Kernel) -> None:
        """Begin to listen."""
        configuration = kernel.need(Configuration)
        signer = SessionSigner(
            kernel.settings.cluster_key,
            kernel.settings.cluster_key_old,
        )
        kernel.provide(SessionSigner, signer)
        dispatcher = kernel.need(Dispatcher)
        pins = SessionPins(
            kernel.need(SessionNames),
            dispatcher,
            configuration,
            signer,
        )
        parts = CallerParts(
            configuration=configuration,
            desk=IntakeDesk(configuration, signer, kernel.clock),
            dispatcher=dispatcher,
            services=kernel.need(ServiceCaller),
            intents=kernel.need(IntentLedger),
            biller=kernel.need(Biller),
            explanations=kernel.need(Explanations),
            pins=pins,
            metrics=kernel.need(Metrics),
            clock=kernel.clock,
            randomness=kernel.randomness,
        )
        interface = CallersInterface(
            parts,
            kernel.incarnation,
            kernel.settings.body_timeout,
        )
        app = interface.application(kernel.settings.max_body)
        stop = kernel.need(GracefulStop)
        metrics = kernel.need(Metrics)
        CallerGuard(stop, metrics).protect(app)
        protect(kernel, app, 'callers', metrics.refused)
        kernel.listening['callers'] = await listen(
            kernel,
            app,
            kernel.settings.callers,
        )
