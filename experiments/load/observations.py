"""Collects what the processes of a run report about their work."""

import asyncio
import os
import re
import resource
import time
from collections import Counter
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import msgspec
from aiohttp import ClientError, ClientSession

from experiments.deployment import Deployment
from experiments.load.client import LoadClient

#: Lines of the hosts' metrics that count refusals and retries by reason.
_COUNTER: Final = re.compile(
    r'nutmegroad_(refusals|retries)_total\{code="(\w+)"\} (\S+)',
)
_INVARIANT: Final = re.compile(
    r'nutmegroad_invariant_failures_total\{name="([^"]+)"\} (\S+)',
)
#: Seconds between two readings of the platform's call counter.
_POLL_INTERVAL: Final = 1.0


class EngineRun(msgspec.Struct, frozen=True):
    """An answer that an engine began.

    Attributes:
        attempt: Id of the attempt, which starts with the id of the request.
        version: The version that generated the answer.
        task: The task class.
        ended: How the answer ended.
        at: Wall-clock time in seconds.
    """

    attempt: str
    version: str
    task: str
    ended: str
    at: float

    @property
    def request_id(self) -> str:
        """Id of the request: the attempt id without its last two parts."""
        return self.attempt.rsplit('.', 2)[0]


class ServiceRun(msgspec.Struct, frozen=True):
    """A call that a plain service ran.

    Attributes:
        method: HTTP method.
        path: Path of the call.
        key: Idempotency key; empty for none.
    """

    method: str
    path: str
    key: str


class _EngineRuns(msgspec.Struct, frozen=True):
    """Reply of an engine to ``/admin/runs``."""

    runs: tuple[EngineRun, ...]


class _ServiceRuns(msgspec.Struct, frozen=True):
    """Reply of a plain service to ``/admin/runs``."""

    runs: tuple[ServiceRun, ...]


@dataclass(slots=True)
class Observations:
    """Observations of a run other than the responses to callers.

    Attributes:
        engine_runs: Answers that each engine began.
        unseen: Stand-ins that did not respond.
        service_runs: Calls that the plain services ran.
        retries: Retries by reason, from the hosts' metrics.
        refusals: Refusals by reason, from the hosts' metrics.
        invariants: Failures of the hosts' invariant checks, by name.
        platform_calls: Time since the start of the run, and number of calls to
            the platform since the previous entry, about once a second.
        tracebacks: Number of tracebacks in the log of each process.
        cpu: Fraction of a core that the load client used.
        load_average: Load average of the machine before and after the load.
    """

    engine_runs: dict[str, tuple[EngineRun, ...]] = field(default_factory=dict)
    unseen: list[str] = field(default_factory=list)
    service_runs: list[ServiceRun] = field(default_factory=list)
    retries: Counter[str] = field(default_factory=Counter)
    refusals: Counter[str] = field(default_factory=Counter)
    invariants: Counter[str] = field(default_factory=Counter)
    platform_calls: list[tuple[float, int]] = field(default_factory=list)
    tracebacks: dict[str, int] = field(default_factory=dict)
    cpu: float = 0
    load_average: tuple[float, float] = (0, 0)


class Observer:
    """Collects the observations of a run.

    Args:
        running: The running deployment.
        session: HTTP client.
        logs: Folder with the logs of the processes.

    Attributes:
        observations: The observations so far.
    """

    def __init__(
        self,
        running: Deployment,
        session: ClientSession,
        logs: Path,
    ) -> None:
        self.observations = Observations()
        self._running = running
        self._session = session
        self._logs = logs
        self._started = time.monotonic()
        self._cpu_at_start = _cpu_seconds()

    def begin_load(self) -> None:
        """Record time, CPU usage and load average before the first request."""
        self._started = time.monotonic()
        self._cpu_at_start = _cpu_seconds()
        average = os.getloadavg()[0]
        self.observations.load_average = (average, average)

    def end_load(self) -> None:
        """Record what the load client used, right after its last reply."""
        used = _cpu_seconds() - self._cpu_at_start
        self.observations.cpu = used / (time.monotonic() - self._started)
        before, _ = self.observations.load_average
        self.observations.load_average = (before, os.getloadavg()[0])

    async def poll_platform_calls(self, client: LoadClient) -> None:
        """Record the calls to the platform every second until cancelled."""
        before = await self._platform_call_count()
        while True:
            await asyncio.sleep(_POLL_INTERVAL)
            total = await self._platform_call_count()
            self.observations.platform_calls.append(
                (client.now, total - before)
            )
            before = total

    async def collect(self) -> None:
        """Query all processes after the load has ended."""
        for name, engine in self._running.engines.items():
            content = await self._fetch_runs(
                name, f'{engine.listening["main"]}'
            )
            if content is not None:
                runs = msgspec.json.decode(content, type=_EngineRuns).runs
                self.observations.engine_runs[name] = runs
        for name, service in self._running.services.items():
            content = await self._fetch_runs(
                name, f'{service.listening["main"]}'
            )
            if content is not None:
                calls = msgspec.json.decode(content, type=_ServiceRuns).runs
                self.observations.service_runs.extend(calls)
        for address in self._running.operator_addresses:
            await self._read_metrics(str(address))

    def read_logs(self) -> None:
        """Count the tracebacks in the logs after all processes have exited."""
        for log in sorted(self._logs.glob('*.log')):
            count = log.read_text(errors='replace').count('Traceback')
            if count:
                self.observations.tracebacks[log.stem] = count

    async def _platform_call_count(self) -> int:
        """Return the total number of calls to the platform.

        The result is 0 if the platform does not respond.
        """
        url = f'http://{self._running.platform.listening["main"]}/admin/counts'
        with suppress(ClientError, OSError):
            async with self._session.get(url) as response:
                return _sum_counts(msgspec.json.decode(await response.read()))
        return 0

    async def _fetch_runs(self, name: str, address: str) -> bytes | None:
        """Return the runs that a stand-in reports; None if it has exited."""
        try:
            async with self._session.get(
                f'http://{address}/admin/runs',
            ) as response:
                return await response.read()
        except (ClientError, OSError):
            self.observations.unseen.append(name)
            return None

    async def _read_metrics(self, address: str) -> None:
        """Add the counters of a host to the totals if it responds."""
        try:
            async with self._session.get(
                f'http://{address}/metrics',
            ) as response:
                text = await response.text()
        except (ClientError, OSError):
            return
        for kind, code, count in _COUNTER.findall(text):
            counter = (
                self.observations.retries
                if kind == 'retries'
                else self.observations.refusals
            )
            counter[code] += int(float(count))
        for name, count in _INVARIANT.findall(text):
            self.observations.invariants[name] += int(float(count))


def _cpu_seconds() -> float:
    """Return the CPU seconds that this process has used."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _sum_counts(counts: Any) -> int:
    """Return the sum of all numbers in nested dictionaries and lists."""
    if isinstance(counts, dict):
        return sum(_sum_counts(part) for part in counts.values())
    if isinstance(counts, Iterable) and not isinstance(counts, str):
        return sum(_sum_counts(part) for part in counts)
    return int(counts) if isinstance(counts, int | float) else 0
