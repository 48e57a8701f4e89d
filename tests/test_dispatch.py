"""Tests of the versions and upstreams that requests are dispatched to."""

import unittest
from dataclasses import replace
from typing import Any

from nutmegroad.contracts.decisions import AttemptEnd
from nutmegroad.contracts.documents import Withdrawal
from nutmegroad.contracts.requests import ModelRequest, Plan, SessionBinding
from nutmegroad.contracts.upstreams import Attempt, Piece
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Epoch, Ran, UpstreamId, VersionId
from nutmegroad.routing.request_progress import Answer
from nutmegroad.testing.virtual import ManualClock
from tests.request_path_rig import (
    ANSWER_END,
    MEDIUM,
    SMALL,
    RequestPathRig,
    engine_report,
)

CUT = Refusal(ResultCode.ANSWER_CUT, 'cut', Ran.UNKNOWN)
WITHDRAWN = (Withdrawal(version=SMALL, epoch=0),)


def refuse_all(attempt: Attempt) -> list[Any]:
    """Refuse the connection."""
    return [Refusal(ResultCode.UPSTREAM_UNREACHABLE, 'gone')]


class CascadePlanner:
    """A planner of cascades with a fixed estimate of the first answer."""

    def __init__(self, estimate: float) -> None:
        self.fixed_estimate = estimate

    def plan(self, request: ModelRequest) -> Plan:
        """Return a plan with one step for each allowed version."""
        steps = request.versions
        return Plan(steps, (0.5,) * (len(steps) - 1), 1, 1, 'test')

    def estimate(self, request: ModelRequest, end: AttemptEnd) -> float:
        """Return the fixed estimate."""
        return self.fixed_estimate


class CascadeTest(unittest.IsolatedAsyncioTestCase):
    """A cheap first step whose answer is withheld until it is estimated."""

    def make_rig(self, estimate: float) -> RequestPathRig:
        return RequestPathRig(ManualClock(), CascadePlanner(estimate))

    async def send(
        self, rig: RequestPathRig, **changes: Any
    ) -> Answer | Refusal:
        return await rig.send(versions=(SMALL, MEDIUM), **changes)

    async def test_a_good_first_answer_is_shown_as_its_own_version(
        self,
    ) -> None:
        rig = self.make_rig(0.9)
        answer = await self.send(rig)
        assert isinstance(answer, Answer)
        self.assertEqual(answer.version, SMALL)
        self.assertEqual(rig.caller.versions[-1], SMALL)
        self.assertEqual(rig.caller.text, answer.text)

    async def test_nothing_of_a_bad_first_answer_is_shown(self) -> None:
        rig = self.make_rig(0.1)

        def script(attempt: Attempt) -> list[Any]:
            return [Piece(0, 'bad'), ANSWER_END]

        rig.engines.scripts = [script]
        answer = await self.send(rig)
        assert isinstance(answer, Answer)
        self.assertEqual(answer.version, MEDIUM)
        self.assertNotIn('bad', rig.caller.text)
        self.assertEqual(rig.usage.attempts, 2)

    async def test_a_withdrawal_applies_to_the_last_step_too(self) -> None:
        rig = self.make_rig(0.1)

        async def withdraw() -> None:
            withdrawal = Withdrawal(version=MEDIUM, epoch=0)
            rig.configuration.add_withdrawals((withdrawal,))

        def script(attempt: Attempt) -> list[Any]:
            return [Piece(0, 'bad'), withdraw, ANSWER_END]

        rig.engines.scripts = [script]
        answer = await self.send(rig)
        assert isinstance(answer, Answer)
        self.assertEqual(answer.version, SMALL)
        versions = {sent.version for sent in rig.engines.sent}
        self.assertEqual(versions, {SMALL})

    async def test_a_non_repeatable_request_takes_the_last_step_only(
        self,
    ) -> None:
        rig = self.make_rig(0.1)
        answer = await self.send(rig, repeatable=False)
        assert isinstance(answer, Answer)
        self.assertEqual([sent.version for sent in rig.engines.sent], [MEDIUM])


