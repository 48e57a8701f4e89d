"""Invariants that are checked while the program runs.

A failed check never fails a request by itself: the daemon counts and logs it,
and the code that asked for the check continues in the safest way.
"""

from collections import Counter
from typing import Final, NoReturn, Protocol

from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.metrics import Metrics

_LOG: Final = part_logger('invariants')

#: A request that may not be repeated is dispatched at most once.
ONE_DISPATCH: Final = 'one_dispatch'
#: Each request has exactly one billing record.
ONE_RECORD: Final = 'one_record'
#: A request that is refused as not run was never dispatched.
TRUE_NOT_RUN: Final = 'true_not_run'


class Invariants(Protocol):
    """Receives the results of invariant checks from the parts."""

    def check(self, name: str, held: bool, detail: str) -> bool:
        """Report the result of a check, and return it.

        Args:
            name: Name of the invariant.
            held: Whether the invariant holds.
            detail: What was found, for the log.
        """


class CountedInvariants:
    """Counts and logs violations; used by the daemon.

    Args:
        metrics: Metrics that count the violations.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def check(self, name: str, held: bool, detail: str) -> bool:
        """Count and log the check if it failed, and return its result."""
        if not held:
            self._metrics.invariant_failed(name)
            _LOG.error('invariant %s violated: %s', name, detail)
        return held


class StrictInvariants:
    """Raises an exception on a violation; used by tests.

    Attributes:
        held: Number of checks that passed, by invariant.
    """

    def __init__(self) -> None:
        self.held: Counter[str] = Counter()

    def check(self, name: str, held: bool, detail: str) -> bool:
        """Raise an exception if the check failed.

        Raises:
            AssertionError: If the invariant does not hold.
        """
        if not held:
            _fail(f'invariant {name} violated: {detail}')
        self.held[name] += 1
        return held


def _fail(message: str) -> NoReturn:
    raise AssertionError(message)
