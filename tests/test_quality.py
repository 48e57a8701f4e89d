"""Tests of the quality state that is computed from ratings."""

import itertools
import random
import unittest
from collections.abc import Iterable

import msgspec

from nutmegroad.contracts.platform import Rating
from nutmegroad.foundations.types import Epoch, RequestId, TaskName, VersionId
from nutmegroad.quality.quality_tracker import (
    FREEZE_LIMIT,
    MAX_CELLS,
    QualityState,
    QualityTracker,
)

_TASK = TaskName('tag')
_ONE, _TWO, _THREE = (VersionId(f'm@{number}') for number in range(3))


def _epoch(version: VersionId) -> Epoch:
    return Epoch(0)


class Feed:
    """Creates ratings with increasing positions."""

    def __init__(self, seed: int = 1) -> None:
        self.randomness = random.Random(seed)
        self.position = 0

    def rate(self, version: VersionId, score: float) -> Rating:
        self.position += 1
        return Rating(self.position, RequestId(''), _TASK, version, score)

    def normal(
        self,
        means: dict[VersionId, float],
        rounds: int,
    ) -> list[Rating]:
        return [
            self.rate(version, self.randomness.gauss(mean, 0.03))
            for _ in range(rounds)
            for version, mean in means.items()
        ]

    def scattered(
        self,
        versions: Iterable[VersionId],
        rounds: int,
    ) -> list[Rating]:
        named = tuple(versions)
        return [
            self.rate(version, self.randomness.random())
            for _ in range(rounds)
            for version in named
        ]


class QualityTrackerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.feed = Feed()
        self.tracker = QualityTracker(_epoch)
        self.good = {_ONE: 0.9, _TWO: 0.85, _THREE: 0.95}

    def mean(self, version: VersionId) -> float:
        cell = self.tracker.cell(version, _TASK)
        return cell.sums.mean if cell else 0

    def test_mean_and_variance_match_the_scores(self) -> None:
        self.tracker.add(self.feed.normal({_ONE: 0.9}, 200))
        cell = self.tracker.cell(_ONE, _TASK)
        assert cell is not None
        self.assertAlmostEqual(cell.sums.mean, 0.9, delta=0.01)
        self.assertAlmostEqual(cell.sums.variance, 0.0009, delta=0.0004)
        self.assertAlmostEqual(cell.sums.evidence.count, 96, delta=5)

    def test_a_repeated_rating_has_no_effect(self) -> None:
        ratings = self.feed.normal(self.good, 20)
        self.tracker.add(ratings)
        before = self.tracker.state()
        self.assertFalse(self.tracker.add(ratings))
        self.assertEqual(self.tracker.state(), before)

    def test_a_mean_follows_a_declining_version_within_ten(self) -> None:
        self.tracker.add(self.feed.normal(self.good, 60))
        self.tracker.add(self.feed.normal({**self.good, _ONE: 0.5}, 10))
        self.assertFalse(self.tracker.frozen)
        self.assertLess(self.mean(_ONE), 0.8)

    def test_a_few_zeros_hardly_move_a_reliable_mean(self) -> None:
        self.tracker.add(self.feed.normal(self.good, 60))
        for _ in range(10):
            self.tracker.add(self.feed.normal(self.good, 9))
            self.tracker.add([self.feed.rate(_ONE, 0)])
        self.assertGreater(self.mean(_ONE), 0.86)

    def test_a_faulty_rating_service_freezes_the_means(self) -> None:
        self.tracker.add(self.feed.normal(self.good, 60))
        self.tracker.add(self.feed.scattered(self.good, 300))
        self.assertTrue(self.tracker.frozen)
        for version, mean in self.good.items():
            with self.subTest(version=version):
                self.assertAlmostEqual(self.mean(version), mean, delta=0.03)

    def test_it_unfreezes_when_the_service_recovers(self) -> None:
        self.tracker.add(self.feed.normal(self.good, 60))
        self.tracker.add(self.feed.scattered(self.good, 100))
        self.tracker.add(self.feed.normal(self.good, 20))
        self.assertFalse(self.tracker.frozen)

    def test_a_new_steady_level_is_eventually_accepted(self) -> None:
        self.tracker.add(self.feed.normal(self.good, 60))
        lower = {version: mean - 0.3 for version, mean in self.good.items()}
        self.tracker.add(self.feed.normal(lower, 20))
        self.assertTrue(self.tracker.frozen)
        self.tracker.add(self.feed.normal(lower, FREEZE_LIMIT))
        self.assertFalse(self.tracker.frozen)
        self.assertAlmostEqual(self.mean(_ONE), 0.6, delta=0.05)

    def test_a_new_epoch_starts_without_ratings(self) -> None:
        epochs = {_ONE: Epoch(0)}
        tracker = QualityTracker(lambda version: epochs[version])
        tracker.add(self.feed.normal({_ONE: 0.9}, 60))
        epochs[_ONE] = Epoch(1)
        self.assertIsNone(tracker.cell(_ONE, _TASK))
        tracker.add([self.feed.rate(_ONE, 0.4)])
        cell = tracker.cell(_ONE, _TASK)
        assert cell is not None
        self.assertEqual((cell.epoch, cell.total), (1, 1))

    def test_the_number_of_cells_is_bounded(self) -> None:
        versions = [VersionId(f'n@{name}') for name in range(MAX_CELLS + 9)]
        self.tracker.add(self.feed.normal(dict.fromkeys(versions, 0.9), 1))
        self.assertEqual(len(self.tracker.cells()), MAX_CELLS)
        self.assertIsNone(self.tracker.cell(versions[0], _TASK))


