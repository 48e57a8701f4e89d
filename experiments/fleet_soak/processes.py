"""Child processes of the soak: start, signals, output and termination."""

import asyncio
import json
import os
import signal
import sys
from asyncio.subprocess import DEVNULL, PIPE, Process
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

#: The root directory of this checkout.
ROOT: Final = Path(__file__).resolve().parents[2]

#: Seconds that a process may take to exit after a signal before it is killed.
EXIT_TIMEOUT: Final = 20

#: Nanoseconds in a second.
NANOSECONDS: Final = 1_000_000_000

#: Called with each JSON object that a process has written.
LineHandler = Callable[[dict[str, Any]], None]


class SoakProcess:
    """A Python program that can be started repeatedly.

    Args:
        arguments: Arguments of the Python interpreter.
        environ: Additional environment variables.
        handle_line: Called with each JSON line of its standard output.
    """

    def __init__(
        self,
        arguments: tuple[str, ...],
        environ: dict[str, str],
        handle_line: LineHandler,
    ) -> None:
        self._arguments = arguments
        self._environ = environ
        self._handle_line = handle_line
        self._process: Process | None = None
        # Two faults may start it concurrently; without the lock, one of the
        # two processes would be left behind.
        self._start_lock = asyncio.Lock()
        self._reader: asyncio.Task[None] | None = None

    @property
    def running(self) -> bool:
        """Whether the process exists, suspended or not."""
        return self._process is not None and self._process.returncode is None

    @property
    def core_seconds(self) -> float:
        """Processor seconds that the process has used; 0 if it has ended."""
        if self._process is None:
            return 0
        path = Path('/proc') / str(self._process.pid) / 'schedstat'
        try:
            text = path.read_text()
        except (FileNotFoundError, ProcessLookupError):
            return 0
        # Nanoseconds on a processor come first.
        return int(text.split()[0]) / NANOSECONDS

    async def start(self) -> None:
        """Start the process unless it is running, and read its output."""
        async with self._start_lock:
            if not self.running:
                await self._start()

    async def _start(self) -> None:
        """Start the process, and read its output."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self._arguments,
            cwd=ROOT,
            env={**os.environ, 'PYTHONPATH': '.', **self._environ},
            stdout=PIPE,
            stderr=DEVNULL,
            limit=2**20,
        )
        self._reader = asyncio.create_task(self._read_lines(self._process))

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self.running:
            self._process.send_signal(number)

    async def wait_ended(self) -> None:
        """Wait until the process has exited; kill it after a timeout."""
        if self._process is None or self._reader is None:
            return
        try:
            async with asyncio.timeout(EXIT_TIMEOUT):
                await self._process.wait()
        except TimeoutError:
            await self.kill()
        await self._reader

    async def kill(self) -> None:
        """Kill the process, suspended or not, and wait for its exit."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def _read_lines(self, process: Process) -> None:
        """Pass each JSON line of the output on until the process exits."""
        if process.stdout is None:
            return
        while line := await process.stdout.readline():
            try:
                content = json.loads(line)
            except ValueError:
                continue
            self._handle_line(content)
