"""A whole deployment on loopback: platform, upstreams and entry hosts."""

import asyncio
import hashlib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import msgspec
from aiohttp import ClientSession

from experiments.processes import LOOPBACK, Processes, Running
from nutmegroad.contracts.documents import Document, parse_document
from nutmegroad.foundations.types import Address

EXAMPLES: Final = Path(__file__).parent.parent / 'examples'

#: Domains of the two deployments of the brief.
DOMAINS: Final = {
    'lesen': ('shah-alam', 'petaling', 'cyberjaya'),
    'cascade': ('kent-hall', 'tukwila-hall', 'everett-hall'),
}

#: Seed of the answers of all engine stand-ins.
ENGINE_SEED: Final = 1

CLUSTER_KEY: Final = 'a-cluster-key-for-demos-only'
BOOTSTRAP_TOKEN: Final = 'a-bootstrap-token-for-demos-only'

_NO_CONTENT: Final = 204


#: The versions that each engine of a domain has loaded.
Engines = tuple[tuple[str, ...], ...]


@dataclass(frozen=True, slots=True)
class Rig:
    """How large a deployment is set up.

    Attributes:
        name: Name of the example.
        engines: Versions that each engine of a domain has loaded.
        hosts: Entry hosts in each domain.
        services: Upstreams of the plain service in each domain.
        engine_args: More flags for every engine stand-in.
        platform_args: More flags for the platform stand-in.
        host_args: More flags for every daemon.
        uneven: The engines of domains that have others than the rest.
        text: The configuration, as TOML; empty for the example's.
    """

    name: str
    engines: Engines
    hosts: int = 2
    services: int = 1
    engine_args: tuple[str, ...] = ()
    platform_args: tuple[str, ...] = ()
    host_args: tuple[str, ...] = ('--lame-duck=0.1',)
    uneven: dict[str, Engines] = field(default_factory=dict)
    text: str = ''

    def engines_of(self, domain: str) -> Engines:
        """Return the versions of each engine of a domain."""
        return self.uneven.get(domain, self.engines)


@dataclass(slots=True)
class Deployment:
    """What runs.

    Attributes:
        document: The configuration that was applied.
        text: The same, as TOML.
        platform: The platform stand-in.
        hosts: Entry hosts.
        engines: Engine stand-ins by id.
        services: Plain services by id.
        killed: Processes that an experiment has killed.
    """

    document: Document
    text: str
    platform: Running
    hosts: list[Running] = field(default_factory=list)
    engines: dict[str, Running] = field(default_factory=dict)
    services: dict[str, Running] = field(default_factory=dict)
    killed: set[str] = field(default_factory=set)

    @property
    def callers(self) -> tuple[Address, ...]:
        """Return where the hosts listen to callers."""
        return tuple(host.listening['callers'] for host in self.hosts)

    @property
    def operators(self) -> tuple[Address, ...]:
        """Return where the hosts listen to operators."""
        return tuple(host.listening['operators'] for host in self.hosts)


def read_example(name: str) -> str:
    """Return the configuration of an example, as TOML."""
    return (EXAMPLES / name / 'config.toml').read_text()


def workspace_key(name: str) -> str:
    """Return a demo workspace's key; the document has its hash."""
    return f'key-{name}'


def operator_token(name: str) -> str:
    """Return a demo operator's token; the document has its hash."""
    return f'token-{name}'


def hash_of(secret: str) -> str:
    """Return what the document keeps of a secret."""
    return hashlib.sha256(secret.encode()).hexdigest()


async def start(processes: Processes, rig: Rig) -> Deployment:
    """Start a deployment and put its configuration into force."""
    text = rig.text or read_example(rig.name)
    document = parse_document(text)
    platform = await processes.start_fake(
        'platform',
        'fakes.platform',
        *rig.platform_args,
    )
    running = Deployment(document, text, platform)
    await _start_upstreams(processes, rig, running)
    await publish(running, rig)
    await _start_hosts(processes, rig, running)
    await apply(running)
    return running


async def _start_upstreams(
    processes: Processes,
    rig: Rig,
    running: Deployment,
) -> None:
    """Start engines and plain services of every domain, all at once."""
    engines = {
        f'{domain}-engine-{number}': versions
        for domain in DOMAINS[rig.name]
        for number, versions in enumerate(rig.engines_of(domain))
    }
    services = [
        f'{domain}-service-{number}'
        for domain in DOMAINS[rig.name]
        for number in range(rig.services)
    ]
    qualities = quality_flags(running.document)
    weights = f'--weights={running.platform.listening["main"]}'
    starts = [
        processes.start_fake(
            name,
            'fakes.engine',
            f'--id={name}',
            # One seed, so that an answer can be resumed on another engine.
            f'--seed={ENGINE_SEED}',
            *rig.engine_args,
            *qualities,
            weights,
            '--versions',
            *versions,
        )
        for name, versions in engines.items()
    ]
    starts += [processes.start_fake(name, 'fakes.service') for name in services]
    started = {one.name: one for one in await asyncio.gather(*starts)}
    running.engines.update({name: started[name] for name in engines})
    running.services.update({name: started[name] for name in services})


