"""The engine stand-in keeps to its page."""

import asyncio
import unittest
from contextlib import AsyncExitStack
from random import Random
from typing import Any

import msgspec
from aiohttp import ClientError, ClientSession
from fakes.batching import Batch, BatchSpeed, PrefixCache, Run
from fakes.engine import FakeEngine

from tests.quick import ENDLESS, ManualClock, quick_settings


class EngineCase(unittest.IsolatedAsyncioTestCase):
    """Opens engines and calls them."""

    async def asyncSetUp(self) -> None:
        """Open a client."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.session = await self.stack.enter_async_context(ClientSession())
        self.url = ''

    async def open(self, **changes: Any) -> FakeEngine:
        """Open the engine that later calls go to."""
        engine = FakeEngine(quick_settings(**changes))
        await self.stack.enter_async_context(engine)
        self.url = f'http://{engine.address}'
        return engine

    async def post(self, path: str, body: Any) -> tuple[int, Any]:
        """Post JSON; return the status and the reply."""
        async with self.session.post(self.url + path, json=body) as response:
            text = await response.read()
            return response.status, msgspec.json.decode(text or b'null')

    async def fetch(self, path: str) -> Any:
        """Return a reply."""
        async with self.session.get(self.url + path) as response:
            return await response.json()

    def ask(self, attempt: str = 'at', skip: int = 0, **body: Any) -> Any:
        """Begin a streamed answer of eight words."""
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
        """Return an answer's events, all but the last mark."""
        async with self.ask(attempt, **options) as response:
            text = await response.text()
        lines = [line for line in text.split('\n\n') if line]
        self.assertEqual('data: [DONE]', lines.pop())
        return [msgspec.json.decode(line[len('data: ') :]) for line in lines]


class AnswerTest(EngineCase):
    """Answers, and what is refused."""

    async def test_streams_words_with_places_and_an_end(self) -> None:
        await self.open()
        events = await self.events()
        self.assertEqual(list(range(9)), [event['index'] for event in events])
        self.assertEqual({'at'}, {event['id'] for event in events})
        self.assertEqual('stop', events[-1]['choices'][0]['finish_reason'])
        self.assertEqual(8, events[-1]['usage']['completion_tokens'])
        word = events[-2]['choices'][0]['delta']['content']
        self.assertRegex(word, r'^q=0\.\d\d $')

    async def test_resumes_where_the_caller_says(self) -> None:
        await self.open()
        whole = await self.events()
        self.assertEqual(whole[3:8], (await self.events(skip=3))[:-1])

    async def test_answers_whole_and_keeps_the_limit(self) -> None:
        await self.open()
        async with self.ask(stream=False, max_tokens=3) as response:
            reply = await response.json()
        choice = reply['choices'][0]
        self.assertEqual(3, len(choice['message']['content'].split()))
        self.assertEqual('length', choice['finish_reason'])

    async def test_refuses_what_is_not_loaded(self) -> None:
        await self.open()
        async with self.ask(model='a@2') as response:
            self.assertEqual(404, response.status)
            reply = await response.json()
        self.assertEqual('version_not_loaded', reply['error']['code'])

    async def test_refuses_beyond_the_queue(self) -> None:
        engine = await self.open(speed=ENDLESS)
        waiting = [asyncio.create_task(self.events(str(n))) for n in range(5)]
        while len(engine.runs.records) < 5:
            await asyncio.sleep(0)
        async with self.ask() as response:
            self.assertEqual(503, response.status)
        report = await self.fetch('/engine/report')
        self.assertEqual((4, 1), (report['running'], report['queued']))
        for number in range(5):
            await self.post('/engine/cancel', {'attempt': str(number)})
        ended = await asyncio.gather(*waiting, return_exceptions=True)
        self.assertTrue(all(isinstance(end, Exception) for end in ended))
        runs = (await self.fetch('/admin/runs'))['runs']
        self.assertEqual({'cancelled'}, {entry['ended'] for entry in runs})

    async def test_a_closed_stream_is_cancelled(self) -> None:
        engine = await self.open(speed=ENDLESS)
        async with self.ask():
            self.assertEqual('running', engine.runs.records[0].ended.value)
        while engine.runs.records[0].ended.value == 'running':
            await asyncio.sleep(0)


