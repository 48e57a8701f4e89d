"""Shares the watch over upstreams among the hosts.

Two hosts of its domain ask an engine: the first one every period, the
second every other. They tell the rest of the domain what has changed. Hosts
of other domains fetch all reports of a domain now and then. Who has heard
nothing of an engine for some periods asks it. The host list is read by the
hosts of a domain in turn, and each tells the others what is new in it.
"""

from dataclasses import dataclass
from typing import Final

from nutmegroad.contracts._watch_rows import (
    RowWriter,
    RunIndex,
    WatchReports,
    age_of,
    report_of_row,
    run_of,
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
from nutmegroad.routing._listed import ListedUpstreams, ListMemory
from nutmegroad.routing.directory import Directory, is_engine

#: An engine whose load has not changed is told of after so many periods.
REFRESH: Final = 4
#: Who has heard nothing of an engine of the domain for so many periods asks.
SILENCE: Final = 10
#: Versions are told again after so many periods, even if they are the same.
VERSIONS: Final = 10
#: The second host tells of what the first has not told for so many periods.
SECOND_TELLS: Final = 6
#: Seconds between two fetches of another domain's reports, for each
#: upstream that there is: 20 s at 890.
FAR_EACH: Final = 0.0225
FAR_LEAST: Final = 2.0
#: Fetches after which a silent domain's engines are asked by each host.
FAR_MISSED: Final = 4
#: A change of load by this share of the slots is told at once.
NOTABLE: Final = 1 / 8


@dataclass(frozen=True, slots=True)
class _Told:
    """What the domain was told last of an engine, by anybody.

    Attributes:
        at: Clock seconds at which that was.
        versions_at: Clock seconds at which its versions were told.
        report: What was told.
    """

    at: float
    versions_at: float
    report: EngineReport


class WatchSharer:
    """Decides whom this host asks, and tells and hears the rest.

    Args:
        mesh: The other hosts.
        duties: Which upstreams this host watches.
        directory: What this host knows of upstreams.
        clock: The host's clock.
        domain: The failure domain of this host.
        period: Seconds between two questions to the same engine.
        account: Where processor time is written, if anywhere.
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
        self._listed = ListMemory(clock)
        self._index = RunIndex()
        self._upstreams = 0
        self._places: dict[UpstreamId, int] = {}
        self._told: dict[int, _Told] = {}
        self._waiting: dict[UpstreamId, UpstreamState] = {}
        self._failed: set[int] = set()
        self._doubted: set[UpstreamId] = set()
        mesh.handle(WatchReports, self._take_reports)
        mesh.handle(ListedUpstreams, self._take_listed)

    @property
    def list_period(self) -> float:
        """Return the seconds until this host's next turn with the list."""
        return self._period * max(1, len(self._duties.hosts()))

    @property
    def far_period(self) -> float:
        """Return the seconds between fetches from another domain."""
        return max(FAR_LEAST, FAR_EACH * self._upstreams)

    def refresh(self) -> None:
        """Work out anew, once a period, which engines this host asks."""
        states = self._directory.states()
        # Kept, since it is asked for once for each engine.
        self._upstreams = len(states)
        self._index.refresh(states)
        near = [
            state.info.upstream
            for state in states
            if is_engine(state) and state.info.domain == self._domain
        ]
        self._places = self._duties.watch_places(near)

    def wants(self, state: UpstreamState) -> bool:
        """Tell whether this host has to ask an engine itself."""
        upstream = state.info.upstream
        if upstream in self._places or upstream in self._doubted:
            return True
        if state.report is None:
            return True
        silence = self._clock.now() - state.reported
        return silence > self._patience(state)

    def pause(self, state: UpstreamState) -> float:
        """Return the seconds until this host's next question."""
        # The first holder stands at 0; all others ask half as often.
        first = self._places.get(state.info.upstream) == 0
        return self._period if first else 2 * self._period

    def answered(
        self,
        state: UpstreamState,
        answer: EngineReport | Refusal,
    ) -> None:
        """Note what an engine has said, to be told to the domain."""
        upstream = state.info.upstream
        self._doubted.discard(upstream)
        if upstream not in self._places:
            return
        if isinstance(answer, Refusal):
            self._failed.add(run_of(state.info))
        elif self._is_news(state, answer):
            self._waiting[upstream] = state

    def tell(self) -> None:
        """Tell the domain what is news."""
        if not self._waiting and not self._failed:
            return
        now = self._clock.now()
        writer = RowWriter(now)
        for state in self._waiting.values():
            self._write(writer, state, now)
        failed = tuple(self._failed)
        self._waiting.clear()
        self._failed.clear()
        message = WatchReports(writer.names, writer.rows, failed)
        tell_domain(self._mesh, self._domain, message)

    def merge_list(
        self,
        upstreams: tuple[UpstreamInfo, ...],
    ) -> tuple[UpstreamInfo, ...]:
        """Return the list, with what others have just said of it."""
        return self._listed.merge(upstreams)

    def tell_listed(self, changed: tuple[UpstreamInfo, ...]) -> None:
        """Tell the domain which entries of the list are new."""
        message = ListedUpstreams.of(changed)
        tell_domain(self._mesh, self._domain, message)

    def _is_news(self, state: UpstreamState, report: EngineReport) -> bool:
        """Tell whether the domain has to learn of a report now."""
        told = self._told.get(run_of(state.info))
        if told is None:
            return True
        silence = self._clock.now() - told.at
        if self._places[state.info.upstream]:
            return silence > SECOND_TELLS * self._period
        if silence > REFRESH * self._period:
            return True
        return _differs(told.report, report)

    def _write(
        self,
        writer: RowWriter,
        state: UpstreamState,
        now: float,
    ) -> None:
        """Add the row of an engine, and note that it is told."""
        report = state.report
        if report is None:
            return
        run = run_of(state.info)
        told = self._told.get(run)
        # Who has missed a message learns the versions by the next refresh.
        with_versions = (
            told is None
            or told.report.versions != report.versions
            or now - told.versions_at > VERSIONS * self._period
        )
        writer.add(state, with_versions=with_versions)
        versions_at = told.versions_at if told and not with_versions else now
        self._told[run] = _Told(now, versions_at, report)

    def _patience(self, state: UpstreamState) -> float:
        """Return the seconds that a report of others may be old."""
        if state.info.domain == self._domain:
            return SILENCE * self._period
        return FAR_MISSED * self.far_period

    async def _take_reports(self, host: HostId, message: WatchReports) -> None:
        """Take in what another host has heard from engines."""
        now = self._clock.now()
        for row in message.rows:
            state = self._index.find(row.run)
            if state is None:
                continue
            report = report_of_row(row, message.names, state.report)
            if report is None:
                continue
            self._told[row.run] = _Told(now, now, report)
            self.take_report(state, report, now - age_of(row))
        for run in message.failed:
            failed = self._index.find(run)
            if failed is not None:
                # The cut may be the other host's, so look for ourselves.
                self._doubted.add(failed.info.upstream)

    def take_report(
        self,
        state: UpstreamState,
        report: EngineReport,
        asked: float,
    ) -> None:
        """Take a report that another host was given.

        Args:
            state: The engine.
            report: What it said.
            asked: Clock seconds at which it was asked, as far as is known.
        """
        self._directory.told(state.info.upstream, report, asked)
        if state.leaving and not report.leaving:
            # Only what it tells this host itself takes its leaving back.
            self._doubted.add(state.info.upstream)

    async def _take_listed(
        self,
        host: HostId,
        message: ListedUpstreams,
    ) -> None:
        """Take in entries of the host list that another host has read."""
        infos = message.infos()
        self._listed.note(infos)
        self._directory.update(infos, whole=False)


def tell_domain(mesh: Mesh, domain: DomainId, message: Message) -> None:
    """Tell all hosts of a domain."""
    for member in mesh.members():
        if member.domain == domain:
            mesh.tell(member.host, message)


def _differs(known: EngineReport, report: EngineReport) -> bool:
    """Tell whether a report differs notably from an earlier one."""
    if (known.versions, known.leaving, known.slots) != (
        report.versions,
        report.leaving,
        report.slots,
    ):
        return True
    load = known.running + known.queued
    change = abs(report.running + report.queued - load)
    return change >= max(1, NOTABLE * report.slots)
