"""Hosts for tests of crowds: processes of their own, with low limits."""

import asyncio
import json
import os
import resource
from collections.abc import AsyncIterator, Iterator
from contextlib import (
    AsyncExitStack,
    asynccontextmanager,
    contextmanager,
)
from typing import Any, Final
from unittest.mock import patch

from aiohttp.web import Application, AppRunner, Request, Response, TCPSite
from experiments.deployment import (
    Rig,
    publish_host_list,
    start,
    workspace_key,
)
from experiments.large_bodies import start_host
from experiments.processes import LOOPBACK, Processes, RunningProcess
from fakes.opaque_worker import (
    OpaqueWorker,
    ReceivedRequest,
    Script,
    plain,
    stream,
)
from fakes.ports import reserve_port
from fakes.row_store import RowStore

from nutmegroad.foundations.types import Address
from tests.crowded_host import ANSWER_BYTES, CrowdedHost, HostLimits

#: Bytes of each event of a long stream.
EVENT_BYTES: Final = 65_536

#: Largest body that both programs take by default.
BODY_BYTES: Final = 4_000_000

_CALLER_HOST: Final = 'router.example'
_SERVICE: Final = 'licence-portal'


@asynccontextmanager
async def relay_host(limits: HostLimits) -> AsyncIterator[CrowdedHost]:
    """Run the platform's program with a store and two workers."""
    async with AsyncExitStack() as stack:
        store = await _start_store(stack)
        port = reserve_port()
        process = await start_host(
            stack,
            store,
            port,
            f'limits.memoryMb={limits.memory_mb}\n'
            f'limits.fileDescriptors={limits.descriptors}\n',
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
        first = running.hosts[0]
        # The stand-ins of the service have no long answers.
        address = Address(LOOPBACK, await _start_service(stack))
        running.services = {
            first.name.replace('host', 'service'): RunningProcess(
                'service', first.process, {'main': address}
            )
        }
        await publish_host_list(running, rig)
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
