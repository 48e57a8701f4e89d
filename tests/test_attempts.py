"""Tests how interrupted answers are resumed, and how attempts end."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from nutmegroad.contracts.upstreams import AnswerEnd, Attempt, Piece
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Ran
from nutmegroad.routing.directory import DrainingSource
from nutmegroad.routing.request_progress import Answer
from nutmegroad.testing.virtual import ManualClock
from tests.request_path_rig import (
    ANSWER_END,
    WORDS,
    RequestPathRig,
    Script,
    complete_answer,
)

CUT = Refusal(ResultCode.ANSWER_CUT, 'cut', Ran.UNKNOWN)
CROSSED = Refusal(ResultCode.ANSWER_CROSSED, 'crossed', Ran.UNKNOWN)
UNREACHABLE = Refusal(ResultCode.UPSTREAM_UNREACHABLE, 'gone', Ran.NOT_RUN)
DRAINING = Refusal(ResultCode.UPSTREAM_LEAVING, 'leaving', Ran.NOT_RUN)
TEXT = ''.join(WORDS)


def broken(count: int, refusal: Refusal = CUT) -> Script:
    """Return a script that breaks off after ``count`` pieces."""

    def script(attempt: Attempt) -> list[object]:
        """Send some pieces, then the refusal."""
        return [*complete_answer(attempt)[:count], refusal]

    return script


def refused(refusal: Refusal) -> Script:
    """Return a script that refuses at once."""
    return broken(0, refusal)


def different_answer(attempt: Attempt) -> list[object]:
    """Answer with a different text."""
    pieces = [Piece(index, f'x{index} ') for index in range(len(WORDS))]
    return [*pieces[attempt.skip :], ANSWER_END]


def shorter_answer(attempt: Attempt) -> list[object]:
    """End before the pieces that were sent already."""
    return [AnswerEnd('stop', 5, 3)]


class ResumeTest(unittest.IsolatedAsyncioTestCase):
    """Streams that are interrupted after some pieces were sent."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.rig = RequestPathRig(self.clock)

    async def ask(self, *scripts: Script, repeatable: bool = True) -> object:
        self.rig.engines.scripts = list(scripts)
        return await self.rig.send(repeatable=repeatable)

    def sent(self) -> list[tuple[str, int]]:
        attempts = self.rig.engines.sent
        return [(sent.upstream.upstream, sent.skip) for sent in attempts]

    async def test_it_goes_on_at_the_same_engine_as_the_same_attempt(
        self,
    ) -> None:
        answer = await self.ask(broken(6))
        assert isinstance(answer, Answer)
        self.assertEqual((answer.text, self.rig.caller.text), (TEXT, TEXT))
        first, second = self.rig.engines.sent
        self.assertEqual(first.upstream, second.upstream)
        self.assertEqual(first.attempt, second.attempt)
        self.assertEqual(second.skip, 2)

    async def test_a_draining_engine_gets_no_more_requests(
        self,
    ) -> None:
        sources: list[DrainingSource] = []
        self.rig.directory.listen(lambda _, source: sources.append(source))
        answer = await self.ask(refused(DRAINING), repeatable=False)
        assert isinstance(answer, Answer)
        self.assertEqual(sources, [DrainingSource.REPORT])
        for _ in range(5):
            await self.rig.send()
        upstreams = [upstream for upstream, _ in self.sent()]
        self.assertEqual(len(set(upstreams[1:])), 1)
        self.assertNotIn(upstreams[0], upstreams[1:])

    async def test_it_goes_on_elsewhere_under_the_same_seed(self) -> None:
        answer = await self.ask(broken(6), refused(UNREACHABLE))
        assert isinstance(answer, Answer)
        self.assertEqual(self.rig.caller.text, TEXT)
        attempts = self.rig.engines.sent
        self.assertNotEqual(attempts[0].upstream, attempts[2].upstream)
        self.assertNotEqual(attempts[0].attempt, attempts[2].attempt)
        self.assertEqual(attempts[0].body, attempts[2].body)
        self.assertIn(b'"seed":', attempts[0].body)

    async def test_what_may_not_run_twice_never_goes_on_elsewhere(
        self,
    ) -> None:
        outcome = await self.ask(
            broken(6),
            refused(UNREACHABLE),
            repeatable=False,
        )
        assert isinstance(outcome, Refusal)
        self.assertIs(outcome.ran, Ran.UNKNOWN)
        upstreams = {upstream for upstream, _ in self.sent()}
        self.assertEqual(len(upstreams), 1)

    async def test_different_text_is_never_joined_to_pieces_already_sent(
        self,
    ) -> None:
        for name, script in (
            ('other', different_answer),
            ('short', shorter_answer),
        ):
            with self.subTest(name):
                await self.asyncSetUp()
                outcome = await self.ask(broken(6), script, script)
                assert isinstance(outcome, Refusal)
                self.assertEqual(outcome.code, ResultCode.ANSWER_CROSSED)
                shown = ''.join(WORDS[:6])
                self.assertEqual(self.rig.caller.text, shown)

    async def test_a_crossed_answer_is_not_resumed_where_it_crossed(
        self,
    ) -> None:
        answer = await self.ask(broken(6, CROSSED))
        assert isinstance(answer, Answer)
        self.assertEqual(self.rig.caller.text, TEXT)
        upstreams = [upstream for upstream, _ in self.sent()]
        self.assertEqual(len(set(upstreams)), 2)

    async def test_each_token_is_paid_once(self) -> None:
        answer = await self.ask(broken(6))
        assert isinstance(answer, Answer)
        entry = self.rig.configuration.version_entry(answer.version)
        assert entry is not None
        # The prompt counts twice. The output is ten words, of which the
        # resumed attempt writes four again for the comparison.
        expected = (2 * 5 * entry.price_in + 14 * entry.price_out) / 1000
        self.assertAlmostEqual(answer.cost, expected)
        self.assertEqual(answer.output_tokens, 10)

    async def test_a_refusal_after_a_cut_does_not_say_not_run(self) -> None:
        refusals = [refused(UNREACHABLE) for _ in range(6)]
        outcome = await self.ask(broken(2), *refusals)
        assert isinstance(outcome, Refusal)
        self.assertIs(outcome.ran, Ran.UNKNOWN)
        self.assertEqual(self.rig.usage.ran, Ran.UNKNOWN)

    async def fail_to_confirm(self) -> None:
        """Fail to confirm, as a host without a connection does regularly."""
        while True:
            self.rig.configuration.record_failure(self.clock.now())
            await self.clock.sleep(2)

    async def test_a_stalled_attempt_ends_and_is_resumed(self) -> None:
        def silent(attempt: Attempt) -> list[object]:
            async def wait() -> None:
                await self.clock.sleep(99)

            return [Piece(0, WORDS[0]), wait]

        # Longer than the lease, so the host is isolated but not paused.
        failing = asyncio.create_task(self.fail_to_confirm())
        task = asyncio.create_task(self.ask(silent))
        await self.clock.advance(11)
        answer = await task
        failing.cancel()
        assert isinstance(answer, Answer)
        self.assertEqual(self.rig.caller.text, TEXT)
        self.assertEqual(len(self.rig.engines.cancelled), 1)


