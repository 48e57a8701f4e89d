"""What hosts tell each other about engines, in few bytes.

A row names a run of an engine (its id and address) by a hash of 32 bits,
which takes 5 bytes instead of some 30. Two runs with the same hash are both
left out, so that nobody takes the report of one for that of the other; who
hears nothing of an engine asks it.
"""

from collections.abc import Iterable
from typing import ClassVar, Final

import xxhash
from msgspec import Struct

from nutmegroad.contracts.peers import Message
from nutmegroad.contracts.upstreams import EngineReport, UpstreamState
from nutmegroad.foundations.types import FencingNumber, UpstreamInfo, VersionId

WATCH_PART: Final = 'watch'
#: The cost of asking engines over HTTP; processor time counts as the watch's.
REPORTS_PART: Final = 'reports'

_LEAVING: Final = 1
_CHECKS_FENCING: Final = 2
_TENTHS: Final = 10


class ReportRow(Struct, frozen=True, array_like=True):
    """An engine's report.

    Attributes:
        run: Hash of the engine's id and address.
        age: Tenths of a second since the engine was asked.
        running: Requests in its batch.
        queued: Requests that wait.
        slots: Requests that its batch can hold.
        flags: 1 if it is leaving, 2 if it checks fencing numbers.
        versions: Places of its versions among the names of the message;
            None if they have not changed.
        fencing: Highest fencing number that it has seen.
    """

    run: int
    age: int
    running: int
    queued: int
    slots: int
    flags: int
    versions: tuple[int, ...] | None = None
    fencing: int = 0


class WatchReports(Message, frozen=True, tag='watch-reports', array_like=True):
    """Tells the domain what engines have reported.

    Attributes:
        names: Names of versions.
        rows: Reports.
        failed: Runs that gave no report.
    """

    part: ClassVar[str] = WATCH_PART
    lazy: ClassVar[bool] = True

    names: tuple[str, ...]
    rows: tuple[ReportRow, ...]
    failed: tuple[int, ...] = ()


class LoadAsk(Message, frozen=True, tag='load-ask'):
    """Asks a host of another domain for the reports of its engines."""

    part: ClassVar[str] = WATCH_PART


class LoadReply(Message, frozen=True, tag='load-reply', array_like=True):
    """The reports of a domain's engines.

    Attributes:
        names: Names of versions.
        rows: Reports.
    """

    part: ClassVar[str] = WATCH_PART

    names: tuple[str, ...]
    rows: tuple[ReportRow, ...]


class RowWriter:
    """Makes the rows of one message.

    Args:
        now: Clock seconds.
    """

    def __init__(self, now: float) -> None:
        self._now = now
        self._names: dict[str, int] = {}
        self._rows: list[ReportRow] = []

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names that the rows refer to."""
        return tuple(self._names)

    @property
    def rows(self) -> tuple[ReportRow, ...]:
        """Return the rows."""
        return tuple(self._rows)

    def add(self, state: UpstreamState, *, with_versions: bool) -> None:
        """Add an engine's last report, if there was one."""
        report = state.report
        if report is None:
            return
        versions = self._places(report) if with_versions else None
        flags = _LEAVING * report.leaving
        flags += _CHECKS_FENCING * report.checks_fencing
        row = ReportRow(
            run=run_of(state.info),
            age=max(0, round(_TENTHS * (self._now - state.reported))),
            running=report.running,
            queued=report.queued,
            slots=report.slots,
            flags=flags,
            versions=versions,
            fencing=report.fencing,
        )
        self._rows.append(row)

    def _places(self, report: EngineReport) -> tuple[int, ...]:
        return tuple(
            self._names.setdefault(version, len(self._names))
            for version in report.versions
        )


class RunIndex:
    """Finds engines by the hash of their run."""

    def __init__(self) -> None:
        self._infos: tuple[UpstreamInfo, ...] = ()
        self._states: dict[int, UpstreamState] = {}

    def refresh(self, states: Iterable[UpstreamState]) -> None:
        """Take in which upstreams there are now."""
        known = tuple(states)
        infos = tuple(state.info for state in known)
        same = infos == self._infos
        # The list's next reading brings equal entries that are other
        # objects; kept, they are compared by identity from then on.
        self._infos = infos
        if same:
            return
        self._states = {}
        doubled: set[int] = set()
        for state in known:
            run = run_of(state.info)
            if run in self._states:
                doubled.add(run)
            self._states[run] = state
        for twice in doubled:
            self._states.pop(twice)

    def find(self, run: int) -> UpstreamState | None:
        """Return the engine of a run, or None if it is not known."""
        return self._states.get(run)


def run_of(info: UpstreamInfo) -> int:
    """Return the hash of an upstream's id and address."""
    return xxhash.xxh32_intdigest(f'{info.upstream} {info.address}'.encode())


def report_of_row(
    row: ReportRow,
    names: tuple[str, ...],
    known: EngineReport | None,
) -> EngineReport | None:
    """Return a row's report; None if its versions can't be told."""
    versions = () if known is None else known.versions
    if row.versions is None and known is None:
        return None
    if row.versions is not None:
        places = [place for place in row.versions if place < len(names)]
        versions = tuple(VersionId(names[place]) for place in places)
    return EngineReport(
        versions=versions,
        running=row.running,
        queued=row.queued,
        slots=row.slots,
        leaving=bool(row.flags & _LEAVING),
        checks_fencing=bool(row.flags & _CHECKS_FENCING),
        fencing=FencingNumber(row.fencing),
    )


def age_of(row: ReportRow) -> float:
    """Return the seconds between the question and the telling."""
    return max(0, row.age) / _TENTHS
