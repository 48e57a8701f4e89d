"""Tests that evidence counters add up to the same sums on all hosts."""

import asyncio
import random
import unittest
from dataclasses import replace
from itertools import repeat

from nutmegroad.contracts.decisions import AttemptEnd, AttemptStart
from nutmegroad.contracts.upstreams import Attempt, Piece
from nutmegroad.foundations.results import ResultCode
from nutmegroad.foundations.types import (
    AttemptId,
    Incarnation,
    RequestId,
    TaskName,
    UpstreamId,
    VersionId,
    WorkspaceId,
)
from nutmegroad.rollouts.evidence import (
    MESSAGE_CELLS,
    REPEATED_CELLS,
    EvidenceMessage,
    EvidenceStore,
    Tally,
)
from nutmegroad.testing.virtual import ManualClock
from tests.request_path_rig import SMALL, WORDS, RequestPathRig, Script
from tests.request_path_rig import TASK as RIG_TASK

VERSION = VersionId('a@1')
TASK = TaskName('tag')
NAMES = tuple(map(Incarnation, ('h0.1', 'h1.1', 'h2.1')))


def end_of(
    code: ResultCode = ResultCode.OK,
    task: str = TASK,
    version: VersionId = VERSION,
) -> AttemptEnd:
    """Return the end of an attempt."""
    start = AttemptStart(
        AttemptId('t'),
        RequestId('r'),
        WorkspaceId('w'),
        TaskName(task),
        version,
        UpstreamId('u'),
    )
    return AttemptEnd(start, code, 0.1, 2, 10, 100, 0, 'text')


class EvidenceTest(unittest.TestCase):
    def test_lost_duplicated_and_reordered_messages_do_no_harm(self) -> None:
        rng = random.Random(5)
        stores = [EvidenceStore(name) for name in NAMES]
        in_flight: list[EvidenceMessage] = []
        for _ in range(300):
            store = rng.choice(stores)
            code = rng.choice((ResultCode.OK, ResultCode.UPSTREAM_ERROR))
            store.ended(end_of(code))
            in_flight.append(store.next_message())
            for message in rng.sample(in_flight, min(2, len(in_flight))):
                if rng.getrandbits(1):
                    rng.choice(stores).merge(message.cells)
        for sender in stores * 2:
            message = sender.next_message()
            for store in stores:
                store.merge(message.cells)
        totals = {store.total(VERSION, TASK).attempts for store in stores}
        self.assertEqual(totals, {300})

    def test_only_results_of_the_version_count(self) -> None:
        store = EvidenceStore(NAMES[0])
        for code in (
            ResultCode.OK,
            ResultCode.UPSTREAM_UNREACHABLE,
            ResultCode.UPSTREAM_BUSY,
            ResultCode.ANSWER_CUT,
        ):
            store.ended(end_of(code))
        total = store.total(VERSION, TASK)
        self.assertEqual(
            (total.answers, total.errors, total.truncated), (1, 0, 1)
        )

    def test_a_message_is_bounded(self) -> None:
        store = EvidenceStore(NAMES[0])
        for number in range(200):
            store.ended(end_of(task=f'task-{number}'))
        max_cells = MESSAGE_CELLS + REPEATED_CELLS
        self.assertLessEqual(len(store.next_message().cells), max_cells)

    def test_ended_incarnations_are_folded_and_not_counted_again(self) -> None:
        sender = EvidenceStore(NAMES[0])
        sender.ended(end_of())
        message = sender.next_message()
        store = EvidenceStore(NAMES[1])
        store.merge(message.cells)
        store.fold(frozenset((NAMES[1],)))
        store.merge(message.cells)
        self.assertEqual(store.size, 0)
        self.assertEqual(store.total(VERSION, TASK).attempts, 1)

    def test_listeners_receive_each_attempt_once(self) -> None:
        received: list[Tally] = []
        sender = EvidenceStore(NAMES[0])
        store = EvidenceStore(NAMES[1])
        store.listen(lambda _key, added: received.append(added))
        messages = []
        for _ in range(3):
            sender.ended(end_of())
            messages.append(sender.next_message())
        for message in (*messages, *messages):
            store.merge(message.cells)
        # No attempt is counted twice, and an old message removes none.
        self.assertEqual([tally.attempts for tally in received], [1, 1, 1])


class DeadlineTest(unittest.IsolatedAsyncioTestCase):
    """Attempts whose caller's deadline has passed or who has gone away."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.rig = RequestPathRig(self.clock)
        self.store = EvidenceStore(NAMES[0])
        self.rig.observers.add(self.store)

    def pausing_script(self, *pauses: float) -> Script:
        """Return a script that writes a word after each pause."""

        def script(attempt: Attempt) -> list[object]:
            events: list[object] = []
            for index, pause in enumerate(pauses):
                events.append(lambda pause=pause: self.clock.sleep(pause))
                events.append(Piece(index, WORDS[index]))
            return events

        return script

    async def count_failures(self, *pauses: float) -> int:
        """Return the failures counted for an attempt with a deadline of 3 s."""
        self.rig.engines.scripts = [self.pausing_script(*pauses)]
        deadline = self.clock.now() + 3
        task = asyncio.create_task(self.rig.send(deadline=deadline))
        await self.clock.advance(4)
        await task
        return self.store.total(SMALL, RIG_TASK).failures

    async def test_attempt_that_was_writing_does_not_count(self) -> None:
        self.assertEqual(await self.count_failures(*repeat(0.5, 8)), 0)

    async def test_unresponsive_attempt_counts(self) -> None:
        self.assertEqual(await self.count_failures(0.5, 9), 1)

    async def test_attempt_without_output_counts(self) -> None:
        self.assertEqual(await self.count_failures(9), 1)

    async def test_attempt_that_waits_at_full_engines_does_not_count(
        self,
    ) -> None:
        for state in self.rig.directory.states():
            assert state.report is not None
            full = replace(state.report, running=4)
            self.rig.directory.reported(state.info.upstream, full)
        self.assertEqual(await self.count_failures(9), 0)

    async def test_attempt_whose_caller_left_does_not_count(self) -> None:
        self.rig.engines.scripts = [self.pausing_script(*repeat(0.5, 8))]
        task = asyncio.create_task(self.rig.send())
        await self.clock.advance(2)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(self.store.total(SMALL, RIG_TASK).attempts, 0)
