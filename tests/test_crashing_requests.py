"""A harmful request, which crashes each upstream that begins to execute it.

One short question terminated fifteen engines in seventy seconds, and requests
beside it were interrupted again and again. It arrived repeatedly with the same
caller, path and body, at one host after another, and each host made all its
attempts. Only the request's own execution recorded the crashes, and it ended
with its answer; no host knew the content of other requests. The cause was
confirmed when one host sent the same content to three upstreams once more, five
and ten seconds later: all terminated within a tenth of a second, without an
event.
"""

import asyncio
import itertools
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final, cast

from fakes.crash_scripts import crashing
from fakes.opaque_worker import EVENTS, plain, stream

from nutmegroad.fleet.crash_causes import PROBE_DELAY
from nutmegroad.foundations.types import Address
from nutmegroad.relay.connections import Connector
from nutmegroad.relay.process_checks import ProcessChecker, ProcessState
from tests.relay_rig import Rig
from tests.relay_samples import an_entry

#: The body that crashes workers.
HARMFUL: Final = b'harmful'
#: Number of times that it arrives again after its third crash: twice at each
#: host.
TIMES: Final = 4
#: Number of upstreams that may crash under one request before it is refused.
ENDS: Final = 3
#: Number of probe executions, in case that the request only ran beside another.
TRIALS: Final = 1
#: Number of further upstreams that it may reach after that.
MORE: Final = 3

PROMISE: Final = 503


class CrashingRequestTest(unittest.IsolatedAsyncioTestCase):
    """Two hosts and their workers."""

    async def asyncSetUp(self) -> None:
        """Start the hosts."""
        self.rig = await self.enterAsyncContext(Rig(workers=9, hosts=2))
        for worker in self.rig.workers:
            worker.default_script = crashing(HARMFUL, stream())
        await self.rig.start()

    async def come(
        self,
        number: int,
        host: int = 0,
        path: str = '/draft/1',
        body: bytes = HARMFUL,
    ) -> int:
        """Send a request under an id of its own; return the status."""
        status, _, _ = await self.rig.ask(
            path,
            f'r{number}',
            body=body,
            host=host,
        )
        return status

    async def revive(self) -> None:
        """Restart all workers that have crashed."""
        for number, worker in enumerate(self.rig.workers):
            if worker.crashes:
                worker.crashes = 0
                await self.rig.restart_worker(number)

    async def test_it_is_refused_after_its_third_upstream(self) -> None:
        """The same host refuses it, with a guarantee of non-execution."""
        await self.come(1)
        self.assertEqual(self.rig.crashes, ENDS)
        status, headers, text = await self.rig.ask(
            '/draft/1',
            'r2',
            body=HARMFUL,
        )
        self.assertEqual(self.rig.crashes, ENDS)
        self.assertEqual(status, PROMISE)
        self.assertGreater(float(headers['Retry-After']), 1)
        self.assertIn(b'REQUEST_HARMFUL', text)

    async def test_every_host_refuses_it(self) -> None:
        """A host that has never received it refuses it after a second."""
        await self.come(1)
        await asyncio.sleep(1)
        for number in range(TIMES):
            await self.come(2 + number, host=number % 2)
        self.assertLessEqual(self.rig.crashes, ENDS + MORE)
        self.assertEqual(self.rig.seen('r4') + self.rig.seen('r5'), 0)

    async def test_ends_under_it_add_up_over_hosts(self) -> None:
        """A request that may be executed once crashes one worker each time."""
        for number in range(ENDS):
            await self.come(number, host=number % 2, path='/once/1')
            await asyncio.sleep(0.5)
        self.assertEqual(self.rig.crashes, ENDS)
        for number in range(TIMES):
            status = await self.come(10 + number, number % 2, '/once/1')
            self.assertEqual(status, PROMISE)
        self.assertEqual(self.rig.crashes, ENDS)

    async def test_a_server_error_clears_nothing(self) -> None:
        """Guards: a worker that fails all requests seems to answer it."""
        for number in range(ENDS):
            await self.come(number, path='/once/1')
            for worker in self.rig.workers:
                worker.default_script = plain(status='500 Failed')
            await self.come(10 + number, path='/once/1')
            for worker in self.rig.workers:
                worker.default_script = crashing(HARMFUL, stream())
        self.assertEqual(self.rig.crashes, ENDS)
        self.assertEqual(await self.come(20, path='/once/1'), PROMISE)
        self.assertEqual(self.rig.crashes, ENDS)

    async def test_a_host_that_starts_later_refuses_it(self) -> None:
        """The store keeps the crashes for hosts that start later."""
        await self.come(1)
        await asyncio.sleep(1.5)
        for host in self.rig.hosts:
            await host.close()
        number = await self.rig.add_host()
        for again in range(TIMES):
            await self.come(2 + again, host=number)
        self.assertEqual(self.rig.crashes, ENDS + TRIALS)

    async def test_other_requests_are_served(self) -> None:
        """Another body on the same path, and requests on another path."""
        await self.come(1)
        for number, (path, body) in enumerate(
            (('/draft/1', b'harmless'), ('/draft/1', b'')),
        ):
            self.assertEqual(await self.come(10 + number, 0, path, body), 200)
        for worker in self.rig.workers:
            worker.default_script = stream()
        self.assertEqual(await self.come(20, path='/draft/2'), 200)

    async def test_it_is_served_where_it_did_nothing(self) -> None:
        """A worker that crashes between requests does not make them harmful."""
        for worker in self.rig.workers:
            worker.default_script = plain()
        for _ in range(ENDS + 1):
            self.assertEqual(await self.come(1, path='/look/1'), 200)
            await self.rig.workers[0].crash()
            await self.revive()
        self.assertEqual(await self.come(2, path='/look/1'), 200)


