"""Second copies of answers, which arrive where the next answer is expected.

They carry the id of their request. Upstreams echo that id and nothing else, so
it does not tell two attempts of one request apart.
"""

import unittest
from collections import deque
from itertools import repeat
from unittest import mock

from fakes.opaque_worker import (
    REQUEST_ID,
    OpaqueWorker,
    ReceivedRequest,
    Script,
    ScriptFactory,
    chunk,
    head,
    plain,
    rejecting,
    signed,
    stream,
)

from nutmegroad.adapters._http_upstreams import (
    HttpEngineClient,
    HttpServiceClient,
)
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import Address, Ran
from nutmegroad.relay import execution
from tests.relay_rig import Rig
from tests.upstream_samples import attempt_at, call_at


def failing(request: ReceivedRequest) -> Script:
    """Answer with a complete error."""
    return plain(b'oops', '500 Internal Server Error')(request)


def unsure(request: ReceivedRequest) -> Script:
    """Answer with one event that the model has little confidence in."""
    headers = signed(
        request,
        **{'Transfer-Encoding': 'chunked', 'Nutmegroad-Confidence': '5'},
    )
    body = chunk(b'id: 1\ndata: poor\n\n') + chunk(b'')
    return Script((head('200 OK', headers) + body,))


class LateCopyTest(unittest.IsolatedAsyncioTestCase):
    """A host with one worker that sends answers a second time."""

    async def asyncSetUp(self) -> None:
        """Start the store, the worker and the host."""
        self.rig = await self.enterAsyncContext(Rig())
        self.worker = self.rig.workers[0]
        self.worker.repeats_late = True
        await self.rig.start()

    def script(self, *factories: ScriptFactory) -> None:
        """Set the worker's next answers."""
        self.worker.next_scripts = deque(factories)

    async def test_copy_of_a_rejection_is_no_answer_to_the_next_attempt(
        self,
    ) -> None:
        """A call was refused as not run, or sent again, while it ran."""
        for rejections in range(1, 5):
            with self.subTest(rejections=rejections):
                self.script(*repeat(rejecting(), rejections), plain())
                name = f'p{rejections}'
                status, _, body = await self.rig.ask('/pay/1', name)
                self.assertEqual((status, body), (200, b'fine'))
                self.assertEqual(self.rig.seen(name), rejections + 1)

    async def test_copy_of_a_failure_is_no_answer_to_the_repeat(self) -> None:
        """A repeated request ran once more than its caller was told."""
        for path, last in (('/look/1', plain()), ('/draft/1', stream())):
            with self.subTest(path=path):
                self.script(failing, last)
                status, _, _ = await self.rig.ask(path, path)
                self.assertEqual(status, 200)
                self.assertEqual(self.rig.seen(path), 2)

    async def test_copy_of_a_discarded_answer_is_not_the_larger_models(
        self,
    ) -> None:
        """A caller got the small model's answer for the large one's."""
        better = stream((b'id: 1\ndata: good\n\n',), confidence=90)
        self.script(unsure, better)
        headers = {
            'Nutmegroad-Model': '*',
            'Nutmegroad-Token-Usage': '10,3',
            'Nutmegroad-Prompt-Prefix': 'aa:10',
        }
        _, _, body = await self.rig.ask('/sized/1', headers=headers)
        self.assertEqual(body, b'id: 1\ndata: good\n\n')

    async def test_copy_without_an_id_is_no_answer_to_another_request(
        self,
    ) -> None:
        """A call was refused as not run by the answer to the one before."""
        unidentified = rejecting(identified=False)
        for name in ('p1', 'p2'):
            self.script(unidentified, plain())
            status, headers, _ = await self.rig.ask('/pay/1', name)
            self.assertEqual((status, headers[REQUEST_ID]), (200, name))
            self.assertEqual(self.rig.seen(name), 2)


#: A rejection as upstreams send it that do not name its request.
REJECTION = rejecting(identified=False)(
    ReceivedRequest('POST', '/pay/1', {}, b'')
).pieces[0]

