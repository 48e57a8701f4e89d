"""Tests of at-most-once execution: claims, fences, runs and forwarding.

Guards against a second execution of a request when hosts pause, replies
are lost, the platform fails or callers disconnect.
"""

import asyncio
import unittest
from dataclasses import replace

from fakes.faults import FaultKind

from nutmegroad.contracts.fences import Fence, FenceTerms
from nutmegroad.foundations.invariants import CountedInvariants
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import HostId, Ran
from nutmegroad.records.at_most_once import (
    LEASE,
    TABLE_PAUSE,
    ClaimRequest,
    ExecutionGrant,
    ForwardRequired,
)
from nutmegroad.records.billing import BillingRecord
from nutmegroad.records.forwards import (
    ForwardedReply,
    ForwardedRequest,
    Forwarder,
)
from nutmegroad.records.intents import FirstAnswer
from nutmegroad.records.runs import RequestResult, Runner
from nutmegroad.records.tickets import Ticket
from tests.records_rig import (
    ANSWER,
    DEFAULT_CLAIM,
    NOT_RUN,
    UNKNOWN,
    WORKSPACE,
    Host,
    RecordsRig,
    claim_request,
)

FORWARDED = ForwardedRequest(
    host='one',
    seconds=1,
    target='/v1/services/portal/receipts',
    method='POST',
    headers={},
    content=b'{}',
)
REPLY = ForwardedReply(200, b'{}', 'application/json', {})


class OnceCase(unittest.IsolatedAsyncioTestCase):
    """Base class with two hosts."""

    async def asyncSetUp(self) -> None:
        """Start the hosts."""
        self.rig = await self.enterAsyncContext(RecordsRig())
        self.one = self.rig.start_host('one')
        self.two = self.rig.start_host('two')

    async def run_of(
        self, host: Host, wanted: ClaimRequest = DEFAULT_CLAIM
    ) -> ExecutionGrant:
        """Claim a request that may be executed."""
        run = await host.at_most_once.claim(wanted)
        assert isinstance(run, ExecutionGrant), run
        return run

    async def refused(self, host: Host, wanted: ClaimRequest) -> Refusal:
        """Claim a request and expect a refusal."""
        refusal = await host.at_most_once.claim(wanted)
        assert isinstance(refusal, Refusal), refusal
        return refusal


class FenceTest(OnceCase):
    """Attempts that the fence allows or refuses."""

    async def test_a_host_that_slept_past_its_lease_sends_nothing(self) -> None:
        ticket = str(self.one.issuer.issue(WORKSPACE))
        for wanted in (DEFAULT_CLAIM, claim_request(2, ticket=ticket)):
            run = await self.run_of(self.one, wanted)
            await self.rig.clock.jump(LEASE)
            refusal = run.fence.new_attempt().admit()
            assert refusal is not None
            self.assertIs(ResultCode.HOST_PAUSED, refusal.code)
            self.assertIs(Ran.NOT_RUN, refusal.ran)

    async def test_a_lease_counts_from_before_the_write(self) -> None:
        self.rig.add_fault(FaultKind.SLOW, 'table', delay=LEASE)
        claiming = asyncio.ensure_future(
            self.one.at_most_once.claim(DEFAULT_CLAIM)
        )
        while not self.rig.clock.sleepers:
            await asyncio.sleep(0.001)
        await self.rig.clock.advance(LEASE)
        run = await claiming
        assert isinstance(run, ExecutionGrant)
        self.assertIsNotNone(run.fence.new_attempt().admit())

    async def test_an_attempt_proved_not_run_allows_another(self) -> None:
        run = await self.run_of(self.one)
        attempt_fence = run.fence.new_attempt()
        self.assertIsNone(attempt_fence.admit())
        attempt_fence.record_end(NOT_RUN)
        attempt_fence = run.fence.new_attempt()
        self.assertIsNone(attempt_fence.admit())
        attempt_fence.record_end(UNKNOWN)
        with self.assertRaises(AssertionError):
            run.fence.new_attempt().admit()

    async def test_an_attempt_that_is_resumed_crosses_once(self) -> None:
        run = await self.run_of(self.one)
        attempt_fence = run.fence.new_attempt()
        self.assertIsNone(attempt_fence.admit())
        attempt_fence.record_end(UNKNOWN)
        await self.rig.clock.jump(LEASE)
        self.assertIsNone(attempt_fence.admit())
        # A failed resumption does not show that nothing was executed before.
        attempt_fence.record_end(NOT_RUN)
        self.assertEqual(1, run.fence.sent_count)

    async def test_the_daemon_prevents_and_counts_what_tests_raise(
        self,
    ) -> None:
        counted = CountedInvariants(self.rig.metrics)
        terms = FenceTerms(DEFAULT_CLAIM.request, repeatable=False)
        fence = Fence(terms, self.rig.clock, counted)
        self.assertIsNone(fence.new_attempt().admit())
        with self.assertLogs('absl', 'ERROR'):
            second = fence.new_attempt().admit()
            reviewed = fence.review(NOT_RUN)
        assert second is not None
        self.assertIs(ResultCode.OUTCOME_UNKNOWN, second.code)
        self.assertIs(Ran.UNKNOWN, reviewed.ran)
        rendered = self.rig.metrics.render().decode()
        for name in ('one_dispatch', 'true_not_run'):
            line = f'invariant_failures_total{{name="{name}"}} 1.0'
            self.assertIn(line, rendered)