class ProbeExecutionTest(unittest.IsolatedAsyncioTestCase):
    """A host that starts when most of its upstreams have crashed.

    A request had crashed three upstreams that were still listed. A host that
    was then started refused it four times in a row without a probe execution.
    The first attempt chose one of the three and reached no upstream, but it
    used up the probe; the next attempt, at a live upstream, asked for another
    one. The fault depended on the fraction of crashed upstreams in the list,
    not on timing.
    """

    async def asyncSetUp(self) -> None:
        """Start a host, and crash all its workers but one."""
        self.rig = await self.enterAsyncContext(Rig(workers=ENDS + 1))
        for worker in self.rig.workers:
            worker.default_script = crashing(HARMFUL, stream())
        await self.rig.start()
        await self.rig.ask('/draft/1', 'r1', body=HARMFUL)
        self.assertEqual(self.rig.crashes, ENDS)
        self.before = sum(len(worker.requests) for worker in self.rig.workers)

    async def test_a_trial_lasts_until_it_reaches_an_upstream(self) -> None:
        """Attempts that no upstream accepts do not use up the probe."""
        await asyncio.sleep(PROBE_DELAY)
        number = await self.rig.add_host()
        await self.rig.ask('/draft/1', 'r2', body=HARMFUL, host=number)
        self.assertEqual(self.rig.crashes, ENDS + TRIALS)

    async def test_a_trial_reaches_one_upstream(self) -> None:
        """Its route would permit more attempts."""
        for number, worker in enumerate(self.rig.workers):
            if worker.crashes:
                await self.rig.restart_worker(number)
        await asyncio.sleep(PROBE_DELAY)
        number = await self.rig.add_host()
        await self.rig.ask('/draft/1', 'r2', body=HARMFUL, host=number)
        after = sum(len(worker.requests) for worker in self.rig.workers)
        self.assertEqual(after - self.before, TRIALS)


class RestartTest(unittest.IsolatedAsyncioTestCase):
    """Workers that restart at once, under their ids."""

    async def asyncSetUp(self) -> None:
        """Start a host whose workers list their start times."""
        self.rig = await self.enterAsyncContext(Rig(workers=6))
        self.births = itertools.count(1)
        for number, worker in enumerate(self.rig.workers):
            worker.default_script = crashing(
                HARMFUL, stream(), self.rebirth(number)
            )
            self.rig.register(number, born=next(self.births))
        await self.rig.start()

    def rebirth(self, number: int) -> Callable[[], Awaitable[None]]:
        """Return a function that restarts a worker."""

        async def again() -> None:
            await self.rig.workers[number].start()
            self.rig.register(number, born=next(self.births))

        return again

    async def test_another_start_proves_the_end(self) -> None:
        """No connection is refused, and the list shows the restart later."""
        for number in range(ENDS + MORE):
            await self.rig.ask('/once/1', f'r{number}', body=HARMFUL)
            await asyncio.sleep(0.3)
        self.assertLessEqual(self.rig.crashes, ENDS + TRIALS)


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    """Workers behind a proxy that accepts connections when they have crashed.

    With the platform's store unavailable, a request crashed twenty workers
    behind such proxies: no connection was refused, and the list could not show
    a restart. Here, too, the list shows no restart.
    """

    async def asyncSetUp(self) -> None:
        """Start a host whose crashed workers leave a proxy behind."""
        self.rig = await self.enterAsyncContext(Rig(workers=9))
        for number, worker in enumerate(self.rig.workers):
            worker.default_script = crashing(
                HARMFUL, stream(), self.left_behind(number)
            )
        await self.rig.start()

    def left_behind(self, number: int) -> Callable[[], Awaitable[None]]:
        """Return a function that accepts connections for a crashed worker."""

        async def accept() -> None:
            proxy = await asyncio.start_server(
                _close,
                '127.0.0.1',
                self.rig.workers[number].port,
            )
            self.addCleanup(proxy.close)

        return accept

    async def test_a_connection_closed_at_once_proves_the_end(self) -> None:
        """The proxy can't reach the worker."""
        for number in range(ENDS + TIMES):
            await self.rig.ask('/once/1', f'r{number}', body=HARMFUL)
            await asyncio.sleep(0.3)
        self.assertLessEqual(self.rig.crashes, ENDS + TRIALS)


