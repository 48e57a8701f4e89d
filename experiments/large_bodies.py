"""Measures a host's memory while callers send large bodies slowly.

Run ``python -m experiments.large_bodies 10 40 80 200``. For each number of
callers, a host is started as the deploy file does, with the memory limit of
small hosts. Each caller sends one body over some seconds; short requests go on
beside them. A caller that is refused returns after the time that it was given.
"""

import argparse
import asyncio
import json
import re
import sys
import tempfile
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

from aiohttp.web import AppRunner, TCPSite
from fakes.opaque_worker import (
    OpaqueWorker,
    ReceivedRequest,
    Script,
    plain,
)
from fakes.ports import reserve_port
from fakes.row_store import RowStore

from experiments.fleet_soak.settings import SETTINGS, site_packages

ROOT: Final = Path(__file__).resolve().parent.parent
MEMORY_MB: Final = 300
BODY_BYTES: Final = 4_194_304
#: A caller sends so many bytes at a time, with so many seconds between.
PIECE_BYTES: Final = 65_536
PIECE_PAUSE: Final = 0.09
#: Seconds between short requests, and number of them.
SHORT_PAUSE: Final = 0.05
SHORT_COUNT: Final = 160
SHORT_BYTES: Final = 20
#: Seconds that a caller waits for its answer.
PATIENCE: Final = 25.0
KB_PER_MB: Final = 1024
#: Maximum number of times that a caller returns.
MAX_RETURNS: Final = 1

_HOST: Final = 'router.example'
_OK: Final = 200
_UNAVAILABLE: Final = 503
_RETRY_AFTER: Final = re.compile(rb'retry-after: ([0-9.]+)', re.IGNORECASE)
_LENGTH: Final = re.compile(rb'content-length: ([0-9]+)', re.IGNORECASE)
_PEAK: Final = re.compile(r'VmHWM:\s+(\d+) kB')


@dataclass
class Tally:
    """What callers got.

    Attributes:
        served: Number of callers that were served at once.
        returned: Number of callers that were served when they came back.
        refused: Number of refusals.
        failed: Number of callers that got no answer at all.
        slowest: Longest time in seconds until a refusal.
        without_time: Refusals without a time to come back.
    """

    served: int = 0
    returned: int = 0
    refused: int = 0
    failed: int = 0
    slowest: float = 0
    without_time: int = 0


@dataclass
class Measurement:
    """The result for one number of callers.

    Attributes:
        callers: The number.
        large: What callers with large bodies got.
        short: What short requests got.
        peak_mb: Peak of the host's memory in MB; 0 if it ended by itself.
    """

    callers: int
    large: Tally = field(default_factory=Tally)
    short: Tally = field(default_factory=Tally)
    peak_mb: float = 0

    def row(self) -> str:
        """Return the measurement as a row of a table."""
        large, short = self.large, self.short
        return (
            f'| {self.callers} | {self.peak_mb:.0f} | {large.served} | '
            f'{large.returned} | {large.refused} | {large.slowest:.2f} | '
            f'{large.without_time} | {large.failed} | '
            f'{short.served} of {SHORT_COUNT} |'
        )


HEADINGS: Final = (
    '| callers | peak MB | large served | on return | refusals | slowest '
    'refusal, s | without a time | failed | short served |\n'
    '| --- | --- | --- | --- | --- | --- | --- | --- | --- |'
)


async def send(
    port: int, request: str, size: int, tally: Tally
) -> float | None:
    """Send one request, and return the seconds after which to return.

    Returns:
        None if the request is not to be repeated.
    """
    began = time.monotonic()
    try:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(
            f'POST /look/1 HTTP/1.1\r\nHost: {_HOST}\r\n'
            f'Nutmegroad-Request-Id: {request}\r\nContent-Length: {size}\r\n'
            f'Nutmegroad-Deadline-Ms: {int(PATIENCE * 1000)}\r\n\r\n'.encode()
        )
        answer = asyncio.create_task(reader.readuntil(b'\r\n\r\n'))
        left = size
        while left and not answer.done():
            writer.write(b'x' * min(PIECE_BYTES, left))
            await writer.drain()
            left -= min(PIECE_BYTES, left)
            await asyncio.wait((answer,), timeout=PIECE_PAUSE)
        head = await asyncio.wait_for(answer, PATIENCE)
        await read_slowly(reader, head)
        writer.close()
    except (OSError, EOFError, TimeoutError):
        tally.failed += 1
        return None
    status = int(head.split(b' ', 2)[1])
    if status == _OK:
        tally.served += 1
        return None
    if status != _UNAVAILABLE:
        tally.failed += 1
        return None
    tally.refused += 1
    tally.slowest = max(tally.slowest, time.monotonic() - began)
    found = _RETRY_AFTER.search(head)
    tally.without_time += found is None
    return float(found[1]) if found else 1.0


async def read_slowly(reader: asyncio.StreamReader, head: bytes) -> None:
    """Read the body of an answer as slowly as bodies are sent."""
    length = _LENGTH.search(head)
    left = int(length[1]) if length else 0
    while left > SHORT_BYTES:
        left -= len(await reader.readexactly(min(PIECE_BYTES, left)))
        await asyncio.sleep(PIECE_PAUSE)


