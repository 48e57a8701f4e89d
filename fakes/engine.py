"""Stand-in for a model engine: ``python -m fakes.engine --port 0``.

It batches continuously, caches prompt prefixes, honours priorities, resumes
and cancels streams, loads and unloads versions, and injects faults on request.
``docs/design/stand-ins.md`` documents its calls and faults.
"""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from http import HTTPStatus
from typing import Any, Final, Self

import msgspec
from aiohttp import web

from fakes.answers import Prompt, read_prompt
from fakes.batching import Batch, PrefixCache
from fakes.chunks import completion_reply
from fakes.completions import CompletionStarter, CompletionStream, attempt_id
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
from fakes.run_records import RunList, RunState
from fakes.serving import LoopbackServer, run
from nutmegroad.foundations.clocks import Clock, SystemClock
from nutmegroad.foundations.types import Address

#: Scope of faults that affect completion requests only.
COMPLETIONS_SCOPE: Final = 'answers'


class FakeEngine:
    """A model engine for tests, demos and experiments.

    Args:
        settings: Versions, speed, quality and other properties.
        clock: Source of all times; None for the system clock.
        port: TCP port; 0 selects a free one.

    Attributes:
        app: The web application, for callers that serve it themselves.
        runs: Completions that the engine has started.
        faults: Active faults, which can be changed without an HTTP call.
    """

    @property
    def address(self) -> Address:
        """Listening address; available only while the engine is open."""
        return self._server.address

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
        self._completions = CompletionStarter(
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
        self._server = LoopbackServer(self.app, port)
        self._add_routes()

    async def __aenter__(self) -> Self:
        """Start listening."""
        await self._server.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop listening and abort the completions in progress."""
        await self._server.__aexit__(*exc_info)

    def _add_routes(self) -> None:
        """Register the handlers of all routes."""
        self.app.cleanup_ctx.append(self._run_batch)
        add_fault_routes(self.app, self.faults)
        self.app.add_routes(
            [
                web.post('/v1/chat/completions', self._handle_completion),
                web.post('/engine/cancel', self._control.cancel),
                web.get('/engine/report', self._control.serve_report),
                web.get('/engine/cache', self._control.serve_cache_events),
                web.post('/engine/orders', self._control.submit_order),
                web.post('/admin/leave', self._control.leave),
                web.get('/admin/runs', self._control.serve_runs),
            ]
        )

    async def _run_batch(self, app: web.Application) -> AsyncIterator[None]:
        """Run the batch and the version loader while the application runs."""
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self._control.loader)
            batch_task = asyncio.create_task(self._batch.step_forever())
            stack.callback(batch_task.cancel)
            yield

    async def _handle_completion(
        self, request: web.Request
    ) -> web.StreamResponse:
        """Handle ``POST /v1/chat/completions``."""
        try:
            body = msgspec.json.decode(
                await request.read(),
                type=dict[str, Any],
            )
        except msgspec.DecodeError:
            return error_reply(HTTPStatus.BAD_REQUEST, 'body_malformed')
        prompt = read_prompt(body)
        target = FaultTarget(COMPLETIONS_SCOPE, prompt.version, prompt.task)
        if self.faults.hit(FaultKind.DOWN, target):
            return drop_connection(request)
        if self.faults.hit(FaultKind.ERROR, target):
            return error_reply(HTTPStatus.INTERNAL_SERVER_ERROR, 'internal')
        if prompt.version not in self._control.loader.loaded:
            return error_reply(HTTPStatus.NOT_FOUND, 'version_not_loaded')
        if self._batch.is_full:
            return error_reply(HTTPStatus.SERVICE_UNAVAILABLE, 'busy')
        return await self._execute(request, prompt, target)

    async def _execute(
        self,
        request: web.Request,
        prompt: Prompt,
        target: FaultTarget,
    ) -> web.StreamResponse:
        """Run a request in the batch and send its completion."""
        foreign_id = self.runs.other_attempt(attempt_id(request))
        completion = self._completions.start(
            request, prompt, target, foreign_id
        )
        record = self.runs.start(completion.attempt, prompt, completion.run)
        self._control.update_report()
        ended = RunState.CANCELLED
        try:
            if not prompt.streams:
                await completion.run.wait_finished()
                ended = (
                    RunState.CANCELLED
                    if completion.run.is_cancelled
                    else RunState.COMPLETE
                )
                return json_reply(
                    completion_reply(
                        completion.attempt,
                        prompt.version,
                        completion.plan,
                        completion.usage,
                    )
                )
            stream = CompletionStream(completion, request, self._clock)
            ended = await stream.send()
            return stream.response
        finally:
            self._batch.remove(completion.run)
            self.runs.end(record, completion.run, ended)
            self._control.update_report()


def main() -> None:
    """Run an engine until SIGTERM or SIGINT."""
    parser = engine_parser()
    arguments = parser.parse_args()
    try:
        settings = read_settings(arguments)
    except ValueError as error:
        parser.error(f'invalid --quality: {error}')
    run(FakeEngine(settings).app, arguments.port)


if __name__ == '__main__':
    main()
