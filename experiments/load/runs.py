"""One run: one scenario, one arm, one seed, on its own deployment."""

import asyncio
import time
from contextlib import AsyncExitStack, suppress
from dataclasses import replace
from pathlib import Path
from typing import Final

from aiohttp import ClientSession

from experiments.deployment import (
    Deployment,
    Rig,
    operate,
    operator_token,
    start,
)
from experiments.load.compression import compressed
from experiments.load.incidents import Scene, play
from experiments.load.load import LoadClient, Record, client_session
from experiments.load.observations import Observer
from experiments.load.orders import Order, asks_of
from experiments.load.scenarios import RIGS
from experiments.load.summaries import Report, Seen, report
from experiments.processes import Processes
from nutmegroad.contracts.documents import Role

#: Seconds for hosts to hear of upstreams and of the preset.
SETTLE: Final = 1.5


async def run(order: Order, folder: Path) -> Report:
    """Carry a run out.

    Args:
        order: What is to be run.
        folder: Where the processes' logs go.
    """
    logs = _log_folder(folder, order)
    async with AsyncExitStack() as stack:
        processes = Processes(logs)
        async with processes:
            running = await start(processes, _rig(order))
            session = await stack.enter_async_context(client_session())
            observer = Observer(running, session, logs)
            await switch_preset(running, order.scenario.preset)
            await asyncio.sleep(SETTLE)
            records = await _load(order, running, session, observer)
            await observer.collect()
        observer.read_logs()
    codes = _unasked(processes, running)
    seen = Seen(records, observer.observed, running.document, codes)
    return report(order, seen)


def _log_folder(folder: Path, order: Order) -> Path:
    """Return an empty folder for a run's logs."""
    logs = folder / 'logs' / order.name
    logs.mkdir(parents=True, exist_ok=True)
    for old in logs.glob('*.log'):
        old.unlink()
    return logs


def _rig(order: Order) -> Rig:
    """Return the deployment of a run, with its arm's policies."""
    rig = RIGS[order.scenario.deployment]
    return replace(
        rig,
        host_args=(*rig.host_args, *order.arm.flags),
        text=compressed(rig.name),
    )


def _unasked(processes: Processes, running: Deployment) -> dict[str, int]:
    """Return the codes of processes that failed and were not killed."""
    return {
        name: code
        for name, code in processes.exit_codes.items()
        if code and name not in running.killed
    }


async def switch_preset(running: Deployment, preset: str) -> None:
    """Put a preset into force."""
    operators = running.document.operators
    name = next(one.name for one in operators if one.role is Role.OPERATE)
    await operate(
        running.operators[0],
        'preset',
        {'preset': preset},
        operator_token(name),
    )


async def _load(
    order: Order,
    running: Deployment,
    session: ClientSession,
    observer: Observer,
) -> list[Record]:
    """Send the traffic while the incidents happen."""
    asks = asks_of(order, running.document)
    client = LoadClient(running.callers, origin=time.monotonic())
    name = order.scenario.deployment
    scene = Scene(running, client, session, name)
    observer.begin()
    tasks = [
        asyncio.create_task(
            play(scene, order.scenario.incidents, order.seconds),
        ),
        asyncio.create_task(observer.count_calls(client)),
    ]
    records = await client.run(session, asks)
    observer.end_load()
    # An incident that failed fails the run.
    await tasks[0]
    tasks[1].cancel()
    with suppress(asyncio.CancelledError):
        await tasks[1]
    return records
