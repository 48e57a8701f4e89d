"""The exposure guard stops bad versions on all hosts without the platform."""

import random
import unittest
from collections.abc import Iterable

from nutmegroad.contracts.documents import Document, Stage
from nutmegroad.foundations.results import ResultCode
from nutmegroad.foundations.types import (
    DomainId,
    Epoch,
    HostId,
    TaskName,
    VersionId,
)
from nutmegroad.quality.ratings import RatingListener, RatingTally
from nutmegroad.rollouts._exposure_gossip import ExposureGossip
from nutmegroad.rollouts.evidence import EvidenceStore, Tally, moments_of
from nutmegroad.rollouts.exposure import ExposureGuard
from nutmegroad.rollouts.quarantines import Grade, QuarantineRecord, Quarantines
from nutmegroad.testing.virtual import ManualClock, MemoryMesh, NetworkFaults
from tests.configurations import (
    DRAFT,
    GOOD,
    NEW,
    OLD,
    TAG,
    apply_document,
    configuration_of,
    document_of,
    version_of,
)
from tests.test_evidence import end_of

STEADY = document_of(version_of(OLD), version_of(NEW))
ROLLOUT = document_of(version_of(OLD), version_of(NEW, Stage.ROLLOUT))


class QuietFeed:
    """A feed without ratings of its own."""

    def listen(self, listener: RatingListener) -> None:
        """Ignore the listener."""


class Host:
    """Exposure guard of one host."""

    def __init__(self, mesh: MemoryMesh, name: str, document: Document) -> None:
        peer = mesh.join(HostId(name), DomainId(name[0]))
        self.configuration = configuration_of(mesh.clock, document)
        self.quarantines = Quarantines(self.configuration)
        self.evidence = EvidenceStore(peer.incarnation)
        self.guard = ExposureGuard(
            self.configuration,
            self.evidence,
            QuietFeed(),
            self.quarantines,
        )
        self.gossip = ExposureGossip(
            peer,
            self.evidence,
            self.quarantines,
            mesh.clock,
            random.Random(name),
            2,
        )

    def rate(
        self,
        version: VersionId,
        scores: Iterable[float],
        task: TaskName = TAG,
    ) -> None:
        """Add ratings one by one."""
        for score in scores:
            self.guard.add_ratings(RatingTally(version, task).plus(score))

    def blocks(self, version: VersionId, task: TaskName = TAG) -> bool:
        """Return whether a version gets no work."""
        return self.quarantines.blocked(version, task) is not None


class ExposureCase(unittest.IsolatedAsyncioTestCase):
    """Hosts of two domains on a mesh in memory."""

    async def asyncSetUp(self) -> None:
        """Create the mesh."""
        self.clock = ManualClock()
        self.mesh = MemoryMesh(self.clock, random.Random(1))
        await self.mesh.__aenter__()
        self.addAsyncCleanup(self.mesh.__aexit__, None, None, None)
        self.chance = random.Random(2)

    def hosts(self, document: Document) -> list[Host]:
        """Return two hosts of each of two domains."""
        names = ('a1', 'a2', 'b1', 'b2')
        return [Host(self.mesh, name, document) for name in names]

    def scores(self, mean: float, count: int) -> list[float]:
        """Draw random ratings."""
        drawn = (self.chance.gauss(mean, 0.08) for _ in range(count))
        return [min(max(score, 0), 1) for score in drawn]


class GuardTest(ExposureCase):
    async def test_a_bad_rollout_is_stopped_by_a_few_ratings(self) -> None:
        host = self.hosts(ROLLOUT)[0]
        host.rate(OLD, self.scores(GOOD, 100))
        host.rate(NEW, self.scores(GOOD - 0.4, 30))
        self.assertTrue(host.blocks(NEW))
        self.assertTrue(host.blocks(NEW, DRAFT))
        self.assertFalse(host.blocks(OLD))

    async def test_good_versions_are_left_alone(self) -> None:
        host = self.hosts(ROLLOUT)[0]
        host.rate(OLD, self.scores(GOOD, 300))
        host.rate(NEW, self.scores(GOOD, 5000))
        host.rate(OLD, self.scores(GOOD, 5000))
        self.assertFalse(host.blocks(NEW) or host.blocks(OLD))

    async def test_a_steady_version_is_held_to_its_own_past(self) -> None:
        host = self.hosts(STEADY)[0]
        host.rate(OLD, self.scores(GOOD, 500))
        host.rate(OLD, self.scores(GOOD - 0.2, 100))
        self.assertTrue(host.blocks(OLD))

    async def test_a_slow_fall_is_found(self) -> None:
        host = self.hosts(STEADY)[0]
        for step in range(1200):
            host.rate(OLD, self.scores(GOOD - step / 10000, 4))
        self.assertTrue(host.blocks(OLD))

    async def test_one_bad_task_class_does_not_stop_the_others(self) -> None:
        host = self.hosts(STEADY)[0]
        for task in (TAG, DRAFT):
            host.rate(OLD, self.scores(GOOD, 300), task)
        host.rate(OLD, self.scores(GOOD - 0.4, 50), TAG)
        host.rate(OLD, self.scores(GOOD, 50), DRAFT)
        self.assertTrue(host.blocks(OLD, TAG))
        self.assertFalse(host.blocks(OLD, DRAFT))

    async def test_errors_and_lengths_speak_too(self) -> None:
        failing, shortened = self.hosts(STEADY)[:2]
        good = Tally(answers=100)
        for _ in range(5):
            failing.guard.add_attempts((OLD, TAG), good)
        failing.guard.add_attempts((OLD, TAG), Tally(answers=30, errors=19))
        self.assertFalse(failing.blocks(OLD))
        failing.guard.add_attempts((OLD, TAG), Tally(answers=1, errors=1))
        self.assertTrue(failing.blocks(OLD))
        self.count_lengths(shortened, 5.3, 300)
        self.assertFalse(shortened.blocks(OLD))
        self.count_lengths(shortened, 4.0, 100)
        self.assertTrue(shortened.blocks(OLD))

    def count_lengths(self, host: Host, mean: float, count: int) -> None:
        """Add answers with a mean length."""
        for _ in range(count):
            length = self.chance.gauss(mean, 0.7)
            tally = Tally(answers=1, length=moments_of(length))
            host.guard.add_attempts((OLD, TAG), tally)


