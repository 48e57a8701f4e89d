"""What is observed of a host that crowds of callers are connected to."""

import asyncio
import os
import re
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from experiments.processes import LOOPBACK

#: Seconds within which an ordinary request has to be served at last, and
#: between its attempts.
ANSWER_SECONDS: Final = 60
RETRY_INTERVAL: Final = 0.5

#: Seconds in which a process whose memory is settled needs no more, and after
#: which it is not waited for any longer.
SETTLED_SECONDS: Final = 2
SETTLING_SECONDS: Final = 30

#: Seconds between two counts of the descriptors of a process.
COUNT_INTERVAL: Final = 0.05

#: Bytes of a long answer.
ANSWER_BYTES: Final = 4_194_304

_PEAK: Final = re.compile(r'VmHWM:\s+(\d+) kB')
_RESIDENT: Final = re.compile(r'VmRSS:\s+(\d+) kB')
_CONNECTIONS: Final = Path('/proc/net/tcp')
_LENGTH: Final = re.compile(rb'content-length: (\d+)', re.IGNORECASE)
_KB_PER_MB: Final = 1024
_SERVED: Final = 200


@dataclass(frozen=True, slots=True)
class HostLimits:
    """Limits of a host.

    Attributes:
        memory_mb: Memory of its machine in MB.
        descriptors: Number of file descriptors.
    """

    memory_mb: int
    descriptors: int


@dataclass(slots=True)
class CrowdedHost:
    """A running host, and what is observed of it.

    Attributes:
        port: Port for callers.
        process: The process.
        ordinary: An ordinary request.
        long_answer: A request with a long answer.
        stream: A request with a long stream; empty if there is none.
        body_start: A request with a body, up to the fields of its framing.
        field_bytes: Largest header field that the program's parser takes.
        peak_descriptors: Most descriptors that it was seen to have.
        peak_sum_mb: Most memory in MB that was seen of the process and of the
            kernel's queues for its callers, taken together.
    """

    port: int
    process: asyncio.subprocess.Process
    ordinary: bytes
    long_answer: bytes
    stream: bytes
    body_start: bytes
    field_bytes: int
    peak_descriptors: int = 0
    peak_sum_mb: float = 0

    @property
    def is_alive(self) -> bool:
        """Whether the process runs."""
        return self.process.returncode is None

    @property
    def peak_mb(self) -> float:
        """Peak of the memory in MB that its machine needs for the host.

        Bytes in the kernel's queues count: those that a caller has sent and the
        host has not read, and those that a caller has not taken.
        """
        return max(self.peak_sum_mb, self._read_memory(_PEAK))

    @contextmanager
    def observed(self) -> Iterator[None]:
        """Record the peaks of the host during a block."""
        watching = asyncio.create_task(self._watch())
        try:
            yield
        finally:
            watching.cancel()

    async def settle(self) -> None:
        """Wait until the process needs no more memory than before."""
        with suppress(TimeoutError, OSError):
            async with asyncio.timeout(SETTLING_SECONDS):
                before = 0.0
                while self.peak_mb > before:
                    before = self.peak_mb
                    await asyncio.sleep(SETTLED_SECONDS)

    async def ask(self) -> int:
        """Send an ordinary request again and again until it is served.

        Returns:
            The last status; 0 if there was no answer.
        """
        status = 0
        with suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_SECONDS):
                while status != _SERVED:
                    status = await self._ask_once()
                    await asyncio.sleep(RETRY_INTERVAL)
        return status

    async def wait_for_long_answers(self) -> None:
        """Wait until the host uses the upstream that gives long answers."""
        async with asyncio.timeout(ANSWER_SECONDS):
            while await self._long_answer_size() < ANSWER_BYTES:
                await asyncio.sleep(RETRY_INTERVAL)

    async def _long_answer_size(self) -> int:
        """Return the length that is announced for a long answer."""
        reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
        writer.write(self.long_answer)
        head = await reader.readuntil(b'\r\n\r\n')
        writer.close()
        found = _LENGTH.search(head)
        return int(found[1]) if found else 0

    async def _ask_once(self) -> int:
        """Send an ordinary request, and return its status; 0 for none."""
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
        except OSError:
            return 0
        try:
            writer.write(self.ordinary)
            line = await reader.readline()
        except OSError:
            return 0
        finally:
            writer.close()
        parts = line.split()
        return int(parts[1]) if len(parts) > 1 else 0

    async def _watch(self) -> None:
        """Record the peaks of the host, until cancelled."""
        while True:
            # The process may have ended.
            with suppress(OSError):
                self._look()
            await asyncio.sleep(COUNT_INTERVAL)

    def _look(self) -> None:
        """Record what the host has at present, if it is more than before."""
        count = len(os.listdir(f'/proc/{self.process.pid}/fd'))
        self.peak_descriptors = max(self.peak_descriptors, count)
        total = self._read_memory(_RESIDENT) + queued_mb(self.port)
        self.peak_sum_mb = max(self.peak_sum_mb, total)

    def _read_memory(self, field: re.Pattern[str]) -> float:
        """Return a field of the memory of the process in MB."""
        status = Path(f'/proc/{self.process.pid}/status').read_text()
        found = field.search(status)
        return int(found[1]) / _KB_PER_MB if found else 0


def queued_mb(port: int) -> float:
    """Return the MB that the kernel has queued on a port's connections.

    Both queues of the port's side count: what was sent and not acknowledged,
    and what was received and not read.
    """
    suffix = f':{port:04X}'
    total = 0
    for line in _CONNECTIONS.read_text().splitlines()[1:]:
        columns = line.split()
        if columns[1].endswith(suffix):
            sent, _, received = columns[4].partition(':')
            total += int(sent, 16) + int(received, 16)
    return total / (_KB_PER_MB * _KB_PER_MB)
