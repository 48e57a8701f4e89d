"""Stand-ins and processes that the review's scripts share.

The platform's store is the project's own stand-in (``fakes.row_store``). The
workers are small servers written here. Entry hosts are started with the command
of ``deploy/system.toml``, each on a loopback address of its own.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from aiohttp import web
from fakes.row_store import RowStore

ROOT = pathlib.Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

HELD, BROKEN, NOT_RUN = 0, 1, 2

#: Bounds of the small deployments on the users' pages.
BOUNDS = {
    'contactMs': 3000, 'ackMs': 4000, 'drainMs': 2000, 'graceS': 8,
    'lossSlackMs': 200, 'configApplyMs': 2000, 'rollbackSlackMs': 250,
    'maxSkewMs': 5000, 'failClosed': 'true', 'revokeMs': 5000,
    'retryBudgetRatio': 0.9, 'budgetWindowS': 10, 'budgetSlack': 56,
    'exposeShare': 0.15, 'exposeSlack': 30, 'rollbackMs': 5000,
    'recoverS': 12, 'passMs': 120, 'againS': 10, 'sessionS': 5,
}


class Record:
    """Writes record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._begun = time.monotonic()

    def __call__(self, text: str) -> None:
        print(f'{time.monotonic() - self._begun:8.3f} s  {text}', file=self._file, flush=True)


#: Addresses of entry hosts, and ports below those that the kernel gives out.
ADDRESSES = ('127.0.0.1', '127.0.0.2', '127.0.0.3', '127.0.0.4', '127.0.0.5')
PORTS = range(15000, 30000)


def free_ports(count: int) -> list[int]:
    """Return ports that are free on all addresses, for TCP and UDP."""
    found: list[int] = []
    while len(found) < count:
        port = random.choice(PORTS)
        if port not in found and all(map(is_free, ADDRESSES, [port] * len(ADDRESSES))):
            found.append(port)
    return found


def is_free(ip: str, port: int) -> bool:
    """Return whether a port of an address can be bound."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True


@dataclass
class HttpRequest:
    """A request as a worker has read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        return self.headers.get('nutmegroad-request-id', '')


async def read_request(reader: asyncio.StreamReader) -> HttpRequest | None:
    """Read one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ', 2)
    headers = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return HttpRequest(method, target, headers, body)


Answer = Callable[['Worker', HttpRequest, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class Worker:
    """A worker that hands each request to a function, and keeps connections."""

    name: str
    service: str
    answer: Answer
    ip: str = '127.0.0.1'
    version: str = 'v1'
    slots: int = 6
    zone: str = 'zone-a'
    port: int = 0
    runs: list[tuple[float, HttpRequest]] = field(default_factory=list)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, self.ip, self.port, limit=2**20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                expected = request.headers.get('nutmegroad-expect-instance')
                if expected not in (None, self.name):
                    head = f'HTTP/1.1 421 Misdirected\r\nNutmegroad-Request-Id: {request.request_id}\r\n'
                    writer.write(f'{head}Nutmegroad-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'.encode())
                    continue
                self.runs.append((time.monotonic(), request))
                await self.answer(self, request, writer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def head(self, request: HttpRequest, status: str = '200 OK') -> str:
        """Return the head of a signed answer, without its framing."""
        return (
            f'HTTP/1.1 {status}\r\nNutmegroad-Request-Id: {request.request_id}\r\n'
            f'Nutmegroad-Response-Signature: {self.name}.{request.request_id}\r\n'
        )

    def entry(self, state: str = 'ready') -> dict[str, object]:
        return {
            'service': self.service, 'address': f'{self.ip}:{self.port}', 'zone': self.zone,
            'version': self.version, 'slots': self.slots, 'state': state,
            'coldRemainingMs': 0, 'sequence': 1,
        }


class Deployment:
    """The store, the workers and the entry hosts of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder)
        self.store = RowStore()
        self.store_port = 0
        self.hosts: dict[str, Host] = {}
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self._runner: web.AppRunner | None = None
        self._ports = free_ports(4)

    async def __aenter__(self) -> 'Deployment':
        self._runner = web.AppRunner(self.store.app(), handler_cancellation=True, shutdown_timeout=0.1)
        await self._runner.setup()
        self.store_port = free_ports(1)[0]
        await web.TCPSite(self._runner, '127.0.0.1', self.store_port).start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for host in self.hosts.values():
            if host.process is not None and host.process.returncode is not None:
                self.record(f'{host.name} had ended by itself: {host.log.read_text()[-500:]!r}')
            await host.kill()
        if self._runner is not None:
            await self._runner.cleanup()
        shutil.rmtree(self.temporary, ignore_errors=True)

    def configure(self, version: int, routes: list[dict], services: list[dict], **more: object) -> None:
        """Write a configuration, as the operator does."""
        document = {
            'version': version, 'routes': routes, 'services': services,
            'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                       'headerTimeoutMs': 5000, 'idleTimeoutMs': 30000},
            **more,
        }
        self.store.put('op', 'config', json.dumps(document).encode())
        self.record(f'operator: configuration {version} acknowledged')

    def list_worker(self, worker: Worker, state: str = 'ready') -> None:
        """Write a worker's entry, as it does itself."""
        self.store.put('servers', worker.name, json.dumps(worker.entry(state)).encode())
        self.record(f'worker {worker.name} ({worker.service}) is {state}')

    async def start_host(self, name: str, ip: str = '127.0.0.1', *, store: str = '',
                         first: bool = False, zone: str = 'zone-a') -> 'Host':
        """Start an entry host with the command of the deploy file."""
        host = self.hosts.get(name)
        if host is None:
            host = Host(self, name, ip, zone, store or f'127.0.0.1:{self.store_port}')
            self.hosts[name] = host
        await host.start(first=first)
        return host


