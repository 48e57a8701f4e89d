"""Processes of the soak: started, signalled and ended by their own ids."""

import asyncio
import json
import os
import signal
import sys
from asyncio.subprocess import DEVNULL, PIPE, Process
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

ROOT: Final = Path(__file__).resolve().parents[2]

#: Seconds that a process may take to end after it was told to.
END_LIMIT: Final = 20

#: What is told of a line that a process has written.
Tell = Callable[[dict[str, Any]], None]


class SoakProcess:
    """A program that can be started again and again.

    Args:
        words: The command line behind the interpreter.
        environ: Variables besides the path of our sources.
        tell: Told of each JSON line that it writes.
    """

    def __init__(
        self,
        words: tuple[str, ...],
        environ: dict[str, str],
        tell: Tell,
    ) -> None:
        self._words = words
        self._environ = environ
        self._tell = tell
        self._process: Process | None = None
        # Two faults may start it at one moment; one of the two would be lost.
        self._starting = asyncio.Lock()
        self._reader: asyncio.Task[None] | None = None

    @property
    def running(self) -> bool:
        """Tell whether the process runs, paused or not."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start it unless it runs, and follow what it writes."""
        async with self._starting:
            if not self.running:
                await self._start()

    async def _start(self) -> None:
        """Start it, and follow what it writes."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self._words,
            cwd=ROOT,
            env={**os.environ, 'PYTHONPATH': '.', **self._environ},
            stdout=PIPE,
            stderr=DEVNULL,
            limit=2**20,
        )
        self._reader = asyncio.create_task(self._follow(self._process))

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if it runs."""
        if self._process is not None and self.running:
            self._process.send_signal(number)

    async def ended(self) -> None:
        """Wait until it has ended; kill it if it does not."""
        if self._process is None or self._reader is None:
            return
        try:
            async with asyncio.timeout(END_LIMIT):
                await self._process.wait()
        except TimeoutError:
            await self.kill()
        await self._reader

    async def kill(self) -> None:
        """Kill it, paused or not, and wait for its end."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def _follow(self, process: Process) -> None:
        """Tell of each line until the process ends."""
        if process.stdout is None:
            return
        while line := await process.stdout.readline():
            try:
                found = json.loads(line)
            except ValueError:
                continue
            self._tell(found)
