"""Tests of the engine stand-in against its documentation."""

import asyncio
import unittest
from contextlib import AsyncExitStack
from random import Random
from typing import Any

import msgspec
from aiohttp import ClientError, ClientSession
from fakes.batching import Batch, BatchSpeed, PrefixCache, Run
from fakes.engine import FakeEngine

from tests.fast_engines import VERY_SLOW_SPEED, ManualClock, fast_settings


class EngineCase(unittest.IsolatedAsyncioTestCase):
    """Base class of tests that start an engine and call it over HTTP."""

    async def asyncSetUp(self) -> None:
        """Open an HTTP client."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.session = await self.stack.enter_async_context(ClientSession())
        self.url = ''

    async def open(self, **changes: Any) -> FakeEngine:
        """Start an engine that subsequent calls go to."""
        engine = FakeEngine(fast_settings(**changes))
        await self.stack.enter_async_context(engine)
        self.url = f'http://{engine.address}'
        return engine

    async def post(self, path: str, body: Any) -> tuple[int, Any]:
        """Post JSON; return the status and the reply."""
        async with self.session.post(self.url + path, json=body) as response:
            text = await response.read()
            return response.status, msgspec.json.decode(text or b'null')

    async def fetch(self, path: str) -> Any:
        """Return the JSON reply to a GET."""
        async with self.session.get(self.url + path) as response:
            return await response.json()

    def request_completion(
        self, attempt: str = 'at', skip: int = 0, **body: Any
    ) -> Any:
        """Request a streamed answer of eight words."""
        return self.session.post(
            f'{self.url}/v1/chat/completions',
            json={
                'model': 'a@1',
                'messages': [{'role': 'user', 'content': 'one two'}],
                'stream': True,
                'nutmegroad_tokens': 8,
                **body,
            },
            headers={
                'Nutmegroad-Attempt': attempt,
                'Nutmegroad-Skip': str(skip),
            },
        )

    async def events(self, attempt: str = 'at', **options: Any) -> list[Any]:
        """Return an answer's events, without the final ``[DONE]``."""
        async with self.request_completion(attempt, **options) as response:
            text = await response.text()
        lines = [line for line in text.split('\n\n') if line]
        self.assertEqual('data: [DONE]', lines.pop())
        return [msgspec.json.decode(line[len('data: ') :]) for line in lines]


class CompletionTest(EngineCase):
    """Completions and rejected requests."""

    async def test_streams_words_with_indexes_and_final_chunk(self) -> None:
        await self.open()
        events = await self.events()
        self.assertEqual(list(range(9)), [event['index'] for event in events])
        self.assertEqual({'at'}, {event['id'] for event in events})
        self.assertEqual('stop', events[-1]['choices'][0]['finish_reason'])
        self.assertEqual(8, events[-1]['usage']['completion_tokens'])
        word = events[-2]['choices'][0]['delta']['content']
        self.assertRegex(word, r'^q=0\.\d\d $')

    async def test_resumes_at_requested_word(self) -> None:
        await self.open()
        whole = await self.events()
        self.assertEqual(whole[3:8], (await self.events(skip=3))[:-1])

    async def test_unstreamed_answer_respects_max_tokens(self) -> None:
        await self.open()
        async with self.request_completion(
            stream=False, max_tokens=3
        ) as response:
            reply = await response.json()
        choice = reply['choices'][0]
        self.assertEqual(3, len(choice['message']['content'].split()))
        self.assertEqual('length', choice['finish_reason'])

    async def test_rejects_version_that_is_not_loaded(self) -> None:
        await self.open()
        async with self.request_completion(model='a@2') as response:
            self.assertEqual(404, response.status)
            reply = await response.json()
        self.assertEqual('version_not_loaded', reply['error']['code'])

    async def test_rejects_requests_when_queue_is_full(self) -> None:
        engine = await self.open(speed=VERY_SLOW_SPEED)
        waiting = [asyncio.create_task(self.events(str(n))) for n in range(5)]
        while len(engine.runs.records) < 5:
            await asyncio.sleep(0)
        async with self.request_completion() as response:
            self.assertEqual(503, response.status)
        report = await self.fetch('/engine/report')
        self.assertEqual((4, 1), (report['running'], report['queued']))
        for number in range(5):
            await self.post('/engine/cancel', {'attempt': str(number)})
        ended = await asyncio.gather(*waiting, return_exceptions=True)
        self.assertTrue(all(isinstance(end, Exception) for end in ended))
        runs = (await self.fetch('/admin/runs'))['runs']
        self.assertEqual({'cancelled'}, {entry['ended'] for entry in runs})

    async def test_closing_the_stream_cancels_the_run(self) -> None:
        engine = await self.open(speed=VERY_SLOW_SPEED)
        async with self.request_completion():
            self.assertEqual('running', engine.runs.records[0].ended.value)
        while engine.runs.records[0].ended.value == 'running':
            await asyncio.sleep(0)


