"""The workers of a soak, each behind its own link, by version."""

import itertools
import signal
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any, Final

from fakes.ports import reserve_port

from experiments.fleet_soak.history import History, NeedTime, Ran
from experiments.fleet_soak.links import Link
from experiments.fleet_soak.processes import SoakProcess

#: Failure domains of hosts and workers.
DOMAINS: Final = ('north', 'south')

#: The version of the first workers.
FIRST_VERSION: Final = 'v1'


def free_address(ip: str) -> tuple[str, int]:
    """Return an IP address with a port that is free."""
    return ip, reserve_port()


def format_address(address: tuple[str, int]) -> str:
    """Return an address as IP:PORT."""
    ip, port = address
    return f'{ip}:{port}'


class Workers:
    """Starts and stops the workers of a fleet.

    Attributes:
        processes: Workers of the current version, in the order of numbers.
        links: The link of each of them.
        all_links: The links of all workers that were ever started.

    Args:
        net: First two bytes of all IP addresses.
        store: Address of the store, as IP:PORT.
        history: Receives executions, versions and drains.
        mutant: A deliberate fault of the workers; empty for none.
        start_owned: Starts a process that is killed when the fleet is closed.
        stack: Closes links when the fleet is closed.
    """

    def __init__(
        self,
        net: str,
        store: str,
        history: History,
        mutant: str,
        start_owned: Callable[[SoakProcess], Awaitable[None]],
        stack: AsyncExitStack,
    ) -> None:
        self.processes: list[SoakProcess] = []
        self.links: list[Link] = []
        self.all_links: list[Link] = []
        self._net = net
        self._store = store
        self._history = history
        self._mutant = mutant
        self._start_owned = start_owned
        self._stack = stack
        self._incarnations = itertools.count()
        self._version = FIRST_VERSION
        # Workers of a version that is being rolled out.
        self._new_workers: list[tuple[SoakProcess, Link]] = []
        self._new_version = ''

    def __len__(self) -> int:
        """Return the number of workers of the current version."""
        return len(self.processes)

    async def add(self, number: int) -> None:
        """Start a worker of the current version under a number."""
        process, link = await self._start(number, self._version, 0)
        if number < len(self.processes):
            self.processes[number] = process
            self.links[number] = link
        else:
            self.processes.append(process)
            self.links.append(link)

    async def replace(self, number: int) -> None:
        """Start a successor of a worker, and drain the worker."""
        draining = self.processes[number]
        version = self._version
        await self.add(number)
        draining.signal(signal.SIGTERM)
        await draining.wait_ended()
        if version != self._version:
            await self.add(number)

    async def start_version(self, version: str, failing: float) -> None:
        """Start workers of a new version beside the current ones.

        Args:
            version: The new version.
            failing: Fraction of requests that it fails.
        """
        self._new_version = version
        for number, _ in enumerate(tuple(self.processes)):
            started = await self._start(number, version, failing)
            self._new_workers.append(started)

    async def promote_version(self) -> None:
        """Make the new version the current one, and kill the old workers."""
        self._version = self._new_version
        old_processes = self.processes
        self.processes = [process for process, _ in self._new_workers]
        self.links = [link for _, link in self._new_workers]
        self._new_workers = []
        for process in old_processes:
            await process.kill()

    async def discard_version(self) -> None:
        """Drain the workers of the new version."""
        draining = tuple(self._new_workers)
        self._new_workers.clear()
        for process, _ in draining:
            process.signal(signal.SIGTERM)
        for process, _ in draining:
            await process.wait_ended()

    async def restart_ended(self) -> None:
        """Restart workers that have terminated."""
        for worker in self.processes:
            await worker.start()

    async def _start(
        self,
        number: int,
        version: str,
        failing: float,
    ) -> tuple[SoakProcess, Link]:
        """Start a worker behind its own link.

        Args:
            number: Its number, which determines its failure domain.
            version: Its version.
            failing: Fraction of requests that it fails.
        """
        name = f'w-{next(self._incarnations)}'
        address = free_address(f'{self._net}.1.{number + 1}')
        listed = free_address(f'{self._net}.2.{number + 1}')
        link = Link(*listed, address)
        await link.open()
        self._stack.callback(link.close)
        self.all_links.append(link)
        arguments = (
            *('-m', 'experiments.fleet_soak.worker', '--id', name),
            *('--listen', format_address(address)),
            *('--listed', format_address(listed)),
            *('--store', self._store),
            *('--zone', DOMAINS[number % len(DOMAINS)]),
            *('--seed', str(number), '--mutant', self._mutant),
            *('--version', version, '--failing', str(failing)),
        )
        process = SoakProcess(
            arguments,
            {},
            lambda line: self._handle_line(name, line),
        )
        self._history.versions[name] = version
        self._history.domains[name] = DOMAINS[number % len(DOMAINS)]
        await self._start_owned(process)
        return process, link

    def _handle_line(self, worker: str, line: dict[str, Any]) -> None:
        """Record a JSON line that a worker has written."""
        if line['event'] == 'ran':
            self._history.executions.append(
                Ran(
                    line['request'],
                    worker,
                    line['moment'],
                    line['workspace'],
                    line['authorization'],
                    line['harmful'],
                    line['failed'],
                ),
            )
        elif line['event'] == 'fell':
            self._history.falls.append(line['moment'])
        elif line['event'] == 'in need':
            since = line['moment']
            self._history.need_times.append(
                NeedTime(worker, line['limit'], since, since + line['duration'])
            )
        elif line['event'] == 'left':
            self._history.draining_since[worker] = line['moment']
