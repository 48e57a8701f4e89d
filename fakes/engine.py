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

from fakes.answering import Answering, Delivery, attempt_of
from fakes.answers import Prompt, read_prompt
from fakes.batching import Batch, PrefixCache
from fakes.chunks import whole_answer
from fakes.engine_control import EngineControl
from fakes.engine_settings import EngineSettings, engine_parser, read_settings
from fakes.faults import (
    FaultKind,
    Faults,
    FaultTarget,
    add_fault_routes,
    drop_connection,
)
from fakes.replies import error_reply, json_reply
from fakes.run_records import End, RunList
from fakes.serving import Served, run
from nutmegroad.foundations.clocks import Clock, SystemClock
from nutmegroad.foundations.types import Address

#: Scope of faults that strike answers only.
ANSWERS_SCOPE: Final = 'answers'


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
        self._answering = Answering(
            settings,
            self._batch,
            self._cache,
            self.faults,
            clock,
        )
        self._control = EngineControl(
            settings,
            self._batch,
            self._cache,
            self.runs,
            self.faults,
            clock,
        )
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
                web.post('/engine/cancel', self._control.cancel),
                web.get('/engine/report', self._control.show_report),
                web.get('/engine/cache', self._control.show_cache),
                web.post('/engine/orders', self._control.order),
                web.post('/admin/leave', self._control.leave),
                web.get('/admin/runs', self._control.show_runs),
            ]
        )

    async def _live(self, app: web.Application) -> AsyncIterator[None]:
        """Run the batch while the application runs."""
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self._control.shelf)
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
            return error_reply(HTTPStatus.BAD_REQUEST, 'body_malformed')
        prompt = read_prompt(body)
        target = FaultTarget(ANSWERS_SCOPE, prompt.version, prompt.task)
        if self.faults.hit(FaultKind.DOWN, target):
            return drop_connection(request)
        if self.faults.hit(FaultKind.ERROR, target):
            return error_reply(HTTPStatus.INTERNAL_SERVER_ERROR, 'internal')
        if prompt.version not in self._control.shelf.loaded:
            return error_reply(HTTPStatus.NOT_FOUND, 'version_not_loaded')
        if self._batch.full:
            return error_reply(HTTPStatus.SERVICE_UNAVAILABLE, 'busy')
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
        self._control.note()
        ended = End.CANCELLED
        try:
            if not prompt.streams:
                await job.run.finished()
                ended = End.CANCELLED if job.run.is_cancelled else End.WHOLE
                return json_reply(
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
            self._control.note()


def main() -> None:
    """Run an engine until SIGTERM."""
    parser = engine_parser()
    flags = parser.parse_args()
    try:
        settings = read_settings(flags)
    except ValueError as error:
        parser.error(f'A quality is no number: {error}.')
    run(FakeEngine(settings).app, flags.port)


if __name__ == '__main__':
    main()