class LastVersionTest(ExposureCase):
    async def test_weak_evidence_never_stops_the_last_version(self) -> None:
        host = self.hosts(STEADY)[0]
        for version in (OLD, NEW):
            host.quarantines.impose(version, TAG, Grade.WEAK, 'weak.')
        self.assertFalse(host.blocks(OLD) or host.blocks(NEW))
        host.quarantines.impose(OLD, TAG, Grade.STRONG, 'strong.')
        self.assertTrue(host.blocks(OLD))
        self.assertFalse(host.blocks(NEW))

    async def test_strong_ratings_stop_even_the_last_version(self) -> None:
        host = self.hosts(document_of(version_of(OLD)))[0]
        host.rate(OLD, self.scores(GOOD, 300))
        host.guard.add_attempts((OLD, TAG), Tally(errors=100))
        self.assertFalse(host.blocks(OLD))
        host.rate(OLD, self.scores(GOOD - 0.5, 200))
        self.assertTrue(host.blocks(OLD))


class GossipTest(ExposureCase):
    async def test_a_quarantine_reaches_all_and_survives_a_cut(self) -> None:
        hosts = self.hosts(STEADY)
        self.mesh.cut_domain(DomainId('b'))
        hosts[0].rate(OLD, self.scores(GOOD, 300))
        hosts[0].rate(OLD, self.scores(GOOD - 0.4, 50))
        self.assertTrue(hosts[0].blocks(OLD))
        await self.clock.advance(1)
        blocked = [host.blocks(OLD) for host in hosts]
        self.assertEqual(blocked, [True, True, False, False])
        self.mesh.heal_all()
        await self.tick(hosts, 10)
        self.assertTrue(all(host.blocks(OLD) for host in hosts))

    async def test_together_they_see_what_none_sees_alone(self) -> None:
        hosts = self.hosts(STEADY)
        for host in hosts:
            key = (OLD, TAG)
            host.guard.add_attempts(key, Tally(answers=500))
        for _ in range(6):
            for host in hosts:
                self.fail_once(host)
        self.assertFalse(any(host.blocks(OLD) for host in hosts))
        await self.tick(hosts, 10)
        self.assertTrue(all(host.blocks(OLD) for host in hosts))

    async def test_messages_in_any_order_end_alike(self) -> None:
        hosts = self.hosts(STEADY)
        self.mesh.faults = NetworkFaults(
            duplicate=0.3, drop=0.2, reorder=0.5, reorder_delay=5
        )
        for round_number in range(6):
            one = hosts[round_number % len(hosts)]
            one.quarantines.impose(OLD, TAG, Grade.WEAK, f'{round_number}')
            if round_number % 2:
                one.quarantines.lift(OLD, 'op')
            await self.tick(hosts, 1)
        await self.tick(hosts, 60)
        records = {host.quarantines.records for host in hosts}
        self.assertEqual(len(records), 1)

    async def test_an_old_message_undoes_no_lift(self) -> None:
        host = self.hosts(STEADY)[0]
        host.quarantines.impose(OLD, TAG, Grade.WEAK, 'bad.')
        old = host.quarantines.records
        host.quarantines.lift(OLD, 'op')
        host.quarantines.merge(old)
        self.assertFalse(host.blocks(OLD))

    async def test_a_lifted_version_is_tested_anew(self) -> None:
        host = self.hosts(STEADY)[0]
        host.rate(OLD, self.scores(GOOD, 300))
        host.rate(OLD, self.scores(GOOD - 0.4, 40))
        host.quarantines.lift(OLD, 'op')
        host.rate(OLD, self.scores(GOOD, 10))
        self.assertFalse(host.blocks(OLD))

    async def test_a_new_epoch_begins_clean(self) -> None:
        host = self.hosts(STEADY)[0]
        host.quarantines.impose(OLD, TAG, Grade.STRONG, 'bad.')
        again = document_of(version_of(OLD, epoch=1), version_of(NEW))
        apply_document(host.configuration, again, revision=2)
        self.assertFalse(host.blocks(OLD))

    async def test_the_refusal_says_why(self) -> None:
        host = self.hosts(STEADY)[0]
        record = QuarantineRecord(OLD, Epoch(0), TAG, 1, 2, 'ratings fell.')
        host.quarantines.merge((record,))
        refusal = host.quarantines.blocked(OLD, TAG)
        self.assertIsNotNone(refusal)
        code = ResultCode.VERSION_QUARANTINED
        self.assertEqual(getattr(refusal, 'code', None), code)

    async def tick(self, hosts: list[Host], rounds: int) -> None:
        """Run gossip rounds on all hosts."""
        for _ in range(rounds):
            for host in hosts:
                host.gossip.tick()
            await self.clock.advance(2)

    def fail_once(self, host: Host) -> None:
        """Count a failed attempt of a host."""
        failed = end_of(ResultCode.UPSTREAM_ERROR, version=OLD)
        host.evidence.ended(failed)
