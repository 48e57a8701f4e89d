"""The fleet of a soak: real processes on loopback, connected by links.

Each host and each link has its own IP address, so that one host can be cut off
from the store, and one worker from all hosts.
"""

import asyncio
import itertools
import json
import tempfile
import time
from collections.abc import Iterable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, Final

from aiohttp import ClientError, ClientSession, ClientTimeout
from fakes.crash_scripts import PROMPT_PARTS

from experiments.fleet_soak.callers import ROUTER_HOST_NAME, request_headers
from experiments.fleet_soak.history import (
    Bounds,
    History,
    Kind,
    RequestRecord,
)
from experiments.fleet_soak.links import Link
from experiments.fleet_soak.probes import Prober
from experiments.fleet_soak.processes import ROOT, SoakProcess
from experiments.fleet_soak.settings import SETTINGS, site_packages
from experiments.fleet_soak.transactions import (
    put_transaction,
    remove_transaction,
)
from experiments.fleet_soak.workers import (
    DOMAINS,
    Workers,
    format_address,
    free_address,
)

#: The bounds with which hosts are configured.
BOUNDS: Final = Bounds()

#: Kinds of requests, as the configuration names them.
_ROUTE_KINDS: Final = {
    Kind.LOOK: 'idempotent',
    Kind.PAY: 'non_idempotent',
    Kind.DRAFT: 'streaming',
}

#: Seconds between two attempts to write a configuration.
RETRY_INTERVAL: Final = 0.2

#: Seconds within which all hosts must serve requests.
START_TIMEOUT: Final = 60


