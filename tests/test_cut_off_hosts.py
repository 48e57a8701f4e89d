"""Tests of hosts that are cut off from all upstreams.

Callers, the store and the other hosts still reach such a host. It can serve its
callers by way of the other hosts, and what it sees of its own connections says
nothing about the upstreams.
"""

import asyncio
import unittest

from fakes.opaque_worker import EVENTS

from nutmegroad.fleet.crash_reports import CrashReport
from nutmegroad.fleet.peer_gossip import ROUND_INTERVAL
from nutmegroad.foundations.clocks import BootClock
from nutmegroad.foundations.types import DomainId, RegionId
from nutmegroad.relay.direct_paths import MIN_UNREACHED, PROBE_INTERVAL
from nutmegroad.relay.process_checks import PROXY_CLOSE_TIMEOUT
from tests.cut_rig import STREAMED, Cut, CutRig, holding

PATHS = ('/look/1', '/pay/1', '/draft/1', '/once/1')

#: Look-ups with which a host may find out that it is cut off.
WARM_UP = 6


class CutOffCase(unittest.IsolatedAsyncioTestCase):
    """Hosts that are cut off from three workers behind links."""

    async def open(
        self, hosts: int, domains: tuple[str, ...] = ('north',)
    ) -> CutRig:
        """Start a fleet."""
        rig = await self.enterAsyncContext(CutRig(3, hosts, domains))
        await rig.start()
        return rig

    async def warm_up(self, rig: CutRig, host: int) -> None:
        """Send look-ups, whatever becomes of them."""
        await asyncio.gather(
            *(
                rig.ask('/look/1', f'warm-up-{host}-{number}', host=host)
                for number in range(WARM_UP)
            )
        )

    async def assert_serves(self, rig: CutRig, host: int, label: str) -> None:
        """Check that a host serves each kind of request at first attempt."""
        for path in PATHS:
            expected = b'fine'
            if path.startswith(STREAMED):
                expected = b''.join(EVENTS)
            for number in range(3):
                name = f'{label}-{host}-{path}-{number}'
                status, _, body = await rig.ask(path, name, host=host)
                self.assertEqual((status, body), (200, expected), name)
                self.assertEqual(rig.seen(name), 1)


class CutOffHostTest(CutOffCase):
    """Requests at a host that is cut off from all workers."""

    # Callers of hosts that had lost their links to all upstreams were refused,
    # while the other hosts of the fleet reached these upstreams.
    async def test_cut_off_host_serves_by_way_of_other_hosts(self) -> None:
        """Whatever becomes of its connections to the workers."""
        rig = await self.open(hosts=3)
        for cut in Cut:
            with self.subTest(cut=cut.value):
                rig.cut(0, cut)
                await self.warm_up(rig, 0)
                await self.assert_serves(rig, 0, cut.value)
                await self.assert_serves(rig, 1, cut.value)
                rig.heal(0)
                await self.warm_up(rig, 0)
                await self.assert_serves(rig, 0, f'after {cut.value}')

    # Callers of a cut-off host got 502 as long as it lasted: another host that
    # was cut off, too, and did not know it opened connections in vain.
    async def test_other_host_that_is_cut_off_too_finds_it_out(self) -> None:
        """It loses no more requests than a host that connects directly."""
        rig = await self.open(hosts=3)
        for host in (0, 1):
            rig.cut(host, Cut.REFUSED)
        await self.warm_up(rig, 0)
        answers = [
            await rig.ask('/pay/1', f'pay-{number}') for number in range(24)
        ]
        lost = sum(status != 200 for status, _, _ in answers)
        self.assertLessEqual(lost, MIN_UNREACHED)

    # A caller of a cut-off host got 502: its request was the one with which the
    # host tries its own path again, and no repeat was left in the budget.
    async def test_request_without_a_repeat_left_probes_no_path(self) -> None:
        """It goes by way of another host, whatever the probe would show."""
        rig = await self.open(hosts=3)
        rig.cut(0, Cut.RESET)
        await self.warm_up(rig, 0)
        rig.deny_repeats(0)
        await BootClock().sleep(PROBE_INTERVAL)
        status, _, body = await rig.ask('/look/1', 'without-repeat', host=0)
        self.assertEqual((status, body), (200, b'fine'))


