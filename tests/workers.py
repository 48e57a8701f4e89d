"""Runs test modules, each in its own process, a few concurrently.

``python -m tests.workers MODULE FILE`` runs one module and writes its outcome
to the file. A module that exits without an outcome or times out counts as one
failed test with the name of the module.
"""

import asyncio
import signal
import sys
import tempfile
import time
import unittest
from asyncio.subprocess import PIPE, STDOUT, Process
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import msgspec

ROOT: Final = Path(__file__).resolve().parent.parent
#: Maximum number of modules that run concurrently.
MAX_CONCURRENT_MODULES: Final = 4
#: Seconds after which a module is interrupted because it hangs.
MODULE_TIMEOUT: Final = 400.0
#: Seconds within which an interrupted module must stop its processes.
_INTERRUPT_GRACE: Final = 30.0
#: The slowest modules. They are started first, so that none of them is the
#: last to finish.
SLOW_MODULES: Final = (
    'test_rolling_replacement',
    'test_configuration_processes',
    'test_rollout_processes',
    'test_once_processes',
)

#: Modules that run alone, after all others: their hosts take all the time and
#: memory that they get, and would disturb what runs beside them.
EXCLUSIVE_MODULES: Final = (
    'test_hostile_bodies',
    'test_hostile_heads',
    'test_hostile_lines',
    'test_hostile_readers',
)


class Outcome(msgspec.Struct, frozen=True):
    """The outcome of a test run, by ids of tests.

    Attributes:
        passed: Tests that passed.
        failed: Tests that failed or had an error.
        skipped: Tests that were skipped.
    """

    passed: frozenset[str]
    failed: frozenset[str]
    skipped: frozenset[str]


@dataclass(frozen=True, slots=True)
class Report:
    """The report on one module.

    Attributes:
        module: Name of the module.
        outcome: The outcome of its tests.
        output: Its standard output and standard error.
        seconds: Duration in seconds.
    """

    module: str
    outcome: Outcome
    output: str
    seconds: float


class _RecordingResult(unittest.TextTestResult):
    """A test result that also records which tests passed."""

    def __init__(self, *args: object, **options: object) -> None:
        super().__init__(*args, **options)  # type: ignore[arg-type]
        self.passed: set[str] = set()

    def addSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Record a test that passed."""
        super().addSuccess(test)
        self.passed.add(test.id())

    def outcome(self) -> Outcome:
        """Return the outcome; failed subtests count as one failed test."""
        tests = [test for test, _ in (*self.failures, *self.errors)]
        tests.extend(test for test, _ in self.expectedFailures)
        tests.extend(self.unexpectedSuccesses)
        return Outcome(
            passed=frozenset(self.passed),
            failed=frozenset(_id_of(test) for test in tests),
            skipped=frozenset(_id_of(test) for test, _ in self.skipped),
        )


def find_modules(directory: Path) -> tuple[str, ...]:
    """Return the names of the test modules, the slow ones first."""
    names = sorted(path.stem for path in directory.glob('test_*.py'))
    slow = [name for name in SLOW_MODULES if name in names]
    return (*slow, *(name for name in names if name not in SLOW_MODULES))


def merge(outcomes: Iterable[Outcome]) -> Outcome:
    """Merge the outcomes of several modules."""
    merged = Outcome(frozenset(), frozenset(), frozenset())
    for outcome in outcomes:
        merged = Outcome(
            passed=merged.passed | outcome.passed,
            failed=merged.failed | outcome.failed,
            skipped=merged.skipped | outcome.skipped,
        )
    return merged


async def run_modules(
    directory: Path,
    timeout: float = MODULE_TIMEOUT,
) -> tuple[Report, ...]:
    """Run the modules of a directory, printing each report when ready."""
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_MODULES)

    async def run(module: str) -> Report:
        async with semaphore:
            report = await run_module(directory, module, timeout)
        heading = f'{report.module}: {report.seconds:.1f} s'
        sys.stdout.write(f'{heading}\n{report.output}\n')
        sys.stdout.flush()
        return report

    modules = find_modules(directory)
    shared = [name for name in modules if name not in EXCLUSIVE_MODULES]
    alone = [name for name in modules if name in EXCLUSIVE_MODULES]
    reports = await asyncio.gather(*(run(module) for module in shared))
    return (*reports, *[await run(module) for module in alone])


async def run_module(directory: Path, module: str, timeout: float) -> Report:
    """Run one module in its own process."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as directory_name:
        outcome_file = Path(directory_name) / 'outcome.json'
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'tests.workers',
            str(directory / f'{module}.py'),
            str(outcome_file),
            cwd=ROOT,
            stdout=PIPE,
            stderr=STDOUT,
        )
        output, exited = await _wait(process, timeout)
        outcome = _read(outcome_file, module, exited=exited)
    return Report(module, outcome, output, time.monotonic() - started)


async def _wait(process: Process, timeout: float) -> tuple[str, bool]:
    """Return the output of a process and whether it exited in time."""
    communication = asyncio.ensure_future(process.communicate())
    done, _ = await asyncio.wait([communication], timeout=timeout)
    if not done:
        # Like Ctrl+C, so that the module stops the processes it started.
        with suppress(ProcessLookupError):
            process.send_signal(signal.SIGINT)
        await asyncio.wait([communication], timeout=_INTERRUPT_GRACE)
        if process.returncode is None:
            process.kill()
    output, _ = await communication
    return output.decode(errors='replace'), bool(done)


def _read(outcome_file: Path, module: str, *, exited: bool) -> Outcome:
    """Return the outcome that a module wrote, or a failure of the module."""
    empty: frozenset[str] = frozenset()
    if not exited:
        failed = frozenset((f'{module} (timed out)',))
        return Outcome(empty, failed, empty)
    if not outcome_file.exists():
        failed = frozenset((f'{module} (exited without an outcome)',))
        return Outcome(empty, failed, empty)
    return msgspec.json.decode(outcome_file.read_bytes(), type=Outcome)


def _id_of(test: unittest.TestCase) -> str:
    """Return the id of a test; for a subtest, that of its test."""
    parent: unittest.TestCase = getattr(test, 'test_case', test)
    return parent.id()


def main() -> int:
    """Run one module and write its outcome to a file."""
    module, outcome_file = (Path(argument) for argument in sys.argv[1:])
    suite = unittest.defaultTestLoader.discover(
        str(module.parent),
        pattern=module.name,
        top_level_dir=str(module.parent.parent),
    )
    runner = unittest.TextTestRunner(
        resultclass=_RecordingResult,
        stream=sys.stdout,
    )
    result = runner.run(suite)
    if isinstance(result, _RecordingResult):
        outcome_file.write_bytes(msgspec.json.encode(result.outcome()))
    return 0 if result.wasSuccessful() else 1


if __name__ == '__main__':
    sys.exit(main())