@dataclass
class HeldConnection:
    """A connection that is closed when a test says so."""

    closed: asyncio.Event = field(default_factory=asyncio.Event)

    async def closes_within(self, seconds: float) -> bool:
        """Wait for the test."""
        await self.closed.wait()
        return True

    def abort(self) -> None:
        """Do nothing."""


@dataclass
class HeldConnector:
    """Returns prepared connections in order."""

    connections: list[HeldConnection]

    async def open(self, address: Address, timeout: float) -> HeldConnection:
        """Return the next connection."""
        return self.connections.pop(0)


class ProcessCheckerTest(unittest.IsolatedAsyncioTestCase):
    """Results of connection attempts that are known only later.

    A caller that asked after a connection had been closed was told that it was
    open, and the end of one observation ended that of the next.
    """

    async def test_each_check_has_its_own_connection(self) -> None:
        """Its result is independent of earlier checks and of timing."""
        first, second = HeldConnection(), HeldConnection()
        checker = ProcessChecker(
            cast(Connector, HeldConnector([first, second]))
        )
        entry = an_entry('worker')
        checks = [await checker.check(entry)]
        first.closed.set()
        checks.append(await checker.check(entry))
        self.assertTrue(await checks[0].was_closed_at_once())
        second.closed.set()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        for result in checks:
            self.assertIs(result.state, ProcessState.ALIVE)
            self.assertTrue(await result.was_closed_at_once())


class BystanderTest(unittest.IsolatedAsyncioTestCase):
    """Requests that run at the same upstreams as a harmful one."""

    async def asyncSetUp(self) -> None:
        """Start a host whose workers are registered one at a time."""
        self.rig = await self.enterAsyncContext(Rig(workers=4))
        for worker in self.rig.workers:
            worker.default_script = crashing(HARMFUL, stream(gap=0.5))
        await self.rig.start()
        for number in range(len(self.rig.workers)):
            self.rig.store.remove('servers', f'w-{number}')
        await self.know_upstreams(0)

    async def know_upstreams(self, count: int) -> None:
        """Wait until the host knows a number of upstreams."""
        await self.rig.until(lambda: self.rig.host.status.upstreams == count)

    async def end_beside(self, number: int, path: str) -> None:
        """Run a slow request beside the harmful one at one worker."""
        self.rig.register(number)
        await self.know_upstreams(1)
        worker = self.rig.workers[number]
        beside = asyncio.create_task(
            self.rig.ask(path, f'beside-{number}', body=b'harmless'),
        )
        await self.rig.until(lambda: len(worker.requests) == 1)
        harmful = self.rig.ask('/once/1', f'harm-{number}', body=HARMFUL)
        await asyncio.gather(beside, harmful)
        self.rig.store.remove('servers', f'w-{number}')
        await self.know_upstreams(0)

    async def beside_again(self) -> tuple[int, dict[str, str], bytes]:
        """Send the harmless request once more."""
        return await self.rig.ask('/once/2', 'again', body=b'harmless')

    async def test_who_ran_beside_it_three_times_is_served(self) -> None:
        """Both requests share all crashes, but only one is harmful."""
        for number in range(ENDS):
            await self.end_beside(number, '/once/2')
        self.rig.register(ENDS)
        await self.know_upstreams(1)
        status, headers, _ = await self.beside_again()
        if status == PROMISE:
            await asyncio.sleep(float(headers['Retry-After']))
        status, _, answer = await self.beside_again()
        self.assertEqual(status, 200)
        self.assertEqual(answer, b''.join(EVENTS))
        for number in range(TIMES):
            await self.rig.ask('/once/1', f'harm-{number}', body=HARMFUL)
        self.assertLessEqual(self.rig.crashes, ENDS + TRIALS)


async def _close(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Close a connection at once."""
    writer.close()
