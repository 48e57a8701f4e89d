"""Timeouts for an upstream's response."""

from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from nutmegroad.foundations.clocks import Clock
from nutmegroad.routes.requests import CallerRequest

_Found = TypeVar('_Found')

#: Seconds between checks whether the failure domain of an upstream that has not
#: answered yet has become unresponsive: a third of the shortest time in which
#: that can be detected.
SILENCE_LOOK: Final = 0.25

#: Fraction of a request's remaining time for which an engine may send nothing.
#: It may have long prompts to read that this host does not know of, and an
#: abandoned attempt costs one that a larger model may need.
SILENT_PART: Final = 0.4

#: Multiple of the expected time for which an upstream may send nothing.
SILENT_TIMES: Final = 4.0

#: Minimum seconds without a response before another attempt.
LEAST_SILENCE: Final = 0.3

#: Minimum for an engine, which may take that long for one long prompt.
LEAST_ENGINE_SILENCE: Final = 1.5


def patience_for(
    request: CallerRequest,
    expected: float,
    left: float,
) -> float:
    """Return the seconds after which an upstream counts as unresponsive.

    Args:
        request: The request that was sent there.
        expected: Estimated seconds until the answer begins.
        left: Seconds until the final answer is due.
    """
    usual = expected * SILENT_TIMES
    if request.generation is None:
        return max(LEAST_SILENCE, usual)
    return max(LEAST_ENGINE_SILENCE, usual, left * SILENT_PART)


async def wait_patiently(
    wait: Callable[[float], Awaitable[_Found | None]],
    patience: float,
    is_hopeless: Callable[[], bool],
    clock: Clock,
) -> _Found | None:
    """Wait for a result, checking regularly whether it can still arrive.

    Args:
        wait: Waits up to a number of seconds; returns the result, or None.
        patience: Maximum seconds to wait in all.
        is_hopeless: Returns whether to stop waiting early.
        clock: The host's clock.

    Returns:
        The result, or None if there was none in time.
    """
    latest = clock.now() + patience
    while True:
        left = max(0, latest - clock.now())
        found = await wait(min(left, SILENCE_LOOK))
        if found is not None:
            return found
        if left <= SILENCE_LOOK or is_hopeless():
            return None
