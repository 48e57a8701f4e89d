"""HTTP clients for upstreams: gates, answers, and whether a request ran."""

import asyncio
import unittest
from contextlib import AsyncExitStack
from http import HTTPStatus
from typing import Any
from unittest.mock import patch

from aiohttp.http_writer import StreamWriter
from aiohttp.web import Application, Request, Response
from fakes.engine import FakeEngine
from fakes.faults import FaultKind, FaultSpec
from fakes.replies import error_reply
from fakes.service import FakeService
from fakes.serving import LoopbackServer

from nutmegroad.adapters._event_streams import AnswerReader
from nutmegroad.adapters._http_upstreams import (
    HttpEngineClient,
    HttpServiceClient,
)
from nutmegroad.contracts.upstreams import (
    AnswerEnd,
    AnswerEvent,
    Attempt,
    EngineOrder,
    EngineReport,
    OrderAction,
    Piece,
    ServiceReply,
)
from nutmegroad.foundations.event_streams import EventStreamSplitter
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    Address,
    AttemptId,
    FencingNumber,
    Ran,
    VersionId,
)
from tests.fast_engines import VERY_SLOW_SPEED, fast_settings
from tests.upstream_samples import (
    attempt_at,
    call_at,
    open_gate,
    upstream_at,
)

CLOSED = Refusal(ResultCode.HOST_PAUSED, 'The host was paused.')


def closed_gate() -> Refusal:
    """Refuse the request."""
    return CLOSED


