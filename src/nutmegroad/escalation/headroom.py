"""Estimates whether an upstream has headroom for a larger model's execution."""

from dataclasses import dataclass
from typing import Final

#: Fraction of the route's target latency at which the prompts that are queued
#: at the larger model's upstream forbid an escalation. The larger model takes
#: ten times as long as the small one to read a prompt, so with a queue behind
#: it, one escalation would displace several other requests.
MAX_QUEUE_FRACTION: Final = 1.0

#: Fractions of an upstream's slots that are in use. Below the first, an
#: escalation delays no other request; from the second on, each escalation takes
#: the slot of another request.
LOW_OCCUPANCY: Final = 0.8
HIGH_OCCUPANCY: Final = 1.3

#: Minimum divisor in seconds, to avoid a division by zero.
_MIN_SECONDS: Final = 0.001


@dataclass(frozen=True, slots=True)
class Expectation:
    """Estimate of a larger model's answer at the upstream that would be chosen.

    Attributes:
        begins: Seconds until the answer would begin.
        whole: Seconds until the answer would be complete.
        ahead: Seconds of prompts that are queued at the upstream.
        crowd: Running requests as a fraction of the upstream's slots; may
            exceed 1.
    """

    begins: float
    whole: float
    ahead: float = 0
    crowd: float = 0


def headroom(estimate: Expectation, target: float) -> float:
    """Return an upstream's headroom for a larger model, from 0 to 1.

    Args:
        estimate: The estimate for the upstream that would execute the request.
        target: Seconds within which answers should begin.
    """
    queued = estimate.ahead / max(target * MAX_QUEUE_FRACTION, _MIN_SECONDS)
    occupied = (estimate.crowd - LOW_OCCUPANCY) / (
        HIGH_OCCUPANCY - LOW_OCCUPANCY
    )
    return max(0, 1 - max(0, queued, occupied))
