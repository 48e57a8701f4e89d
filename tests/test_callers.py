"""Tests of the callers' HTTP interface with failing engines and callers.

Guards against truncated answers that look complete, against work that goes
on after its caller has disconnected, and against requests lost at a stop.
"""

import asyncio
import unittest
from contextlib import AsyncExitStack
from typing import Any

import msgspec
from aiohttp.web import Application, Request, StreamResponse
from fakes.faults import FaultKind, FaultSpec
from fakes.run_records import RunState
from fakes.serving import LoopbackServer

from nutmegroad.callers.answer_streams import EventStream
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.documents import Withdrawal
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.types import RequestId
from nutmegroad.kernel.stops import GracefulStop, StopPhase
from nutmegroad.records.billing import Biller
from tests.fast_engines import VERY_SLOW_SPEED
from tests.host_fixture import HostFixture, two_version_settings

DONE = b'[DONE]'


def parse_events(content: bytes) -> list[Any]:
    """Return the decoded data of the events of a stream."""
    lines = [line for line in content.split(b'\n') if line.startswith(b'data')]
    texts = [line.removeprefix(b'data: ') for line in lines]
    return [msgspec.json.decode(text) for text in texts if text != DONE]


def answer_text(events: list[Any]) -> str:
    """Return the text of the chunks of a stream."""
    chunks = [event for event in events if 'choices' in event]
    deltas = [chunk['choices'][0]['delta'] for chunk in chunks]
    return ''.join(delta.get('content', '') for delta in deltas)


