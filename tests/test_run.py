"""Tests of the runner's verdict."""

import unittest

from tests.run import KnownRed, KnownRedError, Outcome, judge, read_known_red

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
        for passed, failed, known, good in cases:
            with self.subTest(passed=passed, failed=failed, known=known):
                verdict = judge(_outcome(passed, failed), known)
                self.assertEqual(verdict.good, good)

    def test_closing_line_counts_known_failures_as_failed(self) -> None:
        lines = judge(_outcome('t.b', 't.a'), (_RED,)).lines
        self.assertEqual(lines[-1], '1 passed, 1 failed')
        self.assertIn('known red: t.a: a fault', lines)


class ReadKnownRedTest(unittest.TestCase):
    def test_reads_lines(self) -> None:
        self.assertEqual(read_known_red('t.a | a fault | 7\n\n'), (_RED,))

    def test_refuses_four(self) -> None:
        with self.assertRaises(KnownRedError):
            read_known_red('t | c | i\n' * 4)

    def test_refuses_a_malformed_line(self) -> None:
        with self.assertRaises(KnownRedError):
            read_known_red('t.a | a fault')