def quality_flags(document: Document) -> list[str]:
    """Return flags that make engines as good as the document says."""
    return [
        f'--quality={entry.id}:{task}={quality}'
        for entry in document.versions
        for task, quality in entry.quality.items()
    ]


async def publish(
    running: Deployment,
    rig: Rig,
    leaving: frozenset[str] = frozenset(),
) -> None:
    """Tell the platform's host list of the upstreams."""
    service = running.document.services[0].name
    upstreams = [
        _listed(name, engine, 'engine', '', leaving)
        for name, engine in running.engines.items()
    ]
    upstreams.extend(
        _listed(name, plain, 'service', service, leaving)
        for name, plain in running.services.items()
    )
    hosts = [
        {
            'host': host.name,
            'domain': host.name.rpartition('-host-')[0],
            'ip': LOOPBACK,
            'port': host.listening['peers'].port,
            'presence': 'live',
        }
        for host in running.hosts
        if 'peers' in host.listening
    ]
    url = f'http://{running.platform.listening["main"]}/hosts'
    async with ClientSession() as session:
        body = {'hosts': hosts, 'upstreams': upstreams}
        async with session.post(url, json=body) as response:
            response.raise_for_status()


def _listed(
    name: str,
    running: Running,
    kind: str,
    service: str,
    leaving: frozenset[str],
) -> dict[str, Any]:
    """Return one upstream's entry of the host list."""
    address = running.listening['main']
    domain, _, _ = name.rpartition(f'-{kind}-')
    return {
        'upstream': name,
        'domain': domain,
        'kind': kind,
        'ip': address.ip,
        'port': address.port,
        'presence': 'leaving' if name in leaving else 'live',
        'service': service,
    }


async def _start_hosts(
    processes: Processes,
    rig: Rig,
    running: Deployment,
) -> None:
    """Start the entry hosts; the first is the seed of all others."""
    names = [
        f'{domain}-host-{number}'
        for domain in DOMAINS[rig.name]
        for number in range(rig.hosts)
    ]
    first = await start_host(processes, rig, running, names[0])
    running.hosts.append(first)
    others = [start_host(processes, rig, running, name) for name in names[1:]]
    running.hosts.extend(await asyncio.gather(*others))
    await publish(running, rig)


async def start_host(
    processes: Processes,
    rig: Rig,
    running: Deployment,
    name: str,
) -> Running:
    """Start one entry host; the caller adds it to the deployment."""
    domain = name.rpartition('-host-')[0]
    nowhere = f'{LOOPBACK}:0'
    seeds = [
        str(host.listening['peers'])
        for host in running.hosts
        if 'peers' in host.listening
    ]
    args = [
        f'--host={name}',
        f'--domain={domain}',
        f'--callers={nowhere}',
        f'--operators={nowhere}',
        f'--peers={nowhere}',
        f'--platform={running.platform.listening["main"]}',
        *rig.host_args,
    ]
    if seeds:
        args.append(f'--seeds={",".join(seeds)}')
    return await processes.start_host(
        name,
        tuple(args),
        {
            'NUTMEGROAD_CLUSTER_KEY': CLUSTER_KEY,
            'NUTMEGROAD_BOOTSTRAP_TOKEN': BOOTSTRAP_TOKEN,
        },
    )


async def operate(
    address: Address,
    path: str,
    body: dict[str, Any] | None = None,
    token: str = BOOTSTRAP_TOKEN,
) -> Any:
    """Make one call to a host's operators' interface."""
    url = f'http://{address}/operators/{path}'
    headers = {'Authorization': f'Bearer {token}'}
    async with ClientSession(headers=headers) as session:
        method = 'GET' if body is None else 'POST'
        async with session.request(method, url, json=body) as response:
            return msgspec.json.decode(await response.read())


async def apply(running: Deployment) -> None:
    """Put the configuration into force, and wait until all hosts have it."""
    await operate(
        running.operators[0],
        'configuration',
        {'text': running.text},
    )
    await wait_for_revision(running, 1)
    await wait_until_ready(running)


async def wait_until_ready(running: Deployment) -> None:
    """Wait, as the platform's balancer does, until every host is ready."""
    async with ClientSession() as session:
        for address in running.operators:
            url = f'http://{address}/readyz'
            while not await _is_ready(session, url):
                await asyncio.sleep(0.1)


async def _is_ready(session: ClientSession, url: str) -> bool:
    """Ask a host whether callers may be sent to it."""
    async with session.get(url) as response:
        return response.ok


async def wait_for_revision(
    running: Deployment,
    revision: int,
    token: str = '',
) -> None:
    """Wait until every host has a revision in force."""
    chosen = token or operator_token(running.document.operators[0].name)
    for address in running.operators:
        while True:
            status = await operate(address, 'status', token=chosen)
            if status.get('revision', 0) >= revision:
                break
            await asyncio.sleep(0.1)
