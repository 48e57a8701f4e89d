"""At most once and billed once, with real processes that die and freeze."""

import asyncio
import signal
import time
import unittest
from contextlib import suppress
from typing import Final

import msgspec

from nutmegroad.adapters._platform_bodies import CommitBody
from nutmegroad.contracts.platform import ABSENT, RowKey, RowWrite
from nutmegroad.records.at_most_once import LEASE
from tests.once_processes import OnceProcessCase

SLOW: Final = 1.2


class OnceProcessTest(OnceProcessCase):
    """What callers and bills see as hosts die, freeze and stop."""

    def test_a_host_is_killed_at_each_moment(self) -> None:
        self.runner.run(self.before())
        self.runner.run(self.between())
        self.runner.run(self.flush())

    async def before(self) -> None:
        """Kill a host between intent and dispatch."""
        # The reply to the intent is lost, and the read that would find it
        # is under way. Hosts renew leases meanwhile: replies to those aren't.
        platform = self.running.platform
        await self.fault(
            platform,
            kind='lose_reply',
            scope='table',
            task='intent',
            count=1,
        )
        await self.renew_a_lease()
        await self.fault(platform, kind='slow', scope='table', delay=SLOW)
        before = await self.commits()
        asking = asyncio.ensure_future(self.keyed(0, 'before'))
        # This look is behind the write, and the host's own behind this.
        await self.until(self.more_commits, before)
        await self.until(self.has_row, 'before')
        await self.kill(0)
        self.assertEqual(0, (await asking).status)
        await self.fault(platform)
        await self.restart(0)
        await self.until(self.gives_up, 1, 'before')
        self.assertEqual(0, await self.runs('before'))

    async def renew_a_lease(self) -> None:
        """Write a row beside the intent, as a host does for its lease."""
        row = RowWrite(RowKey('lease/elsewhere'), '', ABSENT)
        url = f'http://{self.platform}/table/commit'
        async with self.session.post(
            url,
            data=msgspec.json.encode(CommitBody((row,))),
        ) as response:
            self.assertEqual(200, response.status)

    async def between(self) -> None:
        """Kill a host between dispatch and reply."""
        await self.service_fault(kind='late', delay=30, count=1)
        asking = asyncio.ensure_future(self.keyed(0, 'between'))
        await self.until(self.has_run, 'between')
        await self.kill(0)
        self.assertEqual(0, (await asking).status)
        await self.service_fault()
        await self.restart(0)
        await self.until(self.gives_up, 1, 'between')
        self.assertEqual(1, await self.runs('between'))

    async def flush(self) -> None:
        """Kill a host before it could store anything."""
        platform = self.running.platform
        await self.fault(platform, kind='down', scope='objects')
        reply = await self.keyed(0, 'flush')
        self.assertEqual(200, reply.status)
        await self.kill(0)
        await self.fault(platform)
        await self.restart(0)
        await self.until(self.is_billed, reply.request)
        again = await self.keyed(2, 'flush')
        self.assertEqual(reply.request, again.first)
        self.assertEqual(1, await self.runs('flush'))
        await self.check_bills()

    def test_a_host_is_paused_for_longer_than_its_lease(self) -> None:
        self.runner.run(self.pause())

    async def pause(self) -> None:
        """Stop a host that has written its intent."""
        platform = self.running.platform
        await self.fault(platform, kind='slow', scope='table', delay=SLOW)
        before = await self.commits()
        asking = asyncio.ensure_future(self.keyed(0, 'paused'))
        await self.until(self.more_commits, before)
        self.running.hosts[0].signal(signal.SIGSTOP)
        stopped = time.monotonic()
        await self.fault(platform)
        await self.until(self.has_row, 'paused')
        other = await self.keyed(1, 'paused')
        self.assertEqual('STILL_RUNNING', other.error['name'])
        self.assertFalse(other.error['not_run'])
        await asyncio.sleep(stopped + LEASE + 0.5 - time.monotonic())
        self.running.hosts[0].signal(signal.SIGCONT)
        refused = await asking
        self.assertEqual('HOST_PAUSED', refused.error['name'])
        self.assertTrue(refused.error['not_run'])
        self.assertEqual(0, await self.runs('paused'))
        self.assertEqual(200, (await self.keyed(1, 'paused')).status)
        self.assertEqual(1, await self.runs('paused'))

    def test_the_same_key_at_three_hosts_at_once(self) -> None:
        self.runner.run(self.race())

    def test_the_platform_down_for_a_while(self) -> None:
        self.runner.run(self.outage())

    def test_a_graceful_stop_while_nothing_can_be_stored(self) -> None:
        self.runner.run(self.graceful())

    async def graceful(self) -> None:
        """Stop a host whose bills can not be stored."""
        platform = self.running.platform
        await self.fault(platform, kind='down', scope='objects')
        reply = await self.keyed(2, 'stop')
        self.assertEqual(200, reply.status)
        code = await self.processes.stop(self.running.hosts[2])
        self.assertEqual(0, code)
        await self.fault(platform)
        await self.until(self.is_billed, reply.request)
        await self.restart(2)

    async def race(self) -> None:
        """Use one key at all hosts at once."""
        replies = await asyncio.gather(
            *(self.keyed(number % 3, 'race') for number in range(9)),
        )
        self.assertEqual(1, await self.runs('race'))
        firsts = [reply for reply in replies if reply.status == 200]
        self.assertTrue(firsts)
        self.assertEqual(1, len({reply.body for reply in firsts}))
        for reply in replies:
            if reply.status != 200:
                self.assertFalse(reply.error['not_run'])

    async def outage(self) -> None:
        """Take the platform down; a ticket's issuer dies at the end."""
        platform = self.running.platform
        await self.fault(platform, kind='down')
        refused = await self.keyed(0, 'down')
        self.assertEqual('INTENT_UNAVAILABLE', refused.error['name'])
        self.assertTrue(refused.error['not_run'])
        self.assertGreater(refused.error['retry_after_ms'], 0)
        self.assertEqual(0, await self.runs('down'))
        # Work goes on by ticket, whichever host it comes to.
        ticket = await self.ticket(str(self.running.callers[0]))
        spent = [
            await self.call(host, Nutmegroad_Ticket=ticket)
            for host in (1, 2, 0)
        ]
        self.assertEqual({200}, {reply.status for reply in spent})
        self.assertEqual(1, await self.runs())
        await self.fault(platform)
        await self.until(self.runs_at_last, 'down')
        self.assertEqual(1, await self.runs('down'))
        # Its issuer gone, a ticket's request may have run.
        await self.kill(0)
        gone = await self.call(1, Nutmegroad_Ticket=ticket)
        self.assertFalse(gone.error['not_run'])
        self.assertEqual(1, await self.runs())
        await self.restart(0)
        await self.check_bills()

    async def runs_at_last(self, key: str) -> bool:
        """Tell whether a request that was refused as not run runs now."""
        with suppress(KeyError):
            return (await self.keyed(0, key)).status == 200
        return False


if __name__ == '__main__':
    unittest.main()
