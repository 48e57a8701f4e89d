"""What goes wrong during a scenario: faults, kills and frozen hosts."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

from aiohttp import ClientSession

from experiments.deployment import DOMAINS, Deployment
from experiments.load.load import LoadClient
from experiments.processes import Running

#: Seconds after which the balancer takes a host out that does not answer.
BALANCER_DELAY: Final = 2.0


@dataclass(frozen=True, slots=True)
class Scene:
    """What an incident can act on.

    Attributes:
        running: The deployment.
        client: The load client, which is the balancer as well.
        session: HTTP client for faults.
        name: Name of the deployment's example.
    """

    running: Deployment
    client: LoadClient
    session: ClientSession
    name: str

    @property
    def domain(self) -> str:
        """Return the domain that incidents strike."""
        return DOMAINS[self.name][0]

    async def fault(self, target: Running, **order: Any) -> None:
        """Switch a fault on in a stand-in."""
        url = f'http://{target.listening["main"]}/admin/faults'
        async with self.session.post(url, json=order) as response:
            response.raise_for_status()


#: Does what goes wrong.
Action = Callable[[Scene], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Incident:
    """Something that goes wrong at a moment.

    Attributes:
        at: Share of the run's time.
        action: Brings it about.
    """

    at: float
    action: Action


async def kill_engines(scene: Scene) -> None:
    """Kill every engine of one domain."""
    for name, engine in scene.running.engines.items():
        if name.startswith(scene.domain):
            engine.signal(signal.SIGKILL)
            scene.running.killed.add(name)


def slow_engine(factor: float) -> Action:
    """Return what makes one engine slow, but not dead."""

    async def action(scene: Scene) -> None:
        """Slow the first engine down."""
        engine = next(iter(scene.running.engines.values()))
        await scene.fault(engine, kind='slow', scope='answers', delay=factor)

    return action


def turn_bad(version: str, quality: float, seconds: float = 0) -> Action:
    """Return what makes a version bad on all engines.

    Args:
        version: The version.
        quality: The mean quality that it falls to.
        seconds: How long the fall takes; 0 for at once.
    """

    async def action(scene: Scene) -> None:
        """Make it bad."""
        faults = [
            scene.fault(
                engine,
                kind='bad',
                version=version,
                quality=quality,
                seconds=seconds,
            )
            for engine in scene.running.engines.values()
        ]
        await asyncio.gather(*faults)

    return action


def platform_down(seconds: float | None = None) -> Action:
    """Return what takes the platform down, for a time or for good."""

    async def action(scene: Scene) -> None:
        """Take it down."""
        await scene.fault(
            scene.running.platform,
            kind='down',
            scope='all',
            seconds=seconds,
        )

    return action


async def freeze_domain(scene: Scene) -> None:
    """Stop the hosts of one domain; the balancer notices later."""
    frozen: set[int] = set()
    for place, host in enumerate(scene.running.hosts):
        if host.name.startswith(scene.domain):
            host.signal(signal.SIGSTOP)
            frozen.add(place)
    await asyncio.sleep(BALANCER_DELAY)
    scene.client.avoided |= frozen


async def thaw_domain(scene: Scene) -> None:
    """Let the frozen hosts go on; the balancer takes them in later."""
    for host in scene.running.hosts:
        if host.name.startswith(scene.domain):
            host.signal(signal.SIGCONT)
    await asyncio.sleep(BALANCER_DELAY)
    scene.client.avoided.clear()


async def play(
    scene: Scene,
    incidents: tuple[Incident, ...],
    seconds: float,
) -> None:
    """Let each incident happen at its moment."""
    for incident in incidents:
        await asyncio.sleep(max(0, incident.at * seconds - scene.client.now))
        await incident.action(scene)
