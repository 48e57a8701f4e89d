"""The engine stand-in's calls beside answers: reports, orders, leaving."""

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
from fakes.loading import (
    Lagged,
    Order,
    OrderRecord,
    VersionShelf,
    record_order,
)
from fakes.replies import error_reply, json_reply
from fakes.run_records import RunList
from nutmegroad.foundations.clocks import Clock

#: What faults of the engine's other calls strike.
CONTROL: Final = FaultTarget('control')


class EngineReply(msgspec.Struct, frozen=True):
    """The reply to ``GET /engine/report``."""

    versions: tuple[str, ...]
    running: int
    queued: int
    slots: int
    leaving: bool
    checks_fencing: bool
    fencing: int


class CancelOrder(msgspec.Struct, frozen=True):
    """The body of ``POST /engine/cancel``."""

    attempt: str


class LeaveOrder(msgspec.Struct, frozen=True):
    """The body of ``POST /admin/leave``.

    Attributes:
        leaving: Whether it leaves.
        reports: In how many reports it says so; None for all.
    """

    leaving: bool = True
    reports: int | None = None


class EngineControl:
    """What others can ask of an engine, and tell it.

    Args:
        settings: What the engine is like.
        batch: What runs.
        cache: Prefixes that were read.
        runs: What was run.
        faults: What goes wrong.
        clock: Time.
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
        self.shelf = VersionShelf(settings.shelf, clock, self._change)
        self._settings = settings
        self._batch = batch
        self._cache = cache
        self._runs = runs
        self._faults = faults
        self._clock = clock
        self._orders: list[OrderRecord] = []
        self._leave = LeaveOrder(leaving=False)
        self._fencing = 0
        self._reports = Lagged(self._report(), settings.report_lag, clock)

    async def cancel(self, request: web.Request) -> web.Response:
        """Stop all that runs under an attempt's name."""
        if self._faults.hit(FaultKind.DOWN, CONTROL):
            return drop_connection(request)
        order = msgspec.json.decode(await request.read(), type=CancelOrder)
        for run in self._runs.running(order.attempt):
            self._batch.cancel(run)
        return web.Response(status=HTTPStatus.NO_CONTENT)

    async def show_report(self, request: web.Request) -> web.Response:
        """Say how things were a while ago."""
        if self._faults.hit(FaultKind.DOWN, CONTROL):
            return drop_connection(request)
        report = self._reports.read()
        # That it leaves, an engine says at once.
        return json_reply(replace(report, leaving=self._says_leaving()))

    async def show_cache(self, request: web.Request) -> web.Response:
        """Show changes of the prefix cache."""
        if self._faults.hit(FaultKind.DOWN, CONTROL):
            return drop_connection(request)
        after = int(request.query.get('after', '0'))
        return json_reply({'events': self._cache.events(after)})

    async def order(self, request: web.Request) -> web.Response:
        """Take an order to load or unload a version."""
        if self._faults.hit(FaultKind.DOWN, CONTROL):
            return drop_connection(request)
        order = msgspec.json.decode(await request.read(), type=Order)
        is_old = order.fencing < self._fencing
        accepted = not (is_old and self._settings.checks_fencing)
        accepted = accepted and order.version in self.shelf.loadable
        self._orders.append(record_order(order, accepted, self._clock.wall()))
        if is_old and self._settings.checks_fencing:
            return json_reply({'fencing': self._fencing}, HTTPStatus.CONFLICT)
        if not accepted:
            return error_reply(HTTPStatus.NOT_FOUND, 'version_unknown')
        self._fencing = max(self._fencing, order.fencing)
        self.shelf.obey(order.action, order.version)
        self.note()
        return web.Response(status=HTTPStatus.ACCEPTED)

    async def leave(self, request: web.Request) -> web.Response:
        """Begin to leave, or stay after all."""
        content = await request.read()
        self._leave = msgspec.json.decode(content, type=LeaveOrder)
        return web.Response(status=HTTPStatus.NO_CONTENT)

    async def show_runs(self, request: web.Request) -> web.Response:
        """Show what was run and what was ordered."""
        return json_reply({'runs': self._runs.records, 'orders': self._orders})

    def note(self) -> None:
        """Note how things are, for later reports."""
        self._reports.note(self._report())

    def _says_leaving(self) -> bool:
        """Tell what the next report says, and count it."""
        left = self._leave.reports
        if left is None or not self._leave.leaving:
            return self._leave.leaving
        self._leave = LeaveOrder(reports=max(0, left - 1))
        return left > 0

    def _report(self) -> EngineReply:
        """Return how things are now."""
        return EngineReply(
            versions=tuple(sorted(self.shelf.loaded)),
            running=len(self._batch.running),
            queued=self._batch.queued,
            slots=self._settings.speed.slots,
            leaving=self._leave.leaving,
            checks_fencing=self._settings.checks_fencing,
            fencing=self._fencing,
        )

    def _change(self, version: str) -> None:
        """Note that a version came or went."""
        if version not in self.shelf.loaded:
            self._cache.drop(version)
        self.note()
