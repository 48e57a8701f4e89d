"""Waiting for an upstream, as long as there is hope."""

from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from nutmegroad.foundations.clocks import Clock

_Found = TypeVar('_Found')

#: Seconds between looks whether the failure domain of an upstream that has not
#: answered yet has fallen silent: a third of the least time in which it can.
SILENCE_LOOK: Final = 0.25


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
