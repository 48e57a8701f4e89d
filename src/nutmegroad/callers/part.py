"""The kernel part that serves the callers' HTTP interface."""

from nutmegroad.callers._caller_context import CallerContext
from nutmegroad.callers._guards import install_guards
from nutmegroad.callers._http_listener import Listener
from nutmegroad.callers._json_refusals import make_quick_refusals
from nutmegroad.callers.intake import IntakeReader
from nutmegroad.callers.interface import CallersInterface
from nutmegroad.callers.model_routes import ModelContext, ModelRoutes
from nutmegroad.callers.named_sessions import NamedSessions
from nutmegroad.callers.service_routes import ServiceRoutes
from nutmegroad.callers.session_pins import SessionPins
from nutmegroad.callers.session_tokens import SessionSigner
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.decisions import Observers
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.kernel.stops import GracefulStop
from nutmegroad.records.at_most_once import AtMostOnce
from nutmegroad.records.billing import Biller
from nutmegroad.records.explanations import Explanations
from nutmegroad.records.forwards import Forwarder
from nutmegroad.records.record_copies import RecordSender
from nutmegroad.records.runs import Runner
from nutmegroad.records.tickets import TicketIssuer
from nutmegroad.routing.dispatch import Dispatcher
from nutmegroad.routing.gates import Gatekeeper
from nutmegroad.routing.services import ServiceCaller


@register('part', 'callers')
class CallersPart:
    """Serves callers over HTTP."""

    needs = (
        Dispatcher,
        Gatekeeper,
        ServiceCaller,
        AtMostOnce,
        RecordSender,
        NamedSessions,
        GracefulStop,
        Listener,
        Metrics,
    )

    async def open(self, kernel: Kernel) -> None:
        """Build the interface and start to listen."""
        signer = SessionSigner(
            kernel.settings.cluster_key,
            kernel.settings.cluster_key_old,
        )
        kernel.provide(SessionSigner, signer)
        biller = kernel.need(Biller)
        kernel.need(Observers).add(biller)
        runner = await kernel.stack.enter_async_context(
            Runner(kernel.need(AtMostOnce), biller, kernel.need(RecordSender)),
        )
        interface = CallersInterface(
            self._make_context(kernel, runner, signer),
            kernel.incarnation,
            kernel.settings.body_timeout,
            kernel.settings.max_body,
        )
        kernel.need(Forwarder).listen(interface.answer_forwarded)
        app = interface.application()
        install_guards(kernel, app)
        kernel.listening['callers'] = await kernel.need(Listener).listen(
            kernel,
            app,
            kernel.settings.callers,
            make_quick_refusals(kernel, kernel.need(Metrics)),
        )

    def _make_context(
        self,
        kernel: Kernel,
        runner: Runner,
        signer: SessionSigner,
    ) -> CallerContext:
        """Return the components that answer requests."""
        configuration = kernel.need(Configuration)
        explanations = kernel.need(Explanations)
        metrics = kernel.need(Metrics)
        dispatcher = kernel.need(Dispatcher)
        models = ModelContext(
            reader=IntakeReader(configuration, signer),
            dispatcher=dispatcher,
            runner=runner,
            pins=SessionPins(
                kernel.need(NamedSessions),
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
        return CallerContext(
            configuration=configuration,
            models=ModelRoutes(models),
            services=services,
            issuer=kernel.need(TicketIssuer),
            forwarder=kernel.need(Forwarder),
            metrics=metrics,
            clock=kernel.clock,
            randomness=kernel.randomness,
        )
