"""Tests of the test runner: its verdict, known failures and workers."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from tests.run import KnownRed, KnownRedError, judge, read_known_red
from tests.workers import SLOW_MODULES, Outcome, find_modules, merge, run_module

_RED = KnownRed('t.a', 'a fault', '7')


def _outcome(passed: str, failed: str) -> Outcome:
    return Outcome(
        frozenset(passed.split()),
        frozenset(failed.split()),
        frozenset(),
    )


class JudgeTest(unittest.TestCase):
    def test_verdicts(self) -> None:
        cases = (
            ('t.a t.b', '', (), True),
            ('t.b', 't.a', (), False),
            ('t.b', 't.a', (_RED,), True),
            ('t.a t.b', '', (_RED,), True),
            ('t.b', '', (_RED,), False),
            ('', 't.a t.b', (_RED,), False),
            ('', '', (), False),
        )
        for passed, failed, known, is_good in cases:
            with self.subTest(passed=passed, failed=failed, known=known):
                verdict = judge(_outcome(passed, failed), known)
                self.assertEqual(verdict.is_good, is_good)

    def test_closing_line_counts_known_failures_as_failed(self) -> None:
        lines = judge(_outcome('t.b', 't.a'), (_RED,)).lines
        self.assertEqual(lines[-1], '1 passed, 1 failed')
        self.assertIn('known red: t.a: a fault', lines)


class ReadKnownRedTest(unittest.TestCase):
    def test_reads_entries(self) -> None:
        self.assertEqual(read_known_red('t.a | a fault | 7\n\n'), (_RED,))

    def test_rejects_more_than_three_lines(self) -> None:
        with self.assertRaises(KnownRedError):
            read_known_red('t | c | i\n' * 4)

    def test_rejects_a_malformed_line(self) -> None:
        with self.assertRaises(KnownRedError):
            read_known_red('t.a | a fault')


_PASSES_FAILS_SKIPS = """
import unittest
class T(unittest.TestCase):
    def test_a(self): pass
    def test_b(self): self.fail()
    @unittest.skip('why')
    def test_c(self): pass
"""
_EXITS = 'import os; os._exit(0)'
_HANGS = """
import time, unittest
class T(unittest.TestCase):
    def test_a(self): time.sleep(999)
"""


class ModuleTest(unittest.TestCase):
    """Tests that each module runs in its own process and none is lost."""

    def setUp(self) -> None:
        scratch = self.enterContext(tempfile.TemporaryDirectory())
        self.directory = Path(scratch) / 'scratch'
        self.directory.mkdir()
        (self.directory / '__init__.py').touch()

    def run_source(self, source: str, timeout: float = 60) -> Outcome:
        (self.directory / 'test_it.py').write_text(source)
        running = run_module(self.directory, 'test_it', timeout)
        return asyncio.run(running).outcome

    def test_outcomes_come_back_by_id(self) -> None:
        outcome = self.run_source(_PASSES_FAILS_SKIPS)
        self.assertEqual(outcome.passed, {'scratch.test_it.T.test_a'})
        self.assertEqual(outcome.failed, {'scratch.test_it.T.test_b'})
        self.assertEqual(outcome.skipped, {'scratch.test_it.T.test_c'})

    def test_a_module_that_exits_without_an_outcome_has_failed(self) -> None:
        outcome = self.run_source(_EXITS)
        self.assertEqual(
            outcome.failed, {'test_it (exited without an outcome)'}
        )
        self.assertFalse(judge(outcome, ()).is_good)

    def test_a_module_that_fails_to_import_has_failed(self) -> None:
        self.assertEqual(len(self.run_source('import nothing_such').failed), 1)

    def test_a_module_that_hangs_has_failed(self) -> None:
        outcome = self.run_source(_HANGS, timeout=2)
        self.assertEqual(outcome.failed, {'test_it (timed out)'})

    def test_all_modules_are_found_once(self) -> None:
        tests = Path(__file__).parent
        found = find_modules(tests)
        names = {path.stem for path in tests.glob('test_*.py')}
        self.assertEqual(set(found), names)
        self.assertEqual(len(found), len(names))
        self.assertLessEqual(set(SLOW_MODULES), names)

    def test_outcomes_are_merged(self) -> None:
        merged = merge((_outcome('a', 'b'), _outcome('c', 'd')))
        self.assertEqual(merged, _outcome('a c', 'b d'))
