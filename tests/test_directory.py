"""Tests how upstreams are set to draining, and how that is cleared."""

import asyncio
import random
import unittest
from collections.abc import Iterable
from dataclasses import replace

from nutmegroad.contracts.platform import Listing
from nutmegroad.contracts.upstreams import EngineReport
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    HostId,
    Presence,
    ServiceName,
    UpstreamId,
    UpstreamInfo,
    UpstreamKind,
    VersionId,
)
from nutmegroad.routing.directory import REPORT_LAG, Directory, DrainingSource
from nutmegroad.routing.draining_notices import DrainingNotices
from nutmegroad.routing.watch import FIRST_POLL_SPREAD, UpstreamWatcher
from nutmegroad.testing.virtual import ManualClock, MemoryMesh
from tests.request_path_rig import engine_info, engine_report

A1 = VersionId('a@1')
ONE = UpstreamId('one')


class DirectoryTest(unittest.IsolatedAsyncioTestCase):
    """The directory of one host."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.directory = Directory(self.clock)
        self.directory.update((engine_info('one'), engine_info('two', 2)))
        for name in ('one', 'two'):
            self.directory.reported(UpstreamId(name), engine_report(A1))

    def open_engines(self) -> set[str]:
        return {state.info.upstream for state in self.directory.engines(A1)}

    async def test_each_source_of_draining_stops_new_work_immediately(
        self,
    ) -> None:
        def listed() -> None:
            leaving = replace(engine_info('one'), presence=Presence.LEAVING)
            self.directory.update((leaving, engine_info('two', 2)))

        def refused() -> None:
            self.directory.refused(ONE)
            self.directory.refused(ONE)

        sources = {
            'list': listed,
            'report': lambda: self.directory.reported(
                ONE,
                engine_report(A1, leaving=True),
            ),
            'peer': lambda: self.directory.mark_draining(
                ONE,
                engine_info('one').address,
            ),
            'refused': refused,
            'gone': lambda: self.directory.update((engine_info('two', 2),)),
        }
        for name, drain in sources.items():
            with self.subTest(name):
                await self.asyncSetUp()
                state = self.directory.state(ONE)
                self.assertEqual(self.open_engines(), {'one', 'two'})
                drain()
                self.assertEqual(self.open_engines(), {'two'})
                assert state is not None
                self.assertTrue(state.draining)

    async def test_its_own_reports_do_not_overrule_the_list(self) -> None:
        leaving = replace(engine_info('one'), presence=Presence.LEAVING)
        self.directory.update((leaving, engine_info('two', 2)))
        await self.clock.advance(REPORT_LAG + 1)
        self.directory.reported(ONE, engine_report(A1))
        self.assertEqual(self.open_engines(), {'two'})
        state = self.directory.state(ONE)
        assert state is not None
        self.assertFalse(state.accepts_requests)

    async def test_only_its_own_later_report_clears_draining(self) -> None:
        self.directory.mark_draining(ONE)
        self.directory.update((engine_info('one'), engine_info('two', 2)))
        self.assertEqual(self.open_engines(), {'two'})
        self.directory.reported(ONE, engine_report(A1))
        self.assertEqual(self.open_engines(), {'two'})
        await self.clock.advance(REPORT_LAG)
        self.directory.reported(ONE, engine_report(A1), asked=1)
        self.assertEqual(self.open_engines(), {'two'})
        self.directory.reported(ONE, engine_report(A1))
        self.assertEqual(self.open_engines(), {'one', 'two'})

    async def test_another_address_is_another_incarnation(self) -> None:
        before = self.directory.state(ONE)
        self.directory.mark_draining(ONE)
        moved = engine_info('one', 9)
        self.directory.update((moved, engine_info('two', 2)))
        self.directory.reported(ONE, engine_report(A1))
        self.assertEqual(self.open_engines(), {'one', 'two'})
        assert before is not None
        self.assertTrue(before.draining)
        old = engine_info('one').address
        self.directory.mark_draining(ONE, old)
        self.assertEqual(self.open_engines(), {'one', 'two'})

    async def test_a_notice_for_an_unlisted_incarnation_is_kept(self) -> None:
        address = Address('127.0.0.1', 7)
        self.assertTrue(self.directory.mark_draining(UpstreamId('n'), address))
        self.assertFalse(self.directory.mark_draining(UpstreamId('n'), address))
        self.directory.update((engine_info('n', 7),))
        self.directory.reported(UpstreamId('n'), engine_report(A1))
        self.assertEqual(self.open_engines(), set())

    async def test_a_service_that_refused_gets_requests_again_later(
        self,
    ) -> None:
        name = ServiceName('desk')
        desk = replace(
            engine_info('desk', 5),
            kind=UpstreamKind.SERVICE,
            service=name,
        )
        self.directory.update((desk,))
        for _ in range(2):
            self.directory.refused(desk.upstream)
        self.directory.update((desk,))
        self.assertEqual(self.directory.services(name), ())
        await self.clock.advance(10)
        self.directory.update((desk,))
        self.assertEqual(len(self.directory.services(name)), 1)


class DrainingNoticesTest(unittest.IsolatedAsyncioTestCase):
    """Draining notices between hosts."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.mesh = MemoryMesh(self.clock, random.Random(1))
        await self.enterAsyncContext(self.mesh)
        self.directories = [
            self.add_host(name, domain)
            for name, domain in (('a', 'east'), ('b', 'east'), ('c', 'west'))
        ]

    def add_host(self, name: str, domain: str) -> Directory:
        directory = Directory(self.clock)
        directory.update((engine_info('one'),))
        peer = self.mesh.join(HostId(name), DomainId(domain))
        DrainingNotices(peer, directory, DomainId(domain))
        return directory

    async def test_a_new_notice_is_broadcast_while_the_last_one_still_holds(
        self,
    ) -> None:
        first, *others = self.directories
        first.reported(ONE, engine_report(A1, leaving=True))
        await self.clock.advance(REPORT_LAG + 1)
        for directory in others:
            directory.reported(ONE, engine_report(A1))
        first.reported(
            ONE, engine_report(A1), self.clock.now() - REPORT_LAG - 1
        )
        self.assertEqual(self.draining_states(), [True, False, False])
        first.reported(ONE, engine_report(A1, leaving=True))
        await self.clock.advance(0.1)
        self.assertEqual(self.draining_states(), [True, True, True])

    def draining_states(self) -> list[bool]:
        states = [directory.state(ONE) for directory in self.directories]
        return [state is not None and state.draining for state in states]

    async def test_an_upstreams_notice_reaches_all_while_the_list_lags(
        self,
    ) -> None:
        # Host c, in the other domain, receives it through host b only.
        self.mesh.cut(HostId('a'), HostId('c'))
        self.directories[0].reported(ONE, engine_report(A1, leaving=True))
        await self.clock.advance(0.1)
        self.assertEqual(self.draining_states(), [True, True, True])

    async def test_a_refused_connection_is_not_broadcast(self) -> None:
        self.directories[0].refused(ONE)
        self.directories[0].refused(ONE)
        await self.clock.advance(0.1)
        self.assertEqual(self.draining_states(), [True, False, False])


