"""The stand-in for a model engine: ``python -m fakes.engine --port 0``.

It batches continuously, caches prompt prefixes, honours priorities, resumes
and cancels streams, takes orders, and goes wrong where it is told to. The
page ``docs/design/stand-ins.md`` has its calls and faults.
"""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from http import HTTPStatus
from typing import Any, Final, Self

import msgspec
from aiohttp import web
from msgspec.structs import replace

from fakes.answering import Answering, Delivery, attempt_of
from fakes.answers import Prompt, read_prompt
from fakes.batching import Batch, PrefixCache
from fakes.chunks import whole_answer
from fakes.engine_settings import EngineSettings, engine_parser, read_settings
from fakes.faults import (
    FaultKind,
    Faults,
    FaultTarget,
    add_fault_routes,
    drop_connection,
)
from fakes.loading import (
    Lagged,
    Order,
    OrderRecord,
    VersionShelf,
    record_order,
)
from fakes.run_records import End, RunList
from fakes.serving import Served, run
from nutmegroad.clocks import Clock, SystemClock
from nutmegroad.types import Address

#: Scope of faults that strike answers only.
ANSWERS_SCOPE: Final = 'answers'

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
    """The body of ``POST /admin/leave``."""

    leaving: bool = True


class FakeEngine:
    """A model engine that a test, a demo or an experiment owns.

    Args:
        settings: What it is like.
        clock: All its times come from here.
        port: TCP port; 0 takes a free one.
    """

    @property
    def address(self) -> Address:
        """Return where it listens; it must be open."""
        return self._served.address

    def __init__(
        self,
        settings: EngineSettings,
        clock: Clock | None = None,
        port: int = 0,
    ) -> None:
        clock = clock or SystemClock()
        randomness = random.Random(f'{settings.seed}:{settings.engine}')
        self.app = web.Application()
        self.runs = RunList(clock)
        self.faults = Faults(clock, randomness)
        self._settings = settings
        self._clock = clock
        self._batch = Batch(settings.speed, clock)
        self._cache = PrefixCache(
            settings.cache_entries,
            settings.report_lag,
            clock,
            randomness,
        )
        self._shelf = VersionShelf(settings.shelf, clock, self._change)
        self.orders: list[OrderRecord] = []
        self._answering = Answering(
            settings,
            self._batch,
            self._cache,
            self.faults,
            clock,
        )
        self._leaving = False
        self._fencing = 0
        self._reports = Lagged(self._report(), settings.report_lag, clock)
        self._served = Served(self.app, port)
        self._add_routes()

    async def __aenter__(self) -> Self:
        """Begin to listen."""
        await self._served.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop, cutting what runs."""
        await self._served.__aexit__(*exc_info)

    def _add_routes(self) -> None:
        """Tell the application which handler takes which call."""
        self.app.cleanup_ctx.append(self._live)
        add_fault_routes(self.app, self.faults)
        self.app.add_routes(
            [
                web.post('/v1/chat/completions', self._complete),
                web.post('/engine/cancel', self._cancel),
                web.get('/engine/report', self._show_report),
                web.get('/engine/cache', self._show_cache),
                web.post('/engine/orders', self._order),
                web.post('/admin/leave', self._leave),
                web.get('/admin/runs', self._show_runs),
            ]
        )

    async def _live(self, app: web.Application) -> AsyncIterator[None]:
        """Run the batch while the application runs."""
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self._shelf)
            stepping = asyncio.create_task(self._batch.step_forever())
            stack.callback(stepping.cancel)
            yield

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        """Answer a completion request."""
        try:
            body = msgspec.json.decode(
                await request.read(),
                type=dict[str, Any],
            )
        except msgspec.DecodeError:
            return _error(HTTPStatus.BAD_REQUEST, 'body_malformed')
        prompt = read_prompt(body)
        target = FaultTarget(ANSWERS_SCOPE, prompt.version, prompt.task)
        if self.faults.hit(FaultKind.DOWN, target):
            return drop_connection(request)
        if self.faults.hit(FaultKind.ERROR, target):
            return _error(HTTPStatus.INTERNAL_SERVER_ERROR, 'internal')
        if prompt.version not in self._shelf.loaded:
            return _error(HTTPStatus.NOT_FOUND, 'version_not_loaded')
        if self._batch.full:
            return _error(HTTPStatus.SERVICE_UNAVAILABLE, 'busy')
        return await self._run(request, prompt, target)

    async def _run(
        self,
        request: web.Request,
        prompt: Prompt,
        target: FaultTarget,
    ) -> web.StreamResponse:
        """Take a request into the batch and see it through."""
        stranger = self.runs.another(attempt_of(request))
        job = self._answering.start(request, prompt, target, stranger)
        record = self.runs.start(job.attempt, prompt, job.run)
        self._note()
        ended = End.CANCELLED
        try:
            if not prompt.streams:
                await job.run.finished()
                ended = End.CANCELLED if job.run.is_cancelled else End.WHOLE
                return _json(
                    whole_answer(
                        job.attempt, prompt.version, job.plan, job.usage
                    )
                )
            delivery = Delivery(job, request, self._clock)
            ended = await delivery.send()
            return delivery.response
        finally:
            self._batch.remove(job.run)
            self.runs.end(record, job.run, ended)
            self._note()

    async def _cancel(self, request: web.Request) -> web.Response:
        """Stop all that runs under an attempt's name."""
        if self.faults.hit(FaultKind.DOWN, CONTROL):
            return drop_connection(request)
        order = msgspec.json.decode(await request.read(), type=CancelOrder)
        for run in self.runs.running(order.attempt):
            self._batch.cancel(run)
        return web.Response(status=HTTPStatus.NO_CONTENT)

    async def _show_report(self, request: web.Request) -> web.Response:
        """Say how things were a while ago."""
        if self.faults.hit(FaultKind.DOWN, CONTROL):
            return drop_connection(request)
        report = self._reports.read()
        # That it leaves, an engine says at once.
        return _json(replace(report, leaving=self._leaving))

    async def _show_cache(self, request: web.Request) -> web.Response:
        """Show changes of the prefix cache."""
        if self.faults.hit(FaultKind.DOWN, CONTROL):
            return drop_connection(request)
        after = int(request.query.get('after', '0'))
        return _json({'events': self._cache.events(after)})

    async def _order(self, request: web.Request) -> web.Response:
        """Take an order to load or unload a version."""
        if self.faults.hit(FaultKind.DOWN, CONTROL):
            return drop_connection(request)
        order = msgspec.json.decode(await request.read(), type=Order)
        is_old = order.fencing < self._fencing
        accepted = not (is_old and self._settings.checks_fencing)
        accepted = accepted and order.version in self._shelf.loadable
        self.orders.append(record_order(order, accepted, self._clock.wall()))
        if is_old and self._settings.checks_fencing:
            return _json({'fencing': self._fencing}, HTTPStatus.CONFLICT)
        if not accepted:
            return _error(HTTPStatus.NOT_FOUND, 'version_unknown')
        self._fencing = max(self._fencing, order.fencing)
        self._shelf.obey(order.action, order.version)
        self._note()
        return web.Response(status=HTTPStatus.ACCEPTED)

    async def _leave(self, request: web.Request) -> web.Response:
        """Begin to leave, or stay after all."""
        order = msgspec.json.decode(await request.read(), type=LeaveOrder)
        self._leaving = order.leaving
        return web.Response(status=HTTPStatus.NO_CONTENT)

    async def _show_runs(self, request: web.Request) -> web.Response:
        """Show what was run and what was ordered."""
        return _json({'runs': self.runs.records, 'orders': self.orders})

    def _report(self) -> EngineReply:
        """Return how things are now."""
        return EngineReply(
            versions=tuple(sorted(self._shelf.loaded)),
            running=len(self._batch.running),
            queued=self._batch.queued,
            slots=self._settings.speed.slots,
            leaving=self._leaving,
            checks_fencing=self._settings.checks_fencing,
            fencing=self._fencing,
        )

    def _note(self) -> None:
        """Note how things are, for later reports."""
        self._reports.note(self._report())

    def _change(self, version: str) -> None:
        """Note that a version came or went."""
        if version not in self._shelf.loaded:
            self._cache.drop(version)
        self._note()


def main() -> None:
    """Run an engine until SIGTERM."""
    parser = engine_parser()
    flags = parser.parse_args()
    try:
        settings = read_settings(flags)
    except ValueError as error:
        parser.error(f'A quality is no number: {error}.')
    run(FakeEngine(settings).app, flags.port)


def _json(reply: object, status: int = HTTPStatus.OK) -> web.Response:
    """Return a JSON reply."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(reply),
        content_type='application/json',
    )


def _error(status: HTTPStatus, code: str) -> web.Response:
    """Return an error in the model API's shape."""
    return _json({'error': {'code': code}}, status)


if __name__ == '__main__':
    main()
