"""What a run's processes say of themselves: runs, counters, calls, logs."""

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
from experiments.load.load import LoadClient

#: Lines of the hosts' metrics that count reasons.
_COUNTER: Final = re.compile(
    r'nutmegroad_(refusals|retries)_total\{code="(\w+)"\} (\S+)',
)
_INVARIANT: Final = re.compile(
    r'nutmegroad_invariant_failures_total\{name="([^"]+)"\} (\S+)',
)
_PAUSE: Final = 1.0


class EngineRun(msgspec.Struct, frozen=True):
    """One answer that an engine began.

    Attributes:
        attempt: Its id, which begins with the request's.
        version: Which version wrote it.
        task: Its task class.
        ended: How it ended.
        at: Wall clock seconds.
    """

    attempt: str
    version: str
    task: str
    ended: str
    at: float

    @property
    def request(self) -> str:
        """Return the request's id: the attempt's without its last parts."""
        return self.attempt.rsplit('.', 2)[0]


class ServiceRun(msgspec.Struct, frozen=True):
    """One call that a plain service ran.

    Attributes:
        method: HTTP method.
        path: Path.
        key: Idempotency key; empty for none.
    """

    method: str
    path: str
    key: str


class _EngineRuns(msgspec.Struct, frozen=True):
    """The reply of an engine."""

    runs: tuple[EngineRun, ...]


class _ServiceRuns(msgspec.Struct, frozen=True):
    """The reply of a plain service."""

    runs: tuple[ServiceRun, ...]


@dataclass(slots=True)
class Observed:
    """What was seen beside the replies.

    Attributes:
        engine_runs: Answers that each engine began.
        unseen: Stand-ins that could not be asked.
        service_runs: Calls that the plain services ran.
        retries: Retries by reason, from the hosts' metrics.
        refusals: Refusals by reason, from the hosts' metrics.
        invariants: Alarms of the hosts' own assertions.
        calls: Calls to the platform in each second of the run.
        tracebacks: Tracebacks in each process's log.
        cpu: Share of one core that the load client used.
        load_average: The machine's, before and after.
    """

    engine_runs: dict[str, tuple[EngineRun, ...]] = field(default_factory=dict)
    unseen: list[str] = field(default_factory=list)
    service_runs: list[ServiceRun] = field(default_factory=list)
    retries: Counter[str] = field(default_factory=Counter)
    refusals: Counter[str] = field(default_factory=Counter)
    invariants: Counter[str] = field(default_factory=Counter)
    calls: list[tuple[float, int]] = field(default_factory=list)
    tracebacks: dict[str, int] = field(default_factory=dict)
    cpu: float = 0
    load_average: tuple[float, float] = (0, 0)


class Observer:
    """Looks at a deployment.

    Args:
        running: The deployment.
        session: HTTP client.
        logs: Folder of the processes' logs.
    """

    def __init__(
        self,
        running: Deployment,
        session: ClientSession,
        logs: Path,
    ) -> None:
        self.observed = Observed()
        self._running = running
        self._session = session
        self._logs = logs
        self._started = time.monotonic()
        self._processor = _processor_time()

    def begin(self) -> None:
        """Note how things are at the start of a run."""
        self._started = time.monotonic()
        self._processor = _processor_time()
        average = os.getloadavg()[0]
        self.observed.load_average = (average, average)

    def end_load(self) -> None:
        """Note what the load client used, right after its last reply."""
        used = _processor_time() - self._processor
        self.observed.cpu = used / (time.monotonic() - self._started)
        before, _ = self.observed.load_average
        self.observed.load_average = (before, os.getloadavg()[0])

    async def count_calls(self, client: LoadClient) -> None:
        """Count calls to the platform each second, until cancelled."""
        before = await self._total_calls()
        while True:
            await asyncio.sleep(_PAUSE)
            total = await self._total_calls()
            self.observed.calls.append((client.now, total - before))
            before = total

    async def collect(self) -> None:
        """Ask all processes, once the load has ended."""
        for name, engine in self._running.engines.items():
            content = await self._get(name, f'{engine.listening["main"]}')
            if content is not None:
                runs = msgspec.json.decode(content, type=_EngineRuns).runs
                self.observed.engine_runs[name] = runs
        for name, service in self._running.services.items():
            content = await self._get(name, f'{service.listening["main"]}')
            if content is not None:
                calls = msgspec.json.decode(content, type=_ServiceRuns).runs
                self.observed.service_runs.extend(calls)
        for address in self._running.operators:
            await self._read_metrics(str(address))

    def read_logs(self) -> None:
        """Count tracebacks, once all processes have ended."""
        for log in sorted(self._logs.glob('*.log')):
            found = log.read_text(errors='replace').count('Traceback')
            if found:
                self.observed.tracebacks[log.stem] = found

    async def _total_calls(self) -> int:
        """Return how many calls the platform has had."""
        url = f'http://{self._running.platform.listening["main"]}/admin/counts'
        with suppress(ClientError, OSError):
            async with self._session.get(url) as response:
                return _sum(msgspec.json.decode(await response.read()))
        return 0

    async def _get(self, name: str, address: str) -> bytes | None:
        """Return a stand-in's runs; None if it is gone."""
        try:
            async with self._session.get(
                f'http://{address}/admin/runs',
            ) as response:
                return await response.read()
        except (ClientError, OSError):
            self.observed.unseen.append(name)
            return None

    async def _read_metrics(self, address: str) -> None:
        """Add up a host's counters, if it shows any."""
        try:
            async with self._session.get(
                f'http://{address}/metrics',
            ) as response:
                text = await response.text()
        except (ClientError, OSError):
            return
        for kind, code, count in _COUNTER.findall(text):
            counter = (
                self.observed.retries
                if kind == 'retries'
                else self.observed.refusals
            )
            counter[code] += int(float(count))
        for name, count in _INVARIANT.findall(text):
            self.observed.invariants[name] += int(float(count))


def _processor_time() -> float:
    """Return the processor seconds that this process has used."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _sum(counts: Any) -> int:
    """Add up all numbers of nested counts."""
    if isinstance(counts, dict):
        return sum(_sum(part) for part in counts.values())
    if isinstance(counts, Iterable) and not isinstance(counts, str):
        return sum(_sum(part) for part in counts)
    return int(counts) if isinstance(counts, int | float) else 0