class KeyTest(OnceCase):
    """Requests with a key while the platform fails and recovers."""

    async def test_the_same_key_at_two_hosts_at_once_runs_once(self) -> None:
        claims = await asyncio.gather(
            self.one.at_most_once.claim(claim_request(1)),
            self.two.at_most_once.claim(claim_request(2)),
            self.one.at_most_once.claim(claim_request(3)),
        )
        runs = [claim for claim in claims if isinstance(claim, ExecutionGrant)]
        self.assertEqual(1, len(runs))

    async def test_the_platform_down_refuses_at_once(self) -> None:
        self.rig.add_fault(FaultKind.DOWN, 'table')
        for number in (1, 2):
            refusal = await self.refused(
                self.one, claim_request(number, key='k2')
            )
            self.assertIs(ResultCode.INTENT_UNAVAILABLE, refusal.code)
            self.assertIs(Ran.NOT_RUN, refusal.ran)
            self.assertGreater(refusal.retry_after, 0)
        repeatable = claim_request(3, key='k3', repeatable=True)
        await self.run_of(self.one, repeatable)
        self.rig.platform.faults.clear()
        await self.rig.clock.jump(TABLE_PAUSE)
        await self.run_of(self.one, claim_request(4, key='k2'))

    async def test_an_answer_survives_an_outage_in_memory(self) -> None:
        run = await self.run_of(self.one)
        self.rig.add_fault(FaultKind.DOWN, 'table')
        await self.one.at_most_once.settle(run, ANSWER)
        first = await self.one.at_most_once.claim(claim_request(2))
        self.assertEqual(FirstAnswer(DEFAULT_CLAIM.request, ANSWER), first)
        self.rig.platform.faults.clear()
        # The other host does not know the answer yet and must not claim
        # that the request ended.
        refusal = await self.refused(self.two, claim_request(3))
        self.assertIs(ResultCode.STILL_RUNNING, refusal.code)
        await self.one.at_most_once.settle_pending()
        self.assertEqual(0, self.one.at_most_once.unsettled)
        first = await self.two.at_most_once.claim(claim_request(4))
        self.assertEqual(FirstAnswer(DEFAULT_CLAIM.request, ANSWER), first)

    async def test_a_run_that_is_given_up_is_never_run_again(self) -> None:
        ticket = str(self.one.issuer.issue(WORKSPACE))
        for wanted in (claim_request(1), claim_request(2, ticket=ticket)):
            self.one.at_most_once.settle_unknown(
                await self.run_of(self.one, wanted)
            )
            refusal = await self.refused(self.one, replace(wanted))
            self.assertIs(Ran.UNKNOWN, refusal.ran)


