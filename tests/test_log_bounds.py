"""Logs are bounded, and never wait for their reader."""

import json
import logging as standard_logging
import os
import unittest

from nutmegroad.foundations.log_bounds import (
    FAILURES,
    MOST_WAITING,
    USUAL,
    LineBudget,
    UnblockingHandler,
)
from nutmegroad.foundations.logs import JsonFormatter, part_logger


class LogBoundsTest(unittest.TestCase):
    """A handler on a pipe, with a clock that stands still."""

    def setUp(self) -> None:
        """Log into a pipe."""
        self.reading, writing = os.pipe()
        self.addCleanup(os.close, self.reading)
        self.addCleanup(os.close, writing)
        os.set_blocking(self.reading, False)
        self.now = 100.0
        self.text = b''
        self.handler = UnblockingHandler(writing, LineBudget(lambda: self.now))
        self.handler.setFormatter(JsonFormatter())
        logger = standard_logging.getLogger('absl')
        logger.addHandler(self.handler)
        level = logger.level
        logger.setLevel(standard_logging.INFO)
        self.addCleanup(logger.setLevel, level)
        self.addCleanup(logger.removeHandler, self.handler)
        self.log = part_logger('relay')

    def lines(self) -> list[dict[str, object]]:
        """Return the lines that can be read now."""
        try:
            while piece := os.read(self.reading, 65_536):
                self.text += piece
        except BlockingIOError:
            whole, _, self.text = self.text.rpartition(b'\n')
        return [json.loads(line) for line in whole.splitlines()]

    def test_line_carries_its_fields(self) -> None:
        """The event, the request and each input."""
        self.log.decision('attempt', request='r1', upstream='u', waited=0.5)  # type: ignore[arg-type]
        line = self.lines()[0]
        self.assertEqual(line['event'], 'attempt')
        self.assertEqual((line['request'], line['upstream']), ('r1', 'u'))

    def test_kind_that_comes_too_often_is_thinned_out(self) -> None:
        """Failures have more room; what was left out is counted."""
        for _ in range(USUAL + 7):
            self.log.decision('attempt')
            self.lines()
        for _ in range(USUAL + 7):
            self.log.decision('refused')
        self.assertEqual(len(self.lines()), USUAL + 7)
        self.handler.report()
        line = self.lines()[0]
        self.assertEqual((line['of'], line['count']), ('relay: attempt', 7))
        self.now += 1
        self.log.decision('attempt')
        self.assertEqual(len(self.lines()), 1)
        self.assertGreater(FAILURES, USUAL)

    def test_pipe_that_nobody_reads_costs_lines_not_time(self) -> None:
        """Pattern: the collector of logs hangs."""
        for _ in range(5000):
            self.now += 1
            self.log.decision('attempt', detail='x' * 300)
        read = 0
        while found := len(self.lines()):
            read += found
            self.handler.report()
        self.assertLess(read * 300, MOST_WAITING * 2)
        self.assertGreater(read, 100)
