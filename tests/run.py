"""Runs all tests, holds them to ``KNOWN-RED.txt``, prints a closing line.

A line of that file is ``test_id | cause | issue``. Just the tests that it
lists may fail; they are printed, as is one of them that passes.
"""

import asyncio
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from tests.workers import ROOT, Outcome, merge, run_modules

KNOWN_RED: Final = ROOT / 'KNOWN-RED.txt'
#: The house rule: more than this many and they must be mended first.
MOST_KNOWN: Final = 3
_FIELDS: Final = 3


class KnownRedError(Exception):
    """The list of known failures is not as it must be."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A test that may fail.

    Attributes:
        test: The test's id.
        cause: Why it fails.
        issue: Where that is followed up.
    """

    test: str
    cause: str
    issue: str


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a run is good, and why not.

    Attributes:
        good: Nothing failed but what may.
        lines: What to print.
    """

    good: bool
    lines: tuple[str, ...] = field(default=())


def read_known_red(text: str) -> tuple[KnownRed, ...]:
    """Read the list of known failures.

    Raises:
        KnownRedError: If it is too long or a line is malformed.
    """
    known = tuple(
        _known_red_of(line) for line in text.splitlines() if line.strip()
    )
    if len(known) > MOST_KNOWN:
        message = f'KNOWN-RED.txt lists {len(known)}, not {MOST_KNOWN} at most.'
        raise KnownRedError(message)
    return known


def judge(outcome: Outcome, known: Iterable[KnownRed]) -> Verdict:
    """Hold a run to the list of known failures."""
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
    good = bool(ran) and not absent and failed <= listed.keys()
    return Verdict(good, tuple(lines))


def main() -> int:
    """Run the tests; return 0 only if none failed but what may."""
    known = read_known_red(KNOWN_RED.read_text() if KNOWN_RED.exists() else '')
    reports = asyncio.run(run_modules(ROOT / 'tests'))
    verdict = judge(merge(report.outcome for report in reports), known)
    sys.stdout.write('\n'.join((*verdict.lines, '')))
    return 0 if verdict.good else 1


def _known_red_of(line: str) -> KnownRed:
    """Read one line of the list."""
    parts = [part.strip() for part in line.split('|')]
    if len(parts) != _FIELDS or not all(parts):
        message = f'KNOWN-RED.txt: {line!r} is not `test_id | cause | issue`.'
        raise KnownRedError(message)
    return KnownRed(*parts)


def _lines(what: str, tests: Iterable[str]) -> list[str]:
    """Return a line for each test, in order."""
    return [f'{what}: {test}' for test in sorted(tests)]


if __name__ == '__main__':
    sys.exit(main())
