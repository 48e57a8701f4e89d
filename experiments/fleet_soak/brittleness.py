"""Lets workers be brittle or in need, and sends bursts of requests."""

import asyncio
import signal
import time
from typing import Final

from experiments.fleet_soak.fleet import Fleet
from experiments.fleet_soak.history import BrittleTime
from experiments.fleet_soak.plan import Event
from experiments.fleet_soak.room import (
    BRITTLE_DURATION,
    NEED_DURATION,
    NOTICE,
)

#: Requests at each host in a burst, and the number of bursts.
BURST_SIZE: Final = 40
BURSTS: Final = 3

#: The same while workers are in need: more than their limits allow, and less
#: than the others have room for.
NEED_BURST_SIZE: Final = 4

#: Seconds between two bursts, and until a worker that fell over is back.
BURST_INTERVAL: Final = 1.0


async def make_brittle(fleet: Fleet, event: Event) -> None:
    """Let all workers be brittle for a time, with bursts of requests."""
    workers = tuple(fleet.workers.processes)
    since = time.monotonic()
    period = BrittleTime(len(workers), since, since + BRITTLE_DURATION)
    fleet.history.brittle_times.append(period)
    for worker in workers:
        worker.signal(signal.SIGHUP)
    await asyncio.sleep(NOTICE + BURST_INTERVAL)
    for number in range(BURSTS):
        name = f'burst-{event.at:.2f}-{number}'
        sending = asyncio.ensure_future(fleet.send_burst(name, BURST_SIZE))
        await asyncio.sleep(BURST_INTERVAL)
        await fleet.workers.restart_ended()
        await sending


async def bring_into_need(fleet: Fleet, event: Event) -> None:
    """Let every other worker name a limit for a time, with bursts."""
    for worker in fleet.workers.processes[::2]:
        worker.signal(signal.SIGALRM)
    end = time.monotonic() + NEED_DURATION
    number = 0
    while time.monotonic() < end:
        number += 1
        name = f'need-{event.at:.2f}-{number}'
        await fleet.send_burst(name, NEED_BURST_SIZE)
        await asyncio.sleep(BURST_INTERVAL / 2)
