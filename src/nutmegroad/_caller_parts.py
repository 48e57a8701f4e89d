"""What the callers' interface hands requests to."""

import random
from dataclasses import dataclass

from nutmegroad.clocks import Clock
from nutmegroad.configuration import Configuration
from nutmegroad.forwards import Forwarder
from nutmegroad.metrics import Metrics
from nutmegroad.model_routes import ModelRoutes
from nutmegroad.service_routes import ServiceRoutes
from nutmegroad.tickets import TicketOffice


@dataclass(frozen=True, slots=True)
class CallerParts:
    """What the callers' interface hands requests to.

    Attributes:
        configuration: What is in force.
        models: Answers model requests.
        services: Makes calls to plain services.
        office: Issues tickets.
        forwarder: Hands requests on to the issuers of their tickets.
        metrics: Counts refusals.
        clock: The host's clock.
        randomness: Names requests.
    """

    configuration: Configuration
    models: ModelRoutes
    services: ServiceRoutes
    office: TicketOffice
    forwarder: Forwarder
    metrics: Metrics
    clock: Clock
    randomness: random.Random
