"""Shares the monitoring of upstreams among the hosts.

Two hosts of an engine's domain poll it: the first every period, the second
every other period. They broadcast changes to their domain. Hosts of other
domains fetch all reports of a domain at longer intervals. A host that has
received no report of an engine for some periods polls it itself. The hosts
of a domain take turns in reading the host list, and each broadcasts to the
domain what has changed in it.
"""

from dataclasses import dataclass
from typing import Final

from nutmegroad.contracts._report_rows import (
    EndpointIndex,
    RowWriter,
    WatchReports,
    decode_report,
    endpoint_hash,
    report_age,
)
from nutmegroad.contracts.peers import Mesh, Message
from nutmegroad.contracts.upstreams import EngineReport, UpstreamState
from nutmegroad.foundations.accounting import Account
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import (
    DomainId,
    HostId,
    UpstreamId,
    UpstreamInfo,
)
from nutmegroad.membership.duties import Duties
from nutmegroad.routing._peer_entries import ListedUpstreams, PeerEntryCache
from nutmegroad.routing.directory import Directory, is_engine

#: Periods after which an unchanged load is broadcast again.
REBROADCAST_PERIODS: Final = 4
#: Periods without a report of an engine of its own domain after which a host
#: polls the engine itself.
UNRESPONSIVE_PERIODS: Final = 10
#: Periods after which unchanged versions are broadcast again.
VERSION_PERIODS: Final = 10
#: Periods without a broadcast about an engine after which the second host
#: broadcasts in place of the first.
SECOND_HOST_PERIODS: Final = 6
#: Seconds between two fetches of a remote domain's reports, per known
#: upstream: 20 s for 890 upstreams.
REMOTE_FETCH_INTERVAL_PER_UPSTREAM: Final = 0.0225
#: Minimum seconds between two fetches of a remote domain's reports.
MIN_REMOTE_FETCH_INTERVAL: Final = 2.0
#: Missed fetches after which each host polls the engines of an unresponsive
#: remote domain itself.
MAX_MISSED_REMOTE_FETCHES: Final = 4
#: Change of load, as a fraction of the slots, that is broadcast immediately.
NOTABLE_LOAD_CHANGE: Final = 1 / 8


@dataclass(frozen=True, slots=True)
class _Broadcast:
    """The last broadcast about an engine, by any host of the domain.

    Attributes:
        at: Clock seconds of the broadcast.
        versions_at: Clock seconds of the last broadcast of its versions.
        report: The report that was broadcast.
    """

    at: float
    versions_at: float
    report: EngineReport


