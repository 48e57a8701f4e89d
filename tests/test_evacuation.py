"""Tests of evacuated failure domains and of restrictions to regions.

They guard against requests that reach an upstream of a failure domain after the
operator has evacuated it, by whichever path, and against refusals that do not
say that nothing was executed.
"""

import asyncio
import unittest
from dataclasses import replace

from fakes.opaque_worker import (
    EVENTS,
    ReceivedRequest,
    Script,
    chunk,
    head,
    signed,
    stream,
)

from nutmegroad.canary.gate import make_gate
from nutmegroad.canary.rollout_registry import RolloutRegistry
from nutmegroad.canary.state import RolloutState
from nutmegroad.fleet.old_version_sessions import OldVersionSessions
from nutmegroad.fleet.store_interface import StoredRow
from nutmegroad.foundations.results import ResultCode
from nutmegroad.foundations.types import (
    DomainId,
    HostId,
    RegionId,
    WorkspaceId,
)
from nutmegroad.relay.refusals import Exclusions, no_upstream_refusal
from nutmegroad.routes.cached_configuration import RESTORE_SETTLE_SECONDS
from nutmegroad.routes.deployment import Workspace
from nutmegroad.testing.virtual import ManualClock
from nutmegroad.upstreams.directory import Directory, Upstream
from nutmegroad.upstreams.placement import (
    EvacuationOrder,
    Evacuations,
    Placement,
)
from nutmegroad_platform.rows import RowCodec
from tests.relay_rig import Rig, configuration, route
from tests.relay_samples import (
    ENGINES,
    NORTH,
    a_book,
    a_request,
    a_route,
    an_entry,
)

SOUTH = DomainId('south')
#: Key of the order to evacuate the domain ``south``.
SOUTH_KEY = f'evacuate/{SOUTH}'


class EvacuationsTest(unittest.TestCase):
    """Which domains are evacuated, by the rows of the operator's table."""

    def setUp(self) -> None:
        self.clock = ManualClock(start=100)
        self.evacuations = Evacuations(self.clock)
        self.ended: list[DomainId] = []
        self.evacuations.on_end(self.ended.append)

    def test_order_lasts_until_it_is_withdrawn(self) -> None:
        self.evacuations.begin(EvacuationOrder(SOUTH))
        self.evacuations.begin(EvacuationOrder(SOUTH))
        self.assertTrue(self.evacuations.is_evacuated(SOUTH))
        self.assertFalse(self.evacuations.is_evacuated(NORTH))
        self.evacuations.end(SOUTH)
        self.evacuations.end(SOUTH)
        self.assertFalse(self.evacuations.is_evacuated(SOUTH))
        self.assertEqual(self.ended, [SOUTH])

    def test_full_list_replaces_the_orders(self) -> None:
        """A removal may be missed together with the store's history."""
        self.evacuations.begin(EvacuationOrder(SOUTH))
        self.evacuations.replace([NORTH])
        self.assertFalse(self.evacuations.is_evacuated(SOUTH))
        self.assertTrue(self.evacuations.is_evacuated(NORTH))

    def test_restored_store_does_not_end_an_evacuation_at_once(self) -> None:
        """The backup may be older than the order."""
        for written_again in (True, False):
            with self.subTest(written_again=written_again):
                self.evacuations.begin(EvacuationOrder(SOUTH))
                self.evacuations.on_store_restored()
                self.evacuations.replace([])
                self.assertTrue(self.evacuations.is_evacuated(SOUTH))
                if written_again:
                    self.evacuations.begin(EvacuationOrder(SOUTH))
                self.clock._now += RESTORE_SETTLE_SECONDS
                self.assertEqual(
                    self.evacuations.is_evacuated(SOUTH), written_again
                )


class RowTest(unittest.TestCase):
    """How the platform writes orders and restrictions."""

    def test_row_of_an_order_names_its_domain(self) -> None:
        reader = RowCodec()
        for removed in (False, True):
            row = StoredRow(SOUTH_KEY, b'{}', 1, removed=removed)
            self.assertEqual(reader.evacuated_domain(row), SOUTH)
        self.assertEqual(
            reader.operator_row(StoredRow(SOUTH_KEY, b'{}', 1)),
            EvacuationOrder(SOUTH),
        )
        for key in ('config', 'rollout/desk', 'evacuate/'):
            row = StoredRow(key, b'{}', 1)
            self.assertIsNone(reader.evacuated_domain(row))