class FaultTest(EngineCase):
    """Each fault has its documented effect."""

    async def fault(self, kind: str, **options: Any) -> None:
        """Activate a fault."""
        status, _ = await self.post('/admin/faults', {'kind': kind, **options})
        self.assertEqual(204, status)

    async def test_down_and_cut_close_the_connection(self) -> None:
        for kind in ('down', 'cut'):
            with self.subTest(kind):
                await self.open()
                await self.fault(kind)
                with self.assertRaises(ClientError):
                    await self.events()

    async def test_error_fault_returns_500(self) -> None:
        await self.open()
        await self.fault('error')
        async with self.request_completion() as response:
            self.assertEqual(500, response.status)

    async def test_chunks_get_foreign_ids_or_are_duplicated(self) -> None:
        await self.open()
        await self.fault('cross', count=1)
        crossed = await self.events()
        self.assertEqual(2, len({event['id'] for event in crossed}))
        await self.fault('duplicate', count=1)
        self.assertEqual(17, len(await self.events()))

    async def test_frozen_stream_stays_open(self) -> None:
        engine = await self.open()
        await self.fault('freeze')
        async with self.request_completion() as response:
            received = await response.content.readuntil(b'"index":3')
            self.assertEqual('running', engine.runs.records[0].ended.value)
            await self.post('/engine/cancel', {'attempt': 'at'})
            received += await response.read()
        self.assertEqual(4, received.count(b'data:'))
        self.assertNotIn(b'[DONE]', received)

    async def test_bad_fault_lowers_quality_of_one_task(self) -> None:
        await self.open()
        await self.fault('bad', version='a@1', task='tag', quality=0)
        bad = await self.events(nutmegroad_task='tag')
        good = await self.events(nutmegroad_task='other')
        words = [
            float(events[-2]['choices'][0]['delta']['content'][2:])
            for events in (bad, good)
        ]
        self.assertLess(words[0], 0.2)
        self.assertGreater(words[1], 0.3)


class ControlTest(EngineCase):
    """Version orders, reports and draining."""

    async def order_load(self, fencing: int, version: str = 'a@2') -> int:
        """Order the load of a version; return the HTTP status."""
        body = {'action': 'load', 'version': version, 'fencing': fencing}
        status, _ = await self.post('/engine/orders', body)
        return status

    async def test_loads_version_and_checks_fencing(self) -> None:
        await self.open()
        self.assertEqual(202, await self.order_load(7))
        self.assertEqual(409, await self.order_load(6))
        report = await self.fetch('/engine/report')
        while report['versions'] != ['a@1', 'a@2']:
            report = await self.fetch('/engine/report')
        self.assertEqual(7, report['fencing'])

    async def test_ignores_fencing_if_check_is_disabled(self) -> None:
        await self.open(checks_fencing=False)
        self.assertEqual(202, await self.order_load(7))
        self.assertEqual(202, await self.order_load(6))

    async def test_reports_draining_without_lag(self) -> None:
        await self.open(report_lag=1000)
        await self.post('/admin/leave', {'leaving': True})
        self.assertTrue((await self.fetch('/engine/report'))['leaving'])
        await self.post('/admin/leave', {'leaving': True, 'reports': 1})
        for expected in (True, False, False):
            report = await self.fetch('/engine/report')
            self.assertEqual(report['leaving'], expected)


class BatchTest(unittest.IsolatedAsyncioTestCase):
    """The timing model and the cache, on a manual clock."""

    async def completion_time(self, count: int, **changes: float) -> float:
        """Return the time in which concurrent answers of ten words finish."""
        clock = ManualClock()
        speed = BatchSpeed(
            slots=8,
            prefill_rate=1,
            step_base=1,
            step_per_request=0.5,
        )
        batch = Batch(speed, clock)
        runs = [Run(total=10, prefill=2) for _ in range(count)]
        for run in runs:
            batch.add(run, 0)
        batch_task = asyncio.create_task(batch.step_forever())
        for run in runs:
            await run.wait_finished()
        batch_task.cancel()
        return clock.now()

    async def test_steps_take_longer_under_load(self) -> None:
        self.assertLess(await self.completion_time(1), 2 + 10 * 1.5 + 1.6)
        self.assertGreaterEqual(await self.completion_time(4), 2 + 10 * 3)

    async def test_lower_priority_numbers_run_first(self) -> None:
        batch = Batch(BatchSpeed(slots=1), ManualClock())
        first, late, urgent = (Run(total=1, prefill=0) for _ in range(3))
        for run, priority in ((first, 5), (late, 5), (urgent, 1)):
            batch.add(run, priority)
        batch.remove(first)
        self.assertEqual({urgent}, batch.running)

    async def test_cache_evicts_oldest_prefix(self) -> None:
        cache = PrefixCache(1, 0, ManualClock(), Random(1))
        self.assertEqual(0, cache.read('a@1', ('x',)))
        self.assertEqual(1, cache.read('a@1', ('x',)))
        cache.read('a@1', ('y',))
        self.assertEqual(0, cache.read('a@1', ('x',)))
        self.assertTrue(
            {'stored', 'evicted'} >= {event.kind for event in cache.events(0)}
        )


if __name__ == '__main__':
    unittest.main()
