"""What must always hold, looked at while the program runs.

A check never takes a request down: in the daemon one that fails is counted
and logged, and whoever asked for it goes on as is safest.
"""

from collections import Counter
from typing import Final, NoReturn, Protocol

from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.metrics import Metrics

_LOG: Final = part_logger('invariants')

#: A request that may not be repeated goes out at most once.
ONE_DISPATCH: Final = 'one_dispatch'
#: There is one billing record for each request.
ONE_RECORD: Final = 'one_record'
#: What is refused as not run has not gone out.
TRUE_NOT_RUN: Final = 'true_not_run'


class Invariants(Protocol):
    """Where parts say whether what must hold does hold."""

    def check(self, name: str, held: bool, detail: str) -> bool:
        """Take in a check, and return whether it held."""


class CountedInvariants:
    """Counts and logs what did not hold; a daemon has this kind.

    Args:
        metrics: Where failures are counted.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def check(self, name: str, held: bool, detail: str) -> bool:
        """Count and log a check that failed."""
        if not held:
            self._metrics.invariant_failed(name)
            _LOG.error('%s does not hold: %s', name, detail)
        return held


class StrictInvariants:
    """Raises at once; tests have this kind.

    Attributes:
        held: How often each check held.
    """

    def __init__(self) -> None:
        self.held: Counter[str] = Counter()

    def check(self, name: str, held: bool, detail: str) -> bool:
        """Raise if the check failed.

        Raises:
            AssertionError: If it did not hold.
        """
        if not held:
            _fail(f'{name} does not hold: {detail}')
        self.held[name] += 1
        return held


def _fail(message: str) -> NoReturn:
    raise AssertionError(message)