class FaultTest(EngineCase):
    """Each fault does what its page says."""

    async def fault(self, kind: str, **more: Any) -> None:
        """Switch a fault on."""
        status, _ = await self.post('/admin/faults', {'kind': kind, **more})
        self.assertEqual(204, status)

    async def test_connections_close_or_streams_are_cut(self) -> None:
        for kind in ('down', 'cut'):
            with self.subTest(kind):
                await self.open()
                await self.fault(kind)
                with self.assertRaises(ClientError):
                    await self.events()

    async def test_an_error_is_a_500(self) -> None:
        await self.open()
        await self.fault('error')
        async with self.ask() as response:
            self.assertEqual(500, response.status)

    async def test_pieces_cross_and_come_twice(self) -> None:
        await self.open()
        await self.fault('cross', count=1)
        crossed = await self.events()
        self.assertEqual(2, len({event['id'] for event in crossed}))
        await self.fault('duplicate', count=1)
        self.assertEqual(17, len(await self.events()))

    async def test_a_frozen_stream_stays_open(self) -> None:
        engine = await self.open()
        await self.fault('freeze')
        async with self.ask() as response:
            received = await response.content.readuntil(b'"index":3')
            self.assertEqual('running', engine.runs.records[0].ended.value)
            await self.post('/engine/cancel', {'attempt': 'at'})
            received += await response.read()
        self.assertEqual(4, received.count(b'data:'))
        self.assertNotIn(b'[DONE]', received)

    async def test_a_version_turns_bad_for_one_task(self) -> None:
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


class OrderTest(EngineCase):
    """Orders, reports and leaving."""

    async def order(self, fencing: int, version: str = 'a@2') -> int:
        """Order a load; return the status."""
        body = {'action': 'load', 'version': version, 'fencing': fencing}
        status, _ = await self.post('/engine/orders', body)
        return status

    async def test_loads_and_checks_fencing(self) -> None:
        await self.open()
        self.assertEqual(202, await self.order(7))
        self.assertEqual(409, await self.order(6))
        report = await self.fetch('/engine/report')
        while report['versions'] != ['a@1', 'a@2']:
            report = await self.fetch('/engine/report')
        self.assertEqual(7, report['fencing'])

    async def test_ignores_fencing_where_it_is_told_to(self) -> None:
        await self.open(checks_fencing=False)
        self.assertEqual(202, await self.order(7))
        self.assertEqual(202, await self.order(6))

    async def test_says_at_once_that_it_leaves(self) -> None:
        await self.open(report_lag=1000)
        await self.post('/admin/leave', {'leaving': True})
        self.assertTrue((await self.fetch('/engine/report'))['leaving'])
        await self.post('/admin/leave', {'leaving': True, 'reports': 1})
        for told in (True, False, False):
            report = await self.fetch('/engine/report')
            self.assertEqual(report['leaving'], told)


class BatchTest(unittest.IsolatedAsyncioTestCase):
    """The time model, on a clock that only sleep moves."""

    async def time_of(self, runs: int, **changes: float) -> float:
        """Return how long so many answers of ten words take."""
        clock = ManualClock()
        speed = BatchSpeed(
            slots=8,
            prefill_rate=1,
            step_base=1,
            step_per_request=0.5,
        )
        batch = Batch(speed, clock)
        jobs = [Run(total=10, prefill=2) for _ in range(runs)]
        for job in jobs:
            batch.add(job, 0)
        stepping = asyncio.create_task(batch.step_forever())
        for job in jobs:
            await job.finished()
        stepping.cancel()
        return clock.now()

    async def test_steps_grow_with_load(self) -> None:
        self.assertLess(await self.time_of(1), 2 + 10 * 1.5 + 1.6)
        self.assertGreaterEqual(await self.time_of(4), 2 + 10 * 3)

    async def test_smaller_priorities_go_first(self) -> None:
        batch = Batch(BatchSpeed(slots=1), ManualClock())
        first, late, soon = (Run(total=1, prefill=0) for _ in range(3))
        for run, priority in ((first, 5), (late, 5), (soon, 1)):
            batch.add(run, priority)
        batch.remove(first)
        self.assertEqual({soon}, batch.running)

    async def test_the_cache_forgets_the_oldest(self) -> None:
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
