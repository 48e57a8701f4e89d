"""Tests of stop requests by signal.

They guard against a daemon that goes on serving after SIGTERM, because the
signal arrived while its event loop was not running.
"""

import os
import signal
import subprocess
import sys
import unittest
from collections.abc import Callable

import uvloop

from nutmegroad.foundations.stop_trigger import StopTrigger

#: Seconds after which a loop that ignores a stop request is stopped.
GUARD_SECONDS = 3.0


class StopTriggerTest(unittest.TestCase):
    """Tests of signals before, between and during the runs of a loop."""

    def setUp(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.loop = uvloop.new_event_loop()
        self.addCleanup(self.loop.close)
        self.trigger = StopTrigger()
        self.timed_out = False
        self.loop.run_until_complete(self.start())

    async def start(self) -> None:
        self.trigger.handle_signals()

    def run_with_guard(self) -> None:
        def end() -> None:
            self.timed_out = True
            self.loop.stop()

        guard = self.loop.call_later(GUARD_SECONDS, end)
        self.trigger.run(self.loop)
        guard.cancel()

    def assert_stops(self, send: Callable[..., object], *args: object) -> None:
        send(*args)
        self.run_with_guard()
        self.assertFalse(self.timed_out)

    def test_signal_between_two_runs_of_the_loop_stops_it(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(number=number):
                self.trigger = StopTrigger()
                self.loop.run_until_complete(self.start())
                self.assert_stops(os.kill, os.getpid(), number)

    def test_signal_while_the_loop_waits_stops_it(self) -> None:
        def send() -> None:
            os.kill(os.getpid(), signal.SIGTERM)

        self.assert_stops(self.loop.call_later, 0.01, send)

    def test_request_before_the_run_prevents_it(self) -> None:
        self.assert_stops(self.trigger)

    def test_repeated_signals_stop_the_loop_once(self) -> None:
        def send() -> None:
            os.kill(os.getpid(), signal.SIGTERM)
            os.kill(os.getpid(), signal.SIGINT)

        self.assert_stops(self.loop.call_later, 0.01, send)
        finished = []
        self.loop.call_later(0.01, finished.append, 1)
        self.loop.call_later(0.02, self.loop.stop)
        self.loop.run_forever()
        self.assertEqual(finished, [1])


#: A program that gets a stop request while its interpreter ends.
ENDING_PROGRAM = """
import os
import signal

from nutmegroad.foundations.stop_trigger import StopTrigger


class LateSignal:
    def __init__(self):
        self.send = os.kill

    def __del__(self, number=signal.SIGTERM, own=os.getpid()):
        self.send(own, number)


late_signal = LateSignal()
trigger = StopTrigger()
trigger.handle_signals()
trigger.ignore_signals()
"""


class EndTest(unittest.TestCase):
    """Stop requests after the stop."""

    # A host that had stopped gracefully ended with the status of a signal, as
    # if it had been cut off: the interpreter restores the default handlers.
    def test_repeated_signal_at_the_end_keeps_the_exit_code(self) -> None:
        ended = subprocess.run(
            [sys.executable, '-c', ENDING_PROGRAM], check=False
        )
        self.assertEqual(ended.returncode, 0)
