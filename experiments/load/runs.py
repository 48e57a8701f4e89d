"""Executes one run (a scenario, an arm and a seed) on its own deployment."""

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
    call_operator_api,
    operator_token,
    start,
)
from experiments.load.client import LoadClient, RequestResult, client_session
from experiments.load.compression import compressed_configuration
from experiments.load.incidents import IncidentContext, run_incidents
from experiments.load.observations import Observer
from experiments.load.run_reports import RunData, RunReport, build_report
from experiments.load.run_specs import RunSpec, plan_requests
from experiments.load.scenarios import DEPLOYMENTS
from experiments.processes import Processes
from nutmegroad.contracts.documents import Role

#: Seconds in which all hosts receive the list of upstreams and the preset.
SETTLE_SECONDS: Final = 1.5


async def execute_run(run_spec: RunSpec, folder: Path) -> RunReport:
    """Execute a run and report its results.

    Args:
        run_spec: Specification of the run.
        folder: Folder that will hold the logs of the processes.
    """
    logs = _log_folder(folder, run_spec)
    async with AsyncExitStack() as stack:
        processes = Processes(logs)
        async with processes:
            running = await start(processes, _deployment_spec(run_spec))
            session = await stack.enter_async_context(client_session())
            observer = Observer(running, session, logs)
            await switch_preset(running, run_spec.scenario.preset)
            await asyncio.sleep(SETTLE_SECONDS)
            request_results = await _send_traffic(
                run_spec, running, session, observer
            )
            await observer.collect()
        observer.read_logs()
    codes = _unexpected_exit_codes(processes, running)
    run_data = RunData(
        request_results, observer.observations, running.document, codes
    )
    return build_report(run_spec, run_data)


def _log_folder(folder: Path, run_spec: RunSpec) -> Path:
    """Return the log folder of a run, emptied of logs from earlier runs."""
    logs = folder / 'logs' / run_spec.name
    logs.mkdir(parents=True, exist_ok=True)
    for old_log in logs.glob('*.log'):
        old_log.unlink()
    return logs


def _deployment_spec(run_spec: RunSpec) -> Rig:
    """Return the deployment of a run with the policies of its arm."""
    rig = DEPLOYMENTS[run_spec.scenario.deployment]
    return replace(
        rig,
        host_args=(*rig.host_args, *run_spec.arm.flags),
        text=compressed_configuration(rig.name),
    )


def _unexpected_exit_codes(
    processes: Processes, running: Deployment
) -> dict[str, int]:
    """Return the nonzero exit codes of processes that were not killed."""
    return {
        name: code
        for name, code in processes.exit_codes.items()
        if code and name not in running.killed
    }


async def switch_preset(running: Deployment, preset: str) -> None:
    """Apply a preset through the operators' interface."""
    operators = running.document.operators
    name = next(
        operator.name for operator in operators if operator.role is Role.OPERATE
    )
    await call_operator_api(
        running.operator_addresses[0],
        'preset',
        {'preset': preset},
        operator_token(name),
    )


async def _send_traffic(
    run_spec: RunSpec,
    running: Deployment,
    session: ClientSession,
    observer: Observer,
) -> list[RequestResult]:
    """Send the traffic of a run while its incidents take place."""
    requests = plan_requests(run_spec, running.document)
    client = LoadClient(running.caller_addresses, started_at=time.monotonic())
    name = run_spec.scenario.deployment
    context = IncidentContext(running, client, session, name)
    observer.begin_load()
    tasks = [
        asyncio.create_task(
            run_incidents(
                context, run_spec.scenario.incidents, run_spec.seconds
            ),
        ),
        asyncio.create_task(observer.poll_platform_calls(client)),
    ]
    request_results = await client.run(session, requests)
    observer.end_load()
    # An exception in an incident fails the run.
    await tasks[0]
    tasks[1].cancel()
    with suppress(asyncio.CancelledError):
        await tasks[1]
    return request_results
