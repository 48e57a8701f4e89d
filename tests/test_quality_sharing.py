"""Tests of reading the ratings, and of sharing and storing estimates."""

import asyncio
import random
import unittest
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any

from experiments.trials.planner_worlds import (
    SCENARIOS,
    SMALL,
    TAG,
    accepted_configuration,
)

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.platform import RatedAnswer, Rating
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import DomainId, HostId, RequestId
from nutmegroad.quality.estimates import Estimates
from nutmegroad.quality.quality_sharing import (
    FeedReader,
    QualitySharer,
    QualityStore,
)
from nutmegroad.testing.virtual import ManualClock, MemoryMesh

_PAGE = 10


class ListedRatings:
    """A rating service whose feed may be unavailable."""

    def __init__(self, count: int) -> None:
        self.down = False
        self.feeds = 0
        self._rated = [
            Rating(number + 1, RequestId(''), TAG, SMALL, 0.9)
            for number in range(count)
        ]

    async def submit(self, answer: RatedAnswer) -> Refusal | None:
        """Accept the answer and ignore it."""

    async def feed(self, after: int) -> tuple[Rating, ...] | Refusal:
        self.feeds += 1
        if self.down:
            return Refusal(ResultCode.RATINGS_UNAVAILABLE, 'Unavailable.')
        return tuple(self._rated[after : after + _PAGE])


class MemoryObjects:
    """An object store in memory."""

    def __init__(self) -> None:
        self.stored: dict[str, bytes] = {}

    async def put(self, name: str, content: bytes) -> Refusal | None:
        self.stored.setdefault(name, content)

    async def fetch(self, name: str) -> bytes | Refusal:
        return self.stored[name]

    async def names(self, prefix: str) -> tuple[str, ...] | Refusal:
        return tuple(sorted(self.stored))


@dataclass(slots=True)
class Host:
    """The objects of one host."""

    estimates: Estimates
    sharer: QualitySharer
    reader: FeedReader

    @property
    def position(self) -> int:
        return self.estimates.tracker.position


class _HostsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.hosts: dict[str, Host] = {}
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.mesh = await self.stack.enter_async_context(
            MemoryMesh(self.clock, random.Random(1)),
        )
        self.ratings = ListedRatings(95)

    def estimates(self) -> Estimates:
        configuration = Configuration(self.clock, 8)
        configuration.apply(accepted_configuration(SCENARIOS[0]))
        return Estimates(configuration, self.clock)

    def host(self, name: str, domain: str, *, reads: bool = False) -> Host:
        peer = self.mesh.join(HostId(name), DomainId(domain))
        estimates = self.estimates()
        sharer = QualitySharer(peer, estimates, self.clock, random.Random(name))
        reader = FeedReader(
            self.ratings,
            estimates,
            self.clock,
            lambda: reads,
        )
        for run in (sharer.run(), sharer.run_fetches(), reader.run()):
            self.spawn(run)
        self.hosts[name] = Host(estimates, sharer, reader)
        return self.hosts[name]

    def spawn(self, run: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(run)
        self.stack.callback(task.cancel)


class SharingTest(_HostsTest):
    async def test_ratings_read_by_one_host_reach_all_hosts(self) -> None:
        hosts = [
            self.host(f'h{number}', f'd{number % 3}', reads=number == 0)
            for number in range(9)
        ]
        await self.clock.advance(30)
        for host in hosts:
            self.assertEqual(host.position, 95)
            self.assertEqual(
                host.estimates.estimate(SMALL, TAG),
                hosts[0].estimates.estimate(SMALL, TAG),
            )

    async def test_a_domain_without_a_reader_receives_the_state(self) -> None:
        self.host('near', 'one', reads=True)
        remote = self.host('far', 'two')
        self.mesh.cut_domain(DomainId('two'))
        await self.clock.advance(30)
        self.assertEqual(remote.position, 0)
        self.mesh.heal_domain(DomainId('two'))
        await self.clock.advance(30)
        self.assertEqual(remote.position, 95)

    async def test_a_starting_host_fetches_from_a_peer(self) -> None:
        self.host('old', 'one', reads=True)
        await self.clock.advance(10)
        fresh = self.host('new', 'one')
        fetching = asyncio.create_task(fresh.sharer.fetch_initial())
        await self.clock.advance(1)
        self.assertTrue(await fetching)
        self.assertEqual(fresh.position, 95)

    async def test_a_host_that_is_behind_is_notified(self) -> None:
        self.host('old', 'one', reads=True)
        await self.clock.advance(11)
        fresh = self.host('new', 'one')
        fresh.sharer.advertise()
        # Less than the time until the next periodic advertisement.
        await self.clock.advance(2)
        self.assertEqual(fresh.position, 95)

    async def test_fetches_are_spaced_despite_advertisements(self) -> None:
        source = self.host('old', 'one')
        self.host('new', 'one')
        fetched = 0
        seen = 0
        for position in range(1, 31):
            rating = Rating(position, RequestId(''), TAG, SMALL, 0.9)
            source.estimates.add_ratings((rating,))
            source.sharer.advertise()
            await self.clock.advance(1)
            fetched += self.hosts['new'].position > seen
            seen = self.hosts['new'].position
        self.assertLessEqual(fetched, 3)
        self.assertGreater(seen, 20)

    async def test_an_outage_of_the_feed_loses_no_ratings(self) -> None:
        self.ratings.down = True
        host = self.host('one', 'one', reads=True)
        await self.clock.advance(20)
        self.assertEqual(host.position, 0)
        self.ratings.down = False
        await self.clock.advance(10)
        self.assertEqual(host.position, 95)

    async def test_only_the_holder_of_the_duty_reads(self) -> None:
        self.host('idle', 'one')
        await self.clock.advance(20)
        self.assertEqual(self.ratings.feeds, 0)


class StoreTest(_HostsTest):
    async def test_the_state_survives_a_restart_of_all_hosts(self) -> None:
        objects = MemoryObjects()
        host = self.host('one', 'one', reads=True)
        await self.clock.advance(10)
        await QualityStore(objects, host.estimates).save()
        fresh = self.estimates()
        self.assertTrue(await QualityStore(objects, fresh).load())
        self.assertEqual(fresh.tracker.state(), host.estimates.tracker.state())

    async def test_a_corrupt_stored_state_is_ignored(self) -> None:
        objects = MemoryObjects()
        objects.stored['quality/1'] = b'\x91'
        fresh = self.estimates()
        with self.assertLogs('absl', 'ERROR'):
            self.assertFalse(await QualityStore(objects, fresh).load())
        self.assertEqual(fresh.tracker.position, 0)
