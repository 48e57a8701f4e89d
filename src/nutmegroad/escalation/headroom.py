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
class AnswerEstimate:
    """Estimate of a larger model's answer at the upstream that would be chosen.

    Attributes:
        start_seconds: Seconds until the answer would begin.
        complete_seconds: Seconds until the answer would be complete.
        queued_seconds: Seconds of prompts that are queued at the upstream.
        occupancy: Running requests as a fraction of the upstream's slots; may
            exceed 1.
    """

    start_seconds: float
    complete_seconds: float
    queued_seconds: float = 0
    occupancy: float = 0


def headroom(estimate: AnswerEstimate, target: float) -> float:
    """Return an upstream's headroom for a larger model, from 0 to 1.

    Args:
        estimate: The estimate for the upstream that would execute the request.
        target: Seconds within which answers should begin.
    """
    queued = estimate.queued_seconds / max(
        target * MAX_QUEUE_FRACTION, _MIN_SECONDS
    )
    occupied = (estimate.occupancy - LOW_OCCUPANCY) / (
        HIGH_OCCUPANCY - LOW_OCCUPANCY
    )
    return max(0, 1 - max(0, queued, occupied))
