"""Starts the processes of a deployment on loopback, and stops them all.

Only demos, tests and measurements use this; the daemon itself starts no
process.
"""

import asyncio
import os
import signal
import sys
from asyncio.subprocess import DEVNULL, PIPE, Process
from contextlib import AsyncExitStack, ExitStack
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import BinaryIO, Final, Self

from nutmegroad.foundations.types import Address

#: Seconds that a process may take to print each line of its addresses.
START_TIMEOUT: Final = 90
#: Seconds that a process may take to exit after SIGTERM, before SIGKILL.
STOP_TIMEOUT: Final = 20

LOOPBACK: Final = '127.0.0.1'


@dataclass(frozen=True, slots=True)
class RunningProcess:
    """A process that has printed its addresses.

    Attributes:
        name: Name of the process in reports and of its log file.
        process: The process.
        listening: Its addresses, by the name of the listener.
    """

    name: str
    process: Process
    listening: dict[str, Address]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has exited."""
        if self.process.returncode is None:
            self.process.send_signal(number)


def parse_address(text: str) -> Address:
    """Parse an address of the form ``IP:PORT``."""
    ip, _, port = text.strip().rpartition(':')
    return Address(ip, int(port))


class Processes:
    """Owns the processes of one deployment; stops them when it is closed.

    Args:
        logs: Folder for log files with the standard error of each process;
            None to discard it. With ``NUTMEGROAD_SHOW_LOGS`` set, it goes to
            the standard error of this process instead.
    """

    def __init__(self, logs: Path | None = None) -> None:
        self._logs = logs
        self._stack = AsyncExitStack()
        self._exit_codes: dict[str, int] = {}

    async def __aenter__(self) -> Self:
        """Return this object; no process runs yet."""
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop all processes, the newest first."""
        await self._stack.aclose()

    @property
    def exit_codes(self) -> dict[str, int]:
        """Exit codes of the processes that were stopped, by name."""
        return dict(self._exit_codes)

    async def start_fake(
        self, name: str, module: str, *args: str
    ) -> RunningProcess:
        """Start a stand-in, and wait for its line ``listening IP:PORT``.

        Args:
            name: Name of the process.
            module: The stand-in's module, run with ``python -m``.
            args: Command-line arguments.
        """
        process = await self._spawn(name, module, args, {})
        line = await self._read_line(process, name)
        address = parse_address(line.removeprefix('listening'))
        return self._register(RunningProcess(name, process, {'main': address}))

    async def start_host(
        self,
        name: str,
        args: tuple[str, ...],
        environ: dict[str, str],
    ) -> RunningProcess:
        """Start a host's daemon, and wait for its line ``ready``.

        Before that, it prints a line ``listening NAME IP:PORT`` for each of
        its listeners.

        Args:
            name: Name of the process.
            args: Command-line arguments.
            environ: Environment variables, beside those of this process.
        """
        process = await self._spawn(
            name,
            'nutmegroad.daemon',
            args,
            environ,
        )
        listening: dict[str, Address] = {}
        while True:
            line = await self._read_line(process, name)
            if line == 'ready':
                return self._register(RunningProcess(name, process, listening))
            _, listener, address = line.split()
            listening[listener] = parse_address(address)

    async def stop(self, running: RunningProcess) -> int:
        """Stop a process by SIGTERM, or by SIGKILL after the timeout.

        Returns:
            Its exit code; negative if a signal killed it.
        """
        running.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT):
                await running.process.wait()
        except TimeoutError:
            running.signal(signal.SIGKILL)
            await running.process.wait()
        code = running.process.returncode or 0
        self._exit_codes.setdefault(running.name, code)
        return code

    async def _spawn(
        self,
        name: str,
        module: str,
        args: tuple[str, ...],
        environ: dict[str, str],
    ) -> Process:
        """Run a Python module as a process."""
        with ExitStack() as opened:
            errors: BinaryIO | int | None = DEVNULL
            if os.environ.get('NUTMEGROAD_SHOW_LOGS'):
                errors = None
            elif self._logs is not None:
                log = self._logs / f'{name}.log'
                errors = opened.enter_context(log.open('ab'))
            return await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                module,
                *args,
                stdout=PIPE,
                stderr=errors,
                env={**os.environ, **environ},
            )

    async def _read_line(self, process: Process, name: str) -> str:
        """Return the next line of a process's standard output.

        Raises:
            RuntimeError: If the process closes its output instead.
            TimeoutError: If it prints no line within the timeout.
        """
        if process.stdout is None:
            raise RuntimeError(name)
        async with asyncio.timeout(START_TIMEOUT):
            line = await process.stdout.readline()
        if not line:
            message = f'The process {name} exited before it was ready.'
            raise RuntimeError(message)
        return line.decode().strip()

    def _register(self, running: RunningProcess) -> RunningProcess:
        """Register a process to be stopped on closing; return it."""
        self._stack.push_async_callback(self.stop, running)
        return running
