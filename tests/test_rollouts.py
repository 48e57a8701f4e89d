"""Rollouts of model versions: growth, halts, and a change of lease holder."""

import dataclasses
import itertools
import random
import unittest

from nutmegroad.configuration.leases import LeaseManager
from nutmegroad.contracts.documents import Concern, Stage
from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    DomainId,
    Epoch,
    HostId,
    IdempotencyKey,
    OperatorId,
    RequestId,
    VersionId,
    WorkspaceId,
)
from nutmegroad.quality.ratings import RatingTally
from nutmegroad.rollouts.evidence import EvidenceStore, Moments, Tally
from nutmegroad.rollouts.exposure import ExposureGuard
from nutmegroad.rollouts.quarantines import Quarantines
from nutmegroad.rollouts.rollout_controller import (
    RolloutController,
    RolloutDependencies,
)
from nutmegroad.rollouts.rollout_service import Action, RolloutService
from nutmegroad.rollouts.rollout_shares import RolloutShares
from nutmegroad.rollouts.rollout_store import (
    FIRST_SHARE,
    Findings,
    Phase,
    RolloutState,
    RolloutStore,
    Step,
    decide,
)
from nutmegroad.testing.virtual import ManualClock, MemoryMesh
from tests.configurations import (
    GOOD,
    NEW,
    OLD,
    TAG,
    configuration_of,
    document_of,
    version_of,
)
from tests.memory_table import MemoryTable
from tests.test_exposure import QuietFeed

OPERATOR = OperatorId('op')
ROLLOUT = document_of(version_of(OLD), version_of(NEW, Stage.ROLLOUT))
#: Seconds for which a lease is valid.
LEASE_TERM = 8


def request_of(name: str) -> ModelRequest:
    """Return a request with an id."""
    return ModelRequest(
        request=RequestId(name),
        workspace=WorkspaceId('w'),
        concern=Concern.EXPOSURE,
        task=TAG,
        target=0.8,
        versions=(OLD, NEW),
        repeatable=True,
        deadline=60,
        priority=5,
        prompt_tokens=10,
        output_tokens=10,
        prefix=0,
        key=IdempotencyKey(''),
        session=None,
        body={},
    )


class Host:
    """Rollout components of one host."""

    def __init__(self, mesh: MemoryMesh, table: MemoryTable, name: str) -> None:
        peer = mesh.join(HostId(name), DomainId('d'))
        numbers = itertools.count()

        def nonce() -> str:
            return f'{name}{next(numbers)}'

        configuration = configuration_of(mesh.clock, ROLLOUT)
        self.quarantines = Quarantines(configuration)
        evidence = EvidenceStore(peer.incarnation)
        guard = ExposureGuard(
            configuration, evidence, QuietFeed(), self.quarantines
        )
        self._evidence = evidence
        store = RolloutStore(table, nonce)
        self.shares = RolloutShares(configuration, peer)
        leases = LeaseManager(
            peer.incarnation, table, mesh.clock, nonce, LEASE_TERM
        )
        self.valid_lease = leases.valid_lease
        self._add_ratings = guard.add_ratings
        dependencies = RolloutDependencies(
            configuration,
            store,
            self.shares,
            leases,
            guard,
            evidence,
            self.quarantines,
        )
        self.controller = RolloutController(
            dependencies, mesh.clock, random.Random(name), 2
        )
        self.service = RolloutService(
            configuration, store, self.shares, self.quarantines
        )

    async def advance_rollouts(self) -> None:
        """Read the rollouts, and advance them if the lease is available."""
        await self.controller.advance(await self.controller.read())

    def add_rated_answers(
        self, version: VersionId, score: float, count: int = 60
    ) -> None:
        """Add rated answers of a version."""
        for _ in range(count):
            self._add_ratings(RatingTally(version, TAG).plus(score))
        tally = self._evidence.total(version, TAG)
        key = (version, TAG)
        answers = Tally(answers=tally.answers + count)
        self._evidence._sums[key] = answers


