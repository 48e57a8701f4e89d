"""Tests of the limit on requests to brittle upstreams.

They guard against a fleet that makes brittle upstreams terminate: in a burst,
each host sends a few requests more than there is room for, and an upstream that
has to reject more than it tolerates in a second falls over. Its share of the
load then falls on the others.
"""

import asyncio
import unittest
from dataclasses import replace

from fakes.opaque_worker import (
    ReceivedRequest,
    Script,
    ScriptFactory,
    plain,
    rejecting,
)

from nutmegroad.fleet.loads import Load, LoadLedger
from nutmegroad.foundations.clocks import BootClock
from nutmegroad.relay.timeouts import MIN_TIMEOUT
from nutmegroad.testing.virtual import ManualClock
from nutmegroad.upstreams.brittle_limits import (
    NO_SHARE_PAUSE,
    REJECTION_PAUSE,
    STATEMENT_TTL,
    BrittleLimits,
)
from tests.brittle_fleet import PATTERNS, Fleet, an_upstream
from tests.cut_rig import CutRig, holding
from tests.relay_case import RelayCase
from tests.relay_samples import ENGINES


class BurstTest(unittest.TestCase):
    """A burst that is larger than the room at brittle upstreams."""

    # Brittle upstreams fell over one after the other in a burst, since each
    # host alone sent little more than there was room for.
    def test_upstreams_stay_up_in_a_burst(self) -> None:
        """Whether there are few hosts or many."""
        for name, pattern in PATTERNS.items():
            with self.subTest(name):
                fleet = Fleet(pattern, shared=True)
                fleet.play(4)
                self.assertLessEqual(fleet.falls, fleet.tolerated)

    def test_limit_leaves_callers_better_off(self) -> None:
        """More are served than if each host acts alone."""
        for name, pattern in PATTERNS.items():
            with self.subTest(name):
                shared = Fleet(pattern, shared=True)
                alone = Fleet(pattern, shared=False)
                shared.play(4)
                alone.play(4)
                self.assertGreater(alone.falls, alone.tolerated)
                self.assertGreaterEqual(shared.served, alone.served)


class StatementTest(unittest.TestCase):
    """What a host believes of a service."""

    def setUp(self) -> None:
        """Create a host and an upstream with eight slots."""
        self.clock = ManualClock(start=100)
        self.ledger = LoadLedger(self.clock)
        self.limits = BrittleLimits(self.clock, self.ledger)
        self.upstream = an_upstream('u', 8)

    @property
    def usable(self) -> bool:
        """Whether the upstream may get a request."""
        return bool(self.limits.usable((self.upstream,)))

    def test_sound_upstreams_are_not_limited(self) -> None:
        """However many requests they have, and after rejections."""
        for _ in range(50):
            self.ledger.begin(self.upstream.entry.incarnation, Load(1))
        self.limits.record_failure(self.upstream)
        self.assertTrue(self.usable)

    def test_rejection_pauses_a_host(self) -> None:
        """A brittle upstream gets nothing for as long as it counts."""
        self.limits.observe(ENGINES, 4)
        self.limits.record_failure(self.upstream)
        self.assertFalse(self.usable)
        self.clock._now += REJECTION_PAUSE
        self.assertTrue(self.usable)

    def test_answer_without_the_header_ends_it(self) -> None:
        """Upstreams say so in all their answers, or in none."""
        self.limits.observe(ENGINES, 0)
        self.limits.record_failure(self.upstream)
        self.limits.observe(ENGINES, None)
        self.assertTrue(self.usable)

    def test_statement_is_forgotten(self) -> None:
        """Pattern: the last answer came before the service was replaced."""
        self.limits.observe(ENGINES, 1)
        self.clock._now += STATEMENT_TTL + 0.1
        self.assertFalse(self.limits.is_brittle(ENGINES))


class UnknownFleetTest(unittest.TestCase):
    """A host that does not know the other hosts yet."""

    # Guards against hosts that have just started, each of which took itself for
    # the only one and sent as many requests as the upstream has slots.
    def test_it_has_no_share(self) -> None:
        clock = ManualClock(start=100)
        limits = BrittleLimits(clock, LoadLedger(clock))
        limits.share_with(lambda _: None, lambda: None)
        limits.observe(ENGINES, 4)
        self.assertFalse(limits.has_share(an_upstream('u', 8)))


