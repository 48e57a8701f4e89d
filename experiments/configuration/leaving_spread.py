"""Seconds until a leaving engine gets no more work from any host.

``python -m experiments.configuration.leaving_spread`` starts six hosts and
three engines. Under load from all hosts one engine says to the one host that
asks it next that it is leaving, and to no other; the host list says nothing.
Printed is the time from that order to the last answer that the engine began,
over several runs. It ends after 40 s at most.
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
#: Seconds for all runs and the start.
LIMIT: Final = 40.0
#: Seconds after which each host's own question may take the word back.
HELD: Final = 2.9
#: Callers that ask each host, one request after another.
CALLERS: Final = 2
LOOK: Final = 0.1
#: Seconds in which each host asks the engine at least once.
PERIOD: Final = 1.5


class Measuring:
    """Callers, and what they find at the engine.

    Args:
        running: What is measured.
        session: Makes the calls.
    """

    def __init__(self, running: Deployment, session: ClientSession) -> None:
        address = running.engines[ENGINE].listening['main']
        self.answered = 0
        self.refused = 0
        self.begun: list[int] = []
        self._running = running
        self._session = session
        self._admin = f'http://{address}/admin'

    async def ask(self, host: int) -> None:
        """Ask one host again and again."""
        address = self._running.callers[host]
        url = f'http://{address}/v1/chat/completions'
        headers = {'Authorization': f'Bearer {workspace_key("head-office")}'}
        body = {
            'model': 'brief-small@2',
            'messages': [{'role': 'user', 'content': f'form {host}'}],
            'nutmegroad_tokens': 3,
        }
        while True:
            asking = self._session.post(url, json=body, headers=headers)
            async with asking as reply:
                await reply.read()
            self.answered += reply.ok
            self.refused += not reply.ok

    async def measure(self) -> float:
        """Return the seconds from the word to the last answer begun."""
        await self._until_busy(time.time())
        await asyncio.sleep(PERIOD)
        told = time.time()
        order = {'leaving': True, 'reports': 1}
        async with self._session.post(f'{self._admin}/leave', json=order):
            await asyncio.sleep(HELD)
        begun = [at for at in await self._begun() if at <= told + HELD]
        late = [at for at in begun if at > told]
        self.begun.append(len(late))
        return max(late, default=told) - told

    async def _until_busy(self, since: float) -> None:
        """Wait until the engine begins answers again."""
        while max(await self._begun(), default=0) < since:
            await asyncio.sleep(LOOK)

    async def _begun(self) -> list[float]:
        """Return when the engine began each answer."""
        async with self._session.get(f'{self._admin}/runs') as reply:
            shown: Any = msgspec.json.decode(await reply.read())
        return [run['at'] for run in shown['runs']]


async def run() -> None:
    """Measure until the time is up, and print."""
    spreads: list[float] = []
    async with AsyncExitStack() as stack:
        ends = asyncio.get_running_loop().time() + LIMIT
        processes = await stack.enter_async_context(Processes())
        running = await start(processes, RIG)
        session = await stack.enter_async_context(ClientSession())
        measuring = Measuring(running, session)
        for host in range(len(running.callers) * CALLERS):
            asks = measuring.ask(host % len(running.callers))
            stack.callback(asyncio.create_task(asks).cancel)
        try:
            async with asyncio.timeout_at(ends):
                while True:
                    spreads.append(await measuring.measure())
        except TimeoutError:
            _show(spreads, measuring)


def _show(spreads: list[float], measuring: Measuring) -> None:
    """Print what was found."""
    if not spreads:
        sys.stdout.write('No run ended in time.\n')
        return
    sys.stdout.write(
        f'{len(spreads)} runs: median {statistics.median(spreads):.2f} s, '
        f'{min(spreads):.2f} to {max(spreads):.2f} s; '
        f'answers begun after the word {min(measuring.begun)} to '
        f'{max(measuring.begun)}; {measuring.answered} requests answered, '
        f'{measuring.refused} refused\n',
    )


if __name__ == '__main__':
    asyncio.run(run())
