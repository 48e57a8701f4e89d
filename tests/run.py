"""Runs all tests and compares the failures with ``KNOWN-RED.txt``.

Each line of that file is ``test_id | cause | issue``. Only the tests listed
there may fail. They are printed, and so are listed tests that pass. The last
line of the output gives the totals.
"""

import asyncio
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from tests.workers import ROOT, Outcome, merge, run_modules

KNOWN_RED: Final = ROOT / 'KNOWN-RED.txt'
#: Maximum number of known failures; more must be fixed first.
MAX_KNOWN: Final = 3
_FIELD_COUNT: Final = 3


class KnownRedError(Exception):
    """The list of known failures is invalid."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A test that is known to fail.

    Attributes:
        test: Id of the test.
        cause: Why it fails.
        issue: The issue that tracks it.
    """

    test: str
    cause: str
    issue: str


@dataclass(frozen=True, slots=True)
class Verdict:
    """The verdict on a test run.

    Attributes:
        is_good: Whether only known failures failed and all of them ran.
        lines: Lines to print.
    """

    is_good: bool
    lines: tuple[str, ...] = field(default=())


def read_known_red(text: str) -> tuple[KnownRed, ...]:
    """Parse the list of known failures.

    Raises:
        KnownRedError: If it is too long or a line is malformed.
    """
    known = tuple(
        _parse_line(line) for line in text.splitlines() if line.strip()
    )
    if len(known) > MAX_KNOWN:
        message = (
            f'KNOWN-RED.txt lists {len(known)} tests; at most {MAX_KNOWN} may.'
        )
        raise KnownRedError(message)
    return known


def judge(outcome: Outcome, known: Iterable[KnownRed]) -> Verdict:
    """Compare the outcome of a run with the list of known failures."""
    listed = {entry.test: entry for entry in known}
    failed = outcome.failed
    ran = outcome.passed | failed
    allowed = [listed[test] for test in sorted(failed & listed.keys())]
    lines = [f'known red: {red.test}: {red.cause}' for red in allowed]
    unexpected = outcome.passed & listed.keys()
    lines.extend(_lines('known red, but it passed', unexpected))
    absent = listed.keys() - ran
    lines.extend(_lines('known red, but it did not run', absent))
    lines.extend(_lines('failed', failed - listed.keys()))
    lines.extend(_lines('skipped', outcome.skipped))
    lines.append(f'{len(outcome.passed)} passed, {len(failed)} failed')
    is_good = bool(ran) and not absent and failed <= listed.keys()
    return Verdict(is_good, tuple(lines))


def main() -> int:
    """Run the tests; return 0 if the verdict is good, otherwise 1."""
    known = read_known_red(KNOWN_RED.read_text() if KNOWN_RED.exists() else '')
    reports = asyncio.run(run_modules(ROOT / 'tests'))
    verdict = judge(merge(report.outcome for report in reports), known)
    sys.stdout.write('\n'.join((*verdict.lines, '')))
    return 0 if verdict.is_good else 1


def _parse_line(line: str) -> KnownRed:
    """Parse one line of the list."""
    parts = [part.strip() for part in line.split('|')]
    if len(parts) != _FIELD_COUNT or not all(parts):
        message = f'KNOWN-RED.txt: {line!r} is not `test_id | cause | issue`.'
        raise KnownRedError(message)
    return KnownRed(*parts)


def _lines(label: str, tests: Iterable[str]) -> list[str]:
    """Return a labelled line for each test, sorted by id."""
    return [f'{label}: {test}' for test in sorted(tests)]


if __name__ == '__main__':
    sys.exit(main())
