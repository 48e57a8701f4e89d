"""Timeouts for an upstream's response."""

from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from nutmegroad.foundations.clocks import Clock
from nutmegroad.routes.requests import CallerRequest

_Result = TypeVar('_Result')

#: Seconds between checks whether the failure domain of an upstream that has not
#: answered yet has become unresponsive: a third of the shortest time in which
#: that can be detected.
REACHABILITY_CHECK_INTERVAL: Final = 0.25

#: Fraction of a request's remaining time for which an engine may send nothing.
#: It may have long prompts to read that this host does not know of, and
#: abandoning it uses up an attempt that a larger model may need.
REMAINING_TIME_FRACTION: Final = 0.4

#: Multiple of the expected time for which an upstream may send nothing.
EXPECTED_TIME_FACTOR: Final = 4.0

#: Minimum seconds without a response before another attempt.
MIN_TIMEOUT: Final = 0.3

#: Minimum seconds for an engine, which may take that long for one long prompt.
MIN_ENGINE_TIMEOUT: Final = 1.5


def response_timeout(
    request: CallerRequest,
    expected: float,
    time_left: float,
) -> float:
    """Return the seconds after which an upstream counts as unresponsive.

    Args:
        request: The request that was sent there.
        expected: Estimated seconds until the answer begins.
        time_left: Seconds until the final answer is due.
    """
    scaled = expected * EXPECTED_TIME_FACTOR
    if request.generation is None:
        return max(MIN_TIMEOUT, scaled)
    return max(MIN_ENGINE_TIMEOUT, scaled, time_left * REMAINING_TIME_FRACTION)


async def wait_while_reachable(
    wait: Callable[[float], Awaitable[_Result | None]],
    timeout: float,
    is_unreachable: Callable[[], bool],
    clock: Clock,
) -> _Result | None:
    """Wait for a result, checking regularly whether it can still arrive.

    Args:
        wait: Waits up to a number of seconds; returns the result, or None.
        timeout: Maximum seconds to wait in all.
        is_unreachable: Returns whether to stop waiting early.
        clock: The host's clock.

    Returns:
        The result, or None if there was none before the timeout or before
        ``is_unreachable`` ended the wait.
    """
    deadline = clock.now() + timeout
    while True:
        remaining = max(0, deadline - clock.now())
        result = await wait(min(remaining, REACHABILITY_CHECK_INTERVAL))
        if result is not None:
            return result
        if remaining <= REACHABILITY_CHECK_INTERVAL or is_unreachable():
            return None
