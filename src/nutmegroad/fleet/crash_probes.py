"""Claims probe executions of blocked requests in the platform's store.

In a probe execution, one host executes a blocked request to find out whether
requests with its attributes still crash upstreams. A row holds the attributes
that were claimed, and when.
"""

from collections.abc import Iterable
from typing import Annotated, Final

import msgspec
from msgspec import Struct

from nutmegroad.fleet.crash_records import NEVER
from nutmegroad.fleet.crash_tracker import CrashTracker
from nutmegroad.fleet.request_attributes import (
    AttributeFingerprint,
    RequestAttributes,
)
from nutmegroad.fleet.store_clock import StoreClock
from nutmegroad.fleet.store_interface import (
    FLEET_TABLE,
    Committed,
    RowCondition,
    RowPut,
    Store,
    StoredRow,
)
from nutmegroad.foundations.decoding import IDENTIFIER, Measure, decode_json

CRASHES_KEY_PREFIX: Final = 'crashes/'
PROBES_ROW: Final = 'trials'

#: Seconds between probe executions of any two requests. A request that crashes
#: upstreams does so immediately, so only one probe is running at the time of a
#: crash.
PROBE_INTERVAL: Final = 1.0

#: Seconds after which an attribute may be probed again if the last probe had
#: no result.
PROBE_TIMEOUT: Final = 10.0

#: Maximum number of probe executions of an attribute without an answer, within
#: the time for which probes are remembered. Each may crash an upstream.
MAX_PROBES: Final = 2

#: Seconds for which a probe execution is remembered.
PROBE_RETENTION: Final = 600.0

#: Maximum number of remembered probe executions.
MAX_REMEMBERED_PROBES: Final = 200


class _ProbeEntry(Struct, frozen=True, array_like=True):
    """Probe execution; time in seconds of the store's clock."""

    attribute: Annotated[AttributeFingerprint, IDENTIFIER]
    began: Measure


class _ProbesRow(Struct, frozen=True):
    """The row of the last probe executions."""

    trials: tuple[_ProbeEntry, ...] = ()


class ProbeClaims:
    """Claims probe executions, so that one host at a time makes one.

    Args:
        tracker: Crashes that this host knows of.
        store: The platform's store.
        store_clock: The store's clock.
    """

    def __init__(
        self, tracker: CrashTracker, store: Store, store_clock: StoreClock
    ) -> None:
        self._tracker = tracker
        self._store = store
        self._store_clock = store_clock
        self._row = _ProbesRow()
        self._version = 0

    def apply_row(self, row: StoredRow) -> None:
        """Apply the row that was read from the store.

        Raises:
            UndecodableError: If the row can't be decoded.
        """
        self._row = decode_json(row.content, _ProbesRow)
        self._version = row.version

    def on_store_restored(self) -> None:
        """Forget the row's version, since the store has lost the row."""
        self._version = 0

    async def claim(self, causes: RequestAttributes) -> bool:
        """Claim a probe execution of a blocked request.

        At most one host can claim it; while the store is unavailable, none can.

        Args:
            causes: The attributes for which the request is blocked.

        Returns:
            Whether this host may execute the request now.
        """
        now = self._store_clock.now()
        recent = tuple(
            probe
            for probe in self._row.trials
            if now - probe.began < PROBE_RETENTION
        )
        if any(now - probe.began < PROBE_INTERVAL for probe in recent):
            return False
        attributes = [cause.fingerprint for cause in causes]
        if not all(self._may_probe(each, recent, now) for each in attributes):
            return False
        claimed = tuple(_ProbeEntry(each, now) for each in attributes)
        return await self._write(
            _ProbesRow((*recent, *claimed)[-MAX_REMEMBERED_PROBES:])
        )

    def _may_probe(
        self,
        attribute: AttributeFingerprint,
        recent: tuple[_ProbeEntry, ...],
        now: float,
    ) -> bool:
        """Return whether a request with an attribute may be probed now."""
        record = self._tracker.records.get(attribute)
        answered_at = NEVER
        if record is not None and record.answered_at != NEVER:
            answered_at = self._store_clock.to_store_time(record.answered_at)
        times = [
            probe.began for probe in recent if probe.attribute == attribute
        ]
        return is_probe_due(times, answered_at, now)

    async def _write(self, row: _ProbesRow) -> bool:
        """Write the row unless another host has written it first."""
        key = f'{CRASHES_KEY_PREFIX}{PROBES_ROW}'
        outcome = await self._store.commit(
            (RowCondition(FLEET_TABLE, key, self._version),),
            (RowPut(FLEET_TABLE, key, msgspec.json.encode(row)),),
        )
        if not isinstance(outcome, Committed):
            return False
        self._row = row
        self._version = outcome.version
        return True


def is_probe_due(
    times: Iterable[float], answered_at: float, now: float
) -> bool:
    """Return whether requests with an attribute may be probed once more.

    Args:
        times: Seconds at which they were probed.
        answered_at: Seconds at which one of them was last answered.
        now: Seconds now, by the same clock.
    """
    oldest = max(answered_at, now - PROBE_RETENTION)
    unanswered = [time for time in times if time > oldest]
    if any(now - time < PROBE_TIMEOUT for time in unanswered):
        return False
    return len(unanswered) < MAX_PROBES