class ByteCounter:
    """A server that counts received bytes and requests, and never answers.

    It closes each connection after the first block.
    """

    def __init__(self) -> None:
        self.received = 0
        self.requests = 0

    async def open(self, stack: AsyncExitStack) -> Address:
        """Start to listen."""
        server = await asyncio.start_server(self._handle, '127.0.0.1', 0)
        stack.callback(server.close)
        return Address(*server.sockets[0].getsockname())

    async def _handle(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        received = await reader.read(65536)
        self.received += len(received)
        self.requests += bool(received)
        writer.close()


class UpstreamCase(unittest.IsolatedAsyncioTestCase):
    """Test case with a client for engines and one for services."""

    async def asyncSetUp(self) -> None:
        """Open both clients."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        enter = self.stack.enter_async_context
        self.engines = await enter(HttpEngineClient())
        self.services = await enter(HttpServiceClient())

    async def engine(self, **changes: Any) -> FakeEngine:
        """Start a simulated engine."""
        engine = FakeEngine(fast_settings(**changes))
        return await self.stack.enter_async_context(engine)

    async def answer(self, attempt: Attempt) -> list[AnswerEvent]:
        """Request an answer and return all of its events."""
        async with self.engines.answer(attempt) as events:
            return [event async for event in events]

    def assert_refused(
        self,
        refusal: object,
        code: ResultCode,
        ran: Ran,
    ) -> None:
        """Check the code of a refusal and whether the request ran."""
        self.assertIsInstance(refusal, Refusal)
        if isinstance(refusal, Refusal):
            self.assertEqual((code, ran), (refusal.code, refusal.ran))


class GateTest(UpstreamCase):
    """The gate is checked immediately before the first byte."""

    async def test_nothing_is_sent_if_the_gate_is_closed(self) -> None:
        counter = ByteCounter()
        address = await counter.open(self.stack)
        events = await self.answer(attempt_at(address, gate=closed_gate))
        self.assertEqual([CLOSED], events)
        for body in (b'', b'{}'):
            call = call_at(address, gate=closed_gate, body=body)
            self.assertEqual(CLOSED, await self.services.call(call))
        order = EngineOrder(
            OrderAction.LOAD,
            VersionId('a@2'),
            FencingNumber(1),
            closed_gate,
        )
        reply = await self.engines.order(upstream_at(address), order)
        self.assertEqual(CLOSED, reply)
        self.assertEqual(0, counter.received)

    async def test_gate_is_checked_in_same_step_as_first_byte(self) -> None:
        counter = ByteCounter()
        address = await counter.open(self.stack)
        write = StreamWriter._write
        writelines = StreamWriter._writelines
        steps: list[str] = []

        def gate() -> None:
            """Record the check, and when the next loop step begins."""
            steps.append('gate')
            asyncio.get_running_loop().call_soon(steps.append, 'next step')

        def record_write(writer: StreamWriter, chunk: Any) -> None:
            """Record the first write of a request without a body."""
            steps.append('write')
            write(writer, chunk)

        def record_writelines(writer: StreamWriter, chunks: Any) -> None:
            """Record the first write of a request with a body."""
            steps.append('write')
            writelines(writer, chunks)

        with patch.multiple(
            StreamWriter,
            _write=record_write,
            _writelines=record_writelines,
        ):
            for body in (b'', b'{}'):
                steps.clear()
                call = call_at(address, gate=gate, body=body)
                await self.services.call(call)
                self.assertEqual(['gate', 'write', 'next step'], steps)

    async def test_no_request_is_sent_twice(self) -> None:
        counter = ByteCounter()
        address = await counter.open(self.stack)
        for method in ('GET', 'PUT', 'POST'):
            with self.subTest(method):
                counter.requests = 0
                reply = await self.services.call(
                    call_at(address, method=method),
                )
                code = ResultCode.UPSTREAM_ERROR
                self.assert_refused(reply, code, Ran.UNKNOWN)
                self.assertEqual(1, counter.requests)


class AnswerTest(UpstreamCase):
    """Complete answers and each kind of failure."""

    async def test_complete_and_resumed_answers(self) -> None:
        engine = await self.engine()
        events = await self.answer(attempt_at(engine.address))
        pieces = [event for event in events if isinstance(event, Piece)]
        self.assertEqual(list(range(8)), [piece.index for piece in pieces])
        self.assertEqual(AnswerEnd('stop', 1, 8), events[-1])
        resumed = await self.answer(attempt_at(engine.address, skip=3))
        self.assertEqual(events[3:], [*resumed[:-1], AnswerEnd('stop', 1, 8)])

    async def test_faults_become_refusals(self) -> None:
        cases = (
            (FaultKind.DOWN, ResultCode.UPSTREAM_ERROR),
            (FaultKind.ERROR, ResultCode.UPSTREAM_ERROR),
            (FaultKind.CUT, ResultCode.ANSWER_CUT),
            (FaultKind.CROSS, ResultCode.ANSWER_CROSSED),
            (FaultKind.FREEZE, ResultCode.UPSTREAM_TIMEOUT),
            (FaultKind.LATE, ResultCode.UPSTREAM_TIMEOUT),
        )
        engine = await self.engine()
        for kind, code in cases:
            with self.subTest(kind):
                engine.faults.clear()
                engine.faults.add(FaultSpec(kind, delay=600, scope='answers'))
                # Each case has its own attempt id, since the cancellation of
                # the previous one may still be pending.
                attempt = attempt_at(
                    engine.address,
                    attempt=AttemptId(kind.value),
                    timeout=0.3,
                )
                events = await self.answer(attempt)
                self.assert_refused(events[-1], code, Ran.UNKNOWN)

    async def test_duplicates_are_dropped_and_counted(self) -> None:
        engine = await self.engine()
        engine.faults.add(FaultSpec(FaultKind.DUPLICATE))
        events = await self.answer(attempt_at(engine.address))
        self.assertEqual(9, len(events))
        self.assertEqual(8, self.engines.duplicates)

    async def test_unloaded_version_and_full_queue_mean_not_run(self) -> None:
        engine = await self.engine(speed=VERY_SLOW_SPEED)
        unloaded = attempt_at(engine.address, version=VersionId('a@9'))
        events = await self.answer(unloaded)
        code = ResultCode.VERSION_NOT_LOADED
        self.assert_refused(events[0], code, Ran.NOT_RUN)
        async with AsyncExitStack() as stack:
            for _ in range(5):
                task = asyncio.create_task(
                    self.answer(attempt_at(engine.address)),
                )
                stack.callback(task.cancel)
            while len(engine.runs.records) < 5:
                await asyncio.sleep(0)
            events = await self.answer(attempt_at(engine.address))
        code = ResultCode.UPSTREAM_BUSY
        self.assert_refused(events[0], code, Ran.NOT_RUN)

    async def test_error_of_a_draining_engine_means_not_run(self) -> None:
        async def refuse(http: Request) -> Response:
            await http.read()
            return error_reply(HTTPStatus.SERVICE_UNAVAILABLE, 'leaving')

        app = Application()
        app.router.add_post('/{path:.*}', refuse)
        served = await self.stack.enter_async_context(LoopbackServer(app))
        events = await self.answer(attempt_at(served.address))
        code = ResultCode.UPSTREAM_LEAVING
        self.assert_refused(events[0], code, Ran.NOT_RUN)

    async def test_unreachable_upstream_means_not_run(self) -> None:
        async with FakeEngine(fast_settings()) as engine:
            address = engine.address
        events = await self.answer(attempt_at(address))
        code = ResultCode.UPSTREAM_UNREACHABLE
        self.assert_refused(events[0], code, Ran.NOT_RUN)
        reply = await self.services.call(call_at(address))
        self.assert_refused(reply, code, Ran.NOT_RUN)

    async def test_leaving_the_context_early_cancels_the_answer(self) -> None:
        engine = await self.engine()
        engine.faults.add(FaultSpec(FaultKind.FREEZE))
        async with self.engines.answer(attempt_at(engine.address)) as events:
            async for _ in events:
                break
        while engine.runs.records[0].ended.value != 'cancelled':
            await asyncio.sleep(0)


class ReaderTest(unittest.TestCase):
    """Parsing of an answer's stream."""

    def test_stream_may_be_split_at_any_byte(self) -> None:
        stream = ': hello\r\n\r\ndata: {"é":1}\r\n\r\ndata: x\n\n'.encode()
        for size in range(1, len(stream)):
            splitter = EventStreamSplitter()
            lines = [
                event.content
                for start in range(0, len(stream), size)
                for event in splitter.feed(stream[start : start + size])
                if event.content is not None
            ]
            self.assertEqual(['{"é":1}'.encode(), b'x'], lines)

    def test_missing_chunk_ends_the_answer(self) -> None:
        reader = AnswerReader(AttemptId('at'))
        event = reader.read(b'{"id":"at","index":1}')
        self.assertEqual(Refusal, type(event))
        self.assertTrue(reader.is_finished)


class OtherCallTest(UpstreamCase):
    """Reports and orders of engines, and calls of services."""

    async def test_report_and_fenced_order(self) -> None:
        engine = await self.engine()
        info = upstream_at(engine.address)
        report = await self.engines.report(info)
        self.assertIsInstance(report, EngineReport)
        for number, code in ((7, None), (6, ResultCode.ORDER_FENCED)):
            order = EngineOrder(
                OrderAction.LOAD,
                VersionId('a@2'),
                FencingNumber(number),
                open_gate,
            )
            refusal = await self.engines.order(info, order)
            self.assertEqual(code, None if refusal is None else refusal.code)

    async def test_service_call_and_lost_reply(self) -> None:
        service = await self.stack.enter_async_context(FakeService())
        reply = await self.services.call(call_at(service.address))
        self.assertIsInstance(reply, ServiceReply)
        service.faults.add(FaultSpec(FaultKind.LOSE_REPLY))
        reply = await self.services.call(call_at(service.address))
        code = ResultCode.UPSTREAM_ERROR
        self.assert_refused(reply, code, Ran.UNKNOWN)
        self.assertEqual(2, len(service.runs))


if __name__ == '__main__':
    unittest.main()
