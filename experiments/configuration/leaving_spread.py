"""Measures how long a draining engine still gets requests from any host.

``python -m experiments.configuration.leaving_spread`` starts six hosts and
three engines. Under load from all hosts, one engine reports that it is
draining, but only to the host that polls it next; the host list does not show
it. Printed is the time from that order to the last answer that the engine
began, over several runs. The program ends after 40 s at most.
"""

import asyncio
import statistics
import sys
import time
from contextlib import AsyncExitStack
from typing import Any, Final

import msgspec
from aiohttp import ClientSession

from experiments.deployment import Deployment, Rig, start, workspace_key
from experiments.processes import Processes

RIG: Final = Rig(
    'lesen',
    (('brief-small@2',),),
    engine_args=('--step-base=0.001', '--report-lag=0.1'),
)
ENGINE: Final = 'petaling-engine-0'
#: Seconds for the start and all runs.
TIME_LIMIT: Final = 40.0
#: Seconds for which the engine is observed after the order. Not longer:
#: each host's own poll of the engine may clear the draining state afterwards.
OBSERVED: Final = 2.9
#: Callers of each host; each sends one request after another.
CALLERS_PER_HOST: Final = 2
#: Seconds between looks at the engine's answers.
CHECK_INTERVAL: Final = 0.1
#: Seconds within which each host polls the engine at least once.
POLL_PERIOD: Final = 1.5


class Measurement:
    """Loads the hosts and observes which answers the engine begins.

    Args:
        deployment: The deployment that is measured.
        session: HTTP client for the callers and for the engine's admin calls.

    Attributes:
        answered: Requests that were answered.
        refused: Requests that were refused.
        late_answers: For each run, how many answers the engine began after
            the order.
    """

    def __init__(self, deployment: Deployment, session: ClientSession) -> None:
        address = deployment.engines[ENGINE].listening['main']
        self.answered = 0
        self.refused = 0
        self.late_answers: list[int] = []
        self._deployment = deployment
        self._session = session
        self._admin = f'http://{address}/admin'

    async def load_host(self, host: int) -> None:
        """Send requests to one host, one after another, until cancelled."""
        address = self._deployment.caller_addresses[host]
        url = f'http://{address}/v1/chat/completions'
        headers = {'Authorization': f'Bearer {workspace_key("head-office")}'}
        body = {
            'model': 'brief-small@2',
            'messages': [{'role': 'user', 'content': f'form {host}'}],
            'nutmegroad_tokens': 3,
        }
        while True:
            call = self._session.post(url, json=body, headers=headers)
            async with call as reply:
                await reply.read()
            self.answered += reply.ok
            self.refused += not reply.ok

    async def measure(self) -> float:
        """Order the engine to drain; return seconds to its last new answer."""
        await self._until_busy(time.time())
        await asyncio.sleep(POLL_PERIOD)
        ordered = time.time()
        order = {'leaving': True, 'reports': 1}
        async with self._session.post(f'{self._admin}/leave', json=order):
            await asyncio.sleep(OBSERVED)
        until = ordered + OBSERVED
        late = [at for at in await self._begun() if ordered < at <= until]
        self.late_answers.append(len(late))
        return max(late, default=ordered) - ordered

    async def _until_busy(self, since: float) -> None:
        """Wait until the engine has begun an answer after a moment."""
        while max(await self._begun(), default=0) < since:
            await asyncio.sleep(CHECK_INTERVAL)

    async def _begun(self) -> list[float]:
        """Return the wall time at which the engine began each answer."""
        async with self._session.get(f'{self._admin}/runs') as reply:
            listed: Any = msgspec.json.decode(await reply.read())
        return [run['at'] for run in listed['runs']]


async def run() -> None:
    """Repeat the measurement until the time limit, and print the results."""
    times: list[float] = []
    async with AsyncExitStack() as stack:
        ends = asyncio.get_running_loop().time() + TIME_LIMIT
        processes = await stack.enter_async_context(Processes())
        deployment = await start(processes, RIG)
        session = await stack.enter_async_context(ClientSession())
        measurement = Measurement(deployment, session)
        for host in range(len(deployment.caller_addresses) * CALLERS_PER_HOST):
            load = measurement.load_host(
                host % len(deployment.caller_addresses)
            )
            stack.callback(asyncio.create_task(load).cancel)
        try:
            async with asyncio.timeout_at(ends):
                while True:
                    times.append(await measurement.measure())
        except TimeoutError:
            _print_results(times, measurement)


def _print_results(times: list[float], measurement: Measurement) -> None:
    """Print the times and the counts of requests."""
    if not times:
        sys.stdout.write('No run ended within the time limit.\n')
        return
    sys.stdout.write(
        f'{len(times)} runs: median {statistics.median(times):.2f} s, '
        f'{min(times):.2f} to {max(times):.2f} s; '
        f'answers begun after the order {min(measurement.late_answers)} to '
        f'{max(measurement.late_answers)}; '
        f'{measurement.answered} requests answered, '
        f'{measurement.refused} refused\n',
    )


if __name__ == '__main__':
    asyncio.run(run())
