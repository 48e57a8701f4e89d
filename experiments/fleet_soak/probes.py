"""Probes that check whether all hosts know a recently added route."""

import asyncio
import itertools
import time
from collections.abc import Callable, Sequence
from typing import Final

from aiohttp import ClientError, ClientSession, ClientTimeout

from experiments.fleet_soak.callers import SIGNATURE, request_headers
from experiments.fleet_soak.history import History, Kind, RequestRecord

#: Seconds for which a new route is probed: the operator's bound for it to be
#: in force, and as much again to detect hosts that are late.
PROBE_DURATION: Final = 4.5

#: Seconds between two probes of a host.
PROBE_INTERVAL: Final = 0.2

#: Timeout of a probe in seconds.
PROBE_TIMEOUT: Final = 1.0


class Prober:
    """Sends requests for new routes to all hosts.

    Args:
        session: The HTTP session to use.
        history: Receives a record of each probe.
        hosts: Returns the address of each host, in the order of host numbers.
        key: Returns the API key to use.
    """

    def __init__(
        self,
        session: ClientSession,
        history: History,
        hosts: Callable[[], Sequence[str]],
        key: Callable[[], str],
    ) -> None:
        self._session = session
        self._history = history
        self._hosts = hosts
        self._key = key
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, route: str) -> None:
        """Start to probe all hosts for a route, in the background."""
        for number, address in enumerate(self._hosts()):
            probes = self._probe(route, f'host-{number}', address)
            task = asyncio.create_task(probes)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def wait_finished(self) -> None:
        """Wait until all probes have ended."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def cancel(self) -> None:
        """Cancel all probes."""
        for task in self._tasks:
            task.cancel()

    async def _probe(self, route: str, host: str, address: str) -> None:
        """Probe one host for a route repeatedly."""
        latest = time.monotonic() + PROBE_DURATION
        while time.monotonic() < latest:
            await self._send_request(route, host, address)
            await asyncio.sleep(PROBE_INTERVAL)

    async def _send_request(self, route: str, host: str, address: str) -> None:
        """Send one probe, and record its answer."""
        record = RequestRecord(
            f'probe-{next(self._numbers)}',
            Kind.LOOK,
            host,
            self._key(),
            time.monotonic(),
            abandoned=True,
            route=route,
        )
        self._history.requests_by_id[record.request_id] = record
        try:
            async with self._session.post(
                f'http://{address}/{route}/1',
                headers=request_headers(record.request_id, record.key),
                timeout=ClientTimeout(total=PROBE_TIMEOUT),
            ) as answer:
                record.signed = SIGNATURE in answer.headers
                record.body = await answer.read()
                record.status = answer.status
                record.complete = True
        except (ClientError, TimeoutError, OSError):
            return
        finally:
            record.ended_at = time.monotonic()