#: What an upstream sends behind an answer that names its request.
STRAY_BYTES = (
    ('a rejection', REJECTION),
    ('a rejection that is cut in a header', REJECTION[:-4] + b'\r\nDate: Mon'),
    ('half of an answer', b'HTTP/1.1 200 OK\r\nContent-Le'),
    ('an error', b'HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n'),
    ('no answer', b'\x00\xff'),
)


class StrayBytesTest(unittest.IsolatedAsyncioTestCase):
    """A worker that sends more than its answers as the next request arrives.

    Guards against false promises: a call was refused as not run, or sent to
    another worker, while it ran.
    """

    async def asyncSetUp(self) -> None:
        """Start the store, the workers and the host."""
        self.rig = await self.enterAsyncContext(Rig(workers=2))
        await self.rig.start()

    async def test_bytes_behind_an_answer_belong_to_no_request(self) -> None:
        """Neither a call nor a look-up was served by them, or lost."""
        for path in ('/pay/1', '/look/1', '/draft/1'):
            for what, stray in STRAY_BYTES:
                with self.subTest(path=path, stray=what):
                    await self.ask_after(path, what, stray)

    async def ask_after(self, path: str, what: str, stray: bytes) -> None:
        """Send requests on connections on which other bytes arrive."""
        for worker in self.rig.workers:
            worker.stray_bytes = stray
            worker.default_script = stream() if 'draft' in path else plain()
        for number in range(4):
            name = f'{path} {what} {number}'.replace(' ', '-')
            status, headers, _ = await self.rig.ask(path, name)
            self.assertEqual((status, headers.get(REQUEST_ID)), (200, name))
            self.assertEqual(self.rig.seen(name), 1)


class AnswerLogTest(unittest.IsolatedAsyncioTestCase):
    """What the log says of the answers to attempts."""

    async def test_attempts_say_whether_their_answer_named_the_request(
        self,
    ) -> None:
        """Refusals that were not true could not be traced without it."""
        rig = await self.enterAsyncContext(Rig())
        await rig.start()
        scripts = (rejecting(identified=False), rejecting(), plain())
        rig.workers[0].next_scripts = deque(scripts)
        with mock.patch.object(execution, '_LOG') as log:
            await rig.ask('/pay/1', 'p1')
        lines = [
            each.kwargs['answer']
            for each in log.decision.call_args_list
            if each.args == ('attempt',)
        ]
        self.assertEqual(lines, ['unnamed', 'pending', 'pending'])


def busy(request: ReceivedRequest) -> Script:
    """Reply as an engine that has no slot left."""
    body = b'{"error": {"code": "busy"}}'
    return plain(body, '503 Service Unavailable')(request)


class DaemonTest(unittest.IsolatedAsyncioTestCase):
    """The daemon's clients and an upstream that sends answers twice."""

    async def asyncSetUp(self) -> None:
        """Start the upstream."""
        self.worker = OpaqueWorker(repeats_late=True)
        await self.worker.start()
        self.addAsyncCleanup(self.worker.stop)
        self.address = Address('127.0.0.1', self.worker.port)

    async def test_copy_of_a_reply_is_no_reply_to_another_call(self) -> None:
        """A caller got the reply to somebody else's call."""
        self.worker.next_scripts = deque((plain(b'first'), plain(b'second')))
        async with HttpServiceClient() as services:
            replies = [
                await services.call(call_at(self.address)) for _ in range(2)
            ]
        bodies = [each.body for each in replies if each]
        self.assertEqual(bodies, [b'first', b'second'])

    async def test_copy_of_a_busy_reply_is_no_proof_for_another(self) -> None:
        """An attempt that ran was taken for one that did not."""
        self.worker.next_scripts = deque((busy, failing))
        async with HttpEngineClient() as engines:
            for expected in (Ran.NOT_RUN, Ran.UNKNOWN):
                attempt = attempt_at(self.address)
                async with engines.answer(attempt) as events:
                    (refusal,) = [event async for event in events]
                assert isinstance(refusal, Refusal)
                self.assertIs(refusal.ran, expected)
