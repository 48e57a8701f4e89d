"""The operators' rule on the requests that a limited upstream may get."""

from collections.abc import Sequence
from typing import Final

#: Seconds of the windows in which requests are counted.
WINDOW: Final = 4.0

#: Factor by which a window may exceed the limit, and requests beyond that.
TOLERATED_RATIO: Final = 1.5
TOLERATED_EXCESS: Final = 5

#: Seconds from the first answer that names a limit until requests count.
CONTACT: Final = 3.0


def allowed_requests(limit: float) -> float:
    """Return how many requests may arrive in a window.

    Args:
        limit: Requests in a second that the upstream takes.
    """
    return TOLERATED_RATIO * WINDOW * limit + TOLERATED_EXCESS


def most_requests(times: Sequence[float]) -> int:
    """Return the most requests in a window.

    Args:
        times: When each request arrived, in seconds and in order.
    """
    most = 0
    first = 0
    for last, time in enumerate(times):
        while times[first] <= time - WINDOW:
            first += 1
        most = max(most, last + 1 - first)
    return most
