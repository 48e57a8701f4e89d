"""Hosts for tests of crowds: processes of their own, with low limits."""

import asyncio
import json
import os
import re
import resource
import sys
import tempfile
from collections.abc import AsyncIterator, Iterator
from contextlib import (
    AsyncExitStack,
    asynccontextmanager,
    contextmanager,
    suppress,
)
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final
from unittest.mock import patch

from aiohttp import ClientSession
from aiohttp.web import Application, AppRunner, Request, Response, TCPSite
from experiments.deployment import (
    Deployment,
    Rig,
    start,
    workspace_key,
)
from experiments.fleet_soak.settings import SETTINGS, site_packages
from experiments.processes import LOOPBACK, Processes
from fakes.opaque_worker import (
    OpaqueWorker,
    ReceivedRequest,
    Script,
    plain,
    stream,
)
from fakes.ports import reserve_port
from fakes.row_store import RowStore

ROOT: Final = Path(__file__).resolve().parent.parent

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

#: Bytes of a long answer, and of each of its events if it is a stream.
ANSWER_BYTES: Final = 4_194_304
EVENT_BYTES: Final = 65_536

#: Largest body that both programs take by default.
BODY_BYTES: Final = 4_000_000

_CALLER_HOST: Final = 'router.example'
_PEAK: Final = re.compile(r'VmHWM:\s+(\d+) kB')
_RESIDENT: Final = re.compile(r'VmRSS:\s+(\d+) kB')
_CONNECTIONS: Final = Path('/proc/net/tcp')
_LENGTH: Final = re.compile(rb'content-length: (\d+)', re.IGNORECASE)
_KB_PER_MB: Final = 1024
_SERVED: Final = 200
_SERVICE: Final = 'licence-portal'


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


@asynccontextmanager
async def relay_host(limits: HostLimits) -> AsyncIterator[CrowdedHost]:
    """Run the platform's program with a store and two workers."""
    async with AsyncExitStack() as stack:
        store = await _start_store(stack)
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        path = Path(folder) / 'settings.conf'
        port = reserve_port()
        settings = SETTINGS.format(
            name='host-1',
            domain='north',
            ip=LOOPBACK,
            callers=f'{LOOPBACK}:{port}',
            ready=f'{LOOPBACK}:{reserve_port()}',
            inside=f'{reserve_port()},{reserve_port()}',
            store=f'{LOOPBACK}:{store}',
        )
        path.write_text(
            f'{settings}limits.memoryMb={limits.memory_mb}\n'
            f'limits.fileDescriptors={limits.descriptors}\n'
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-S',
            str(ROOT / 'platform' / 'start.py'),
            cwd=ROOT,
            env={'NUTMEGROAD_BOOT': str(path), 'PYTHONPATH': site_packages()},
            stdout=asyncio.subprocess.DEVNULL,
        )
        stack.push_async_callback(_kill, process)
        host = CrowdedHost(
            port,
            process,
            ordinary=_relay_start('look') + b'\r\n',
            long_answer=_relay_start('long') + b'\r\n',
            stream=_relay_start('draft') + b'\r\n',
            body_start=_relay_start('look'),
            field_bytes=32_000,
        )
        await host.ask()
        yield host


@asynccontextmanager
async def daemon_host(limits: HostLimits) -> AsyncIterator[CrowdedHost]:
    """Run the daemon with a platform and a plain service."""
    async with AsyncExitStack() as stack:
        processes = await stack.enter_async_context(Processes())
        memory = {'NUTMEGROAD_MEMORY_MB': str(limits.memory_mb)}
        rig = Rig('lesen', engines=(), hosts=1)
        with patch.dict(os.environ, memory), _few_descriptors(limits):
            running = await start(processes, rig)
        await _publish_service(running, await _start_service(stack))
        first = running.hosts[0]
        host = CrowdedHost(
            first.listening['callers'].port,
            first.process,
            ordinary=_daemon_start('GET', 'status/1') + b'\r\n',
            long_answer=_daemon_start('GET', 'status/long') + b'\r\n',
            stream=b'',
            body_start=_daemon_start('POST', 'receipts'),
            field_bytes=8_000,
        )
        await host.wait_for_long_answers()
        yield host


def _relay_start(route: str) -> bytes:
    """Return the beginning of a request's head on a route."""
    return (
        f'POST /{route}/1 HTTP/1.1\r\nHost: {_CALLER_HOST}\r\n'
        f'Nutmegroad-Request-Id: {route}\r\n'
        'Nutmegroad-Deadline-Ms: 25000\r\n'
    ).encode()


