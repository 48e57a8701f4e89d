"""Tests of intent rows: a key is claimed at most once.

Covers lost replies, stale reads, repeated requests and terminated owners.
"""

import unittest
from dataclasses import replace

from fakes.faults import FaultKind

from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Ran, RequestId
from nutmegroad.records.intents import MAX_INLINE_ANSWER, Claim, FirstAnswer
from tests.records_rig import (
    ANSWER,
    INTENT_SPEC,
    NOT_RUN,
    UNKNOWN,
    RecordsRig,
)

REPEATED_SPEC = replace(INTENT_SPEC, request=RequestId('r2'))


class IntentTest(unittest.IsolatedAsyncioTestCase):
    """Two hosts that claim the same key."""

    async def asyncSetUp(self) -> None:
        """Start two hosts."""
        self.rig = await self.enterAsyncContext(RecordsRig())
        self.one = self.rig.start_host('one')
        self.two = self.rig.start_host('two')

    async def claim(self) -> Claim:
        """Claim the key on the first host."""
        claim = await self.one.intents.claim(INTENT_SPEC)
        assert isinstance(claim, Claim)
        return claim

    async def claim_refused(self) -> Refusal:
        """Claim the key on the second host and expect a refusal."""
        refusal = await self.two.intents.claim(REPEATED_SPEC)
        assert isinstance(refusal, Refusal)
        return refusal

    async def test_a_key_is_claimed_once(self) -> None:
        await self.claim()
        refusal = await self.claim_refused()
        self.assertIs(ResultCode.STILL_RUNNING, refusal.code)
        self.assertIs(Ran.UNKNOWN, refusal.ran)
        self.assertGreater(refusal.retry_after, 0)

    async def test_a_lost_reply_is_settled_by_the_nonce(self) -> None:
        self.rig.add_fault(FaultKind.LOSE_REPLY, 'table', count=1)
        await self.claim()
        self.assertIs(
            ResultCode.STILL_RUNNING,
            (await self.claim_refused()).code,
        )

    async def test_a_repeat_gets_the_first_answer_anywhere(self) -> None:
        large = replace(ANSWER, body=bytes(range(256)) * MAX_INLINE_ANSWER)
        for answer, key in ((ANSWER, 'small'), (large, 'large')):
            with self.subTest(key):
                spec = replace(INTENT_SPEC, key=key)
                claim = await self.one.intents.claim(spec)
                assert isinstance(claim, Claim)
                await self.one.intents.settle(claim, answer)
                first = await self.two.intents.claim(
                    replace(REPEATED_SPEC, key=key)
                )
                self.assertEqual(
                    FirstAnswer(INTENT_SPEC.request, answer), first
                )

    async def test_a_lost_reply_to_the_answer_is_harmless(self) -> None:
        claim = await self.claim()
        self.rig.add_fault(FaultKind.LOSE_REPLY, 'table', count=1)
        await self.one.intents.settle(claim, ANSWER)
        await self.one.intents.settle(claim, ANSWER)
        first = await self.two.intents.claim(REPEATED_SPEC)
        self.assertEqual(FirstAnswer(INTENT_SPEC.request, ANSWER), first)

    async def test_a_key_is_refused_for_another_body(self) -> None:
        await self.claim()
        other = replace(REPEATED_SPEC, fingerprint='f2')
        refusal = await self.two.intents.claim(other)
        assert isinstance(refusal, Refusal)
        self.assertIs(ResultCode.KEY_REUSED, refusal.code)

    async def test_a_request_not_executed_may_be_claimed_again(self) -> None:
        claim = await self.claim()
        await self.one.intents.settle(claim, NOT_RUN)
        self.assertIsInstance(
            await self.two.intents.claim(REPEATED_SPEC), Claim
        )
        self.assertIs(
            ResultCode.STILL_RUNNING,
            (await self.claim_refused()).code,
        )

    async def test_an_unknown_outcome_is_never_claimed_again(self) -> None:
        claim = await self.claim()
        await self.one.intents.settle(claim, UNKNOWN)
        await self.rig.clock.jump(3600)
        refusal = await self.claim_refused()
        self.assertIs(ResultCode.OUTCOME_UNKNOWN, refusal.code)
        self.assertIs(Ran.UNKNOWN, refusal.ran)

    async def test_a_terminated_owner_leaves_the_outcome_unknown(self) -> None:
        await self.claim()
        # An unresponsive host may only be cut off.
        self.rig.mesh.remove(self.one.peer.host)
        self.assertIs(
            ResultCode.STILL_RUNNING,
            (await self.claim_refused()).code,
        )
        self.rig.start_host('one')
        self.assertIs(
            ResultCode.OUTCOME_UNKNOWN,
            (await self.claim_refused()).code,
        )

    async def test_a_repeatable_request_is_taken_over(self) -> None:
        spec = replace(INTENT_SPEC, repeatable=True)
        self.assertIsInstance(await self.one.intents.claim(spec), Claim)
        self.rig.start_host('one')
        again = replace(REPEATED_SPEC, repeatable=True)
        self.assertIsInstance(await self.two.intents.claim(again), Claim)

    async def test_a_write_with_unknown_outcome_is_released(self) -> None:
        # The reply is lost, and the read that would find the row is stale.
        self.rig.add_fault(FaultKind.LOSE_REPLY, 'table', count=1)
        self.rig.add_fault(FaultKind.STALE, 'table', count=1)
        refusal = await self.one.intents.claim(INTENT_SPEC)
        assert isinstance(refusal, Refusal)
        self.assertIs(ResultCode.INTENT_UNAVAILABLE, refusal.code)
        self.assertIs(Ran.NOT_RUN, refusal.ran)
        self.assertIs(
            ResultCode.STILL_RUNNING,
            (await self.claim_refused()).code,
        )
        for claim in self.one.intents.take_abandoned():
            await self.one.intents.release(claim)
        self.assertIsInstance(
            await self.two.intents.claim(REPEATED_SPEC), Claim
        )

    async def test_a_release_leaves_the_claim_of_another_alone(self) -> None:
        # The write never arrives, so the later row with the same version
        # belongs to another host.
        self.rig.add_fault(FaultKind.LOSE_REPLY, 'table', count=1)
        self.rig.add_fault(FaultKind.STALE, 'table', count=1)
        await self.one.intents.claim(INTENT_SPEC)
        (claim,) = self.one.intents.take_abandoned()
        other = replace(INTENT_SPEC, key='k2')
        self.assertIsInstance(await self.two.intents.claim(other), Claim)
        lost = replace(claim, row=other.row)
        self.assertIsNone(await self.one.intents.release(lost))
        again = replace(REPEATED_SPEC, key='k2')
        refusal = await self.one.intents.claim(again)
        assert isinstance(refusal, Refusal)
        self.assertIs(ResultCode.STILL_RUNNING, refusal.code)

    async def test_a_write_after_the_release_conflicts(self) -> None:
        spec = replace(INTENT_SPEC, key='k3')
        self.rig.add_fault(FaultKind.LOSE_REPLY, 'table', count=1)
        self.rig.add_fault(FaultKind.STALE, 'table', count=1)
        await self.one.intents.claim(INTENT_SPEC)
        (claim,) = self.one.intents.take_abandoned()
        late = replace(claim, row=spec.row)
        # The row does not exist yet. The release creates it, so that the
        # late write conflicts.
        self.assertIsNone(await self.one.intents.release(late))
        self.assertIsInstance(await self.two.intents.claim(spec), Claim)


if __name__ == '__main__':
    unittest.main()