class CallerTest(unittest.IsolatedAsyncioTestCase):
    """Callers that read slowly or disconnect."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.rig = RequestPathRig(self.clock)

    def show(self, work: Callable[[], Awaitable[None]]) -> None:
        inner = self.rig.caller.write

        async def piece(text: str) -> None:
            await inner(text)
            await work()

        self.rig.caller.write = piece  # type: ignore[method-assign]

    async def test_a_slow_caller_does_not_count_as_a_silent_upstream(
        self,
    ) -> None:
        async def read_slowly() -> None:
            await self.clock.sleep(3 if len(self.rig.caller.pieces) > 1 else 15)

        self.show(read_slowly)
        task = asyncio.create_task(self.rig.send())
        await self.clock.advance(50)
        answer = await task
        assert isinstance(answer, Answer)
        self.assertEqual(len(self.rig.engines.sent), 1)

    async def test_a_caller_that_goes_away_ends_the_work_and_pays_for_it(
        self,
    ) -> None:
        never = asyncio.Event()

        async def wait() -> None:
            if len(self.rig.caller.pieces) == 3:
                await never.wait()

        self.show(wait)
        task = asyncio.create_task(self.rig.send())
        await self.clock.settle()
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual(len(self.rig.engines.cancelled), 1)
        entry = self.rig.configuration.version_entry(self.rig.usage.version)
        assert entry is not None
        expected = (5 * entry.price_in + 3 * entry.price_out) / 1000
        self.assertAlmostEqual(self.rig.usage.cost, expected)
        self.assertIs(self.rig.usage.ran, Ran.UNKNOWN)
        self.assertEqual(self.rig.directory.states()[0].in_flight, 0)
