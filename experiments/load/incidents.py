"""Incidents during a scenario: faults, killed engines and frozen hosts."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

from aiohttp import ClientSession

from experiments.deployment import DOMAINS, Deployment
from experiments.load.client import LoadClient
from experiments.processes import RunningProcess

#: Seconds after which the load balancer notices that a host has stopped or
#: resumed answering.
BALANCER_DELAY: Final = 2.0


@dataclass(frozen=True, slots=True)
class IncidentContext:
    """The deployment and the load client on which incidents act.

    Attributes:
        running: The running deployment.
        client: The load client, which also acts as the load balancer.
        session: HTTP client for injecting faults.
        name: Name of the example deployment.
    """

    running: Deployment
    client: LoadClient
    session: ClientSession
    name: str

    @property
    def domain(self) -> str:
        """The failure domain that incidents affect."""
        return DOMAINS[self.name][0]

    async def inject_fault(
        self, target: RunningProcess, **settings: Any
    ) -> None:
        """Inject a fault into a stand-in.

        Args:
            target: Process of the stand-in.
            **settings: The fault, as the stand-in's admin interface takes it.
        """
        url = f'http://{target.listening["main"]}/admin/faults'
        async with self.session.post(url, json=settings) as response:
            response.raise_for_status()


#: Brings an incident about.
IncidentAction = Callable[[IncidentContext], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Incident:
    """An incident at a given time of a run.

    Attributes:
        at: Its time, as a fraction of the length of the run.
        action: Brings the incident about.
    """

    at: float
    action: IncidentAction


async def kill_engines(context: IncidentContext) -> None:
    """Kill all engines of one failure domain."""
    for name, engine in context.running.engines.items():
        if name.startswith(context.domain):
            engine.signal(signal.SIGKILL)
            context.running.killed.add(name)


def slow_engine(factor: float) -> IncidentAction:
    """Return an action that slows one engine down without stopping it.

    Args:
        factor: Factor by which the engine slows down.
    """

    async def action(context: IncidentContext) -> None:
        """Slow the first engine down."""
        engine = next(iter(context.running.engines.values()))
        await context.inject_fault(
            engine, kind='slow', scope='answers', delay=factor
        )

    return action


def degrade_version(
    version: str, quality: float, seconds: float = 0
) -> IncidentAction:
    """Return an action that lowers the quality of a version on all engines.

    Args:
        version: The version.
        quality: Mean quality after the degradation.
        seconds: Duration of the decline; 0 for an immediate one.
    """

    async def action(context: IncidentContext) -> None:
        """Degrade the version."""
        faults = [
            context.inject_fault(
                engine,
                kind='bad',
                version=version,
                quality=quality,
                seconds=seconds,
            )
            for engine in context.running.engines.values()
        ]
        await asyncio.gather(*faults)

    return action


def platform_outage(seconds: float | None = None) -> IncidentAction:
    """Return an action that takes the platform down.

    Args:
        seconds: Duration of the outage; None for the rest of the run.
    """

    async def action(context: IncidentContext) -> None:
        """Take the platform down."""
        await context.inject_fault(
            context.running.platform,
            kind='down',
            scope='all',
            seconds=seconds,
        )

    return action


async def freeze_domain(context: IncidentContext) -> None:
    """Freeze the hosts of one failure domain with SIGSTOP.

    The load balancer removes them after ``BALANCER_DELAY``.
    """
    frozen: set[int] = set()
    for index, host in enumerate(context.running.hosts):
        if host.name.startswith(context.domain):
            host.signal(signal.SIGSTOP)
            frozen.add(index)
    await asyncio.sleep(BALANCER_DELAY)
    context.client.excluded_hosts |= frozen


async def resume_domain(context: IncidentContext) -> None:
    """Resume the frozen hosts.

    The load balancer restores them after ``BALANCER_DELAY``.
    """
    for host in context.running.hosts:
        if host.name.startswith(context.domain):
            host.signal(signal.SIGCONT)
    await asyncio.sleep(BALANCER_DELAY)
    context.client.excluded_hosts.clear()


async def run_incidents(
    context: IncidentContext,
    incidents: tuple[Incident, ...],
    seconds: float,
) -> None:
    """Bring each incident about at its time.

    Args:
        context: What the incidents act on.
        incidents: The incidents in order.
        seconds: Length of the run.
    """
    for incident in incidents:
        await asyncio.sleep(max(0, incident.at * seconds - context.client.now))
        await incident.action(context)