class FrozenEngines:
    """Engines of which one does not answer before the timeout."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.polled: list[str] = []

    async def report(self, upstream: UpstreamInfo) -> EngineReport | Refusal:
        """Return a report, or a timeout for one engine."""
        self.polled.append(upstream.upstream)
        if upstream.upstream == 'one':
            await self.clock.sleep(2)
            return Refusal(ResultCode.UPSTREAM_TIMEOUT, 'frozen')
        return engine_report(A1, leaving=True)


class FixedList:
    """A host list that never changes."""

    def __init__(self, upstreams: Iterable[UpstreamInfo]) -> None:
        self.upstreams = tuple(upstreams)

    async def listing(self) -> Listing:
        """Return the list."""
        return Listing((), self.upstreams)


class WatchTest(unittest.IsolatedAsyncioTestCase):
    """Engines are polled concurrently."""

    async def test_a_frozen_engine_holds_up_no_other(self) -> None:
        clock = ManualClock()
        directory = Directory(clock)
        notices: list[tuple[str, DrainingSource]] = []
        directory.listen(
            lambda info, source: notices.append((info.upstream, source))
        )
        engines = FrozenEngines(clock)
        infos = [engine_info('one')]
        infos.extend(engine_info(f'e{number}', number) for number in range(99))
        watcher = UpstreamWatcher(
            FixedList(infos),
            engines,  # type: ignore[arg-type]
            directory,
            clock,
            random.Random(5),
            1,
        )
        async with watcher:
            await clock.advance(1.3)
            self.assertEqual(len(notices), 99)
            await asyncio.sleep(0)
            self.assertIn('one', engines.polled)

    async def test_new_engines_are_all_polled_at_once(self) -> None:
        """It guards against a host that knows one engine of several."""
        clock = ManualClock()
        directory = Directory(clock)
        engines = FrozenEngines(clock)
        host_list = FixedList(())
        watcher = UpstreamWatcher(
            host_list,
            engines,  # type: ignore[arg-type]
            directory,
            clock,
            random.Random(5),
            1,
        )
        async with watcher:
            await clock.advance(2)
            infos = [engine_info(f'e{number}', number) for number in range(9)]
            host_list.upstreams = tuple(infos)
            while not engines.polled:
                await clock.advance(FIRST_POLL_SPREAD / 10)
            await clock.advance(FIRST_POLL_SPREAD)
            self.assertEqual(len(engines.polled), len(infos))
