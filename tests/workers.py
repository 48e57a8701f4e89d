"""Runs test modules, each in a process of its own, a few at once.

``python -m tests.workers MODULE FILE`` is such a process: it runs one module
and writes its outcome into the file. One that ends without an outcome, or not
at all, counts as a failed test with the module's name.
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
#: Modules that run at once at most.
MOST_AT_ONCE: Final = 4
#: Seconds after which a module is taken to hang.
HANGS: Final = 400.0
#: Seconds that a module may take to end its processes when it is stopped.
_CLEAN_UP: Final = 30.0
#: Those that take longest begin first, so that none of them is the last.
SLOW: Final = (
    'test_rolling_replacement',
    'test_configuration_processes',
    'test_rollout_processes',
    'test_once_processes',
)


class Outcome(msgspec.Struct, frozen=True):
    """What a run gave, by ids of tests.

    Attributes:
        passed: Tests that passed.
        failed: Tests that failed, each once.
        skipped: Tests that were skipped.
    """

    passed: frozenset[str]
    failed: frozenset[str]
    skipped: frozenset[str]


@dataclass(frozen=True, slots=True)
class Report:
    """How a module ended.

    Attributes:
        module: Its name.
        outcome: What became of its tests.
        output: What it printed.
        seconds: How long it took.
    """

    module: str
    outcome: Outcome
    output: str
    seconds: float


class _RememberingResult(unittest.TextTestResult):
    """A result that also remembers which tests passed."""

    def __init__(self, *args: object, **options: object) -> None:
        super().__init__(*args, **options)  # type: ignore[arg-type]
        self.passed: set[str] = set()

    def addSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Remember a test that passed."""
        super().addSuccess(test)
        self.passed.add(test.id())

    def outcome(self) -> Outcome:
        """Return the ids; a test that failed in parts counts once."""
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
    first = [name for name in SLOW if name in names]
    return (*first, *(name for name in names if name not in SLOW))


def merge(outcomes: Iterable[Outcome]) -> Outcome:
    """Return the outcomes of several modules as one."""
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
    hangs: float = HANGS,
) -> tuple[Report, ...]:
    """Run the modules of a directory and print each when it has ended."""
    turns = asyncio.Semaphore(MOST_AT_ONCE)

    async def run(module: str) -> Report:
        async with turns:
            report = await run_module(directory, module, hangs)
        heading = f'{report.module}: {report.seconds:.1f} s'
        sys.stdout.write(f'{heading}\n{report.output}\n')
        sys.stdout.flush()
        return report

    modules = find_modules(directory)
    return tuple(await asyncio.gather(*(run(module) for module in modules)))


async def run_module(directory: Path, module: str, hangs: float) -> Report:
    """Run one module in a process of its own."""
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as scratch:
        written = Path(scratch) / 'outcome.json'
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'tests.workers',
            str(directory / f'{module}.py'),
            str(written),
            cwd=ROOT,
            stdout=PIPE,
            stderr=STDOUT,
        )
        output, ended = await _wait(process, hangs)
        outcome = _read(written, module, ended=ended)
    return Report(module, outcome, output, time.monotonic() - began)


async def _wait(process: Process, hangs: float) -> tuple[str, bool]:
    """Return what a process printed, and whether it ended by itself."""
    reading = asyncio.ensure_future(process.communicate())
    done, _ = await asyncio.wait([reading], timeout=hangs)
    if not done:
        # As by Ctrl+C, so that the module ends what it has started.
        with suppress(ProcessLookupError):
            process.send_signal(signal.SIGINT)
        await asyncio.wait([reading], timeout=_CLEAN_UP)
        if process.returncode is None:
            process.kill()
    printed, _ = await reading
    return printed.decode(errors='replace'), bool(done)


def _read(written: Path, module: str, *, ended: bool) -> Outcome:
    """Return what a module wrote; without that the module has failed."""
    nothing: frozenset[str] = frozenset()
    if not ended:
        failed = frozenset((f'{module} (did not end)',))
        return Outcome(nothing, failed, nothing)
    if not written.exists():
        failed = frozenset((f'{module} (ended without an outcome)',))
        return Outcome(nothing, failed, nothing)
    return msgspec.json.decode(written.read_bytes(), type=Outcome)


def _id_of(test: unittest.TestCase) -> str:
    """Return a test's id; a part of a test goes under its whole."""
    whole: unittest.TestCase = getattr(test, 'test_case', test)
    return whole.id()


def main() -> int:
    """Run one module and write its outcome."""
    module, written = (Path(argument) for argument in sys.argv[1:])
    suite = unittest.defaultTestLoader.discover(
        str(module.parent),
        pattern=module.name,
        top_level_dir=str(module.parent.parent),
    )
    runner = unittest.TextTestRunner(
        resultclass=_RememberingResult,
        stream=sys.stdout,
    )
    ended = runner.run(suite)
    if isinstance(ended, _RememberingResult):
        written.write_bytes(msgspec.json.encode(ended.outcome()))
    return 0 if ended.wasSuccessful() else 1


if __name__ == '__main__':
    sys.exit(main())
