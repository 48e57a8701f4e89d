"""Stand-ins for the store and the connections of a simulated fleet."""

from collections.abc import Callable
from typing import Any, Final

from nutmegroad.fleet.store_interface import (
    Committed,
    RowCondition,
    RowPut,
    StoredRow,
    VersionConflict,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal
from nutmegroad.relay.process_checks import ProcessState
from nutmegroad.relay.sockets import ConnectionFailedError
from nutmegroad.upstreams.directory import Upstream
from tests.relay_samples import AWAY

#: Seconds of a call of the store, and of a connection attempt.
STORE_DELAY: Final = 0.01
CONNECT_DELAY: Final = 0.002


class SharedStore:
    """A store with conditional writes, whose rows all hosts read.

    Args:
        clock: Clock of everything.
        away: Seconds from and until which the store is unavailable.
        on_change: Called when rows have changed.
    """

    @property
    def is_away(self) -> bool:
        """Whether the store does not answer now."""
        begin, end = self._away
        return begin <= self._clock.now() < end

    def __init__(
        self,
        clock: Clock,
        away: tuple[float, float],
        on_change: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._away = away
        self._on_change = on_change
        self.rows: dict[str, StoredRow] = {}
        self._version = 0

    async def commit(
        self,
        expected: tuple[RowCondition, ...],
        puts: tuple[RowPut, ...],
    ) -> Committed | VersionConflict | Refusal:
        """Write all rows if all conditions hold, otherwise none."""
        await self._clock.sleep(STORE_DELAY)
        if self.is_away:
            return AWAY
        if any(self._version_of(row.key) != row.version for row in expected):
            return VersionConflict()
        self._version += 1
        for put in puts:
            self.rows[put.key] = StoredRow(put.key, put.content, self._version)
        self._on_change()
        return Committed(self._version, 0)

    def _version_of(self, key: str) -> int:
        """Return the version of a row; 0 if it does not exist."""
        row = self.rows.get(key)
        return 0 if row is None else row.version


class RefusingPool:
    """Connects to engines, for the checks whether they have ended.

    Args:
        clock: Clock of everything.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    async def open(self, address: Any, timeout: float) -> Any:
        """Refuse the connection; only engines that have crashed are checked."""
        del timeout
        await self._clock.sleep(CONNECT_DELAY)
        raise ConnectionFailedError(
            f'{address} refused', sent=False, refused=True
        )


class ConfirmingVerifier:
    """Confirms that engines have ended."""

    async def verify(self, upstream: Upstream, **checks: bool) -> ProcessState:
        """Return that the upstream has ended."""
        del upstream, checks
        return ProcessState.ENDED
