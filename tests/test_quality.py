"""Tests of the state that is worked out from ratings."""

import itertools
import random
import unittest
from collections.abc import Iterable

import msgspec

from nutmegroad.contracts.platform import Rating
from nutmegroad.foundations.types import Epoch, RequestId, TaskName, VersionId
from nutmegroad.quality.quality_book import (
    FREEZE_LIMIT,
    MOST_CELLS,
    QualityBook,
    QualityState,
)

_TASK = TaskName('tag')
_ONE, _TWO, _THREE = (VersionId(f'm@{number}') for number in range(3))


def _epoch(version: VersionId) -> Epoch:
    return Epoch(0)


class Feed:
    """Makes ratings with rising positions."""

    def __init__(self, seed: int = 1) -> None:
        self.randomness = random.Random(seed)
        self.position = 0

    def rate(self, version: VersionId, score: float) -> Rating:
        self.position += 1
        return Rating(self.position, RequestId(''), _TASK, version, score)

    def near(
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


class QualityBookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.feed = Feed()
        self.book = QualityBook(_epoch)
        self.good = {_ONE: 0.9, _TWO: 0.85, _THREE: 0.95}

    def mean(self, version: VersionId) -> float:
        cell = self.book.cell(version, _TASK)
        return cell.sums.mean if cell else 0

    def test_mean_and_spread_are_those_of_the_scores(self) -> None:
        self.book.take(self.feed.near({_ONE: 0.9}, 200))
        cell = self.book.cell(_ONE, _TASK)
        assert cell is not None
        self.assertAlmostEqual(cell.sums.mean, 0.9, delta=0.01)
        self.assertAlmostEqual(cell.sums.variance, 0.0009, delta=0.0004)
        self.assertAlmostEqual(cell.sums.evidence.count, 96, delta=5)

    def test_a_rating_that_comes_again_changes_nothing(self) -> None:
        ratings = self.feed.near(self.good, 20)
        self.book.take(ratings)
        before = self.book.state()
        self.assertFalse(self.book.take(ratings))
        self.assertEqual(self.book.state(), before)

    def test_one_version_that_falls_is_followed_within_ten(self) -> None:
        self.book.take(self.feed.near(self.good, 60))
        self.book.take(self.feed.near({**self.good, _ONE: 0.5}, 10))
        self.assertFalse(self.book.frozen)
        self.assertLess(self.mean(_ONE), 0.8)

    def test_few_zeros_hardly_move_a_firm_mean(self) -> None:
        self.book.take(self.feed.near(self.good, 60))
        for _ in range(10):
            self.book.take(self.feed.near(self.good, 9))
            self.book.take([self.feed.rate(_ONE, 0)])
        self.assertGreater(self.mean(_ONE), 0.86)

    def test_a_wrong_service_freezes_what_was_known(self) -> None:
        self.book.take(self.feed.near(self.good, 60))
        self.book.take(self.feed.scattered(self.good, 300))
        self.assertTrue(self.book.frozen)
        for version, mean in self.good.items():
            with self.subTest(version=version):
                self.assertAlmostEqual(self.mean(version), mean, delta=0.03)

    def test_it_thaws_when_the_service_is_right_again(self) -> None:
        self.book.take(self.feed.near(self.good, 60))
        self.book.take(self.feed.scattered(self.good, 100))
        self.book.take(self.feed.near(self.good, 20))
        self.assertFalse(self.book.frozen)

    def test_a_new_steady_level_is_believed_in_the_end(self) -> None:
        self.book.take(self.feed.near(self.good, 60))
        lower = {version: mean - 0.3 for version, mean in self.good.items()}
        self.book.take(self.feed.near(lower, 20))
        self.assertTrue(self.book.frozen)
        self.book.take(self.feed.near(lower, FREEZE_LIMIT))
        self.assertFalse(self.book.frozen)
        self.assertAlmostEqual(self.mean(_ONE), 0.6, delta=0.05)

    def test_a_new_epoch_starts_from_nothing(self) -> None:
        epochs = {_ONE: Epoch(0)}
        book = QualityBook(lambda version: epochs[version])
        book.take(self.feed.near({_ONE: 0.9}, 60))
        epochs[_ONE] = Epoch(1)
        self.assertIsNone(book.cell(_ONE, _TASK))
        book.take([self.feed.rate(_ONE, 0.4)])
        cell = book.cell(_ONE, _TASK)
        assert cell is not None
        self.assertEqual((cell.epoch, cell.total), (1, 1))

    def test_cells_are_bounded(self) -> None:
        versions = [VersionId(f'n@{name}') for name in range(MOST_CELLS + 9)]
        self.book.take(self.feed.near(dict.fromkeys(versions, 0.9), 1))
        self.assertEqual(len(self.book.cells()), MOST_CELLS)
        self.assertIsNone(self.book.cell(versions[0], _TASK))


class MergeTest(unittest.TestCase):
    def setUp(self) -> None:
        feed = Feed()
        ratings = feed.near({_ONE: 0.9, _TWO: 0.8}, 30)
        ratings += feed.scattered((_ONE, _TWO), 12)
        self.states = []
        for length in (20, 50, len(ratings)):
            book = QualityBook(_epoch)
            book.take(ratings[:length])
            self.states.append(book.state())

    def test_any_order_and_repetition_gives_the_same(self) -> None:
        for order in itertools.permutations((*self.states, self.states[0])):
            book = QualityBook(_epoch)
            for state in order:
                book.merge(state)
            self.assertEqual(book.state().position, self.states[2].position)
            self.assertEqual(
                sorted(book.state().cells, key=lambda cell: cell.version),
                sorted(self.states[2].cells, key=lambda cell: cell.version),
            )
            self.assertEqual(book.frozen, bool(self.states[2].frozen))

    def test_a_difference_is_as_good_as_the_whole(self) -> None:
        feed = Feed()
        source, copy = QualityBook(_epoch), QualityBook(_epoch)
        source.take(feed.near({_ONE: 0.9, _TWO: 0.8}, 30))
        copy.merge(source.state())
        before = copy.position
        source.take(feed.near({_ONE: 0.9}, 1))
        difference = source.state(before)
        self.assertEqual(len(difference.cells), 1)
        copy.merge(difference)
        self.assertEqual(set(copy.cells()), set(source.cells()))

    def test_a_merged_book_reads_on_as_the_source_would(self) -> None:
        feed = Feed()
        source, copy = QualityBook(_epoch), QualityBook(_epoch)
        source.take(feed.near({_ONE: 0.9, _TWO: 0.8}, 33))
        copy.merge(source.state())
        more = feed.near({_ONE: 0.5, _TWO: 0.8}, 33)
        source.take(more)
        copy.take(more)
        self.assertEqual(copy.state(), source.state())

    def test_size_at_22_versions_and_8_tasks(self) -> None:
        feed = Feed()
        book = QualityBook(_epoch)
        for task in range(8):
            for version in range(22):
                name = VersionId(f'some-model-{version}@12')
                for _ in range(24):
                    rating = feed.rate(name, 0.9)
                    book.take([_of_task(rating, f'some-task-{task}')])
        size = len(msgspec.msgpack.encode(book.state()))
        self.assertLess(size, 25_000)
        again = msgspec.msgpack.decode(
            msgspec.msgpack.encode(book.state()),
            type=QualityState,
        )
        self.assertEqual(again, book.state())


def _of_task(rating: Rating, task: str) -> Rating:
    """Return a rating of another task class."""
    return Rating(
        rating.position,
        rating.request,
        TaskName(task),
        rating.version,
        rating.score,
    )
