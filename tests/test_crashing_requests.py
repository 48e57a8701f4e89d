"""A request that ends each upstream which begins to run it, again and again.

Seen: one short question ended fifteen engines in seventy seconds, also long
after it had ended its third; what ran beside it was cut again and again. How it
came about: it came anew, with the same caller, path and body, at host after
host, and each gave it all its attempts. Cause: what a request had done was
remembered by its own execution only, which ends with its answer; no host knew
anything of what a request contains. What proved it: the same host sent the same
content to three upstreams once more, five and ten seconds later, all of which
ended within a tenth of a second of beginning, without an event.
"""

import asyncio
import itertools
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final, cast

from fakes.opaque_worker import EVENTS, crashing, plain, stream

from nutmegroad.fleet.crash_book import FIRST_PAUSE
from nutmegroad.foundations.types import Address
from nutmegroad.relay.ends import EndWatch, Life
from nutmegroad.relay.pools import ConnectionPool
from tests.relay_rig import Rig
from tests.relay_samples import an_entry

#: The body that ends workers.
HARMFUL: Final = b'harmful'
#: Times that it comes anew after it has ended its third worker: at each host
#: twice.
TIMES: Final = 4
#: Upstreams that may end under one request before it is refused.
ENDS: Final = 3
#: Times that it is tried once more, in case that it only ran beside another.
TRIALS: Final = 1
#: Times that it may still reach an upstream after that.
MORE: Final = 3

PROMISE: Final = 503


class CrashingRequestTest(unittest.IsolatedAsyncioTestCase):
    """Two hosts and their workers."""

    async def asyncSetUp(self) -> None:
        """Start the hosts."""
        self.rig = await self.enterAsyncContext(Rig(workers=9, hosts=2))
        for worker in self.rig.workers:
            worker.usual = crashing(HARMFUL, stream())
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
        """Start all workers again that have ended."""
        for number, worker in enumerate(self.rig.workers):
            if worker.crashes:
                worker.crashes = 0
                await self.rig.rise(number)

    async def test_it_is_refused_after_its_third_upstream(self) -> None:
        """By the same host, with a promise that it did not run."""
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
        """Also one that has never seen it, within a moment."""
        await self.come(1)
        await asyncio.sleep(1)
        for number in range(TIMES):
            await self.come(2 + number, host=number % 2)
        self.assertLessEqual(self.rig.crashes, ENDS + MORE)
        self.assertEqual(self.rig.seen('r4') + self.rig.seen('r5'), 0)

    async def test_ends_under_it_add_up_over_hosts(self) -> None:
        """One that may run once ends one worker each time it comes."""
        for number in range(ENDS):
            await self.come(number, host=number % 2, path='/once/1')
            await asyncio.sleep(0.5)
        self.assertEqual(self.rig.crashes, ENDS)
        for number in range(TIMES):
            status = await self.come(10 + number, number % 2, '/once/1')
            self.assertEqual(status, PROMISE)
        self.assertEqual(self.rig.crashes, ENDS)

    async def test_a_host_that_starts_later_refuses_it(self) -> None:
        """What the others know outlives them in the platform's store."""
        await self.come(1)
        await asyncio.sleep(1.5)
        for host in self.rig.hosts:
            await host.close()
        number = await self.rig.add_host()
        for again in range(TIMES):
            await self.come(2 + again, host=number)
        self.assertEqual(self.rig.crashes, ENDS + TRIALS)

    async def test_other_requests_are_served(self) -> None:
        """The same path with another body, and the body on another path."""
        await self.come(1)
        for number, (path, body) in enumerate(
            (('/draft/1', b'harmless'), ('/draft/1', b'')),
        ):
            self.assertEqual(await self.come(10 + number, 0, path, body), 200)
        for worker in self.rig.workers:
            worker.usual = stream()
        self.assertEqual(await self.come(20, path='/draft/2'), 200)

    async def test_it_is_served_where_it_did_nothing(self) -> None:
        """An upstream that ends by itself three times is not its work."""
        for worker in self.rig.workers:
            worker.usual = plain()
        for _ in range(ENDS + 1):
            self.assertEqual(await self.come(1, path='/look/1'), 200)
            await self.rig.workers[0].crash()
            await self.revive()
        self.assertEqual(await self.come(2, path='/look/1'), 200)


class TrialTest(unittest.IsolatedAsyncioTestCase):
    """A host that starts when most upstreams that it can choose are gone.

    Seen: where a request had ended three upstreams that still stood in the
    list, a host that was started then refused it four times in a row, and never
    tried it. Cause: its one trial was used up by an attempt that reached no
    upstream, since it chose one of the three; the next attempt, at one that
    lives, asked for another trial. What proved it: it depends on the share of
    ended upstreams in the list, not on how long anything takes.
    """

    async def asyncSetUp(self) -> None:
        """Start a host, and end all its workers but one."""
        self.rig = await self.enterAsyncContext(Rig(workers=ENDS + 1))
        for worker in self.rig.workers:
            worker.usual = crashing(HARMFUL, stream())
        await self.rig.start()
        await self.rig.ask('/draft/1', 'r1', body=HARMFUL)
        self.assertEqual(self.rig.crashes, ENDS)
        self.before = sum(len(worker.seen) for worker in self.rig.workers)

    async def test_a_trial_lasts_until_it_reaches_an_upstream(self) -> None:
        """Attempts that nobody takes don't use it up."""
        await asyncio.sleep(FIRST_PAUSE)
        number = await self.rig.add_host()
        await self.rig.ask('/draft/1', 'r2', body=HARMFUL, host=number)
        self.assertEqual(self.rig.crashes, ENDS + TRIALS)

    async def test_a_trial_reaches_one_upstream(self) -> None:
        """Whatever the request may do otherwise."""
        for number, worker in enumerate(self.rig.workers):
            if worker.crashes:
                await self.rig.rise(number)
        await asyncio.sleep(FIRST_PAUSE)
        number = await self.rig.add_host()
        await self.rig.ask('/draft/1', 'r2', body=HARMFUL, host=number)
        after = sum(len(worker.seen) for worker in self.rig.workers)
        self.assertEqual(after - self.before, TRIALS)