class MergeTest(unittest.TestCase):
    def setUp(self) -> None:
        feed = Feed()
        ratings = feed.normal({_ONE: 0.9, _TWO: 0.8}, 30)
        ratings += feed.scattered((_ONE, _TWO), 12)
        self.states = []
        for length in (20, 50, len(ratings)):
            tracker = QualityTracker(_epoch)
            tracker.add(ratings[:length])
            self.states.append(tracker.state())

    def test_any_order_and_repetition_give_the_same_state(self) -> None:
        for order in itertools.permutations((*self.states, self.states[0])):
            tracker = QualityTracker(_epoch)
            for state in order:
                tracker.merge(state)
            self.assertEqual(tracker.state().position, self.states[2].position)
            self.assertEqual(
                sorted(tracker.state().cells, key=lambda cell: cell.version),
                sorted(self.states[2].cells, key=lambda cell: cell.version),
            )
            self.assertEqual(tracker.frozen, bool(self.states[2].frozen))

    def test_a_difference_updates_a_replica_completely(self) -> None:
        feed = Feed()
        source, replica = QualityTracker(_epoch), QualityTracker(_epoch)
        source.add(feed.normal({_ONE: 0.9, _TWO: 0.8}, 30))
        replica.merge(source.state())
        before = replica.position
        source.add(feed.normal({_ONE: 0.9}, 1))
        difference = source.state(before)
        self.assertEqual(len(difference.cells), 1)
        replica.merge(difference)
        self.assertEqual(set(replica.cells()), set(source.cells()))

    def test_a_replica_continues_as_its_source_does(self) -> None:
        feed = Feed()
        source, replica = QualityTracker(_epoch), QualityTracker(_epoch)
        source.add(feed.normal({_ONE: 0.9, _TWO: 0.8}, 33))
        replica.merge(source.state())
        more = feed.normal({_ONE: 0.5, _TWO: 0.8}, 33)
        source.add(more)
        replica.add(more)
        self.assertEqual(replica.state(), source.state())

    def test_state_size_at_22_versions_and_8_tasks(self) -> None:
        feed = Feed()
        tracker = QualityTracker(_epoch)
        for task in range(8):
            for version in range(22):
                name = VersionId(f'some-model-{version}@12')
                for _ in range(24):
                    rating = feed.rate(name, 0.9)
                    tracker.add([_of_task(rating, f'some-task-{task}')])
        size = len(msgspec.msgpack.encode(tracker.state()))
        self.assertLess(size, 25_000)
        again = msgspec.msgpack.decode(
            msgspec.msgpack.encode(tracker.state()),
            type=QualityState,
        )
        self.assertEqual(again, tracker.state())


def _of_task(rating: Rating, task: str) -> Rating:
    """Return a rating of another task class."""
    return Rating(
        rating.position,
        rating.request,
        TaskName(task),
        rating.version,
        rating.score,
    )