class BrittleAnswerTest(RelayCase):
    """Answers that say how many rejections an upstream tolerates."""

    async def test_host_sends_nothing_more_after_a_rejection(self) -> None:
        """The callers are refused at once, and told when to come back."""
        self.all_workers(rejecting(brittle=2))
        status, headers, _ = await self.rig.ask('/look/1', 'first')
        self.assertEqual(status, 503)
        before = self.rig.seen('first')
        self.assertEqual(before, 2)
        status, headers, body = await self.rig.ask('/look/1', 'second')
        self.assertEqual((status, self.rig.seen('second')), (503, 0), body)
        self.assertGreater(float(headers['Retry-After']), 0)

    # A brittle upstream that had been silent for a second fell over when it
    # went on: it still held slots for requests that hosts had given up.
    async def test_host_sends_nothing_more_after_a_missing_answer(self) -> None:
        """The upstream may still hold a slot for the request."""
        silent = holding(asyncio.Event())
        self.all_workers(brittle(plain()))
        await self.rig.ask('/look/1', 'first')
        self.all_workers(brittle(silent))
        asking = asyncio.ensure_future(self.rig.ask('/look/1', 'second'))
        await self.rig.until(lambda: self.rig.seen('second') == 2)
        await BootClock().sleep(2 * MIN_TIMEOUT)
        status, _, _ = await self.rig.ask('/look/1', 'third')
        self.assertEqual((status, self.rig.seen('third')), (503, 0))
        asking.cancel()

    async def test_sound_upstream_is_asked_again(self) -> None:
        """A rejection alone says nothing about the next request."""
        self.all_workers(rejecting())
        await self.rig.ask('/look/1', 'first')
        self.all_workers(plain())
        status, _, _ = await self.rig.ask('/look/1', 'second')
        self.assertEqual(status, 200)


class SharedSlotsTest(unittest.IsolatedAsyncioTestCase):
    """Three hosts, and a brittle worker with one slot."""

    async def asyncSetUp(self) -> None:
        """Let each host receive an answer that says so."""
        self.rig = await self.enterAsyncContext(CutRig(1, 3))
        self.worker = self.rig.workers[0]
        self.rig.register(0, slots=1)
        self.worker.default_script = brittle(plain())
        await self.rig.start()
        for host in range(3):
            await self.rig.ask('/look/1', f'first-{host}', host=host)

    async def ask_all(self, label: str) -> list[int]:
        """Send a call to each host, and return the statuses."""
        answers = await asyncio.gather(
            *(
                self.rig.ask('/pay/1', f'{label}-{host}', host=host)
                for host in range(3)
            )
        )
        return [status for status, _, _ in answers]

    async def test_hosts_without_a_slot_send_by_way_of_another(self) -> None:
        """Pattern: more hosts than slots, and calls one after the other."""
        for host in range(3):
            status, _, _ = await self.rig.ask('/pay/1', f'r{host}', host=host)
            self.assertEqual(status, 200)

    async def test_worker_gets_no_more_than_it_has_room_for(self) -> None:
        """Pattern: calls at all hosts at once; the others come back later."""
        released = asyncio.Event()
        self.worker.default_script = brittle(holding(released))
        before = len(self.worker.requests)
        asking = asyncio.ensure_future(self.ask_all('held'))
        await self.rig.until(lambda: len(self.worker.requests) > before)
        await BootClock().sleep(NO_SHARE_PAUSE)
        self.assertEqual(len(self.worker.requests), before + 1)
        released.set()
        statuses = await asking
        self.assertEqual(sorted(statuses), [200, 503, 503])


def brittle(make: ScriptFactory) -> ScriptFactory:
    """Return a factory whose answers say that the worker is brittle."""

    def make_brittle(request: ReceivedRequest) -> Script:
        """Add the header to an answer."""
        script = make(request)
        first, *rest = script.pieces
        header = b'Server-Brittle: 1\r\n\r\n'
        first = first.replace(b'\r\n\r\n', b'\r\n' + header, 1)
        return replace(script, pieces=(first, *rest))

    return make_brittle


if __name__ == '__main__':
    unittest.main()