class RestartTest(unittest.IsolatedAsyncioTestCase):
    """Workers that are started again at once, under their ids."""

    async def asyncSetUp(self) -> None:
        """Start a host whose workers tell when they were born."""
        self.rig = await self.enterAsyncContext(Rig(workers=6))
        self.births = itertools.count(1)
        for number, worker in enumerate(self.rig.workers):
            worker.usual = crashing(HARMFUL, stream(), self.rebirth(number))
            self.rig.register(number, born=next(self.births))
        await self.rig.start()

    def rebirth(self, number: int) -> Callable[[], Awaitable[None]]:
        """Return what starts a worker again."""

        async def again() -> None:
            await self.rig.workers[number].start()
            self.rig.register(number, born=next(self.births))

        return again

    async def test_another_start_proves_the_end(self) -> None:
        """Nobody refuses a connection, and the list shows it later."""
        for number in range(ENDS + MORE):
            await self.rig.ask('/once/1', f'r{number}', body=HARMFUL)
            await asyncio.sleep(0.3)
        self.assertLessEqual(self.rig.crashes, ENDS + TRIALS)


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    """Workers behind a proxy that accepts connections also while they are gone.

    Seen: with the platform's store away, a request ended twenty workers behind
    such proxies. Cause: nothing refused a connection, and the list could not
    show another start. What proved it: the same holds here, where the list
    shows nothing at all.
    """

    async def asyncSetUp(self) -> None:
        """Start a host whose workers leave a proxy behind."""
        self.rig = await self.enterAsyncContext(Rig(workers=9))
        for number, worker in enumerate(self.rig.workers):
            worker.usual = crashing(HARMFUL, stream(), self.left_behind(number))
        await self.rig.start()

    def left_behind(self, number: int) -> Callable[[], Awaitable[None]]:
        """Return what accepts connections for a worker that is gone."""

        async def accept() -> None:
            proxy = await asyncio.start_server(
                _close,
                '127.0.0.1',
                self.rig.workers[number].port,
            )
            self.addCleanup(proxy.close)

        return accept

    async def test_a_connection_closed_at_once_proves_the_end(self) -> None:
        """Whoever accepts it can't reach the worker."""
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


@dataclass
class HeldPool:
    """Hands out connections in order."""

    connections: list[HeldConnection]

    async def open(self, address: Address, timeout: float) -> HeldConnection:
        """Return the next."""
        return self.connections.pop(0)

    def give_back(self, upstream: str, connection: HeldConnection) -> None:
        """Do nothing."""


class EndWatchTest(unittest.IsolatedAsyncioTestCase):
    """Connections that show later what became of an upstream.

    Found by reading: whoever asked only once a connection had been closed was
    told that it was not, and the end of one watch ended that of the next.
    """

    async def test_each_look_has_its_own_connection(self) -> None:
        """Whatever becomes of the one before, and however soon it is closed."""
        first, second = HeldConnection(), HeldConnection()
        watch = EndWatch(cast(ConnectionPool, HeldPool([first, second])))
        entry = an_entry('worker')
        looks = [await watch.look(entry)]
        first.closed.set()
        looks.append(await watch.look(entry))
        self.assertTrue(await looks[0].passed_on_in_vain())
        second.closed.set()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        for look in looks:
            self.assertIs(look.life, Life.ALIVE)
            self.assertTrue(await look.passed_on_in_vain())


class BystanderTest(unittest.IsolatedAsyncioTestCase):
    """Requests that run at the same upstreams as the one that ends them."""

    async def asyncSetUp(self) -> None:
        """Start a host whose workers come one after the other."""
        self.rig = await self.enterAsyncContext(Rig(workers=4))
        for worker in self.rig.workers:
            worker.usual = crashing(HARMFUL, stream(gap=0.5))
        await self.rig.start()
        for number in range(len(self.rig.workers)):
            self.rig.store.remove('servers', f'w-{number}')
        await self.know_upstreams(0)

    async def know_upstreams(self, count: int) -> None:
        """Wait until the host knows so many upstreams."""
        await self.rig.until(lambda: self.rig.host.beliefs.upstreams == count)

    async def end_beside(self, number: int, path: str) -> None:
        """Run a slow request beside the harmful one at one worker."""
        self.rig.register(number)
        await self.know_upstreams(1)
        worker = self.rig.workers[number]
        beside = asyncio.create_task(
            self.rig.ask(path, f'beside-{number}', body=b'harmless'),
        )
        await self.rig.until(lambda: len(worker.seen) == 1)
        harmful = self.rig.ask('/once/1', f'harm-{number}', body=HARMFUL)
        await asyncio.gather(beside, harmful)
        self.rig.store.remove('servers', f'w-{number}')
        await self.know_upstreams(0)

    async def beside_again(self) -> tuple[int, dict[str, str], bytes]:
        """Send the harmless request once more."""
        return await self.rig.ask('/once/2', 'again', body=b'harmless')

    async def test_who_ran_beside_it_three_times_is_served(self) -> None:
        """Both share all their ends; only one of them is harmful."""
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