class SessionTest(unittest.IsolatedAsyncioTestCase):
    """A session that is bound to a version."""

    async def asyncSetUp(self) -> None:
        self.rig = RequestPathRig(ManualClock())
        self.session = SessionBinding('s', SMALL, Epoch(0))

    async def send(self) -> Answer | Refusal:
        return await self.rig.send(session=self.session)

    async def test_a_withdrawal_of_its_version_ends_a_session_not_run(
        self,
    ) -> None:
        self.rig.configuration.add_withdrawals(WITHDRAWN)
        outcome = await self.send()
        assert isinstance(outcome, Refusal)
        self.assertEqual(outcome.code, ResultCode.SESSION_ENDED)
        self.assertIs(outcome.ran, Ran.NOT_RUN)
        self.assertEqual(self.rig.engines.sent, [])

    async def test_a_withdrawn_version_that_is_unloaded_ends_the_session(
        self,
    ) -> None:
        for name in ('one', 'two'):
            self.rig.directory.reported(UpstreamId(name), engine_report(MEDIUM))
        self.rig.configuration.add_withdrawals(WITHDRAWN)
        outcome = await self.send()
        assert isinstance(outcome, Refusal)
        self.assertEqual(outcome.code, ResultCode.SESSION_ENDED)

    async def test_a_withdrawal_between_attempts_ends_it_with_unknown_outcome(
        self,
    ) -> None:
        async def withdraw() -> None:
            self.rig.configuration.add_withdrawals(WITHDRAWN)

        self.rig.engines.scripts = [lambda attempt: [withdraw, CUT]]
        outcome = await self.send()
        assert isinstance(outcome, Refusal)
        self.assertEqual(outcome.code, ResultCode.SESSION_ENDED)
        self.assertIs(outcome.ran, Ran.UNKNOWN)

    async def test_a_session_never_changes_its_version(self) -> None:
        for name in ('one', 'two'):
            self.rig.directory.reported(UpstreamId(name), engine_report(MEDIUM))
        request = self.rig.request(
            session=self.session,
            versions=(SMALL, MEDIUM),
        )
        outcome = await self.rig.dispatcher.answer(
            request,
            self.rig.caller,
            self.rig.explanation,
        )
        assert isinstance(outcome, Refusal)
        self.assertEqual(outcome.code, ResultCode.NO_UPSTREAM)

    async def test_a_new_session_gets_a_version_that_can_answer(
        self,
    ) -> None:
        request = self.rig.request(versions=(SMALL, MEDIUM))
        self.assertEqual(
            self.rig.dispatcher.choose_session_version(request), SMALL
        )
        self.rig.configuration.add_withdrawals(WITHDRAWN)
        self.assertEqual(
            self.rig.dispatcher.choose_session_version(request), MEDIUM
        )

    async def test_another_epoch_is_another_version(self) -> None:
        self.rig.configuration.add_withdrawals(WITHDRAWN)
        self.session = replace(self.session, epoch=Epoch(1))
        answer = await self.send()
        self.assertIsInstance(answer, Answer)


class RetryTest(unittest.IsolatedAsyncioTestCase):
    """Attempts that fail before any piece was sent to the caller."""

    async def asyncSetUp(self) -> None:
        self.rig = RequestPathRig(ManualClock())

    async def test_a_non_repeatable_request_is_sent_once(self) -> None:
        self.rig.engines.scripts = [lambda attempt: [CUT]]
        outcome = await self.rig.send(repeatable=False)
        assert isinstance(outcome, Refusal)
        self.assertIs(outcome.ran, Ran.UNKNOWN)
        self.assertEqual(len(self.rig.engines.sent), 1)

    async def test_a_request_proved_not_run_is_retried_elsewhere(self) -> None:
        busy = Refusal(ResultCode.UPSTREAM_BUSY, 'busy')
        self.rig.engines.scripts = [lambda attempt: [busy]]
        answer = await self.rig.send(repeatable=False)
        self.assertIsInstance(answer, Answer)
        upstreams = {sent.upstream for sent in self.rig.engines.sent}
        self.assertEqual(len(upstreams), 2)
        exported = self.rig.metrics.render().decode()
        self.assertIn('retries_total{code="UPSTREAM_BUSY"} 1.0', exported)

    async def test_a_version_without_upstreams_is_replaced(self) -> None:
        for name in ('one', 'two'):
            self.rig.directory.reported(UpstreamId(name), engine_report(MEDIUM))
        answer = await self.rig.send(versions=(SMALL, MEDIUM))
        assert isinstance(answer, Answer)
        self.assertEqual(answer.version, VersionId(MEDIUM))

    async def test_upstreams_that_refuse_connections_get_no_requests(
        self,
    ) -> None:
        for _ in range(2):
            self.rig.engines.scripts = [refuse_all, refuse_all]
            await self.rig.send()
        self.assertEqual(self.rig.directory.engines(SMALL), ())
