"""Compact messages in which hosts exchange the load reports of engines.

A row identifies the endpoint of an engine (its id and address) by a 32-bit
hash, which takes 5 bytes instead of about 30. Two endpoints with the same
hash are both left out, so that no report is attributed to the wrong engine;
a host that receives no report of an engine polls it itself.
"""

from collections.abc import Iterable
from typing import ClassVar, Final

import xxhash
from msgspec import Struct

from nutmegroad.contracts.peers import Message
from nutmegroad.contracts.upstreams import EngineReport, UpstreamState
from nutmegroad.foundations.types import FencingNumber, UpstreamInfo, VersionId

WATCH_PART: Final = 'watch'
#: The cost of polling engines over HTTP; processor time is charged to
#: ``WATCH_PART``.
REPORTS_PART: Final = 'reports'

_DRAINING: Final = 1
_CHECKS_FENCING: Final = 2
_TENTHS_PER_SECOND: Final = 10


class ReportRow(Struct, frozen=True, array_like=True):
    """The load report of one engine, as an array on the wire.

    Attributes:
        endpoint: Hash of the engine's id and address.
        age: Tenths of a second since the engine was polled.
        running: Requests in its batch.
        queued: Requests in its queue.
        slots: Requests that its batch can hold.
        flags: Sum of 1 if the engine is draining and 2 if it checks fencing
            numbers.
        versions: Indices of its versions in the ``names`` of the message;
            None if they have not changed.
        fencing: Highest fencing number that it has seen.
    """

    endpoint: int
    age: int
    running: int
    queued: int
    slots: int
    flags: int
    versions: tuple[int, ...] | None = None
    fencing: int = 0


class WatchReports(Message, frozen=True, tag='watch-reports', array_like=True):
    """Broadcasts engine reports within the failure domain.

    Attributes:
        names: Names of versions, which the rows refer to by index.
        rows: The reports.
        failed: Endpoint hashes of the engines that could not be polled.
    """

    part: ClassVar[str] = WATCH_PART
    lazy: ClassVar[bool] = True

    names: tuple[str, ...]
    rows: tuple[ReportRow, ...]
    failed: tuple[int, ...] = ()


class LoadAsk(Message, frozen=True, tag='load-ask'):
    """Asks a host of another failure domain for the reports of its engines."""

    part: ClassVar[str] = WATCH_PART


class LoadReply(Message, frozen=True, tag='load-reply', array_like=True):
    """Replies with the reports of a failure domain's engines.

    Attributes:
        names: Names of versions, which the rows refer to by index.
        rows: The reports.
    """

    part: ClassVar[str] = WATCH_PART

    names: tuple[str, ...]
    rows: tuple[ReportRow, ...]


class RowWriter:
    """Encodes the rows of one message.

    Args:
        now: Clock seconds at which the message is sent.
    """

    def __init__(self, now: float) -> None:
        self._now = now
        self._names: dict[str, int] = {}
        self._rows: list[ReportRow] = []

    @property
    def names(self) -> tuple[str, ...]:
        """The names of versions that the rows refer to by index."""
        return tuple(self._names)

    @property
    def rows(self) -> tuple[ReportRow, ...]:
        """The rows added so far."""
        return tuple(self._rows)

    def add(self, state: UpstreamState, *, with_versions: bool) -> None:
        """Add the last report of an engine, if it has one.

        Args:
            state: The engine.
            with_versions: Whether the row includes the loaded versions.
        """
        report = state.report
        if report is None:
            return
        versions = self._version_indices(report) if with_versions else None
        flags = _DRAINING * report.leaving
        flags += _CHECKS_FENCING * report.checks_fencing
        row = ReportRow(
            endpoint=endpoint_hash(state.info),
            age=max(
                0,
                round(
                    _TENTHS_PER_SECOND * (self._now - state.report_requested_at)
                ),
            ),
            running=report.running,
            queued=report.queued,
            slots=report.slots,
            flags=flags,
            versions=versions,
            fencing=report.fencing,
        )
        self._rows.append(row)

    def _version_indices(self, report: EngineReport) -> tuple[int, ...]:
        return tuple(
            self._names.setdefault(version, len(self._names))
            for version in report.versions
        )


class EndpointIndex:
    """Finds engines by the hash of their endpoint."""

    def __init__(self) -> None:
        self._infos: tuple[UpstreamInfo, ...] = ()
        self._states: dict[int, UpstreamState] = {}

    def refresh(self, states: Iterable[UpstreamState]) -> None:
        """Rebuild the index if the set of upstreams has changed."""
        known = tuple(states)
        infos = tuple(state.info for state in known)
        unchanged = infos == self._infos
        # Each read of the host list creates new but equal entries. Keeping
        # the new ones lets later comparisons succeed by identity.
        self._infos = infos
        if unchanged:
            return
        self._states = {}
        collisions: set[int] = set()
        for state in known:
            endpoint = endpoint_hash(state.info)
            if endpoint in self._states:
                collisions.add(endpoint)
            self._states[endpoint] = state
        for endpoint in collisions:
            self._states.pop(endpoint)

    def find(self, endpoint: int) -> UpstreamState | None:
        """Return the engine with a hash; None if unknown or ambiguous."""
        return self._states.get(endpoint)


def endpoint_hash(info: UpstreamInfo) -> int:
    """Return the 32-bit hash of an upstream's id and address."""
    return xxhash.xxh32_intdigest(f'{info.upstream} {info.address}'.encode())


def decode_report(
    row: ReportRow,
    names: tuple[str, ...],
    known: EngineReport | None,
) -> EngineReport | None:
    """Return the report that a row encodes.

    Args:
        row: The row.
        names: Names of versions, from the row's message.
        known: The last report of the engine, whose versions are used if the
            row has none; None if there is no such report.

    Returns:
        The report, or None if its versions are unknown.
    """
    versions = () if known is None else known.versions
    if row.versions is None and known is None:
        return None
    if row.versions is not None:
        indices = [index for index in row.versions if index < len(names)]
        versions = tuple(VersionId(names[index]) for index in indices)
    return EngineReport(
        versions=versions,
        running=row.running,
        queued=row.queued,
        slots=row.slots,
        leaving=bool(row.flags & _DRAINING),
        checks_fencing=bool(row.flags & _CHECKS_FENCING),
        fencing=FencingNumber(row.fencing),
    )


def report_age(row: ReportRow) -> float:
    """Return the age of a report when its row was sent, in seconds."""
    return max(0, row.age) / _TENTHS_PER_SECOND