class CallerCase(unittest.IsolatedAsyncioTestCase):
    """Opens a host with engines that answer quickly."""

    async def asyncSetUp(self) -> None:
        """Open the host."""
        await self.open()

    async def open(self, **changes: Any) -> None:
        """Open a host with changed options of its engines."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.host = HostFixture(two_version_settings(**changes))
        await self.host.open(self.stack)

    async def send(self, *, stream: bool = False, session: str = '') -> Any:
        """Send a model request; return the response after reading it."""
        response = await self.host.session.post(
            self.host.url(),
            json=self.host.body(stream=stream),
            headers=self.host.headers(session),
        )
        await response.read()
        return response

    def has_metric(self, line: str) -> bool:
        """Return whether the rendered metrics contain a text."""
        metrics = self.host.kernel.need(Metrics)
        return line in metrics.render().decode()


class IdempotencyKeyTest(CallerCase):
    """A request that is repeated with its idempotency key."""

    async def test_repeated_stream_names_the_first_request(self) -> None:
        headers = {**self.host.headers(), 'Idempotency-Key': 'k1'}
        headers_seen = []
        for _ in range(2):
            response = await self.host.session.post(
                self.host.url(),
                json=self.host.body(stream=True),
                headers=headers,
            )
            content = await response.read()
            self.assertIn(DONE, content)
            headers_seen.append(response.headers)
        first, again = headers_seen
        self.assertEqual(
            first['Nutmegroad-Request'],
            again.get('Nutmegroad-First-Request'),
        )


class EngineFaultTest(CallerCase):
    """Answers of engines with injected faults."""

    async def assert_complete(self, *, stream: bool) -> None:
        """Send a request and check that the answer is complete."""
        response = await self.send(stream=stream)
        content = await response.read()
        self.assertEqual(response.status, 200, content)
        if stream:
            self.assertIn(DONE, content)
            text = answer_text(parse_events(content))
        else:
            answer = msgspec.json.decode(content)
            text = answer['choices'][0]['message']['content']
        self.assertEqual(len(text.split()), 8)

    async def test_stream_is_complete_with_version_and_session(
        self,
    ) -> None:
        response = await self.send(stream=True)
        content = await response.read()
        events = parse_events(content)
        self.assertTrue(content.endswith(b'data: [DONE]\n\n'))
        self.assertEqual(len(answer_text(events).split()), 8)
        versions = {event['model'] for event in events}
        self.assertEqual(len(versions), 1)
        token = response.headers['Nutmegroad-Session']
        self.assertEqual(events[-1]['session'], token)

    async def test_faults_of_one_engine_are_hidden_from_callers(
        self,
    ) -> None:
        for kind in (
            FaultKind.CUT,
            FaultKind.DUPLICATE,
            FaultKind.ERROR,
            FaultKind.DOWN,
        ):
            engine = self.host.engines[0]
            engine.faults.clear()
            engine.faults.add(FaultSpec(kind, scope='answers'))
            for number in range(6):
                with self.subTest(kind=kind, number=number):
                    await self.assert_complete(stream=bool(number % 2))

    async def test_answer_to_another_attempt_is_retried_elsewhere(self) -> None:
        order = FaultSpec(FaultKind.CROSS, scope='answers')
        self.host.engines[0].faults.add(order)
        for number in range(6):
            with self.subTest(number=number):
                await self.assert_complete(stream=bool(number % 2))

    async def test_truncated_stream_is_resumed_at_its_engine(self) -> None:
        self.host.fault(FaultKind.CUT, count=1)
        await self.assert_complete(stream=True)
        run_ends = [
            [run.ended for run in engine.runs.records]
            for engine in self.host.engines
        ]
        self.assertIn([RunState.CUT, RunState.COMPLETE], run_ends)

    async def test_truncated_answer_ends_with_an_error(self) -> None:
        self.host.fault(FaultKind.CUT)
        response = await self.send(stream=True)
        content = await response.read()
        self.assertNotIn(DONE, content)
        self.assertIn(b'event: error', content)
        self.assertFalse(parse_events(content)[-1]['error']['not_run'])
        response = await self.send()
        self.assertEqual(response.status, 502)

    async def test_requests_and_refusals_are_counted(self) -> None:
        await self.send()
        labels = 'outcome="OK",task="checklist-tag",workspace="head-office"'
        self.assertTrue(self.has_metric(f'requests_total{{{labels}}} 1.0'))
        self.assertTrue(self.has_metric('first_token_seconds_count'))
        for engine in self.host.engines:
            engine.faults.clear()
        self.host.fault(FaultKind.ERROR)
        await self.send()
        self.assertTrue(
            self.has_metric('refusals_total{code="UPSTREAM_ERROR"}')
        )


class OpenRequestTest(CallerCase):
    """Open requests that end because the caller leaves or the host stops."""

    async def asyncSetUp(self) -> None:
        await self.open(speed=VERY_SLOW_SPEED)

    async def test_execution_is_cancelled_at_the_engine_and_billed(
        self,
    ) -> None:
        bills: list[Any] = []
        biller: Any = self.host.kernel.need(Biller)
        biller.record = bills.append
        task = asyncio.create_task(self.send(stream=True))
        await self.wait_until(lambda: self.run_ends() == [RunState.RUNNING])
        task.cancel()
        await self.wait_until(lambda: self.run_ends() == [RunState.CANCELLED])
        await self.wait_until(lambda: self.has_metric('outcome="ANSWER_CUT"'))
        self.assertEqual([bill.outcome for bill in bills], ['ANSWER_CUT'])

    async def test_open_request_is_refused_at_the_drain_limit(self) -> None:
        stop = self.host.kernel.need(GracefulStop)
        stop._limit = 0.2
        task = asyncio.create_task(self.send())
        await self.wait_until(lambda: self.run_ends() == [RunState.RUNNING])
        self.assertEqual(await stop.run(), 1)
        response = await task
        body = await response.json()
        self.assertEqual(response.status, 503)
        self.assertEqual(body['error']['name'], 'HOST_STOPPING')
        self.assertFalse(body['error']['not_run'])

    def run_ends(self) -> list[RunState]:
        """Return how each execution at the engines has ended."""
        runs = [
            run for engine in self.host.engines for run in engine.runs.records
        ]
        return [run.ended for run in runs]

    async def wait_until(self, condition: Any) -> None:
        """Wait up to 10 seconds for a condition."""
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.01)


class SessionTest(CallerCase):
    """Sessions over HTTP."""

    async def test_named_session_keeps_its_version(self) -> None:
        first = await self.send(session='desk')
        version = (await first.json())['model']
        again = await self.host.session.post(
            self.host.url(),
            json=self.host.body(
                model='brief-medium@4',
                nutmegroad_task='checklist-tag',
            ),
            headers=self.host.headers('desk'),
        )
        self.assertEqual((await again.json())['model'], version)

    async def test_only_new_names_are_refused_without_the_table(
        self,
    ) -> None:
        known = await self.send(session='desk')
        token = known.headers['Nutmegroad-Session']
        self.host.platform.faults.add(FaultSpec(FaultKind.DOWN, scope='table'))
        for name in ('desk', token):
            response = await self.send(session=name)
            self.assertEqual(response.status, 200)
        refused = await self.send(session='new')
        body = await refused.json()
        self.assertEqual(refused.status, 503)
        self.assertTrue(body['error']['not_run'])
        self.assertIn('Retry-After', refused.headers)

    async def test_withdrawn_version_ends_the_session_not_run(self) -> None:
        first = await self.send(session='desk')
        version = (await first.json())['model']
        withdrawal = Withdrawal(version=version, epoch=9)
        self.host.kernel.need(Configuration).add_withdrawals((withdrawal,))
        for name in ('desk', first.headers['Nutmegroad-Session']):
            response = await self.send(session=name)
            body = await response.json()
            self.assertEqual(body['error']['name'], 'SESSION_ENDED')
            self.assertTrue(body['error']['not_run'])


class GracefulStopTest(CallerCase):
    """Requests while the host stops."""

    async def test_new_request_is_refused_and_connection_closed(
        self,
    ) -> None:
        stop = self.host.kernel.need(GracefulStop)
        with stop.track_request():
            stopping = asyncio.create_task(stop.run())
            while stop.phase is not StopPhase.REFUSING:
                await asyncio.sleep(0.01)
            response = await self.send()
        await stopping
        body = await response.json()
        self.assertEqual(response.status, 503)
        self.assertEqual(body['error']['name'], 'HOST_STOPPING')
        self.assertTrue(body['error']['not_run'])
        self.assertEqual(response.headers['Connection'], 'close')
        operators = self.host.kernel.listening['operators']
        url = f'http://{operators}/readyz'
        async with self.host.session.get(url) as ready:
            self.assertEqual(ready.status, 503)

    async def test_idle_connection_loses_no_request(self) -> None:
        # Every request on a connection that was opened before the stop is
        # answered or refused as not executed, and the reply announces that
        # the connection closes.
        address = self.host.kernel.listening['callers']
        opened = await asyncio.open_connection(address.ip, address.port)
        self.addCleanup(opened[1].close)
        self.assertEqual(await self.request_on(opened), (200, False))
        stop = self.host.kernel.need(GracefulStop)
        with stop.track_request():
            stopping = asyncio.create_task(stop.run())
            while stop.phase is not StopPhase.REFUSING:
                await asyncio.sleep(0.01)
            self.assertEqual(await self.request_on(opened), (503, True))
            self.assertEqual(await opened[0].read(), b'')
        await stopping
        runs = [len(engine.runs.records) for engine in self.host.engines]
        self.assertEqual(sum(runs), 1)

    async def test_last_request_is_answered_during_lame_duck(
        self,
    ) -> None:
        address = self.host.kernel.listening['callers']
        opened = await asyncio.open_connection(address.ip, address.port)
        self.addCleanup(opened[1].close)
        self.assertEqual(await self.request_on(opened), (200, False))
        stop = self.host.kernel.need(GracefulStop)
        stop._phase = StopPhase.LAME_DUCK
        self.assertEqual(await self.request_on(opened), (200, True))
        self.assertEqual(await opened[0].read(), b'')

    async def request_on(
        self,
        opened: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    ) -> tuple[int, bool]:
        """Return the status of a reply and whether it announces a close."""
        reader, writer = opened
        content = msgspec.json.encode(self.host.body())
        headers = {**self.host.headers(), 'Content-Length': len(content)}
        lines = [f'{name}: {text}' for name, text in headers.items()]
        path = 'POST /v1/chat/completions HTTP/1.1'
        head = '\r\n'.join((path, 'Host: h', *lines, '', ''))
        writer.write(head.encode() + content)
        replied = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
        length = replied.partition('content-length: ')[2].partition('\r')[0]
        await reader.readexactly(int(length))
        status = int(replied.split()[1])
        return status, 'connection: close' in replied


class SlowCallerTest(unittest.IsolatedAsyncioTestCase):
    """A caller that requests a stream and does not read it."""

    async def test_connection_is_aborted_and_counted(self) -> None:
        metrics = Metrics(float)
        cut = asyncio.Event()

        async def answer(http: Request) -> StreamResponse:
            stream = EventStream(
                http,
                RequestId('r'),
                lambda version: 'token',
                metrics,
                read_timeout=0.2,
            )
            try:
                while True:
                    await stream.write('word ' * 10_000)
            except ConnectionResetError:
                cut.set()
                raise

        app = Application()
        app.router.add_get('/', answer)
        served = await self.enterAsyncContext(LoopbackServer(app))
        address = served.address
        _, writer = await asyncio.open_connection(address.ip, address.port)
        self.addCleanup(writer.close)
        writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        async with asyncio.timeout(10):
            await cut.wait()
        shown = metrics.render().decode()
        self.assertIn('dropped_replies_total{kind="slow_caller"} 1.0', shown)
