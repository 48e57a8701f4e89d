"""What a request costs its entry host.

``python -m experiments.costs.request_cost``

Starts one host before two engines that write as fast as they can, and
measures on loopback, several times over:

- the host's own processor time for a request and for a streamed token, from
  answers of two lengths;
- the latency that the host adds to a whole short answer, against the same
  request sent to an engine directly, one at a time.
"""

import asyncio
import statistics
import sys
import time
from dataclasses import dataclass, field
from os import sysconf
from pathlib import Path
from typing import Any, Final

from aiohttp import ClientSession

from experiments.deployment import Deployment, Rig, start, workspace_key
from experiments.processes import Processes

RUNS: Final = 5
SHORT: Final = 2
LONG: Final = 62
REQUESTS: Final = 150
CONCURRENCY: Final = 10
SEQUENTIAL: Final = 60
LIMIT: Final = 58

_TICKS: Final = sysconf('SC_CLK_TCK')
_MICRO: Final = 1e6
_MILLI: Final = 1e3
_RIG: Final = Rig(
    'lesen',
    (('brief-small@2',), ('brief-small@2',)),
    hosts=1,
    services=0,
    engine_args=(
        '--step-base=0.0002',
        '--step-per-request=0',
        '--slots=64',
        '--prefill-rate=1000000',
    ),
)


@dataclass(slots=True)
class Figures:
    """What the runs gave, one value a run.

    Attributes:
        request: Processor microseconds a request, without its tokens.
        token: Processor microseconds a streamed token.
        added: Milliseconds added at the median.
        added_tail: Milliseconds added at the 95th percentile.
    """

    request: list[float] = field(default_factory=list)
    token: list[float] = field(default_factory=list)
    added: list[float] = field(default_factory=list)
    added_tail: list[float] = field(default_factory=list)


class Meter:
    """Sends requests and reads the host's processor time.

    Args:
        session: HTTP client.
        running: The deployment.
    """

    def __init__(self, session: ClientSession, running: Deployment) -> None:
        self._session = session
        self._host = running.hosts[0]
        engine = next(iter(running.engines.values()))
        self._direct = f'http://{engine.listening["main"]}'
        self._routed = f'http://{self._host.listening["callers"]}'

    async def wait(self) -> None:
        """Wait until the host knows its engines."""
        while True:
            try:
                await self._ask(self._routed, SHORT, 0)
            except RuntimeError:
                await asyncio.sleep(0.2)
            else:
                return

    async def measure(self, figures: Figures) -> None:
        """Make one run."""
        short = await self._spent(SHORT)
        long = await self._spent(LONG)
        token = (long - short) / (LONG - SHORT)
        figures.token.append(token)
        figures.request.append(short - SHORT * token)
        direct = await self._latencies(self._direct)
        routed = await self._latencies(self._routed)
        figures.added.append(_quantile(routed, 0.5) - _quantile(direct, 0.5))
        figures.added_tail.append(
            _quantile(routed, 0.95) - _quantile(direct, 0.95),
        )

    async def _spent(self, tokens: int) -> float:
        """Return the processor microseconds of the host a request."""
        before = self._processor_time()
        todo = iter(range(REQUESTS))

        async def work() -> None:
            """Send one request after another."""
            for number in todo:
                await self._ask(self._routed, tokens, number)

        await asyncio.gather(*(work() for _ in range(CONCURRENCY)))
        spent = self._processor_time() - before
        return spent * _MICRO / REQUESTS

    async def _latencies(self, base: str) -> list[float]:
        """Return the milliseconds of requests sent one at a time."""
        found = []
        for number in range(SEQUENTIAL):
            began = time.perf_counter()
            await self._ask(base, SHORT, number)
            found.append((time.perf_counter() - began) * _MILLI)
        return found

    async def _ask(self, base: str, tokens: int, number: int) -> None:
        """Send one request and read all of its answer."""
        body: dict[str, Any] = {
            'model': 'brief-small@2',
            'messages': [{'role': 'user', 'content': f'form {number}'}],
            'max_tokens': tokens,
            'nutmegroad_tokens': tokens,
            'stream': True,
        }
        headers = {'Authorization': f'Bearer {workspace_key("head-office")}'}
        url = f'{base}/v1/chat/completions'
        async with self._session.post(
            url, json=body, headers=headers
        ) as response:
            content = await response.read()
        if b'[DONE]' not in content:
            raise RuntimeError(content[:500])

    def _processor_time(self) -> float:
        """Return the seconds that the host's process has used."""
        stat = Path(f'/proc/{self._host.process.pid}/stat').read_text()
        # Fields 14 and 15, counted behind the name in brackets.
        fields = stat.rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS


def _quantile(found: list[float], share: float) -> float:
    """Return a quantile of some values."""
    return sorted(found)[int(share * (len(found) - 1))]


async def run() -> Figures:
    """Start a host and measure it."""
    figures = Figures()
    async with Processes() as processes:
        running = await start(processes, _RIG)
        async with ClientSession() as session:
            meter = Meter(session, running)
            await meter.wait()
            await meter.measure(Figures())
            for _ in range(RUNS):
                await meter.measure(figures)
    return figures


def main() -> int:
    """Print the median and the spread of each figure."""

    async def bounded() -> Figures:
        """Measure within the limit."""
        async with asyncio.timeout(LIMIT):
            return await run()

    figures = asyncio.run(bounded())
    rows = (
        ('processor time a request', figures.request, 'us'),
        ('processor time a token', figures.token, 'us'),
        ('added latency, median', figures.added, 'ms'),
        ('added latency, 95 in 100', figures.added_tail, 'ms'),
    )
    for title, found, unit in rows:
        sys.stdout.write(
            f'{title:26} {statistics.median(found):9.2f} {unit}'
            f'  ({min(found):.2f} to {max(found):.2f}, {len(found)} runs)\n',
        )
    return 0


if __name__ == '__main__':
    sys.exit(main())
