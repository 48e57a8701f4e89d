"""Tests of the logs."""

import io
import json
import unittest

from nutmegroad.logs import LogFormat, part_logger, set_up_logs
from nutmegroad.types import RequestId


def _logged(log_format: LogFormat) -> str:
    stream = io.StringIO()
    set_up_logs(log_format, stream)
    log = part_logger('dispatch')
    log.info('took %d steps', 2, request=RequestId('r%s1'))
    log.error('has no upstream')
    return stream.getvalue()


class LogsTest(unittest.TestCase):
    def test_text_has_prefix_and_request(self) -> None:
        first, second = _logged(LogFormat.TEXT).splitlines()
        self.assertTrue(first.endswith('INFO dispatch r%s1: took 2 steps'))
        self.assertTrue(second.endswith('ERROR dispatch: has no upstream'))

    def test_json_lines_have_fields(self) -> None:
        first, second = map(json.loads, _logged(LogFormat.JSON).splitlines())
        self.assertEqual(first['part'], 'dispatch')
        self.assertEqual(first['request'], 'r%s1')
        self.assertEqual(first['message'], 'dispatch r%s1: took 2 steps')
        self.assertNotIn('request', second)
        self.assertEqual(second['level'], 'error')