class PlacementTest(unittest.TestCase):
    """Where a request may be executed."""

    def setUp(self) -> None:
        clock = ManualClock()
        self.evacuations = Evacuations(clock)
        self.placement = Placement(
            self.evacuations,
            {NORTH: RegionId('upper'), SOUTH: RegionId('lower')},
        )
        self.upstreams = (
            Upstream(an_entry('a')),
            Upstream(an_entry('b', domain=SOUTH, port=2)),
            Upstream(an_entry('c', domain=DomainId('unknown'), port=3)),
        )

    def permitted(self, of_route: str = '', of_workspace: str = '') -> str:
        """Return the ids of the permitted upstreams.

        Args:
            of_route: Regions of the route, separated by spaces.
            of_workspace: Regions of the workspace.
        """
        request = a_request(route=a_route(regions=regions(of_route)))
        workspace = Workspace(WorkspaceId('w'), None, regions(of_workspace))
        request = replace(request, workspace=workspace)
        found = self.placement.permitted(request, self.upstreams)
        return ''.join(each.entry.upstream for each in found)

    def test_regions_of_route_and_workspace_both_bind(self) -> None:
        cases = (
            ('', '', 'abc'),
            ('upper', '', 'a'),
            ('', 'lower', 'b'),
            ('upper lower', 'lower', 'b'),
            ('upper', 'lower', ''),
            ('elsewhere', '', ''),
        )
        for of_route, of_workspace, expected in cases:
            with self.subTest(route=of_route, workspace=of_workspace):
                self.assertEqual(
                    self.permitted(of_route, of_workspace), expected
                )

    def test_evacuated_domains_are_left_out(self) -> None:
        self.evacuations.begin(EvacuationOrder(SOUTH))
        self.assertEqual(self.permitted(), 'ac')
        self.assertEqual(self.permitted('lower'), '')


class SteadyVersionTest(unittest.TestCase):
    """Versions of a service while a failure domain is evacuated."""

    def test_evacuation_does_not_make_another_version_the_steady_one(
        self,
    ) -> None:
        """The first upstream of a rollout may be all that is left.

        Its order may arrive later than its entry in the list.
        """
        clock = ManualClock(start=100)
        directory = Directory(clock)
        directory.put(an_entry('old', domain=SOUTH))
        evacuations = Evacuations(clock)
        book = a_book()
        gate = make_gate(
            directory,
            RolloutState(
                HostId('me'),
                0.1,
                clock.now,
                book,
                lambda: 1,
                registry=RolloutRegistry(clock.now, book.stop),
            ),
            clock,
            5,
            OldVersionSessions(clock, 6),
            Placement(evacuations, {}),
        )
        request = a_request()
        self.assertEqual(len(gate.permitted(request, ENGINES)), 1)
        directory.put(an_entry('new', 'v2', port=2))
        evacuations.begin(EvacuationOrder(SOUTH))
        self.assertEqual(gate.permitted(request, ENGINES), ())
        evacuations.end(SOUTH)
        names = [
            each.entry.upstream for each in gate.permitted(request, ENGINES)
        ]
        self.assertEqual(names, ['old'])


class RefusalTest(unittest.TestCase):
    """What a caller is told if no upstream may be used."""

    def test_code_names_the_cause(self) -> None:
        cases = (
            (Exclusions(0, 0), ResultCode.NO_UPSTREAM),
            (Exclusions(3, 3), ResultCode.UPSTREAM_UNREACHABLE),
            (
                Exclusions(3, 0, evacuated={SOUTH: 1.0}),
                ResultCode.DOMAIN_EVACUATED,
            ),
            (
                Exclusions(3, 0, other_regions=3),
                ResultCode.REGION_NOT_SERVED,
            ),
            (Exclusions(2, 2, cold=(1.5, 2.5)), ResultCode.UPSTREAM_COLD),
        )
        for exclusions, code in cases:
            with self.subTest(code=code.name):
                refusal = no_upstream_refusal(exclusions, ENGINES)
                self.assertIs(refusal.code, code)
                self.assertGreater(refusal.retry_after, 0)

    def test_log_fields_name_each_cause(self) -> None:
        self.assertEqual(Exclusions(3, 3).log_fields(), {})
        fields = Exclusions(
            5, 1, 2, evacuated={SOUTH: 1.2345}, cold=(1.0,)
        ).log_fields()
        self.assertEqual(
            fields,
            {'evacuated': {SOUTH: 1.234}, 'other_regions': 2, 'cold': 1},
        )


