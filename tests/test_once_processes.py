"""Tests of at-most-once execution and billing with real processes.

Hosts are killed, paused and stopped, and the platform becomes unavailable.
"""

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
from tests.once_processes import AtMostOnceProcessCase

#: Seconds by which the table delays each call under the `slow` fault.
TABLE_DELAY: Final = 1.2


class AtMostOnceProcessTest(AtMostOnceProcessCase):
    """Replies and bills while hosts are killed, paused and stopped."""

    def test_a_host_is_killed_at_each_moment(self) -> None:
        self.runner.run(self.check_kill_before_dispatch())
        self.runner.run(self.check_kill_before_reply())
        self.runner.run(self.check_kill_before_flush())

    async def check_kill_before_dispatch(self) -> None:
        """Kill a host between the write of its intent and the dispatch."""
        # The reply to the intent's write is lost, and the host is killed
        # during the read that would find the row. Hosts also renew leases
        # meanwhile; the replies to those writes are not lost.
        platform = self.running.platform
        await self.set_fault(
            platform,
            kind='lose_reply',
            scope='table',
            task='intent',
            count=1,
        )
        await self.renew_a_lease()
        await self.set_fault(
            platform, kind='slow', scope='table', delay=TABLE_DELAY
        )
        before = await self.count_commits()
        pending = asyncio.ensure_future(self.call_with_key(0, 'before'))
        # The table answers the read of the intent below after the write and
        # before the host's own read.
        await self.wait_until(self.has_more_commits, before)
        await self.wait_until(self.has_intent, 'before')
        await self.kill(0)
        self.assertEqual(0, (await pending).status)
        await self.set_fault(platform)
        await self.restart(0)
        await self.wait_until(self.has_unknown_outcome, 1, 'before')
        self.assertEqual(0, await self.count_runs('before'))

    async def renew_a_lease(self) -> None:
        """Write a row that is no intent, as a host does to renew a lease."""
        row = RowWrite(RowKey('lease/elsewhere'), '', ABSENT)
        url = f'http://{self.platform}/table/commit'
        async with self.session.post(
            url,
            data=msgspec.json.encode(CommitBody((row,))),
        ) as response:
            self.assertEqual(200, response.status)

    async def check_kill_before_reply(self) -> None:
        """Kill a host between the dispatch and the reply."""
        await self.set_service_faults(kind='late', delay=30, count=1)
        pending = asyncio.ensure_future(self.call_with_key(0, 'between'))
        await self.wait_until(self.has_run, 'between')
        await self.kill(0)
        self.assertEqual(0, (await pending).status)
        await self.set_service_faults()
        await self.restart(0)
        await self.wait_until(self.has_unknown_outcome, 1, 'between')
        self.assertEqual(1, await self.count_runs('between'))

    async def check_kill_before_flush(self) -> None:
        """Kill a host that could not store its billing records."""
        platform = self.running.platform
        await self.set_fault(platform, kind='down', scope='objects')
        reply = await self.call_with_key(0, 'flush')
        self.assertEqual(200, reply.status)
        await self.kill(0)
        await self.set_fault(platform)
        await self.restart(0)
        await self.wait_until(self.is_billed, reply.request)
        again = await self.call_with_key(2, 'flush')
        self.assertEqual(reply.request, again.first_request)
        self.assertEqual(1, await self.count_runs('flush'))
        await self.check_bills()

    def test_a_host_is_paused_for_longer_than_its_lease(self) -> None:
        self.runner.run(self.check_pause())

    async def check_pause(self) -> None:
        """Pause a host for longer than its lease after its intent's write."""
        platform = self.running.platform
        await self.set_fault(
            platform, kind='slow', scope='table', delay=TABLE_DELAY
        )
        before = await self.count_commits()
        pending = asyncio.ensure_future(self.call_with_key(0, 'paused'))
        await self.wait_until(self.has_more_commits, before)
        self.running.hosts[0].signal(signal.SIGSTOP)
        paused_at = time.monotonic()
        await self.set_fault(platform)
        await self.wait_until(self.has_intent, 'paused')
        other = await self.call_with_key(1, 'paused')
        self.assertEqual('STILL_RUNNING', other.error['name'])
        self.assertFalse(other.error['not_run'])
        await asyncio.sleep(paused_at + LEASE + 0.5 - time.monotonic())
        self.running.hosts[0].signal(signal.SIGCONT)
        refused = await pending
        self.assertEqual('HOST_PAUSED', refused.error['name'])
        self.assertTrue(refused.error['not_run'])
        self.assertEqual(0, await self.count_runs('paused'))
        self.assertEqual(200, (await self.call_with_key(1, 'paused')).status)
        self.assertEqual(1, await self.count_runs('paused'))

    def test_the_same_key_at_three_hosts_at_once(self) -> None:
        self.runner.run(self.check_race())

    def test_the_platform_down_for_a_while(self) -> None:
        self.runner.run(self.check_outage())

    def test_a_graceful_stop_while_nothing_can_be_stored(self) -> None:
        self.runner.run(self.check_graceful_stop())

    async def check_graceful_stop(self) -> None:
        """Stop a host while its billing records cannot be stored."""
        platform = self.running.platform
        await self.set_fault(platform, kind='down', scope='objects')
        reply = await self.call_with_key(2, 'stop')
        self.assertEqual(200, reply.status)
        code = await self.processes.stop(self.running.hosts[2])
        self.assertEqual(0, code)
        await self.set_fault(platform)
        await self.wait_until(self.is_billed, reply.request)
        await self.restart(2)

    async def check_race(self) -> None:
        """Send one key to all hosts concurrently."""
        replies = await asyncio.gather(
            *(self.call_with_key(number % 3, 'race') for number in range(9)),
        )
        self.assertEqual(1, await self.count_runs('race'))
        firsts = [reply for reply in replies if reply.status == 200]
        self.assertTrue(firsts)
        self.assertEqual(1, len({reply.body for reply in firsts}))
        for reply in replies:
            if reply.status != 200:
                self.assertFalse(reply.error['not_run'])

    async def check_outage(self) -> None:
        """Make the platform unavailable, then kill a ticket's issuer."""
        platform = self.running.platform
        await self.set_fault(platform, kind='down')
        refused = await self.call_with_key(0, 'down')
        self.assertEqual('INTENT_UNAVAILABLE', refused.error['name'])
        self.assertTrue(refused.error['not_run'])
        self.assertGreater(refused.error['retry_after_ms'], 0)
        self.assertEqual(0, await self.count_runs('down'))
        # Requests with a ticket still run, whichever host receives them.
        ticket = await self.issue_ticket(str(self.running.caller_addresses[0]))
        spent = [
            await self.post_receipt(host, Nutmegroad_Ticket=ticket)
            for host in (1, 2, 0)
        ]
        self.assertEqual({200}, {reply.status for reply in spent})
        self.assertEqual(1, await self.count_runs())
        await self.set_fault(platform)
        await self.wait_until(self.runs_now, 'down')
        self.assertEqual(1, await self.count_runs('down'))
        # Without the ticket's issuer, the request may have run already.
        await self.kill(0)
        reply = await self.post_receipt(1, Nutmegroad_Ticket=ticket)
        self.assertFalse(reply.error['not_run'])
        self.assertEqual(1, await self.count_runs())
        await self.restart(0)
        await self.check_bills()

    async def runs_now(self, key: str) -> bool:
        """Return whether a request that was refused as not run runs now."""
        with suppress(KeyError):
            return (await self.call_with_key(0, key)).status == 200
        return False


if __name__ == '__main__':
    unittest.main()
