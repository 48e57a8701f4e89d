"""Tests of the limits on log output."""

import json
import logging as standard_logging
import os
import unittest

from nutmegroad.foundations.log_limits import (
    MAX_FAILURE_LINES,
    MAX_LINES,
    MAX_PENDING_BYTES,
    LogRateLimiter,
    NonBlockingHandler,
)
from nutmegroad.foundations.logs import JsonFormatter, part_logger


class LogBoundsTest(unittest.TestCase):
    """A handler that writes to a pipe, on a manual clock."""

    def setUp(self) -> None:
        """Send the logs of absl to a pipe."""
        self.read_end, write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, write_end)
        os.set_blocking(self.read_end, False)
        self.now = 100.0
        self.unread = b''
        limiter = LogRateLimiter(lambda: self.now)
        self.handler = NonBlockingHandler(write_end, limiter)
        self.handler.setFormatter(JsonFormatter())
        logger = standard_logging.getLogger('absl')
        logger.addHandler(self.handler)
        level = logger.level
        logger.setLevel(standard_logging.INFO)
        self.addCleanup(logger.setLevel, level)
        self.addCleanup(logger.removeHandler, self.handler)
        self.log = part_logger('relay')

    def lines(self) -> list[dict[str, object]]:
        """Return the complete lines that can be read now."""
        try:
            while chunk := os.read(self.read_end, 65_536):
                self.unread += chunk
        except BlockingIOError:
            complete, _, self.unread = self.unread.rpartition(b'\n')
        return [json.loads(line) for line in complete.splitlines()]

    def test_line_carries_its_fields(self) -> None:
        """A decision's line has the event, the request and each input."""
        self.log.decision('attempt', request='r1', upstream='u', waited=0.5)  # type: ignore[arg-type]
        line = self.lines()[0]
        self.assertEqual(line['event'], 'attempt')
        self.assertEqual((line['request'], line['upstream']), ('r1', 'u'))

    def test_lines_above_the_limit_of_their_kind_are_suppressed(self) -> None:
        """Failures have a higher limit; suppressed lines are counted."""
        for _ in range(MAX_LINES + 7):
            self.log.decision('attempt')
            self.lines()
        for _ in range(MAX_LINES + 7):
            self.log.decision('refused')
        self.assertEqual(len(self.lines()), MAX_LINES + 7)
        self.handler.report_losses()
        line = self.lines()[0]
        self.assertEqual((line['of'], line['count']), ('relay: attempt', 7))
        self.now += 1
        self.log.decision('attempt')
        self.assertEqual(len(self.lines()), 1)
        self.assertGreater(MAX_FAILURE_LINES, MAX_LINES)

    def test_unread_pipe_drops_lines_and_never_blocks(self) -> None:
        """A log collector that hangs must not block the program."""
        for _ in range(5000):
            self.now += 1
            self.log.decision('attempt', detail='x' * 300)
        lines_read = 0
        while count := len(self.lines()):
            lines_read += count
            self.handler.report_losses()
        self.assertLess(lines_read * 300, MAX_PENDING_BYTES * 2)
        self.assertGreater(lines_read, 100)
