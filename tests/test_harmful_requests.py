"""Our own daemon keeps requests from engines that end under them.

The same as `test_crashing_requests` for the model API: attempts are counted by
request, and a request that ends engines comes again under another id.
"""

import asyncio
import random
import unittest

from nutmegroad.contracts.upstreams import EngineReport, UpstreamInfo
from nutmegroad.fleet.crash_book import FIRST_PAUSE, HARMFUL
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import DomainId, HostId, Ran, RequestId
from nutmegroad.routing.harmful import (
    BROADCAST_INTERVAL,
    MIN_PROBE_INTERVAL,
    CrashExchange,
    HarmfulRequests,
)
from nutmegroad.routing.request_progress import Answer, Spent
from nutmegroad.testing.virtual import ManualClock, MemoryMesh
from tests.rigs import HostRig, Script, ScriptedEngines, whole
from tests.test_attempts import CUT, GONE, broken

BODY = {'messages': [{'role': 'user', 'content': 'a question'}]}


class EndingEngines(ScriptedEngines):
    """Engines that are gone after an attempt at them has broken.

    Attributes:
        gone: Whether that is so; else only the attempt has broken.
    """

    gone = True

    async def report(self, upstream: UpstreamInfo) -> EngineReport | Refusal:
        """Say whether a new connection is refused."""
        return GONE if self.gone else CUT


class HarmfulRequestTest(unittest.IsolatedAsyncioTestCase):
    """One host, two engines, and a request that comes again."""

    async def asyncSetUp(self) -> None:
        """Start a host."""
        self.clock = ManualClock(start=100)
        self.engines = EndingEngines()
        self.rig = HostRig(self.clock, engines=self.engines)
        self.numbers = iter(range(100))

    @property
    def sent(self) -> int:
        """Return how many attempts have reached an engine."""
        return len(self.engines.sent)

    async def come(self, *scripts: Script, **changes: object) -> object:
        """Send the request once more, under another id."""
        self.engines.scripts = list(scripts)
        self.rig.spent = Spent()
        name = RequestId(f'r{next(self.numbers)}')
        return await self.rig.ask(request=name, body=BODY, **changes)

    async def end_three(self) -> None:
        """Let it end three engines."""
        for _ in range(HARMFUL):
            if self.sent < HARMFUL:
                await self.come(*(broken(0) for _ in range(9)))

    async def test_it_is_refused_after_its_third_engine(self) -> None:
        """Guards: each time that it comes it has all its attempts again."""
        await self.end_three()
        self.assertEqual(self.sent, HARMFUL)
        for _ in range(4):
            refusal = await self.come(*(broken(0) for _ in range(9)))
            assert isinstance(refusal, Refusal)
            self.assertIs(refusal.code, ResultCode.REQUEST_HARMFUL)
            self.assertIs(refusal.ran, Ran.NOT_RUN)
            self.assertGreater(refusal.retry_after, 0)
        self.assertEqual(self.sent, HARMFUL)

    async def test_others_are_served(self) -> None:
        """Other content of the same caller, or the same of another one."""
        await self.end_three()
        others = ({'body': {}}, {'workspace': 'another'})
        for changes in others:
            content = {'body': BODY, **changes}
            harmful = self.rig.harmful.keeps_out(self.rig.request(**content))
            self.assertIsNone(harmful)

    async def test_an_answer_clears_it(self) -> None:
        """Whoever only ran beside a harmful one is tried once more."""
        await self.end_three()
        await self.clock.jump(FIRST_PAUSE)
        self.assertIsInstance(await self.come(whole), Answer)
        self.assertIsInstance(await self.come(whole), Answer)

    async def test_a_further_end_keeps_it_out_for_long(self) -> None:
        """One more engine ends under it, and no other."""
        await self.end_three()
        await self.clock.jump(FIRST_PAUSE)
        await self.come(broken(0), broken(0))
        self.assertEqual(self.sent, HARMFUL + 1)
        await self.clock.jump(MIN_PROBE_INTERVAL * 2)
        await self.come(broken(0), broken(0))
        self.assertEqual(self.sent, HARMFUL + 1)

    async def test_another_host_tries_it(self) -> None:
        """Where it is not this host's to try, it is not tried here."""
        await self.end_three()
        self.rig.harmful.may_try = lambda content: False
        await self.clock.jump(FIRST_PAUSE)
        self.assertIsInstance(await self.come(whole), Refusal)

    async def test_a_line_that_breaks_is_no_end(self) -> None:
        """An engine that is there spoils answers; its callers are served."""
        self.engines.gone = False
        for _ in range(4):
            await self.come(*(broken(0) for _ in range(9)))
        self.assertIsInstance(await self.come(whole), Answer)


class CrashExchangeTest(unittest.IsolatedAsyncioTestCase):
    """What one host has seen, another one heeds."""

    async def test_another_host_refuses_it_too(self) -> None:
        """Guards: it ends as many engines at each host that it comes to."""
        clock = ManualClock(start=100)
        network = MemoryMesh(clock, random.Random(1))
        await self.enterAsyncContext(network)
        engines = EndingEngines()
        known = [HarmfulRequests(engines, clock) for _ in range(2)]
        for number, harmful in enumerate(known):
            peer = network.join(HostId(f'h{number}'), DomainId('north'))
            exchange = CrashExchange(peer, harmful.book, clock)
            task = asyncio.create_task(exchange.run())
            self.addCleanup(task.cancel)
        rig = HostRig(clock, engines=engines, harmful=known[0])
        request = rig.request(body=BODY)
        for _ in range(HARMFUL):
            engines.scripts = [broken(0) for _ in range(9)]
            await rig.ask(body=BODY)
        self.assertIsNone(known[1].keeps_out(request))
        await clock.advance(BROADCAST_INTERVAL * 2)
        refusal = known[1].keeps_out(request)
        assert refusal is not None
        self.assertIs(refusal.code, ResultCode.REQUEST_HARMFUL)


if __name__ == '__main__':
    unittest.main()
