"""Applies updates of the fleet table, which the relay's hosts write themselves.

Its rows hold the progress of rollouts, evidence on versions, crashes, and the
registration of each host.
"""

from functools import partial

from nutmegroad.canary.rollouts import RolloutRow
from nutmegroad.canary.state import RolloutState
from nutmegroad.canary.steps import EVIDENCE_KEY, STEP_KEY
from nutmegroad.fleet.crash_probes import CRASHES_KEY_PREFIX
from nutmegroad.fleet.evidence import Evidence
from nutmegroad.fleet.host_registration import HOST_KEY_PREFIX, HostRow
from nutmegroad.fleet.hosts import FleetHosts
from nutmegroad.fleet.store_interface import RowsRead, StoredRow
from nutmegroad.foundations.decoding import decode_json, is_host_ip
from nutmegroad.foundations.types import HostId, ServiceName
from nutmegroad.tables.row_guard import RowGuard


class FleetSink:
    """Applies updates of the fleet table to this host's state.

    Args:
        state: State of all rollouts.
        hosts: The other hosts.
        guard: Isolates the rows of the table.
    """

    def __init__(
        self, state: RolloutState, hosts: FleetHosts, guard: RowGuard
    ) -> None:
        self._guard = guard
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
        self._guard.apply(
            read.rows, partial(self._apply_row, store_time=read.store_time)
        )

    def confirm(self, moment: float, read: RowsRead) -> None:
        """Do nothing: if rows are late, this host only reacts later."""

    def on_store_unavailable(self) -> None:
        """Do nothing: each host continues with what it knows."""

    def on_store_restored(self) -> None:
        """Record that rows of the seconds before the restore are missing."""
        self._hosts.on_store_restored()

    def _apply_row(self, row: StoredRow, store_time: float) -> None:
        """Apply one row.

        What this host knows from an earlier state of a row that can't be read
        remains: it only grows, or is the address of a host.

        Raises:
            UndecodableError: If the row can't be decoded.
        """
        if row.removed:
            return
        prefix, _, name = row.key.partition('/')
        kind = f'{prefix}/'
        if kind == STEP_KEY:
            self._apply_step(ServiceName(name), row)
        elif kind == EVIDENCE_KEY:
            self._apply_evidence(name, row)
        elif kind == CRASHES_KEY_PREFIX:
            self._hosts.crash_rows.apply_row(name, row, store_time)
        elif kind == HOST_KEY_PREFIX:
            self._apply_host(HostId(name), row)

    def _apply_step(self, service: ServiceName, row: StoredRow) -> None:
        """Apply the progress of a rollout."""
        step = decode_json(row.content, RolloutRow)
        self._state.registry.apply_progress(service, step, row.version)

    def _apply_evidence(self, name: str, row: StoredRow) -> None:
        """Apply the evidence of a host on a version."""
        service, _, host = name.rpartition('/')
        self._state.merge_evidence(
            ServiceName(service),
            HostId(host),
            decode_json(row.content, Evidence),
        )

    def _apply_host(self, host: HostId, row: StoredRow) -> None:
        """Apply the registration of a host."""
        registration = decode_json(row.content, HostRow)
        if not is_host_ip(registration.ip):
            raise ValueError(
                f'ip is {registration.ip!r}, not the IPv4 address of a machine'
            )
        self._hosts.add_host(host, registration)
