"""Relay hosts on loopback, with simulated platform services and workers."""

import json
from contextlib import AsyncExitStack
from typing import Any

from aiohttp import ClientSession
from aiohttp.web import AppRunner, TCPSite
from fakes.opaque_worker import OpaqueWorker
from fakes.ports import reserve_port
from fakes.row_store import RowStore

from nutmegroad.foundations.clocks import BootClock
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    HostId,
    RegionId,
)
from nutmegroad.relay.boundary import HostSettings, Platform
from nutmegroad.relay.budgets import RepeatLimit
from nutmegroad.relay.counters import RelayCounters
from nutmegroad.relay.host import RelayHost
from nutmegroad_platform.names import HEADERS, TABLES
from nutmegroad_platform.rows import RowCodec
from nutmegroad_platform.store import PlatformStore

HOST = 'router.example'
KEY = 'the-key'
REQUEST_ID = 'Nutmegroad-Request-Id'


def route(name: str, kind: str, **more: Any) -> dict[str, Any]:
    """Return a route in the operator's format."""
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': 5000,
        'targetLatencyMs': 1000,
        'priority': 0,
        'service': 'desk',
        'maxAttempts': 3,
        **more,
    }


def configuration(version: int = 1, **more: Any) -> dict[str, Any]:
    """Return a configuration in the operator's format."""
    return {
        'version': version,
        'routes': [
            route('look', 'idempotent'),
            route('pay', 'non_idempotent'),
            route('draft', 'streaming', streamResume=True, gapAimMs=1000),
            route('once', 'streaming', streamResume=False, gapAimMs=1000),
            route(
                'sized',
                'streaming',
                streamResume=True,
                sizes=['small', 'large'],
            ),
            route('open', 'idempotent', allowAnonymous=True),
        ],
        'services': [{'name': 'desk', 'maxConnections': 100}],
        'limits': {'maxBodyBytes': 1000},
        'tenants': [{'name': 'clerks', 'apiKeys': [KEY], 'priority': 1}],
        'fieldOfTheFuture': 7,
        **more,
    }