class CutOffReportsTest(CutOffCase):
    """What a host that is cut off reports to the other hosts."""

    # Callers of all hosts were refused: resets of a cut host's connections
    # counted as upstreams that had crashed under their request.
    async def test_resets_at_a_cut_off_host_are_no_crashes(self) -> None:
        """The request is served elsewhere, and everywhere after the cut."""
        rig = await self.open(hosts=3)
        rig.cut(0, Cut.RESET)
        await self.warm_up(rig, 0)
        await BootClock().sleep(3 * ROUND_INTERVAL)
        await self.assert_serves(rig, 1, 'during')
        rig.heal(0)
        await self.warm_up(rig, 0)
        for host in range(3):
            self.assertEqual(rig.hosts[host].status.harmful, 0)
            await self.assert_serves(rig, host, 'after')

    # The same, for requests that were in progress at three upstreams when the
    # cut began: each broken exchange counted as one crash.
    async def test_requests_in_progress_at_a_cut_are_no_crashes(self) -> None:
        """Hosts that are not cut off still serve such a request."""
        rig = await self.open(hosts=3)
        await self.break_requests_off(rig)
        for host in (1, 0):
            status, _, _ = await rig.ask('/pay/1', f'later-{host}', host=host)
            self.assertEqual(status, 200)

    # The same, where the upstreams start again some seconds later: a restart
    # confirms exchanges whose end was not explained.
    async def test_restarts_after_a_cut_confirm_no_crash(self) -> None:
        """Another host has shown that the upstreams ran."""
        rig = await self.open(hosts=3)
        await self.list_starts(rig, 1000)
        await self.break_requests_off(rig)
        rig.heal(0)
        await self.list_starts(rig, 2000)
        crashes = rig.hosts[0]._fleet.shared_state.crashes
        self.assertEqual(crashes.report(), CrashReport())

    # Callers of all regions were refused: a host that is the only one in its
    # region took each upstream that it could not reach for crashed.
    async def test_host_that_can_ask_no_other_confirms_no_crash(self) -> None:
        """Hosts of other regions are told of crashes, but never asked."""
        rig = CutRig(3, 2, ('north', 'abroad'))
        rig.regions = {
            DomainId('north'): RegionId('here'),
            DomainId('abroad'): RegionId('there'),
        }
        await self.enterAsyncContext(rig)
        await rig.start()
        await self.break_requests_off(rig)
        status, _, _ = await rig.ask('/pay/1', 'later', host=1)
        self.assertEqual(status, 200)
        for host in rig.hosts:
            self.assertEqual(host.status.harmful, 0)

    async def list_starts(self, rig: CutRig, started_ms: int) -> None:
        """Let the list of upstreams show a start of each worker."""
        for number, _ in enumerate(rig.workers):
            rig.register(number, born=started_ms)
        await rig.until(
            lambda: all(
                each.entry.started_ms == started_ms
                for host in rig.hosts
                for each in host._directory.of_service('desk')
            )
        )

    async def break_requests_off(self, rig: CutRig) -> None:
        """Cut the first host off while its requests are in progress."""
        held = asyncio.Event()
        for worker in rig.workers:
            worker.default_script = holding(held)
        pending = [
            asyncio.ensure_future(rig.ask('/pay/1', f'held-{number}'))
            for number in range(9)
        ]
        await rig.until(lambda: all(worker.requests for worker in rig.workers))
        rig.cut(0, Cut.RESET)
        await asyncio.gather(*pending)
        held.set()
        # Until a proxy without a process behind it would have shown.
        await BootClock().sleep(2 * PROXY_CLOSE_TIMEOUT)
        await BootClock().sleep(3 * ROUND_INTERVAL)


if __name__ == '__main__':
    unittest.main()
