"""The fleet of a soak: the real program on loopback, links around it.

Every host has an address of its own, and so has each link, so that one host
can be cut off from the store, and one worker from all hosts.
"""

import asyncio
import itertools
import json
import site
import tempfile
import time
from collections.abc import Iterable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, Final

from aiohttp import ClientError, ClientSession, ClientTimeout

from experiments.fleet_soak.callers import ROUTER, headers_of
from experiments.fleet_soak.history import (
    Asked,
    Bounds,
    History,
    Kind,
    put_of,
)
from experiments.fleet_soak.links import Link
from experiments.fleet_soak.probes import Prober
from experiments.fleet_soak.processes import ROOT, SoakProcess
from experiments.fleet_soak.workers import (
    DOMAINS,
    Workers,
    free_address,
    written,
)

BOUNDS: Final = Bounds()

#: What the operator's kinds are called.
_KINDS: Final = {
    Kind.LOOK: 'idempotent',
    Kind.PAY: 'non_idempotent',
    Kind.DRAFT: 'streaming',
}

#: Seconds between two tries of the operator.
RETRY: Final = 0.2

#: Seconds that the fleet may take to begin to serve.
START_LIMIT: Final = 60

#: A host's settings file, with the bounds that the judges know.
_SETTINGS: Final = """\
nodeName={name}
zone={domain}
ip={ip}
listen.front={callers}
listen.ready={ready}
internalPorts={inside}
platform.address={store}
bounds.failClosed=true
bounds.revokeMs=5000
bounds.drainMs=2000
bounds.graceS=8
bounds.sessionS=5
bounds.configApplyMs=2000
bounds.retryBudgetRatio=0.9
bounds.budgetWindowS=10
bounds.exposeShare=0.15
bounds.rollbackMs=5000
"""