def _daemon_start(method: str, path: str) -> bytes:
    """Return the beginning of the head of a call to the plain service."""
    return (
        f'{method} /v1/services/{_SERVICE}/{path} HTTP/1.1\r\nHost: h\r\n'
        f'Authorization: Bearer {workspace_key("head-office")}\r\n'
    ).encode()


async def _start_store(stack: AsyncExitStack) -> int:
    """Start a store with a configuration and two workers; return its port."""
    store = RowStore()
    port = await _serve(stack, store.app())
    document = {
        'version': 1,
        'routes': [
            _route('look', 'idempotent'),
            _route('long', 'idempotent'),
            _route('draft', 'streaming'),
        ],
        'services': [{'name': 'desk'}],
        'limits': {
            'maxBodyBytes': BODY_BYTES,
            'maxHeaderBytes': 16_384,
            'headerTimeoutMs': 5_000,
            'idleTimeoutMs': 30_000,
        },
    }
    store.put('op', 'config', json.dumps(document).encode())
    for number in range(2):
        worker = OpaqueWorker(default_script=_answer)
        await worker.start()
        stack.push_async_callback(worker.stop)
        entry = {
            'service': 'desk',
            'address': f'{LOOPBACK}:{worker.port}',
            'zone': 'north',
            'version': 'v1',
            'slots': 1000,
            'state': 'ready',
        }
        store.put('servers', f'w-{number}', json.dumps(entry).encode())
    return port


def _route(name: str, kind: str) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': _CALLER_HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'service': 'desk',
        'timeoutMs': 25_000,
        'targetLatencyMs': 1_000,
        'priority': 0,
        'maxAttempts': 2,
        'allowAnonymous': True,
    }


def _answer(request: ReceivedRequest) -> Script:
    """Answer as the request's route asks for."""
    if request.request_id == 'long':
        return plain(b'x' * ANSWER_BYTES)(request)
    if request.request_id == 'draft':
        return _long_stream(request)
    return plain(b'fine')(request)


def _long_stream(request: ReceivedRequest) -> Script:
    """Return a stream of long events."""
    text = b'x' * EVENT_BYTES
    events = (
        b'id: %d\ndata: %b\n\n' % (number, text)
        for number in range(1, ANSWER_BYTES // EVENT_BYTES + 1)
    )
    return stream(tuple(events))(request)


async def _start_service(stack: AsyncExitStack) -> int:
    """Start a plain service with a long answer; return its port."""
    app = Application(client_max_size=2 * BODY_BYTES)
    app.router.add_route('*', '/{path:.*}', _answer_call)
    return await _serve(stack, app)


async def _answer_call(request: Request) -> Response:
    """Answer a call, at length if its path asks for that."""
    await request.read()
    is_long = request.path.endswith('/long')
    return Response(body=b'x' * ANSWER_BYTES if is_long else b'fine')


async def _serve(stack: AsyncExitStack, app: Application) -> int:
    """Serve an application until the stack closes; return its port."""
    runner = AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    port = reserve_port()
    await TCPSite(runner, LOOPBACK, port).start()
    return port


async def _publish_service(running: Deployment, port: int) -> None:
    """Add a plain service to the platform's list."""
    address = running.platform.listening['main']
    hosts = [
        {
            'host': host.name,
            'domain': host.name.rpartition('-host-')[0],
            'ip': LOOPBACK,
            'port': host.listening['peers'].port,
            'presence': 'live',
        }
        for host in running.hosts
    ]
    upstream = {
        'upstream': 'service-0',
        'domain': hosts[0]['domain'],
        'kind': 'service',
        'ip': LOOPBACK,
        'port': port,
        'presence': 'live',
        'service': _SERVICE,
    }
    async with (
        ClientSession() as session,
        session.post(
            f'http://{address}/hosts',
            json={'hosts': hosts, 'upstreams': [upstream]},
        ) as response,
    ):
        response.raise_for_status()


@contextmanager
def _few_descriptors(limits: HostLimits) -> Iterator[None]:
    """Let processes that are started in a block have few descriptors."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limits.descriptors, before[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)


async def _kill(process: asyncio.subprocess.Process) -> None:
    """End a process, unless it has ended."""
    if process.returncode is None:
        process.kill()
    await process.wait()