class RelayEvacuationTest(unittest.IsolatedAsyncioTestCase):
    """Hosts on loopback, with one worker in each of two domains."""

    async def asyncSetUp(self) -> None:
        self.rig = await self.enterAsyncContext(Rig(workers=2, hosts=2))
        self.rig.register(1, zone='south')
        await self.rig.start()

    def evacuate(self, domain: str) -> None:
        """Order the evacuation of a domain."""
        self.rig.store.put('op', f'evacuate/{domain}', b'{}')

    async def until_known(self, domain: DomainId, *, evacuated: bool) -> None:
        """Wait until all hosts know whether a domain is evacuated."""
        await self.rig.until(
            lambda: all(
                host.evacuations.is_evacuated(domain) is evacuated
                for host in self.rig.hosts
            )
        )

    async def counts(self, host: int = 0) -> tuple[int, int]:
        """Return how many of some requests each worker receives."""
        before = [len(worker.requests) for worker in self.rig.workers]
        for number in range(12):
            status, _, _ = await self.rig.ask(
                '/look/1', f'c{host}-{number}-{sum(before)}', host=host
            )
            self.assertEqual(status, 200)
        north, south = (
            len(worker.requests) - count
            for worker, count in zip(self.rig.workers, before, strict=True)
        )
        return north, south

    async def test_no_host_sends_requests_to_an_evacuated_domain(self) -> None:
        """A host that starts meanwhile knows of it as well."""
        self.evacuate('north')
        await self.until_known(NORTH, evacuated=True)
        await self.rig.add_host()
        for host in range(3):
            with self.subTest(host=host):
                self.assertEqual(await self.counts(host), (0, 12))
        self.rig.store.remove('op', 'evacuate/north')
        await self.until_known(NORTH, evacuated=False)
        north, _ = await self.counts()
        self.assertGreater(north, 0)

    async def test_interrupted_stream_resumes_in_another_domain(self) -> None:
        evacuated = asyncio.Event()

        def interrupted(request: ReceivedRequest) -> Script:
            headers = signed(request, **{'Transfer-Encoding': 'chunked'})
            pieces = (head('200 OK', headers), chunk(EVENTS[0]), b'')
            return Script(pieces, hold=evacuated, close=True)

        for worker in self.rig.workers:
            worker.default_script = stream()
        north, south = self.rig.workers
        north.next_scripts.append(interrupted)
        asked = asyncio.create_task(self.rig.ask('/draft/1'))
        await self.rig.until(lambda: north.requests)
        self.evacuate('north')
        await self.until_known(NORTH, evacuated=True)
        evacuated.set()
        status, _, body = await asked
        self.assertEqual(status, 200)
        self.assertEqual(body, b''.join(EVENTS))
        self.assertEqual(len(north.requests), 1)
        self.assertEqual(len(south.requests), 1)

    async def test_callers_are_refused_at_once_if_all_are_evacuated(
        self,
    ) -> None:
        """The only domains of a service may be evacuated at the same time."""
        for domain in (NORTH, SOUTH):
            self.evacuate(domain)
            await self.until_known(domain, evacuated=True)
        for path in ('/look/1', '/pay/1', '/draft/1'):
            with self.subTest(path=path):
                status, headers, body = await self.rig.ask(path, f'x{path}')
                self.assertEqual(status, 503)
                self.assertGreater(float(headers['Retry-After']), 0)
                self.assertIn(b'DOMAIN_EVACUATED', body)
        self.assertFalse(any(worker.requests for worker in self.rig.workers))

    async def test_restricted_route_is_refused_outside_its_regions(
        self,
    ) -> None:
        document = configuration(2)
        document['routes'] = [
            route('look', 'idempotent', allowedRegions=['nowhere'])
        ]
        self.rig.configure(2, routes=document['routes'])
        await self.rig.until(lambda: self.rig.host.configuration_version == 2)
        status, _, body = await self.rig.ask('/look/1')
        self.assertEqual(status, 503)
        self.assertIn(b'REGION_NOT_SERVED', body)


def regions(names: str) -> frozenset[RegionId]:
    """Return the regions in a text, separated by spaces."""
    return frozenset(RegionId(name) for name in names.split())
