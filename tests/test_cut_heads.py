"""Upstreams that stop in the middle of an answer's head, and close or reset.

Guards against answers that are framed as whole although their upstream never
sent them whole: callers of other routers got a 200 with a short body.
"""

import unittest
from collections import deque
from contextlib import AsyncExitStack
from dataclasses import dataclass
from itertools import product

from fakes.opaque_worker import (
    EVENTS,
    OpaqueWorker,
    ReceivedRequest,
    Script,
    ScriptFactory,
    plain,
    stream,
)

from nutmegroad.adapters._http_platform import HttpTable, open_session
from nutmegroad.adapters._http_upstreams import (
    HttpEngineClient,
    HttpServiceClient,
)
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import Address, Ran
from nutmegroad.relay.connections import (
    AnswerIdentity,
    Connector,
    RequestHead,
)
from nutmegroad.relay.counters import RelayCounters
from nutmegroad.relay.sockets import ConnectionFailedError
from nutmegroad_platform.store import PlatformStore
from tests.relay_rig import Rig
from tests.upstream_samples import attempt_at, call_at

#: The head of a success whose body has a length, and that of one without.
HEADS = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n',
)


@dataclass(frozen=True)
class CutHead:
    """Answers with the first bytes of a head.

    Attributes:
        size: Number of bytes.
        reset: Whether the connection is reset and not closed.
        whole: The answer that is cut.
    """

    size: int
    reset: bool
    whole: ScriptFactory

    def __call__(self, request: ReceivedRequest) -> Script:
        """Return the script."""
        text = b''.join(self.whole(request).pieces)[: self.size]
        return Script((text,), close=not self.reset, reset=self.reset)


def fixed(head: bytes) -> ScriptFactory:
    """Return a factory of scripts that send a head alone."""
    return lambda _: Script((head,))


def cuts() -> list[CutHead]:
    """Return every cut of every head, closed and reset."""
    sizes = [(head, size) for head in HEADS for size in range(len(head))]
    return [
        CutHead(size, reset, fixed(head))
        for (head, size), reset in product(sizes, (False, True))
    ]


class ClientsTest(unittest.IsolatedAsyncioTestCase):
    """The clients of both programs, against each cut."""

    async def asyncSetUp(self) -> None:
        """Start the upstream."""
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.worker = OpaqueWorker()
        await self.worker.start()
        self.addAsyncCleanup(self.worker.stop)
        self.address = Address('127.0.0.1', self.worker.port)

    async def test_the_relays_connection_has_no_answer(self) -> None:
        connector = Connector()
        head = RequestHead('POST', b'/pay/1', ((b'Content-Length', b'0'),))
        for cut in cuts():
            self.worker.next_scripts = deque((cut,))
            connection = await connector.open(self.address, 1)
            answer = connection.exchange(
                head, b'', lambda _: AnswerIdentity.PENDING
            )
            with (
                self.subTest(cut=cut),
                self.assertRaises(ConnectionFailedError) as failure,
            ):
                await answer
            self.assertTrue(failure.exception.sent)

    async def test_the_daemons_calls_have_no_reply(self) -> None:
        services = await self.stack.enter_async_context(HttpServiceClient())
        for cut in cuts():
            self.worker.next_scripts = deque((cut,))
            reply = await services.call(call_at(self.address))
            with self.subTest(cut=cut):
                assert isinstance(reply, Refusal)
                self.assertIs(reply.ran, Ran.UNKNOWN)

    async def test_the_daemons_engines_have_no_answer(self) -> None:
        engines = await self.stack.enter_async_context(HttpEngineClient())
        for cut in cuts():
            self.worker.next_scripts = deque((cut,))
            async with engines.answer(attempt_at(self.address)) as answer:
                events = [event async for event in answer]
            with self.subTest(cut=cut):
                (refusal,) = events
                assert isinstance(refusal, Refusal)
                self.assertIs(refusal.ran, Ran.UNKNOWN)

    async def test_the_stores_have_no_answer(self) -> None:
        """The relay's store client, and the daemon's."""
        enter = self.stack.enter_async_context
        store = await enter(PlatformStore(self.address, RelayCounters()))
        table = HttpTable(await enter(open_session()), self.address)
        for cut in cuts():
            # A read is repeated once if its connection closes.
            self.worker.default_script = cut
            with self.subTest(cut=cut):
                self.assertIsInstance(await store.snapshot('op'), Refusal)
                self.assertIsInstance(await table.scan('intent/'), Refusal)


class CallerTest(unittest.IsolatedAsyncioTestCase):
    """What callers of the relay get."""

    async def asyncSetUp(self) -> None:
        """Start a host with one worker."""
        self.rig = await self.enterAsyncContext(Rig())
        await self.rig.start()

    async def ask(self, path: str, cut: CutHead) -> tuple[int, bytes]:
        """Return the status and the body after an answer that is cut."""
        self.rig.workers[0].next_scripts = deque((cut, cut.whole))
        name = f'{path}-{cut.size}'
        status, _, body = await self.rig.ask(path, name)
        return status, body

    async def test_callers_get_a_whole_answer_or_none(self) -> None:
        """One that may run once gets none, the others the repeat's."""
        routes = (
            ('/pay/1', plain(), 502, b'After 1 attempts'),
            ('/look/1', plain(), 200, b'fine'),
            ('/draft/1', stream(), 200, EVENTS[-1]),
        )
        for (path, whole, *expected), size in product(routes, range(1, 90, 8)):
            cut = CutHead(size, reset=size % 16 == 1, whole=whole)
            status, body = await self.ask(path, cut)
            with self.subTest(path=path, cut=cut):
                self.assertEqual(status, expected[0])
                self.assertIn(expected[1], body)