async def call_large(port: int, number: int, size: int, tally: Tally) -> None:
    """Send a request with a large body or answer, again after a refusal."""
    pause = await send(port, f'large-{number}', size, tally)
    for attempt in range(MAX_RETURNS):
        if pause is None:
            return
        await asyncio.sleep(pause)
        before = tally.served
        pause = await send(port, f'large-{number}-{attempt}', BODY_BYTES, tally)
        if pause is None and tally.served > before:
            tally.served -= 1
            tally.returned += 1


async def call_short(port: int, tally: Tally) -> None:
    """Send short requests at a constant rate."""
    calls = []
    for number in range(SHORT_COUNT):
        calls.append(
            asyncio.create_task(
                send(port, f'short-{number}', SHORT_BYTES, tally)
            )
        )
        await asyncio.sleep(SHORT_PAUSE)
    await asyncio.gather(*calls)


def write_rows(store: RowStore, workers: list[OpaqueWorker]) -> None:
    """Write the configuration and the workers' entries."""
    route = {
        'name': 'look',
        'host': _HOST,
        'prefix': '/look/',
        'kind': 'idempotent',
        'service': 'desk',
        'timeoutMs': int(PATIENCE * 1000),
        'targetLatencyMs': 1000,
        'priority': 0,
        'maxAttempts': 2,
        'allowAnonymous': True,
    }
    limits = {'maxBodyBytes': BODY_BYTES, 'maxHeaderBytes': 16384}
    document = {
        'version': 1,
        'routes': [route],
        'services': [{'name': 'desk'}],
        'limits': limits,
    }
    store.put('op', 'config', json.dumps(document).encode())
    for number, worker in enumerate(workers):
        entry = {
            'service': 'desk',
            'address': f'127.0.0.1:{worker.port}',
            'zone': 'north',
            'version': 'v1',
            'slots': 64,
            'state': 'ready',
        }
        store.put('servers', f'w-{number}', json.dumps(entry).encode())


def peak_mb(process: int) -> float:
    """Return the peak of a process's resident memory in MB."""
    status = Path(f'/proc/{process}/status').read_text()
    peak = _PEAK.search(status)
    return int(peak[1]) / KB_PER_MB if peak else 0


async def wait_listening(port: int) -> None:
    """Wait until a port accepts connections."""
    while True:
        try:
            _, writer = await asyncio.open_connection('127.0.0.1', port)
        except OSError:
            await asyncio.sleep(0.05)
        else:
            writer.close()
            return


def answer(request: ReceivedRequest) -> Script:
    """Answer requests of the answers' run with a large body."""
    is_large = request.request_id.startswith('large') and (
        len(request.body) <= SHORT_BYTES
    )
    return plain(b'x' * BODY_BYTES if is_large else b'fine')(request)


async def start_store(stack: AsyncExitStack) -> int:
    """Start a store and workers until a stack closes; return its port."""
    store = RowStore()
    runner = AppRunner(store.app(), shutdown_timeout=0.1)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    port = reserve_port()
    await TCPSite(runner, '127.0.0.1', port).start()
    workers = [OpaqueWorker(default_script=answer) for _ in range(2)]
    for worker in workers:
        await worker.start()
        stack.push_async_callback(worker.stop)
    write_rows(store, workers)
    return port


async def start_host(
    stack: AsyncExitStack,
    store_port: int,
    port: int,
    limits: str = f'limits.memoryMb={MEMORY_MB}\n',
) -> asyncio.subprocess.Process:
    """Start a host, and wait until it takes requests.

    Args:
        stack: Owns the folder of its settings.
        store_port: Port of the store.
        port: Port for callers.
        limits: Further lines of its settings.
    """
    folder = stack.enter_context(tempfile.TemporaryDirectory())
    path = Path(folder) / 'settings.conf'
    settings = SETTINGS.format(
        name='host-1',
        domain='north',
        ip='127.0.0.1',
        callers=f'127.0.0.1:{port}',
        ready=f'127.0.0.1:{reserve_port()}',
        inside=f'{reserve_port()},{reserve_port()}',
        store=f'127.0.0.1:{store_port}',
    )
    path.write_text(f'{settings}{limits}')
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-S',
        str(ROOT / 'platform' / 'start.py'),
        cwd=ROOT,
        env={'NUTMEGROAD_BOOT': str(path), 'PYTHONPATH': site_packages()},
        stdout=asyncio.subprocess.DEVNULL,
    )
    await wait_listening(port)
    await asyncio.sleep(1)
    return process


async def measure(callers: int, size: int) -> Measurement:
    """Measure one number of callers with a new host.

    Args:
        callers: The number.
        size: Bytes of their bodies; few for callers with large answers.
    """
    found = Measurement(callers)
    async with AsyncExitStack() as stack:
        port = reserve_port()
        process = await start_host(stack, await start_store(stack), port)
        await asyncio.gather(
            call_short(port, found.short),
            *(
                call_large(port, each, size, found.large)
                for each in range(callers)
            ),
        )
        if process.returncode is None:
            found.peak_mb = peak_mb(process.pid)
            process.kill()
        await process.wait()
    return found


def main() -> None:
    """Measure each number of callers, and print a table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('callers', type=int, nargs='+')
    parser.add_argument(
        '--answers',
        action='store_true',
        help='large answers that are read slowly, in place of bodies',
    )
    arguments = parser.parse_args()
    size = SHORT_BYTES if arguments.answers else BODY_BYTES
    sys.stdout.write(f'{HEADINGS}\n')
    for callers in arguments.callers:
        found = asyncio.run(measure(callers, size))
        sys.stdout.write(f'{found.row()}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
