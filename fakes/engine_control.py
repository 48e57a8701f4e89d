"""Control calls of the engine stand-in.

They cover reports, cache events, version orders, cancellation and draining.
"""

from http import HTTPStatus
from typing import Final

import msgspec
from aiohttp import web
from msgspec.structs import replace

from fakes.batching import Batch, PrefixCache
from fakes.engine_settings import EngineSettings
from fakes.faults import (
    FaultKind,
    Faults,
    FaultTarget,
    drop_connection,
)
from fakes.replies import error_reply, json_reply
from fakes.run_records import RunList
from fakes.version_loading import (
    DelayedValue,
    Order,
    OrderRecord,
    VersionLoader,
    record_order,
)
from nutmegroad.foundations.clocks import Clock

#: Fault target of all calls other than completions.
CONTROL_TARGET: Final = FaultTarget('control')


class EngineReply(msgspec.Struct, frozen=True):
    """Reply to ``GET /engine/report``.

    Attributes:
        versions: Loaded versions, sorted.
        running: Number of requests that run in the batch.
        queued: Number of requests that wait for a slot.
        slots: Number of requests that can run concurrently.
        leaving: Whether the engine is draining.
        checks_fencing: Whether it rejects orders with an old fencing number.
        fencing: Highest fencing number among the accepted orders.
    """

    versions: tuple[str, ...]
    running: int
    queued: int
    slots: int
    leaving: bool
    checks_fencing: bool
    fencing: int


class CancelRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /engine/cancel``.

    Attributes:
        attempt: Attempt id whose runs are to be cancelled.
    """

    attempt: str


class LeaveRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /admin/leave``.

    Attributes:
        leaving: Whether the engine is to be draining.
        reports: Number of subsequent reports that show the draining state;
            None for all.
    """

    leaving: bool = True
    reports: int | None = None


class EngineControl:
    """HTTP handlers of the engine's control calls.

    Args:
        settings: Settings of the engine.
        batch: Requests that run or wait.
        cache: Cache of prompt prefixes.
        runs: Completions that the engine has started.
        faults: Active faults.
        clock: Source of times.

    Attributes:
        loader: Loads and unloads versions.
    """

    def __init__(
        self,
        settings: EngineSettings,
        batch: Batch,
        cache: PrefixCache,
        runs: RunList,
        faults: Faults,
        clock: Clock,
    ) -> None:
        self.loader = VersionLoader(
            settings.versions, clock, self._handle_version_change
        )
        self._settings = settings
        self._batch = batch
        self._cache = cache
        self._runs = runs
        self._faults = faults
        self._clock = clock
        self._orders: list[OrderRecord] = []
        self._leave_request = LeaveRequest(leaving=False)
        self._fencing = 0
        self._reports = DelayedValue(
            self._current_report(), settings.report_lag, clock
        )

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel all runs of an attempt."""
        if self._faults.hit(FaultKind.DOWN, CONTROL_TARGET):
            return drop_connection(request)
        body = msgspec.json.decode(await request.read(), type=CancelRequest)
        for run in self._runs.running(body.attempt):
            self._batch.cancel(run)
        return web.Response(status=HTTPStatus.NO_CONTENT)

    async def serve_report(self, request: web.Request) -> web.Response:
        """Return the engine's state as it was before the report lag."""
        if self._faults.hit(FaultKind.DOWN, CONTROL_TARGET):
            return drop_connection(request)
        report = self._reports.read()
        # Only the draining state is reported without a lag.
        return json_reply(replace(report, leaving=self._next_leaving()))

    async def serve_cache_events(self, request: web.Request) -> web.Response:
        """Return the prefix cache events after a position."""
        if self._faults.hit(FaultKind.DOWN, CONTROL_TARGET):
            return drop_connection(request)
        after = int(request.query.get('after', '0'))
        return json_reply({'events': self._cache.events(after)})

    async def submit_order(self, request: web.Request) -> web.Response:
        """Accept or reject an order to load or unload a version."""
        if self._faults.hit(FaultKind.DOWN, CONTROL_TARGET):
            return drop_connection(request)
        order = msgspec.json.decode(await request.read(), type=Order)
        is_outdated = order.fencing < self._fencing
        accepted = not (is_outdated and self._settings.checks_fencing)
        accepted = accepted and order.version in self.loader.loadable
        self._orders.append(record_order(order, accepted, self._clock.wall()))
        if is_outdated and self._settings.checks_fencing:
            return json_reply({'fencing': self._fencing}, HTTPStatus.CONFLICT)
        if not accepted:
            return error_reply(HTTPStatus.NOT_FOUND, 'version_unknown')
        self._fencing = max(self._fencing, order.fencing)
        self.loader.apply(order.action, order.version)
        self.update_report()
        return web.Response(status=HTTPStatus.ACCEPTED)

    async def leave(self, request: web.Request) -> web.Response:
        """Start or stop draining."""
        content = await request.read()
        self._leave_request = msgspec.json.decode(content, type=LeaveRequest)
        return web.Response(status=HTTPStatus.NO_CONTENT)

    async def serve_runs(self, request: web.Request) -> web.Response:
        """Return the records of all completions and orders."""
        return json_reply({'runs': self._runs.records, 'orders': self._orders})

    def update_report(self) -> None:
        """Record the current state for later reports."""
        self._reports.update(self._current_report())

    def _next_leaving(self) -> bool:
        """Return the draining state for one report, and count the report."""
        remaining = self._leave_request.reports
        if remaining is None or not self._leave_request.leaving:
            return self._leave_request.leaving
        self._leave_request = LeaveRequest(reports=max(0, remaining - 1))
        return remaining > 0

    def _current_report(self) -> EngineReply:
        """Return the current state, with no lag."""
        return EngineReply(
            versions=tuple(sorted(self.loader.loaded)),
            running=len(self._batch.running),
            queued=self._batch.queued,
            slots=self._settings.speed.slots,
            leaving=self._leave_request.leaving,
            checks_fencing=self._settings.checks_fencing,
            fencing=self._fencing,
        )

    def _handle_version_change(self, version: str) -> None:
        """Update the cache and the report after a version change."""
        if version not in self.loader.loaded:
            self._cache.drop(version)
        self.update_report()
