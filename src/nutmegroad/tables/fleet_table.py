"""Applies updates of the fleet table, which the relay's hosts write themselves.

Its rows hold the progress of rollouts, evidence on versions, crashes, and the
registration of each host.
"""

from typing import Final

import msgspec

from nutmegroad.canary.rollouts import RolloutRow
from nutmegroad.canary.state import RolloutState
from nutmegroad.canary.steps import EVIDENCE_KEY, STEP_KEY
from nutmegroad.fleet.crash_probes import CRASHES_KEY_PREFIX
from nutmegroad.fleet.evidence import Evidence
from nutmegroad.fleet.host_registration import HOST_KEY_PREFIX, HostRow
from nutmegroad.fleet.hosts import FleetHosts
from nutmegroad.fleet.store_interface import RowsRead, StoredRow
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import HostId, ServiceName

_LOG: Final = part_logger('fleet')


class FleetSink:
    """Applies updates of the fleet table to this host's state.

    Args:
        state: State of all rollouts.
        hosts: The other hosts.
    """

    def __init__(self, state: RolloutState, hosts: FleetHosts) -> None:
        self._state = state
        self._hosts = hosts

    def replace(self, read: RowsRead) -> None:
        """Apply a full snapshot."""
        self.apply(read)
        self._hosts.on_hosts_loaded()
        self._state.registry.apply_snapshot(
            {
                ServiceName(row.key.removeprefix(STEP_KEY))
                for row in read.rows
                if row.key.startswith(STEP_KEY) and not row.removed
            },
            read.version,
        )

    def apply(self, read: RowsRead) -> None:
        """Apply a table update."""
        for row in read.rows:
            if row.removed:
                continue
            self._apply_row(row, read.store_time)

    def confirm(self, moment: float, read: RowsRead) -> None:
        """Do nothing: if rows are late, this host only reacts later."""

    def on_store_unavailable(self) -> None:
        """Do nothing: each host continues with what it knows."""

    def on_store_restored(self) -> None:
        """Record that rows of the seconds before the restore are missing."""
        self._hosts.on_store_restored()

    def _apply_row(self, row: StoredRow, store_time: float) -> None:
        """Apply one row; log and ignore a row that can't be decoded."""
        kind, _, rest = row.key.partition('/')
        try:
            self._decode(f'{kind}/', rest, row, store_time)
        except msgspec.DecodeError as problem:
            _LOG.decision('row ignored', key=row.key, reason=str(problem))

    def _decode(
        self,
        kind: str,
        name: str,
        row: StoredRow,
        store_time: float,
    ) -> None:
        """Decode and apply one row."""
        if kind == STEP_KEY:
            step = msgspec.json.decode(row.content, type=RolloutRow)
            self._state.registry.apply_progress(
                ServiceName(name), step, row.version
            )
        elif kind == EVIDENCE_KEY:
            service, _, host = name.rpartition('/')
            self._state.merge_evidence(
                ServiceName(service),
                HostId(host),
                msgspec.json.decode(row.content, type=Evidence),
            )
        elif kind == CRASHES_KEY_PREFIX:
            self._hosts.crash_rows.apply_row(name, row, store_time)
        elif kind == HOST_KEY_PREFIX:
            self._hosts.add_host(
                HostId(name),
                msgspec.json.decode(row.content, type=HostRow),
            )
