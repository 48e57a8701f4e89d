"""What the callers' interface is put together from."""

import random
from dataclasses import dataclass

from nutmegroad.billing import Biller
from nutmegroad.clocks import Clock
from nutmegroad.configuration import Configuration
from nutmegroad.dispatch import Dispatcher
from nutmegroad.explanations import Explanations
from nutmegroad.intake import IntakeDesk
from nutmegroad.intents import IntentLedger
from nutmegroad.metrics import Metrics
from nutmegroad.services import ServiceCaller
from nutmegroad.session_pins import SessionPins


@dataclass(frozen=True, slots=True)
class CallerParts:
    """What the callers' interface hands requests to.

    Attributes:
        configuration: What is in force.
        desk: Understands model requests.
        dispatcher: Answers model requests.
        services: Makes calls to plain services.
        intents: Keeps what may not be repeated from running twice.
        biller: Takes billing records.
        explanations: Keeps what happened.
        pins: Holds sessions to their versions.
        metrics: Counts what happens.
        clock: The host's clock.
        randomness: Names requests.
    """

    configuration: Configuration
    desk: IntakeDesk
    dispatcher: Dispatcher
    services: ServiceCaller
    intents: IntentLedger
    biller: Biller
    explanations: Explanations
    pins: SessionPins
    metrics: Metrics
    clock: Clock
    randomness: random.Random