class Host:
    """An entry host: a process of the program."""

    def __init__(self, deployment: Deployment, name: str, ip: str, zone: str, store: str) -> None:
        self.name, self.ip, self.zone, self.store = name, ip, zone, store
        self.front, self.ready_port, self.control, self.internal = deployment._ports[:4]
        self.settings = deployment.temporary / f'{name}.conf'
        self.log = deployment.temporary / f'{name}.log'
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self, *, first: bool = False, **bounds: object) -> None:
        """Write the settings file with the fields of DEPLOY.md."""
        lines = [
            f'nodeName={self.name}', 'role=entry', 'machineClass=front', 'serves=front',
            f'ip={self.ip}', f'zone={self.zone}', 'region=region-a', 'zones.zone-a=region-a',
            'zones.zone-b=region-a', f'listen.front={self.ip}:{self.front}',
            f'listen.ready={self.ip}:{self.ready_port}', f'listen.control={self.ip}:{self.control}',
            f'internalPorts={self.internal},{self.internal}', 'seeds=',
            f'bootstrap={str(first).lower()}', 'toleranceCounted=false', 'limits.cpuShare=0.537',
            'limits.cores=2', 'limits.memoryMb=300', 'limits.fileDescriptors=4100',
            'limits.linkMbps=1000.0', 'limits.diskMb=0', 'discovery=platform', 'entry=vip',
            'heartbeatMs=1200', 'faultTolerance.machines=2', 'faultTolerance.zones=1',
            'contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,rollout',
            f'platform.address={self.store}', 'platform.form=table', 'platform.writesPerS=400',
            'platform.readsPerS=2000', 'platform.txMs=5.0', 'platform.partWritesPerS=200',
            'platform.rowBytes=65536', 'platform.across=false', 'platform.historyS=20',
        ]
        lines += [f'bounds.{key}={value}' for key, value in {**BOUNDS, **bounds}.items()]
        self.settings.write_text('\n'.join(lines) + '\n')

    async def start(self, *, first: bool = False) -> None:
        self.write_settings(first=first)
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        environ = {key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ}
        environ['NUTMEGROAD_BOOT'] = str(self.settings)
        environ['PYTHONPATH'] = str(ROOT / 'target/deps')
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy['roles']['entry']['run'].split(), cwd=ROOT, env=environ,
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Ask as the platform's balancer does."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
            writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line

    async def wait_ready(self, seconds: float = 15) -> bool:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


@dataclass
class HttpAnswer:
    """An answer as a client has read it."""

    status: int
    headers: dict[str, str]
    body: bytes


async def read_answer(reader: asyncio.StreamReader) -> HttpAnswer | None:
    """Read one answer with a length or in chunks; None if it ends early."""
    try:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        lines = head.split('\r\n')
        status = int(lines[0].split(' ', 2)[1])
        headers = {}
        for line in lines[1:]:
            name, colon, text = line.partition(':')
            if colon:
                headers[name.strip().lower()] = text.strip()
        if headers.get('transfer-encoding', '').lower() == 'chunked':
            body = b''
            while True:
                size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    return HttpAnswer(status, headers, body)
        return HttpAnswer(status, headers, await reader.readexactly(int(headers.get('content-length', 0))))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def request_bytes(method: str, path: str, host: str, request_id: str, deadline_ms: int,
                  body: bytes = b'', **headers: str) -> bytes:
    """Return a client's request."""
    lines = [
        f'{method} {path} HTTP/1.1', f'Host: {host}', f'Nutmegroad-Request-Id: {request_id}',
        f'Nutmegroad-Deadline-Ms: {deadline_ms}',
        *(f'{name.replace("_", "-")}: {text}' for name, text in headers.items()),
    ]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


def new_id() -> str:
    return f'{random.getrandbits(64):016x}'


def main(folder: str, case: Callable[[Deployment], Awaitable[int]], limit: float = 110) -> None:
    """Run a case and exit with its status."""

    async def run() -> int:
        async with Deployment(pathlib.Path(folder)) as deployment:
            try:
                return await asyncio.wait_for(case(deployment), limit)
            except Exception as problem:  # The case could not run.
                deployment.record(f'not run: {problem!r}')
                return NOT_RUN

    sys.exit(asyncio.run(run()))
