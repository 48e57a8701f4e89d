"""Second copies of answers, which arrive where the next answer is expected.

They carry the id of their request. Upstreams echo that id and nothing else, so
it does not tell two attempts of one request apart.
"""

import unittest
from collections import deque
from itertools import repeat

from fakes.opaque_worker import (
    REQUEST_ID,
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

from tests.relay_rig import Rig


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