class Rig:
    """Relay hosts of one failure domain with a store and workers.

    Args:
        workers: Number of workers that register.
        key_validity: Seconds for which keys stay valid without a confirmation.
        hosts: Number of hosts; most tests use only the first.
        domains: Failure domains; the hosts are spread over them in turn.
        max_stall: Seconds for which a caller may take nothing of an answer.
    """

    def __init__(
        self,
        workers: int = 1,
        key_validity: float | None = 5,
        hosts: int = 1,
        domains: tuple[str, ...] = ('north',),
        max_stall: float = 30,
    ) -> None:
        self._max_stall = max_stall
        self.store = RowStore()
        self.workers = [OpaqueWorker() for _ in range(workers)]
        self._names = [f'w-{number}' for number in range(workers)]
        self.hosts: list[RelayHost] = []
        self._count = hosts
        self._domains = domains
        self._key_validity = key_validity
        #: The region of each failure domain.
        self.regions: dict[DomainId, RegionId] = {}
        self._stack = AsyncExitStack()

    @property
    def host(self) -> RelayHost:
        """The first host."""
        return self.hosts[0]

    @property
    def settings(self) -> HostSettings:
        """Settings of the first host."""
        return self._settings[0]

    @property
    def crashes(self) -> int:
        """Number of crashes of workers caused by a request."""
        return sum(worker.crashes for worker in self.workers)

    async def __aenter__(self) -> 'Rig':
        """Start the store and the workers, and create the hosts."""
        runner = AppRunner(
            self.store.app(),
            handler_cancellation=True,
            shutdown_timeout=0.1,
        )
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        port = reserve_port()
        await TCPSite(runner, '127.0.0.1', port).start()
        for number in range(len(self.workers)):
            await self._start_worker(number)
            self.register(number)
        self.client = await self._stack.enter_async_context(
            ClientSession(auto_decompress=False),
        )
        self._store_port = port
        self._settings = [
            self._make_settings(number) for number in range(self._count)
        ]
        for settings in self._settings:
            self.hosts.append(await self._make_host(settings))
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close everything."""
        for host in self.hosts:
            await host.close()
        await self._stack.aclose()

    def address_of(self, number: int) -> str:
        """Return the address under which a worker is listed."""
        return f'127.0.0.1:{self.workers[number].port}'

    def register(self, number: int, **more: Any) -> None:
        """Write a worker's entry into the list of upstreams."""
        entry = {
            'service': 'desk',
            'address': self.address_of(number),
            'zone': 'north',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            **more,
        }
        name = self._names[number]
        self.store.put('servers', name, json.dumps(entry).encode())

    def configure(self, version: int = 1, **more: Any) -> None:
        """Write a configuration into the store."""
        document = configuration(version, **more)
        self.store.put('op', 'config', json.dumps(document).encode())

    async def start(self) -> None:
        """Start the hosts, and wait until they are ready."""
        self.configure()
        for host in self.hosts:
            await host.start()
        await self.until(lambda: all(host.ready for host in self.hosts))

    async def add_host(self) -> int:
        """Start one more host, and return its index."""
        number = len(self.hosts)
        self._settings.append(self._make_settings(number))
        self.hosts.append(await self._make_host(self._settings[number]))
        await self.hosts[number].start()
        await self.until(lambda: self.hosts[number].ready)
        return number

    async def restart_worker(self, number: int) -> None:
        """Restart a terminated worker under another id."""
        self.store.remove('servers', self._names[number])
        self._names[number] = f'{self._names[number]}-again'
        await self.workers[number].start()
        self.register(number)

    async def _start_worker(self, number: int) -> None:
        """Start a worker for as long as the rig is open."""
        await self.workers[number].start()
        self._stack.push_async_callback(self.workers[number].stop)

    async def _make_host(self, settings: HostSettings) -> RelayHost:
        """Return a host that has not been started."""
        counters = RelayCounters()
        store = await self._stack.enter_async_context(
            PlatformStore(Address('127.0.0.1', self._store_port), counters),
        )
        rows = RowCodec()
        return RelayHost(
            settings,
            Platform(store, HEADERS, rows, rows, TABLES, counters),
            BootClock(),
        )

    def _make_settings(self, number: int) -> HostSettings:
        """Return the settings of a host."""
        return HostSettings(
            host=HostId(f'host-{number + 1}'),
            domain=DomainId(self._domains[number % len(self._domains)]),
            regions=self.regions,
            callers=Address('127.0.0.1', reserve_port()),
            peers=Address(f'127.0.1.{number + 1}', reserve_port()),
            ready=Address('127.0.0.1', reserve_port()),
            ready_path='/v1/ready',
            key_validity=self._key_validity,
            repeat_limit=RepeatLimit(ratio=0.9, window=10, constant=58),
            exposure=0.15,
            exposure_allowance=30,
            session_window=5,
            apply_bound=0.2,
            halt_bound=0.2,
            evacuation_bound=0.2,
            drain_notice=2,
            grace=8,
            max_stall=self._max_stall,
            seed=number + 1,
        )

    async def until(self, condition: Any) -> None:
        """Wait for a condition, without a timeout."""
        while not condition():
            await BootClock().sleep(0.01)

    async def until_all_limited(self, host: int, count: int) -> None:
        """Ask a host until it knows of the limits of some workers."""
        number = 0
        while self.hosts[host].status.limited < count:
            number += 1
            request = f'learn-{host}-{number}'
            await self.ask('/look/1', request, host=host)

    def headers(self, request: str, key: str = KEY) -> dict[str, str]:
        """Return the headers of a caller's request."""
        return {
            'Host': HOST,
            REQUEST_ID: request,
            'Authorization': f'Bearer {key}',
            'Nutmegroad-Deadline-Ms': '4000',
        }

    async def ask(
        self,
        path: str,
        request: str = 'r1',
        *,
        key: str = KEY,
        method: str = 'POST',
        body: bytes = b'',
        headers: dict[str, str] | None = None,
        host: int = 0,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a caller's request to a host, and return the complete answer."""
        sent = {**self.headers(request, key), **(headers or {})}
        address = self._settings[host].callers
        async with self.client.request(
            method,
            f'http://{address}{path}',
            data=body,
            headers=sent,
        ) as response:
            answer = await response.read()
            return response.status, dict(response.headers), answer

    def seen(self, request: str) -> int:
        """Return how many workers received a request."""
        return sum(
            each.request_id == request
            for worker in self.workers
            for each in worker.requests
        )
