"""Measures the cost of a request at its entry host.

Run ``python -m experiments.costs.request_cost``. It starts one host with two
engines that generate as fast as they can, and measures over loopback, in
several runs:

- the host's own processor time for a request and for a streamed token, from
  answers of two lengths;
- the latency that the host adds to a complete short answer, compared with the
  same request sent directly to an engine, one request at a time.
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
#: Numbers of tokens of short and of long answers.
SHORT_TOKENS: Final = 2
LONG_TOKENS: Final = 62
#: Requests for each measurement of processor time, and how many run
#: concurrently.
REQUESTS: Final = 150
CONCURRENCY: Final = 10
#: Requests for each measurement of latency, sent one at a time.
SEQUENTIAL: Final = 60
#: Seconds within which all runs must end.
TIME_LIMIT: Final = 58

_TICKS_PER_SECOND: Final = sysconf('SC_CLK_TCK')
_MICROSECONDS_PER_SECOND: Final = 1e6
_MILLISECONDS_PER_SECOND: Final = 1e3
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
    """Figures of all runs, one value for each run.

    Attributes:
        request: Processor microseconds per request, without its tokens.
        token: Processor microseconds per streamed token.
        added: Milliseconds added to the median latency.
        added_tail: Milliseconds added to the 95th percentile of latency.
    """

    request: list[float] = field(default_factory=list)
    token: list[float] = field(default_factory=list)
    added: list[float] = field(default_factory=list)
    added_tail: list[float] = field(default_factory=list)


class Meter:
    """Sends requests and reads the host's processor time.

    Args:
        session: HTTP client.
        deployment: The deployment.
    """

    def __init__(self, session: ClientSession, deployment: Deployment) -> None:
        self._session = session
        self._host = deployment.hosts[0]
        engine = next(iter(deployment.engines.values()))
        self._direct = f'http://{engine.listening["main"]}'
        self._routed = f'http://{self._host.listening["callers"]}'

    async def wait(self) -> None:
        """Wait until the host can answer requests."""
        while True:
            try:
                await self._send(self._routed, SHORT_TOKENS, 0)
            except RuntimeError:
                await asyncio.sleep(0.2)
            else:
                return

    async def measure(self, figures: Figures) -> None:
        """Make one run and add its figures."""
        short = await self._time_per_request(SHORT_TOKENS)
        long = await self._time_per_request(LONG_TOKENS)
        token = (long - short) / (LONG_TOKENS - SHORT_TOKENS)
        figures.token.append(token)
        figures.request.append(short - SHORT_TOKENS * token)
        direct = await self._latencies(self._direct)
        routed = await self._latencies(self._routed)
        figures.added.append(_quantile(routed, 0.5) - _quantile(direct, 0.5))
        figures.added_tail.append(
            _quantile(routed, 0.95) - _quantile(direct, 0.95),
        )

    async def _time_per_request(self, tokens: int) -> float:
        """Return the host's processor time per request, in microseconds.

        Args:
            tokens: Tokens of each answer.
        """
        before = self._processor_time()
        numbers = iter(range(REQUESTS))

        async def send_requests() -> None:
            """Send one request after another."""
            for number in numbers:
                await self._send(self._routed, tokens, number)

        await asyncio.gather(*(send_requests() for _ in range(CONCURRENCY)))
        used = self._processor_time() - before
        return used * _MICROSECONDS_PER_SECOND / REQUESTS

    async def _latencies(self, base: str) -> list[float]:
        """Return the latencies of requests sent one at a time.

        Args:
            base: URL of the host or of an engine.

        Returns:
            Milliseconds of each request.
        """
        samples = []
        for number in range(SEQUENTIAL):
            started_at = time.perf_counter()
            await self._send(base, SHORT_TOKENS, number)
            samples.append(
                (time.perf_counter() - started_at) * _MILLISECONDS_PER_SECOND
            )
        return samples

    async def _send(self, base: str, tokens: int, number: int) -> None:
        """Send one request and read the complete answer."""
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
        """Return the processor seconds that the host's process has used."""
        stat = Path(f'/proc/{self._host.process.pid}/stat').read_text()
        # Fields 14 and 15, counted from the end of the process name, which is
        # in brackets.
        fields = stat.rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def _quantile(samples: list[float], fraction: float) -> float:
    """Return a quantile of some values."""
    return sorted(samples)[int(fraction * (len(samples) - 1))]


async def run() -> Figures:
    """Start a deployment and measure its host."""
    figures = Figures()
    async with Processes() as processes:
        deployment = await start(processes, _RIG)
        async with ClientSession() as session:
            meter = Meter(session, deployment)
            await meter.wait()
            await meter.measure(Figures())
            for _ in range(RUNS):
                await meter.measure(figures)
    return figures


def main() -> int:
    """Print the median and the spread of each figure."""

    async def run_with_limit() -> Figures:
        """Measure within the time limit."""
        async with asyncio.timeout(TIME_LIMIT):
            return await run()

    figures = asyncio.run(run_with_limit())
    rows = (
        ('processor time a request', figures.request, 'us'),
        ('processor time a token', figures.token, 'us'),
        ('added latency, median', figures.added, 'ms'),
        ('added latency, 95 in 100', figures.added_tail, 'ms'),
    )
    for title, samples, unit in rows:
        sys.stdout.write(
            f'{title:26} {statistics.median(samples):9.2f} {unit}'
            f'  ({min(samples):.2f} to {max(samples):.2f}, '
            f'{len(samples)} runs)\n',
        )
    return 0


if __name__ == '__main__':
    sys.exit(main())
