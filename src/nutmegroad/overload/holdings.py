"""The account of memory of the request that the current task serves."""

from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from typing import Final

from nutmegroad.overload.memory_budget import Holding

_HOLDING: Final[ContextVar[Holding | None]] = ContextVar(
    'holding', default=None
)


@contextmanager
def counted_by(holding: Holding) -> Iterator[None]:
    """Count what is held in a block, and in its tasks, for one request.

    Args:
        holding: The account of the request.
    """
    token = _HOLDING.set(holding)
    try:
        yield
    finally:
        _HOLDING.reset(token)


def current_holding() -> Holding | None:
    """Return the account of the present request; None outside of one."""
    return _HOLDING.get()
