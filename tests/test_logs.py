"""Tests of logging: text and JSON formats, and the request of a line."""

import io
import json
import os
import subprocess
import sys
import unittest
from pathlib import Path

from nutmegroad.foundations.logs import (
    LogFormat,
    configure_logging,
    format_decision,
    part_logger,
    request_context,
)
from nutmegroad.foundations.types import RequestId

SOURCES = Path(__file__).resolve().parent.parent / 'src' / 'nutmegroad'


#: Fields of a decision with one field of its own.
_FIELDS = {'part', 'event', 'request', 'born'}


def _log_two_lines(log_format: LogFormat) -> str:
    """Return the text of two log lines, of which one has a request."""
    stream = io.StringIO()
    configure_logging(log_format, stream)
    log = part_logger('dispatch')
    log.info('took %d steps', 2, request=RequestId('r%s1'))
    log.error('has no upstream')
    return stream.getvalue()


class LogsTest(unittest.TestCase):
    def test_text_has_prefix_and_request(self) -> None:
        first, second = _log_two_lines(LogFormat.TEXT).splitlines()
        self.assertTrue(first.endswith('INFO dispatch r%s1: took 2 steps'))
        self.assertTrue(second.endswith('ERROR dispatch: has no upstream'))

    def test_json_lines_have_fields(self) -> None:
        text = _log_two_lines(LogFormat.JSON)
        first, second = map(json.loads, text.splitlines())
        self.assertEqual(first['part'], 'dispatch')
        self.assertEqual(first['request'], 'r%s1')
        self.assertEqual(first['message'], 'dispatch r%s1: took 2 steps')
        self.assertNotIn('request', second)
        self.assertEqual(second['level'], 'error')

    def test_lines_in_a_request_context_name_the_request(self) -> None:
        stream = io.StringIO()
        configure_logging(LogFormat.TEXT, stream)
        log = part_logger('dispatch')
        with request_context(RequestId('r1')):
            log.info('inside')
            log.exception('failed', cause=ZeroDivisionError('z'))
        log.info('outside')
        text = stream.getvalue()
        self.assertIn('dispatch r1: inside', text)
        self.assertIn('dispatch r1: failed', text)
        self.assertIn('ZeroDivisionError: z', text)
        self.assertIn('dispatch: outside', text)

    # Guards against a line that fails the step that writes it: its fields hold
    # a number or a text that another program has sent.
    def test_a_field_that_has_no_json_form_is_written_as_text(self) -> None:
        nested: list[object] = []
        for _ in range(5000):
            nested = [nested]
        for content in (10**30, 10**5000, '\ud800', nested):
            with self.subTest(content=type(content)):
                line = format_decision('tables', 'odd', {'born': content})
                self.assertEqual(set(json.loads(line)) - {'time'}, _FIELDS)

    def test_a_message_that_is_not_valid_unicode_is_written(self) -> None:
        stream = io.StringIO()
        configure_logging(LogFormat.JSON, stream)
        part_logger('tables').error('row %s', '\ud800')
        self.assertIn('ud800', json.loads(stream.getvalue())['message'])

    def test_only_the_logging_module_imports_absl(self) -> None:
        for path in sorted(SOURCES.rglob('*.py')):
            with self.subTest(module=path.name):
                uses = 'from absl' in path.read_text()
                self.assertEqual(uses, path.name == 'logs.py')


class DaemonLogTest(unittest.TestCase):
    def test_a_daemon_writes_json_lines_alone(self) -> None:
        flags = (
            '--host=h1',
            '--domain=d',
            '--callers=127.0.0.1:0',
            '--operators=127.0.0.1:0',
            '--peers=127.0.0.1:0',
            '--platform=127.0.0.1:9',
            '--lame-duck=0.05',
            '--log-format=json',
        )
        daemon = subprocess.Popen(
            (sys.executable, '-m', 'nutmegroad.daemon', *flags),
            env={**os.environ, 'NUTMEGROAD_CLUSTER_KEY': 'a-key-for-tests-1'},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(daemon.kill)
        assert daemon.stdout is not None
        while daemon.stdout.readline().strip() != 'ready':
            self.assertIsNone(daemon.poll())
        daemon.terminate()
        _, logged = daemon.communicate(timeout=30)
        lines = [json.loads(line) for line in logged.splitlines()]
        # Lines of decisions have an event in place of a message.
        told = {
            (line['part'], line.get('message') or line['event'])
            for line in lines
        }
        self.assertIn(('daemon', 'daemon: stopping'), told)
        self.assertIn(('daemon', 'daemon: stopped'), told)
        self.assertEqual(daemon.returncode, 0)