class Fleet:
    """Store, workers and hosts as processes, and the links between them.

    Args:
        hosts: How many hosts.
        workers: How many workers.
        net: Second number of all addresses, so that soaks don't meet.
        history: What is seen.
        mutant: A deliberate fault of the workers; empty for none.
        program: The folder of the program that is played.
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
        self.callers_at: list[str] = []
        self._net = net
        self._counts = (hosts, workers)
        self._stack = AsyncExitStack()
        self._versions = itertools.count(1)
        self._extra_routes = 0

    async def __aenter__(self) -> 'Fleet':
        """Start everything, and wait until it serves."""
        try:
            await self._open()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def _open(self) -> None:
        """Start everything, and wait until it serves."""
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        self._folder = Path(folder)
        self._session = await self._stack.enter_async_context(
            ClientSession(timeout=ClientTimeout(total=2)),
        )
        self.probes = self._prober()
        self._store_at = free_address(f'127.{self._net}.0.1')
        words = ('-m', 'experiments.fleet_soak.store', '--listen')
        await self._own(
            SoakProcess((*words, written(self._store_at)), {}, _unheard)
        )
        await self._configure_surely()
        hosts, workers = self._counts
        self.workers = Workers(
            f'127.{self._net}',
            written(self._store_at),
            self.history,
            self._mutant,
            self._own,
            self._stack,
        )
        for number in range(workers):
            await self.workers.add(number)
        for number in range(hosts):
            await self._add_host(number)
        async with asyncio.timeout(START_LIMIT):
            for address in self.callers_at:
                await self._until_served(address)

    async def __aexit__(self, *exc_info: object) -> None:
        """End every process that was started, and close all links."""
        await self._stack.aclose()

    async def configure(self, *, add_route: bool = False) -> bool:
        """Write a configuration; tell whether it was acknowledged."""
        self._extra_routes += add_route
        for key in self.keys:
            self.history.keys.setdefault(key, 'clerks')
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
        done = await self.put('op', 'config', content)
        if done:
            self._note_added(names[len(Kind) :])
        return done

    async def revoke(self) -> None:
        """Take the oldest key away, once another holds everywhere."""
        number = len(self.history.keys)
        self.keys.append(f'key-{number}')
        await self._configure_surely()
        await asyncio.sleep(BOUNDS.revoke)
        gone = self.keys.pop(0)
        await self._configure_surely()
        self.history.revoked[gone] = time.monotonic()

    def _prober(self) -> Prober:
        """Return what asks for new routes; it ends with the fleet."""
        made = Prober(
            self._session,
            self.history,
            lambda: tuple(self.callers_at),
            lambda: self.keys[0],
        )
        self._stack.callback(made.cancel)
        return made

    def _note_added(self, routes: Iterable[str]) -> None:
        """Note that routes are confirmed, and ask every host for new ones."""
        for route in routes:
            if route not in self.history.added:
                self.history.added[route] = time.monotonic()
                self.probes.begin(route)

    async def _configure_surely(self) -> None:
        """Write a configuration until that is acknowledged.

        One whose reply is lost may be in force, or not.
        """
        while not await self.configure():
            await asyncio.sleep(RETRY)

    async def put(self, table: str, key: str, content: bytes) -> bool:
        """Write a row; tell whether that was acknowledged."""
        body = put_of(table, key, content)
        return await self.tell_store('v1/rows-tx', body)

    async def tell_store(self, call: str, body: object = None) -> bool:
        """Make a call to the store; tell whether it was acknowledged."""
        url = f'http://{written(self._store_at)}/{call}'
        try:
            async with self._session.post(url, json=body) as answer:
                return answer.ok
        except (ClientError, TimeoutError, OSError):
            return False

    async def host_calls(self) -> int:
        """Return how many calls hosts have made to the store, rows by row."""
        url = f'http://{written(self._store_at)}/calls'
        async with self._session.get(url) as answer:
            counts = await answer.json()
        return int(counts['reads'] + counts['writes'])

    async def row(self, table: str, key: str) -> str:
        """Return a row's value as the store gives it; empty if it has none."""
        url = f'http://{written(self._store_at)}/v1/rows-get'
        asked = {'table': table, 'part': '', 'from': key, 'limit': '1'}
        try:
            async with self._session.get(url, params=asked) as answer:
                found = await answer.json() if answer.ok else {}
        except (ClientError, TimeoutError, OSError):
            return ''
        by_key = {row['key']: row['value'] for row in found.get('rows', ())}
        return str(by_key.get(key, ''))

    async def send_harmful(self, path: str, number: int) -> None:
        """Send a request that ends workers to one of the hosts."""
        address = self.callers_at[number % len(self.callers_at)]
        request = f'{path.strip("/")}-{number}'
        headers = self._ask_aside(request, Kind.DRAFT, address)
        await self._is_served(f'http://{address}{path}', headers)

    async def _add_host(self, number: int) -> None:
        """Start a host between links of its own."""
        ip = f'127.{self._net}.3.{number + 1}'
        callers, ready, inside = (free_address(ip) for _ in range(3))
        to_host = Link(
            *free_address(f'127.{self._net}.4.{number + 1}'), callers
        )
        store_at = free_address(f'127.{self._net}.5.{number + 1}')
        to_store = Link(*store_at, self._store_at)
        for link in (to_host, to_store):
            await link.open()
            self._stack.callback(link.close)
        self.host_links.append(to_host)
        self.store_links.append(to_store)
        path = self._folder / f'host-{number}.conf'
        path.write_text(
            _SETTINGS.format(
                name=f'host-{number}',
                domain=DOMAINS[number % len(DOMAINS)],
                ip=ip,
                callers=written(callers),
                ready=written(ready),
                inside=f'{inside[1]},{inside[1]}',
                store=written(store_at),
            ),
        )
        self.callers_at.append(to_host.address)
        process = SoakProcess(
            ('-S', str(self._program / 'platform' / 'start.py')),
            {'NUTMEGROAD_BOOT': str(path), 'PYTHONPATH': _site_packages()},
            _unheard,
        )
        self.hosts.append(process)
        await self._own(process)

    async def _own(self, process: SoakProcess) -> None:
        """Start a process that ends with the fleet."""
        await process.start()
        self._stack.push_async_callback(process.kill)

    async def _until_served(self, address: str) -> None:
        """Wait until a host serves."""
        first = f'first at {address}'
        headers = self._ask_aside(first, Kind.LOOK, address)
        url = f'http://{address}/look/1'
        while not await self._is_served(url, headers):
            await asyncio.sleep(0.1)

    def _ask_aside(
        self,
        request: str,
        kind: Kind,
        address: str,
    ) -> dict[str, str]:
        """Note a request that is no caller's, and return its headers."""
        key = self.keys[0]
        self.history.asked[request] = Asked(
            request,
            kind,
            address,
            key,
            time.monotonic(),
            left_early=True,
        )
        return headers_of(request, key)

    async def _is_served(self, url: str, headers: dict[str, str]) -> bool:
        """Tell whether a request is answered."""
        try:
            async with self._session.post(url, headers=headers) as answer:
                return answer.ok
        except (ClientError, TimeoutError, OSError):
            return False


def _route(name: str) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    known = {kind.value: written for kind, written in _KINDS.items()}
    return {
        'name': name,
        'host': ROUTER,
        'prefix': f'/{name}/',
        'kind': known.get(name, 'idempotent'),
        'timeoutMs': int(BOUNDS.timeout * 1000),
        'targetLatencyMs': 500,
        'service': 'desk',
        'maxAttempts': 3,
        'streamResume': True,
        'gapAimMs': 500,
    }


def _site_packages() -> str:
    """Return where libraries are, for a program that looks nowhere itself."""
    return ':'.join(site.getsitepackages())


def _unheard(line: dict[str, Any]) -> None:
    """Hear nothing of what a process writes."""