class Fleet:
    """Store, workers and hosts as processes, and the links between them.

    Attributes:
        history: Receives records of requests and interventions.
        hosts: The hosts' processes, in the order of their numbers.
        host_links: Links from callers to each host.
        store_links: Links from each host to the store.
        keys: Valid API keys, oldest first.
        caller_addresses: Address of each host for callers, as IP:PORT.
        workers: The workers; set when the fleet is entered.
        prober: Probes new routes; set when the fleet is entered.

    Args:
        hosts: Number of hosts.
        workers: Number of workers.
        net: Second byte of all IP addresses, by which soaks that run at the
            same time are separated.
        history: Receives records of requests and interventions.
        mutant: A deliberate fault of the workers; empty for none.
        program: Root directory of the checkout whose program is run.
    """

    def __init__(
        self,
        hosts: int,
        workers: int,
        net: int,
        history: History,
        mutant: str = '',
        program: Path = ROOT,
    ) -> None:
        self._program = program
        self.history = history
        self._mutant = mutant
        self.hosts: list[SoakProcess] = []
        self.host_links: list[Link] = []
        self.store_links: list[Link] = []
        self.keys = ['key-0']
        self.caller_addresses: list[str] = []
        self._net = net
        self._counts = (hosts, workers)
        self._stack = AsyncExitStack()
        self._versions = itertools.count(1)
        self._extra_routes = 0

    async def __aenter__(self) -> 'Fleet':
        """Start all processes, and wait until every host serves requests."""
        try:
            await self._open()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def _open(self) -> None:
        """Start all processes, and wait until every host serves requests."""
        directory = self._stack.enter_context(tempfile.TemporaryDirectory())
        self._directory = Path(directory)
        self._session = await self._stack.enter_async_context(
            ClientSession(timeout=ClientTimeout(total=2)),
        )
        self.prober = self._make_prober()
        self._store_address = free_address(f'127.{self._net}.0.1')
        arguments = ('-m', 'experiments.fleet_soak.store', '--listen')
        await self._start_owned(
            SoakProcess(
                (*arguments, format_address(self._store_address)),
                {},
                _ignore_line,
            )
        )
        await self._configure_until_acknowledged()
        hosts, workers = self._counts
        self.workers = Workers(
            f'127.{self._net}',
            format_address(self._store_address),
            self.history,
            self._mutant,
            self._start_owned,
            self._stack,
        )
        for number in range(workers):
            await self.workers.add(number)
        for number in range(hosts):
            await self._add_host(number)
        async with asyncio.timeout(START_TIMEOUT):
            for address in self.caller_addresses:
                await self._wait_until_served(address)

    async def __aexit__(self, *exc_info: object) -> None:
        """Kill all processes, and close all links."""
        await self._stack.aclose()

    async def configure(self, *, add_route: bool = False) -> bool:
        """Write a configuration; return whether the store acknowledged it.

        Args:
            add_route: Whether to add another route.
        """
        self._extra_routes += add_route
        for key in self.keys:
            self.history.workspace_by_key.setdefault(key, 'clerks')
        names = [kind.value for kind in Kind]
        names.extend(f'extra{each}' for each in range(self._extra_routes))
        document = {
            'version': next(self._versions),
            'routes': [_route(name) for name in names],
            'services': [{'name': 'desk', 'maxConnections': 100}],
            'limits': {},
            'tenants': [{'name': 'clerks', 'apiKeys': self.keys}],
        }
        content = json.dumps(document).encode()
        acknowledged = await self.put('op', 'config', content)
        if acknowledged:
            self._record_added(names[len(Kind) :])
        return acknowledged

    async def rotate_key(self) -> None:
        """Revoke the oldest key, once a new one is valid on all hosts."""
        number = len(self.history.workspace_by_key)
        self.keys.append(f'key-{number}')
        await self._configure_until_acknowledged()
        await asyncio.sleep(BOUNDS.revoke)
        revoked = self.keys.pop(0)
        await self._configure_until_acknowledged()
        self.history.revoked_at[revoked] = time.monotonic()

    def _make_prober(self) -> Prober:
        """Return a prober that is cancelled when the fleet is closed."""
        prober = Prober(
            self._session,
            self.history,
            lambda: tuple(self.caller_addresses),
            lambda: self.keys[0],
        )
        self._stack.callback(prober.cancel)
        return prober

    def _record_added(self, routes: Iterable[str]) -> None:
        """Record the confirmation of new routes, and start to probe them."""
        for route in routes:
            if route not in self.history.route_added_at:
                self.history.route_added_at[route] = time.monotonic()
                self.prober.start(route)

    async def _configure_until_acknowledged(self) -> None:
        """Write configurations until the store acknowledges one.

        One whose reply is lost may or may not be in force.
        """
        while not await self.configure():
            await asyncio.sleep(RETRY_INTERVAL)

    async def put(self, table: str, key: str, content: bytes) -> bool:
        """Write a row; return whether the store acknowledged it."""
        body = put_transaction(table, key, content)
        return await self.post_to_store('v1/rows-tx', body)

    async def remove(self, table: str, key: str) -> bool:
        """Remove a row; return whether the store acknowledged it."""
        body = remove_transaction(table, key)
        return await self.post_to_store('v1/rows-tx', body)

    async def post_to_store(self, call: str, body: object = None) -> bool:
        """Post to a path of the store; return whether it succeeded."""
        url = f'http://{format_address(self._store_address)}/{call}'
        try:
            async with self._session.post(url, json=body) as answer:
                return answer.ok
        except (ClientError, TimeoutError, OSError):
            return False

    async def host_calls(self) -> int:
        """Return the number of reads and of row writes by hosts."""
        url = f'http://{format_address(self._store_address)}/calls'
        async with self._session.get(url) as answer:
            counts = await answer.json()
        return int(counts['reads'] + counts['writes'])

    async def row(self, table: str, key: str) -> str:
        """Return a row's value, encoded in base64; empty if there is none."""
        url = f'http://{format_address(self._store_address)}/v1/rows-get'
        query = {'table': table, 'part': '', 'from': key, 'limit': '1'}
        try:
            async with self._session.get(url, params=query) as answer:
                content = await answer.json() if answer.ok else {}
        except (ClientError, TimeoutError, OSError):
            return ''
        by_key = {row['key']: row['value'] for row in content.get('rows', ())}
        return str(by_key.get(key, ''))

    async def send_harmful(
        self, path: str, number: int, part: str = ''
    ) -> None:
        """Send a request that crashes workers.

        Args:
            path: Its path.
            number: Selects the host, modulo their count, and makes the request
                id unique.
            part: Id of the part of its prompt that does; empty if the path
                does.
        """
        address = self.caller_addresses[number % len(self.caller_addresses)]
        request_id = f'{path.strip("/")}-{number}'
        headers = self._record_auxiliary(request_id, Kind.DRAFT, address)
        if part:
            headers['Nutmegroad-Model'] = 'small'
            headers[PROMPT_PARTS] = f'first:10,{part}:10,own-{number}:10'
        await self._is_served(f'http://{address}{path}', headers)

    async def send_burst(self, name: str, count: int) -> None:
        """Send streamed requests to all hosts at once.

        Args:
            name: Prefix of their ids.
            count: Number of requests at each host.
        """
        sent = []
        for address in self.caller_addresses:
            for number in range(count):
                request_id = f'{name}-{address}-{number}'
                headers = self._record_auxiliary(
                    request_id, Kind.DRAFT, address
                )
                url = f'http://{address}/draft/1'
                sent.append(self._is_served(url, headers))
        await asyncio.gather(*sent)

    def host_ip(self, number: int) -> str:
        """Return the IP address of a host."""
        return f'127.{self._net}.3.{number + 1}'

    async def _add_host(self, number: int) -> None:
        """Start a host with its own links to callers and to the store."""
        ip = self.host_ip(number)
        callers, ready, inside = (free_address(ip) for _ in range(3))
        to_host = Link(
            *free_address(f'127.{self._net}.4.{number + 1}'), callers
        )
        link_address = free_address(f'127.{self._net}.5.{number + 1}')
        to_store = Link(*link_address, self._store_address)
        for link in (to_host, to_store):
            await link.open()
            self._stack.callback(link.close)
        self.host_links.append(to_host)
        self.store_links.append(to_store)
        path = self._directory / f'host-{number}.conf'
        path.write_text(
            SETTINGS.format(
                name=f'host-{number}',
                domain=DOMAINS[number % len(DOMAINS)],
                ip=ip,
                callers=format_address(callers),
                ready=format_address(ready),
                inside=f'{inside[1]},{inside[1]}',
                store=format_address(link_address),
            ),
        )
        self.caller_addresses.append(to_host.address)
        process = SoakProcess(
            ('-S', str(self._program / 'platform' / 'start.py')),
            {'NUTMEGROAD_BOOT': str(path), 'PYTHONPATH': site_packages()},
            _ignore_line,
        )
        self.hosts.append(process)
        await self._start_owned(process)

    async def _start_owned(self, process: SoakProcess) -> None:
        """Start a process that is killed when the fleet is closed."""
        await process.start()
        self._stack.push_async_callback(process.kill)

    async def _wait_until_served(self, address: str) -> None:
        """Wait until a host serves a request."""
        request_id = f'first at {address}'
        headers = self._record_auxiliary(request_id, Kind.LOOK, address)
        url = f'http://{address}/look/1'
        while not await self._is_served(url, headers):
            await asyncio.sleep(0.1)

    def _record_auxiliary(
        self,
        request_id: str,
        kind: Kind,
        address: str,
    ) -> dict[str, str]:
        """Record a request that no caller sends, and return its headers.

        Args:
            request_id: The request's id.
            kind: The request's kind.
            address: The address of the host, which stands for its name.
        """
        key = self.keys[0]
        self.history.requests_by_id[request_id] = RequestRecord(
            request_id,
            kind,
            address,
            key,
            time.monotonic(),
            abandoned=True,
        )
        return request_headers(request_id, key)

    async def _is_served(self, url: str, headers: dict[str, str]) -> bool:
        """Send a request; return whether its answer is a success."""
        try:
            async with self._session.post(url, headers=headers) as answer:
                return answer.ok
        except (ClientError, TimeoutError, OSError):
            return False


def _route(name: str) -> dict[str, Any]:
    """Return a route of the configuration; unknown names are look-ups."""
    known = {
        kind.value: route_kind for kind, route_kind in _ROUTE_KINDS.items()
    }
    return {
        'name': name,
        'host': ROUTER_HOST_NAME,
        'prefix': f'/{name}/',
        'kind': known.get(name, 'idempotent'),
        'timeoutMs': int(BOUNDS.timeout * 1000),
        'targetLatencyMs': 500,
        'service': 'desk',
        'maxAttempts': 3,
        'streamResume': True,
        'gapAimMs': 500,
    }


def _ignore_line(line: dict[str, Any]) -> None:
    """Ignore a line of a process's output."""
