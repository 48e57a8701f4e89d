"""The workers of a soak, each behind a link of its own, in versions."""

import itertools
import signal
import socket
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any, Final

from experiments.fleet_soak.history import History, Ran
from experiments.fleet_soak.links import Link
from experiments.fleet_soak.processes import SoakProcess

DOMAINS: Final = ('north', 'south')

#: The version of the first workers.
FIRST_VERSION: Final = 'v1'


def free_address(ip: str) -> tuple[str, int]:
    """Return an address that nobody listens on."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        port: int = probe.getsockname()[1]
    return ip, port


def written(address: tuple[str, int]) -> str:
    """Return an address as IP:PORT."""
    ip, port = address
    return f'{ip}:{port}'


class Workers:
    """Starts and ends the workers of a fleet.

    Args:
        net: Beginning of all addresses.
        store: Where the store is, as IP:PORT.
        history: What is seen.
        mutant: A deliberate fault of the workers; empty for none.
        own: Starts a process that ends with the fleet.
        stack: Closes links with the fleet.
    """

    def __init__(
        self,
        net: str,
        store: str,
        history: History,
        mutant: str,
        own: Callable[[SoakProcess], Awaitable[None]],
        stack: AsyncExitStack,
    ) -> None:
        self.processes: list[SoakProcess] = []
        self.links: list[Link] = []
        self._net = net
        self._store = store
        self._history = history
        self._mutant = mutant
        self._own = own
        self._stack = stack
        self._incarnations = itertools.count()
        self._version = FIRST_VERSION
        # Those of another version beside them.
        self._arriving: list[tuple[SoakProcess, Link]] = []
        self._arriving_version = ''

    def __len__(self) -> int:
        """Return how many workers there are."""
        return len(self.processes)

    async def add(self, number: int) -> None:
        """Start a worker in the place of a number."""
        process, link = await self._start(number, self._version, 0)
        if number < len(self.processes):
            self.processes[number] = process
            self.links[number] = link
        else:
            self.processes.append(process)
            self.links.append(link)

    async def replace(self, number: int) -> None:
        """Let a worker leave, and another take its place."""
        leaving = self.processes[number]
        version = self._version
        await self.add(number)
        leaving.signal(signal.SIGTERM)
        await leaving.ended()
        if version != self._version:
            await self.add(number)

    async def begin_version(self, version: str, failing: float) -> None:
        """Start workers of another version beside those that are there."""
        self._arriving_version = version
        for number, _ in enumerate(tuple(self.processes)):
            started = await self._start(number, version, failing)
            self._arriving.append(started)

    async def keep_version(self) -> None:
        """Stop the workers of the version before."""
        self._version = self._arriving_version
        stopped = self.processes
        self.processes = [process for process, _ in self._arriving]
        self.links = [link for _, link in self._arriving]
        self._arriving = []
        for process in stopped:
            await process.kill()

    async def drop_version(self) -> None:
        """Let the workers of the other version leave."""
        leaving = tuple(self._arriving)
        self._arriving.clear()
        for process, _ in leaving:
            process.signal(signal.SIGTERM)
        for process, _ in leaving:
            await process.ended()

    async def revive(self) -> None:
        """Start workers again that have ended."""
        for worker in self.processes:
            await worker.start()

    async def _start(
        self,
        number: int,
        version: str,
        failing: float,
    ) -> tuple[SoakProcess, Link]:
        """Start a worker behind a link of its own.

        Args:
            number: Its place, which says in which failure domain it is.
            version: Its version.
            failing: Part of the requests that it fails.
        """
        name = f'w-{next(self._incarnations)}'
        at = free_address(f'{self._net}.1.{number + 1}')
        listed = free_address(f'{self._net}.2.{number + 1}')
        link = Link(*listed, at)
        await link.open()
        self._stack.callback(link.close)
        words = (
            *('-m', 'experiments.fleet_soak.worker', '--id', name),
            *('--listen', written(at), '--listed', written(listed)),
            *('--store', self._store),
            *('--zone', DOMAINS[number % len(DOMAINS)]),
            *('--seed', str(number), '--mutant', self._mutant),
            *('--version', version, '--failing', str(failing)),
        )
        process = SoakProcess(
            words,
            {},
            lambda line: self._said(name, line),
        )
        self._history.versions[name] = version
        await self._own(process)
        return process, link

    def _said(self, worker: str, line: dict[str, Any]) -> None:
        """Take in what a worker has written."""
        if line['event'] == 'ran':
            self._history.ran.append(
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
        elif line['event'] == 'left':
            self._history.left[worker] = line['moment']