class RolloutCase(unittest.IsolatedAsyncioTestCase):
    """Two hosts on one table."""

    async def asyncSetUp(self) -> None:
        """Create the hosts."""
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.mesh = MemoryMesh(self.clock, random.Random(1))
        await self.mesh.__aenter__()
        self.addAsyncCleanup(self.mesh.__aexit__, None, None, None)
        self.one = Host(self.mesh, self.table, 'one')
        self.two = Host(self.mesh, self.table, 'two')

    async def send_action(self, host: Host, action: Action) -> Refusal | None:
        """Send an operator's request."""
        refusal = await host.service.act(NEW, action, OPERATOR)
        await self.clock.advance(1)
        return refusal

    async def advance(self, *hosts: Host, seconds: float) -> None:
        """Let hosts read and advance rollouts every two seconds."""
        for _ in range(round(seconds / 2)):
            for host in hosts:
                await host.advance_rollouts()
            await self.clock.advance(2)

    def state(self, host: Host) -> RolloutState:
        """Return the rollout's state as a host knows it."""
        return host.shares.known[0].state


class GrowthTest(RolloutCase):
    async def test_it_grows_on_good_evidence_up_to_its_bound(self) -> None:
        await self.send_action(self.one, Action.START)
        self.assertEqual(self.two.shares.share(NEW), FIRST_SHARE)
        for _ in range(8):
            await self.advance(self.one, seconds=8)
            self.one.add_rated_answers(OLD, GOOD)
            self.one.add_rated_answers(NEW, GOOD)
            await self.advance(self.one, seconds=64)
        self.assertEqual(self.state(self.one).share, 0.5)
        self.assertEqual(self.two.shares.share(NEW), 0.5)
        self.assertIn('ratings', self.state(self.two).steps[-1].reason)

    async def test_without_evidence_it_stays_as_it_is(self) -> None:
        await self.send_action(self.one, Action.START)
        await self.advance(self.one, seconds=600)
        self.assertEqual(self.state(self.one).share, FIRST_SHARE)

    async def test_a_bad_version_is_halted_for_all(self) -> None:
        await self.send_action(self.one, Action.START)
        await self.advance(self.one, seconds=8)
        self.one.add_rated_answers(OLD, GOOD)
        self.one.add_rated_answers(NEW, GOOD - 0.5)
        await self.advance(self.one, seconds=4)
        self.assertIs(self.state(self.two).phase, Phase.HALTED)
        self.assertEqual(self.two.shares.share(NEW), 0)

    async def test_another_host_takes_over_a_rollout(self) -> None:
        await self.send_action(self.one, Action.START)
        await self.advance(self.one, self.two, seconds=8)
        first = self.state(self.two).fencing
        # The first host stops advancing the rollout here.
        await self.advance(self.two, seconds=2 * LEASE_TERM)
        self.two.add_rated_answers(OLD, GOOD)
        self.two.add_rated_answers(NEW, GOOD)
        await self.advance(self.two, seconds=70)
        self.assertGreater(self.state(self.two).fencing, first)
        self.assertGreater(self.state(self.two).share, FIRST_SHARE)

    async def test_a_holder_that_was_paused_changes_nothing(self) -> None:
        await self.send_action(self.one, Action.START)
        await self.advance(self.one, self.two, seconds=8)
        lease = self.one.valid_lease('rollouts')
        rollouts = await self.one.controller.read()
        await self.advance(self.two, seconds=2 * LEASE_TERM)
        claimed = self.state(self.two)
        # The first host resumes with the state that it read before the pause,
        # and with a lease that it still considers valid.
        if lease is None:
            self.fail('The first host held no lease.')
        await self.one.controller._write(
            rollouts[0],
            rollouts[0].state.after(Step(1, Phase.RUNNING, 'late')),
            dataclasses.replace(lease, expires=float('inf')),
        )
        await self.two.controller.read()
        self.assertEqual(self.state(self.two), claimed)

    async def test_the_claim_alone_stops_a_late_write(self) -> None:
        await self.send_action(self.one, Action.START)
        old = (await self.one.controller.read())[0]
        await self.advance(self.two, seconds=4)
        late = old.state.after(Step(1, Phase.RUNNING, 'late'))
        store = RolloutStore(self.table, lambda: 'late')
        moved = await store.write(old.row, late)
        self.assertEqual(
            getattr(moved, 'code', None), ResultCode.TABLE_CONFLICT
        )


