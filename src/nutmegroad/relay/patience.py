"""Waiting for an upstream, as long as there is hope."""

from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from nutmegroad.foundations.clocks import Clock
from nutmegroad.routes.requests import CallerRequest

_Found = TypeVar('_Found')

#: Seconds between looks whether the failure domain of an upstream that has not
#: answered yet has fallen silent: a third of the least time in which it can.
SILENCE_LOOK: Final = 0.25

#: Part of what is left of a request's time that an engine may stay silent: it
#: may have long prompts to read that nobody told us of, and one that is left
#: costs an attempt which a larger model may need.
SILENT_PART: Final = 0.4

#: Times the usual wait that an attempt may stay silent.
SILENT_TIMES: Final = 4.0

#: Least seconds of silence before another attempt.
LEAST_SILENCE: Final = 0.3

#: The same for an engine: a long prompt alone may take as long.
LEAST_ENGINE_SILENCE: Final = 1.5


def patience_for(
    request: CallerRequest,
    expected: float,
    left: float,
) -> float:
    """Return the seconds from which silence speaks against an upstream.

    Args:
        request: What was sent there.
        expected: Seconds until an answer should begin.
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
    """Return what comes within some time, or None.

    Args:
        wait: Waits for so many seconds, and returns what has come or None.
        patience: Seconds to wait in all.
        is_hopeless: Tells whether to wait no longer.
        clock: The host's clock.
    """
    latest = clock.now() + patience
    while True:
        left = max(0, latest - clock.now())
        found = await wait(min(left, SILENCE_LOOK))
        if found is not None:
            return found
        if left <= SILENCE_LOOK or is_hopeless():
            return None
