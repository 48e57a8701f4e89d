"""Tests of control-plane costs: their metrics, and two ways to save them.

Lazy frames wait until another frame is sent, and recent readings of the host
list are reused.
"""

import asyncio
import unittest

from nutmegroad.adapters._cached_host_list import (
    MAX_LIST_AGE,
    CachedHostList,
    cached_host_list,
)
from nutmegroad.contracts.platform import Listing
from nutmegroad.foundations._cost_metrics import CostPublisher
from nutmegroad.foundations.accounting import Ledger
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.process_memory import resident_bytes
from nutmegroad.membership._connection import QueuedFrame, SendQueue
from nutmegroad.records.forwards import ForwardedReply, ForwardedRequest
from nutmegroad.records.record_copies import (
    BatchesStored,
    CopiesAccepted,
    RecordCopies,
)
from nutmegroad.testing.virtual import ManualClock


class CostPublisherTest(unittest.TestCase):
    def test_each_cost_is_added_once(self) -> None:
        ledger, metrics = Ledger(float), Metrics(float)
        publisher = CostPublisher(ledger, metrics)
        ledger.add_sent('watch', 10)
        publisher.publish()
        ledger.add_sent('watch', 5)
        ledger.add_received('watch', 7)
        ledger.add_processor_time('watch', 0.5)
        ledger.count_event('platform_table_reads')
        publisher.publish()
        publisher.publish()
        lines = metrics.render().decode().splitlines()
        control = 'nutmegroad_control'
        for line in (
            f'{control}_bytes_total{{direction="sent",part="watch"}} 15.0',
            f'{control}_messages_total{{direction="sent",part="watch"}} 2.0',
            f'{control}_bytes_total{{direction="received",part="watch"}} 7.0',
            f'{control}_cpu_seconds_total{{part="watch"}} 0.5',
            'nutmegroad_host_events_total{event="platform_table_reads"} 1.0',
        ):
            self.assertIn(line, lines)
        self.assertGreater(resident_bytes(), 0)


class MessagePartTest(unittest.TestCase):
    """Parts that the cost of the records' messages is attributed to."""

    def test_copies_and_forwards_are_told_apart(self) -> None:
        parts = {
            'billing': (RecordCopies, CopiesAccepted, BatchesStored),
            'tickets': (ForwardedRequest, ForwardedReply),
        }
        for part, messages in parts.items():
            for message in messages:
                with self.subTest(message=message.__name__):
                    self.assertEqual(message.part, part)


class LazyFrameTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_lazy_frame_waits_for_another(self) -> None:
        queue = SendQueue(4, 100)
        taking = asyncio.create_task(queue.take_all())
        lazy = QueuedFrame(b'rows', 'watch', lazy=True)
        heartbeat = QueuedFrame(b'beat', 'members')
        queue.put(lazy)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertFalse(taking.done())
        queue.put(heartbeat)
        self.assertEqual(await taking, (lazy, heartbeat))


class CountingHostList:
    """An empty host list that counts how often it is read."""

    def __init__(self) -> None:
        self.reads = 0

    async def listing(self) -> Listing:
        """Count the reading, and return an empty list."""
        self.reads += 1
        return Listing((), ())


class CachedHostListTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_recent_reading_is_reused(self) -> None:
        clock, host_list = ManualClock(), CountingHostList()
        remembered = CachedHostList(host_list, clock)
        recent = cached_host_list(remembered)
        await remembered.listing()
        await recent.listing()
        self.assertEqual(host_list.reads, 1)
        await clock.advance(MAX_LIST_AGE)
        await recent.listing()
        self.assertEqual(host_list.reads, 2)