class WatchSharer:
    """Plans what this host polls, and exchanges reports with other hosts.

    Args:
        mesh: Links to other hosts.
        duties: Assigns upstreams to the hosts that poll them.
        directory: The upstreams known to this host.
        clock: The host's clock.
        domain: The failure domain of this host.
        period: Seconds between two polls of an engine.
        account: Records the processor time of polls; None to record none.
    """

    def __init__(
        self,
        mesh: Mesh,
        duties: Duties,
        directory: Directory,
        clock: Clock,
        domain: DomainId,
        period: float,
        account: Account | None = None,
    ) -> None:
        self.account = account
        self._mesh = mesh
        self._duties = duties
        self._directory = directory
        self._clock = clock
        self._domain = domain
        self._period = period
        self._listed = PeerEntryCache(clock)
        self._index = EndpointIndex()
        self._upstream_count = 0
        self._ranks: dict[UpstreamId, int] = {}
        self._broadcasts: dict[int, _Broadcast] = {}
        self._pending: dict[UpstreamId, UpstreamState] = {}
        self._failed: set[int] = set()
        self._to_verify: set[UpstreamId] = set()
        mesh.handle(WatchReports, self._receive_reports)
        mesh.handle(ListedUpstreams, self._receive_listed)

    @property
    def list_period(self) -> float:
        """Return the seconds until this host reads the list again."""
        return self._period * max(1, len(self._duties.hosts()))

    @property
    def remote_fetch_interval(self) -> float:
        """Return the seconds between two fetches from a remote domain."""
        return max(
            MIN_REMOTE_FETCH_INTERVAL,
            REMOTE_FETCH_INTERVAL_PER_UPSTREAM * self._upstream_count,
        )

    def refresh(self) -> None:
        """Update, once a period, which engines this host polls."""
        states = self._directory.states()
        # Stored, since the count is needed once for each engine.
        self._upstream_count = len(states)
        self._index.refresh(states)
        local = [
            state.info.upstream
            for state in states
            if is_engine(state) and state.info.domain == self._domain
        ]
        self._ranks = self._duties.watch_ranks(local)

    def should_poll(self, state: UpstreamState) -> bool:
        """Return whether this host has to poll an engine itself."""
        upstream = state.info.upstream
        if upstream in self._ranks or upstream in self._to_verify:
            return True
        if state.report is None:
            return True
        age = self._clock.now() - state.report_requested_at
        return age > self._report_timeout(state)

    def poll_interval(self, state: UpstreamState) -> float:
        """Return the seconds until this host's next poll of an engine."""
        # The first of the two hosts has rank 0; all others poll half as
        # often.
        first = self._ranks.get(state.info.upstream) == 0
        return self._period if first else 2 * self._period

    def record_answer(
        self,
        state: UpstreamState,
        answer: EngineReport | Refusal,
    ) -> None:
        """Record an engine's report or refusal for the next broadcast."""
        upstream = state.info.upstream
        self._to_verify.discard(upstream)
        if upstream not in self._ranks:
            return
        if isinstance(answer, Refusal):
            self._failed.add(endpoint_hash(state.info))
        elif self._needs_broadcast(state, answer):
            self._pending[upstream] = state

    def broadcast_reports(self) -> None:
        """Broadcast to the domain what has changed."""
        if not self._pending and not self._failed:
            return
        now = self._clock.now()
        writer = RowWriter(now)
        for state in self._pending.values():
            self._write_row(writer, state, now)
        failed = tuple(self._failed)
        self._pending.clear()
        self._failed.clear()
        message = WatchReports(writer.names, writer.rows, failed)
        broadcast_to_domain(self._mesh, self._domain, message)

    def merge_list(
        self,
        upstreams: tuple[UpstreamInfo, ...],
    ) -> tuple[UpstreamInfo, ...]:
        """Return the list, merged with recent entries from other hosts."""
        return self._listed.merge(upstreams)

    def broadcast_listed(self, changed: tuple[UpstreamInfo, ...]) -> None:
        """Broadcast new or changed entries of the list to the domain."""
        message = ListedUpstreams.of(changed)
        broadcast_to_domain(self._mesh, self._domain, message)

    def _needs_broadcast(
        self, state: UpstreamState, report: EngineReport
    ) -> bool:
        """Return whether a report has to be broadcast now."""
        last = self._broadcasts.get(endpoint_hash(state.info))
        if last is None:
            return True
        age = self._clock.now() - last.at
        if self._ranks[state.info.upstream]:
            return age > SECOND_HOST_PERIODS * self._period
        if age > REBROADCAST_PERIODS * self._period:
            return True
        return _differs(last.report, report)

    def _write_row(
        self,
        writer: RowWriter,
        state: UpstreamState,
        now: float,
    ) -> None:
        """Add an engine's report to a broadcast, and record that."""
        report = state.report
        if report is None:
            return
        run = endpoint_hash(state.info)
        last = self._broadcasts.get(run)
        # Unchanged versions are repeated at times for hosts that missed a
        # message.
        with_versions = (
            last is None
            or last.report.versions != report.versions
            or now - last.versions_at > VERSION_PERIODS * self._period
        )
        writer.add(state, with_versions=with_versions)
        versions_at = last.versions_at if last and not with_versions else now
        self._broadcasts[run] = _Broadcast(now, versions_at, report)

    def _report_timeout(self, state: UpstreamState) -> float:
        """Return the seconds after which a report from others is too old."""
        if state.info.domain == self._domain:
            return UNRESPONSIVE_PERIODS * self._period
        return MAX_MISSED_REMOTE_FETCHES * self.remote_fetch_interval

    async def _receive_reports(
        self, host: HostId, message: WatchReports
    ) -> None:
        """Apply reports that another host has broadcast."""
        now = self._clock.now()
        for row in message.rows:
            state = self._index.find(row.endpoint)
            if state is None:
                continue
            report = decode_report(row, message.names, state.report)
            if report is None:
                continue
            self._broadcasts[row.endpoint] = _Broadcast(now, now, report)
            self.take_report(state, report, now - report_age(row))
        for run in message.failed:
            failed = self._index.find(run)
            if failed is not None:
                # Only the other host's connection may have failed, so this
                # host polls the engine as well.
                self._to_verify.add(failed.info.upstream)

    def take_report(
        self,
        state: UpstreamState,
        report: EngineReport,
        asked: float,
    ) -> None:
        """Apply a report that another host has received.

        Args:
            state: The engine.
            report: Its report.
            asked: Approximate clock seconds at which it was requested.
        """
        self._directory.reported_by_peer(state.info.upstream, report, asked)
        if state.draining and not report.leaving:
            # Only a report requested by this host clears the draining state.
            self._to_verify.add(state.info.upstream)

    async def _receive_listed(
        self,
        host: HostId,
        message: ListedUpstreams,
    ) -> None:
        """Apply entries of the host list that another host has read."""
        infos = message.infos()
        self._listed.add(infos)
        self._directory.update(infos, whole=False)


def broadcast_to_domain(mesh: Mesh, domain: DomainId, message: Message) -> None:
    """Send a message to all hosts of a domain."""
    for member in mesh.members():
        if member.domain == domain:
            mesh.send(member.host, message)


def _differs(known: EngineReport, report: EngineReport) -> bool:
    """Return whether two reports differ enough for a broadcast."""
    if (known.versions, known.leaving, known.slots) != (
        report.versions,
        report.leaving,
        report.slots,
    ):
        return True
    load = known.running + known.queued
    change = abs(report.running + report.queued - load)
    return change >= max(1, NOTABLE_LOAD_CHANGE * report.slots)