class OperatorTest(RolloutCase):
    async def test_with_the_table_down_halting_still_works(self) -> None:
        await self.send_action(self.one, Action.START)
        self.table.down = True
        refusal = await self.send_action(self.one, Action.ABORT)
        self.assertIsNotNone(refusal)
        self.assertIsNotNone(self.one.quarantines.blocked(NEW, TAG))

    async def test_a_paused_rollout_keeps_its_share(self) -> None:
        await self.send_action(self.one, Action.START)
        await self.send_action(self.one, Action.PAUSE)
        self.one.add_rated_answers(OLD, GOOD)
        self.one.add_rated_answers(NEW, GOOD)
        await self.advance(self.one, seconds=200)
        self.assertEqual(self.state(self.two).share, FIRST_SHARE)
        await self.send_action(self.two, Action.RESUME)
        self.assertIs(self.state(self.one).phase, Phase.RUNNING)

    async def test_a_lost_reply_is_read_back(self) -> None:
        self.table.replies_to_lose = 1
        self.assertIsNone(await self.send_action(self.one, Action.START))
        self.assertEqual(self.one.shares.share(NEW), FIRST_SHARE)

    async def test_a_quarantine_must_be_lifted_before_a_start(self) -> None:
        await self.send_action(self.one, Action.START)
        await self.send_action(self.one, Action.ABORT)
        self.assertIsNotNone(await self.send_action(self.one, Action.START))
        await self.send_action(self.one, Action.LIFT)
        self.assertIsNone(await self.send_action(self.one, Action.START))


class ShareTest(RolloutCase):
    async def test_hosts_draw_alike_and_growth_takes_nothing_away(
        self,
    ) -> None:
        await self.send_action(self.one, Action.START)
        requests = [request_of(f'r{number}') for number in range(5000)]
        small = self.allowed(self.one, requests)
        self.assertEqual(small, self.allowed(self.two, requests))
        self.assertAlmostEqual(len(small) / len(requests), 0.01, delta=0.006)
        rollouts = await self.one.controller.read()
        state = rollouts[0].state.after(Step(0.3, Phase.RUNNING, 'test'))
        store = RolloutStore(self.table, lambda: 'n')
        await store.write(rollouts[0].row, state)
        await self.one.controller.read()
        self.assertLess(small, self.allowed(self.one, requests))

    async def test_there_is_no_share_before_the_start(self) -> None:
        self.assertEqual(self.one.shares.share(NEW), 0)
        self.assertEqual(self.one.shares.share(OLD), 1)

    def allowed(self, host: Host, requests: list[ModelRequest]) -> set[str]:
        """Return the ids of requests that may go to the new version."""
        return {
            request.request
            for request in requests
            if host.shares.allows(NEW, request)
        }


class DecisionTest(unittest.TestCase):
    def test_conditions_that_prevent_a_step(self) -> None:
        good = Moments(100, 90, 81.5)
        worse = Moments(100, 84, 71)
        ready = Findings('', 0.5, 61, 100, good, good, 0)
        state = RolloutState(NEW, Epoch(0), FIRST_SHARE)
        self.assertIsNotNone(decide(state, ready))
        for change in (
            {'seconds': 59},
            {'answers': 3},
            {'ratings': Moments(3, 2.7, 2.5)},
            {'ratings': worse},
            {'before': Moments()},
            {'strength': 5},
        ):
            with self.subTest(change=change):
                findings = dataclasses.replace(ready, **change)
                self.assertIsNone(decide(state, findings))

    def test_a_smaller_bound_applies_immediately(self) -> None:
        findings = Findings('', 0.005, 0, 0, Moments(), Moments(), 0)
        step = decide(RolloutState(NEW, Epoch(0), FIRST_SHARE), findings)
        self.assertEqual(step and step.share, 0.005)
