"""Whether an upstream has headroom for a larger model's run."""

from dataclasses import dataclass
from typing import Final

#: Part of the time to a route's target from which prompts that wait at the
#: larger model's upstream forbid it: it reads ten times as long as the small
#: one, so while others wait it would take the place of several of them.
WAITING_PART: Final = 1.0

#: Parts of an upstream's slots that are taken: up to the first a larger model
#: costs nobody anything, from the second on each takes another's slot.
ROOMY: Final = 0.8
FULL: Final = 1.3

#: Seconds that stand for no time at all, to divide by.
_INSTANT: Final = 0.001


@dataclass(frozen=True, slots=True)
class Expectation:
    """What would become of a larger model's answer.

    Attributes:
        begins: Seconds until it would begin.
        whole: Seconds until it would be whole.
        ahead: Seconds of prompts that wait where it would run.
        crowd: Part of the slots there that are taken.
    """

    begins: float
    whole: float
    ahead: float = 0
    crowd: float = 0


def headroom(expected: Expectation, target: float) -> float:
    """Return an upstream's headroom for a larger model, from 0 to 1.

    Args:
        expected: What is known of the upstream that would run it.
        target: Seconds in which answers should begin.
    """
    waiting = expected.ahead / max(target * WAITING_PART, _INSTANT)
    crowding = (expected.crowd - ROOMY) / (FULL - ROOMY)
    return max(0, 1 - max(0, waiting, crowding))