class RunnerTest(OnceCase):
    """Requests that are executed to their end."""

    async def asyncSetUp(self) -> None:
        """Create a runner whose work waits for a gate."""
        await super().asyncSetUp()
        self.runner = Runner(
            self.one.at_most_once, self.one.biller, self.one.sender
        )
        self.record = BillingRecord('r1', WORKSPACE, 'portal', 1)
        self.gate = asyncio.Event()

    async def work(self, fence: Fence) -> RequestResult:
        """Answer once the gate is open."""
        attempt_fence = fence.new_attempt()
        self.assertIsNone(attempt_fence.admit())
        await self.gate.wait()
        return RequestResult(ANSWER, self.record)

    async def begin(self, wanted: ClaimRequest) -> asyncio.Task[object]:
        """Start a request, then let its caller disconnect."""
        coming = self.runner.run(wanted, self.work, lambda: self.record)
        task: asyncio.Task[object] = asyncio.ensure_future(coming)
        while not self.one.at_most_once.unsettled and not task.done():
            await asyncio.sleep(0.001)
            if self.rig.platform.table.row('intent/head-office/k1').version:
                break
        await self.rig.clock.settle()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return task

    async def test_a_run_with_a_key_outlives_its_caller(self) -> None:
        await self.begin(DEFAULT_CLAIM)
        self.gate.set()
        ending = asyncio.ensure_future(self.runner.__aexit__(None, None, None))
        while not ending.done():
            await asyncio.sleep(0.001)
            await self.rig.clock.advance(0.01)
        first = await self.two.at_most_once.claim(claim_request(2))
        self.assertEqual(FirstAnswer(DEFAULT_CLAIM.request, ANSWER), first)
        self.assertEqual(1, self.one.biller.pending)

    async def test_a_caller_that_leaves_is_billed_too(self) -> None:
        wanted = replace(DEFAULT_CLAIM, key='', repeatable=True)
        coming = self.runner.run(wanted, self.work, lambda: self.record)
        task = asyncio.ensure_future(coming)
        await self.rig.clock.settle()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        records = self.one.biller.batches[0].records
        self.assertEqual([self.record], records)


class ForwardTest(OnceCase):
    """Tickets used at a host other than their issuer."""

    async def asyncSetUp(self) -> None:
        """Issue a ticket at the first host."""
        await super().asyncSetUp()
        self.text = str(self.one.issuer.issue(WORKSPACE))
        self.forwarder = Forwarder(self.two.peer, HostId('two'))
        self.forwarder.listen(self.answer)
        Forwarder(self.one.peer, HostId('one')).listen(self.answer)
        self.answered = 0

    async def answer(self, message: ForwardedRequest) -> ForwardedReply:
        """Answer as the issuer."""
        self.answered += 1
        return REPLY

    async def elsewhere(self) -> Ticket:
        """Claim the ticket at the second host."""
        claim = await self.two.at_most_once.claim(
            claim_request(1, ticket=self.text)
        )
        assert isinstance(claim, ForwardRequired)
        return claim.ticket

    async def forward(self) -> ForwardedReply | Refusal:
        """Forward the request while the clock advances."""
        ticket = await self.elsewhere()
        handing = asyncio.ensure_future(
            self.forwarder.forward(ticket, FORWARDED)
        )
        await self.rig.clock.advance(2)
        return await handing

    async def test_the_issuer_answers_even_while_the_table_is_down(
        self,
    ) -> None:
        self.rig.add_fault(FaultKind.DOWN, 'table')
        self.assertEqual(REPLY, await self.forward())
        self.assertEqual(1, self.answered)

    async def test_a_relay_reaches_an_issuer_without_a_link(self) -> None:
        three = self.rig.start_host('three')
        Forwarder(three.peer, HostId('three')).listen(self.answer)
        ticket = await self.elsewhere()
        members = self.two.peer.members()
        self.rig.mesh.cut(HostId('two'), HostId('one'), noticed=True)
        self.two.peer.members = lambda: members  # type: ignore[method-assign]
        handing = asyncio.ensure_future(
            self.forwarder.forward(ticket, FORWARDED)
        )
        await self.rig.clock.advance(2)
        self.assertEqual(REPLY, await handing)
        self.assertEqual(1, self.answered)

    async def test_an_issuer_that_is_gone_may_have_run_it(self) -> None:
        self.rig.mesh.cut(HostId('two'), HostId('one'))
        refusal = await self.forward()
        assert isinstance(refusal, Refusal)
        self.assertIs(ResultCode.TICKET_HOST_GONE, refusal.code)
        self.assertIs(Ran.UNKNOWN, refusal.ran)
        self.assertGreater(refusal.retry_after, 0)
        self.rig.mesh.heal_all()
        self.rig.start_host('one')
        refusal = await self.forward()
        assert isinstance(refusal, Refusal)
        self.assertIs(ResultCode.OUTCOME_UNKNOWN, refusal.code)
        self.assertEqual(0, refusal.retry_after)


if __name__ == '__main__':
    unittest.main()
