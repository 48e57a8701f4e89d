"""Starts deployments on loopback: platform, upstreams and hosts.

The hosts are real daemons; platform and upstreams are stand-ins. Each runs as
a process of its own.
"""

import asyncio
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import msgspec
from aiohttp import ClientSession

from experiments.processes import LOOPBACK, Processes, RunningProcess
from nutmegroad.contracts.documents import Document, parse_document
from nutmegroad.foundations.types import Address

EXAMPLES: Final = Path(__file__).parent.parent / 'examples'

#: Failure domains of the deployment of each example configuration.
DOMAINS: Final = {
    'lesen': ('shah-alam', 'petaling', 'cyberjaya'),
    'cascade': ('kent-hall', 'tukwila-hall', 'everett-hall'),
}

#: Seed of the answers of all engine stand-ins. They share it, so that an
#: answer can be resumed on another engine.
ENGINE_SEED: Final = 1

CLUSTER_KEY: Final = 'a-cluster-key-for-demos-only'
BOOTSTRAP_TOKEN: Final = 'a-bootstrap-token-for-demos-only'


#: The versions that each engine of a failure domain has loaded.
Engines = tuple[tuple[str, ...], ...]


@dataclass(frozen=True, slots=True)
class Rig:
    """Size and options of a deployment.

    Attributes:
        name: Name of the example configuration.
        engines: Versions that each engine of a failure domain has loaded.
        hosts: Number of hosts in each domain.
        services: Number of upstreams of the plain service in each domain.
        engine_args: Additional flags for every engine stand-in.
        platform_args: Additional flags for the platform stand-in.
        host_args: Additional flags for every host's daemon.
        engine_overrides: By domain, replaces ``engines`` in that domain.
        text: The configuration, as TOML; empty for the example's.
    """

    name: str
    engines: Engines
    hosts: int = 2
    services: int = 1
    engine_args: tuple[str, ...] = ()
    platform_args: tuple[str, ...] = ()
    host_args: tuple[str, ...] = ('--lame-duck=0.1',)
    engine_overrides: dict[str, Engines] = field(default_factory=dict)
    text: str = ''

    def engines_of(self, domain: str) -> Engines:
        """Return the versions that each engine of a domain has loaded."""
        return self.engine_overrides.get(domain, self.engines)


@dataclass(slots=True)
class Deployment:
    """A deployment's configuration and processes.

    Attributes:
        document: The configuration that was applied.
        text: The same configuration, as TOML.
        platform: The platform stand-in.
        hosts: The hosts.
        engines: Engine stand-ins by id.
        services: Stand-ins of the plain service by id.
        killed: Names of processes that an experiment has killed.
    """

    document: Document
    text: str
    platform: RunningProcess
    hosts: list[RunningProcess] = field(default_factory=list)
    engines: dict[str, RunningProcess] = field(default_factory=dict)
    services: dict[str, RunningProcess] = field(default_factory=dict)
    killed: set[str] = field(default_factory=set)

    @property
    def caller_addresses(self) -> tuple[Address, ...]:
        """Addresses where the hosts listen to callers."""
        return tuple(host.listening['callers'] for host in self.hosts)

    @property
    def operator_addresses(self) -> tuple[Address, ...]:
        """Addresses where the hosts listen to operators."""
        return tuple(host.listening['operators'] for host in self.hosts)


def read_example(name: str) -> str:
    """Return an example configuration, as TOML."""
    return (EXAMPLES / name / 'config.toml').read_text()


def workspace_key(name: str) -> str:
    """Return the key of an example's workspace; the document has its hash."""
    return f'key-{name}'


def operator_token(name: str) -> str:
    """Return the token of an example's operator; the document has its hash."""
    return f'token-{name}'


async def start(processes: Processes, rig: Rig) -> Deployment:
    """Start a deployment and put its configuration into force."""
    text = rig.text or read_example(rig.name)
    document = parse_document(text)
    platform = await processes.start_fake(
        'platform',
        'fakes.platform',
        *rig.platform_args,
    )
    deployment = Deployment(document, text, platform)
    await _start_upstreams(processes, rig, deployment)
    await publish_host_list(deployment, rig)
    await _start_hosts(processes, rig, deployment)
    await apply(deployment)
    return deployment


async def _start_upstreams(
    processes: Processes,
    rig: Rig,
    deployment: Deployment,
) -> None:
    """Start the engines and plain services of all domains concurrently."""
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
    qualities = quality_flags(deployment.document)
    weights = f'--weights={deployment.platform.listening["main"]}'
    starts = [
        processes.start_fake(
            name,
            'fakes.engine',
            f'--id={name}',
            f'--seed={ENGINE_SEED}',
            *rig.engine_args,
            *qualities,
            weights,
            '--versions',
            *versions,
        )
        for name, versions in engines.items()
    ]
    starts.extend(
        processes.start_fake(name, 'fakes.service') for name in services
    )
    started = {fake.name: fake for fake in await asyncio.gather(*starts)}
    deployment.engines.update({name: started[name] for name in engines})
    deployment.services.update({name: started[name] for name in services})


def quality_flags(document: Document) -> list[str]:
    """Return flags that give engine stand-ins the document's qualities."""
    return [
        f'--quality={entry.id}:{task}={quality}'
        for entry in document.versions
        for task, quality in entry.quality.items()
    ]


async def publish_host_list(
    deployment: Deployment,
    rig: Rig,
    leaving: frozenset[str] = frozenset(),
) -> None:
    """Replace the platform's host list by the hosts and upstreams that run.

    Args:
        deployment: The deployment.
        rig: Unused.
        leaving: Ids of upstreams that are listed as draining.
    """
    service = deployment.document.services[0].name
    upstreams = [
        _upstream_entry(name, engine, 'engine', '', leaving)
        for name, engine in deployment.engines.items()
    ]
    upstreams.extend(
        _upstream_entry(name, plain, 'service', service, leaving)
        for name, plain in deployment.services.items()
    )
    hosts = [
        {
            'host': host.name,
            'domain': host.name.rpartition('-host-')[0],
            'ip': LOOPBACK,
            'port': host.listening['peers'].port,
            'presence': 'live',
        }
        for host in deployment.hosts
        if 'peers' in host.listening
    ]
    url = f'http://{deployment.platform.listening["main"]}/hosts'
    async with ClientSession() as session:
        body = {'hosts': hosts, 'upstreams': upstreams}
        async with session.post(url, json=body) as response:
            response.raise_for_status()


def _upstream_entry(
    name: str,
    upstream: RunningProcess,
    kind: str,
    service: str,
    leaving: frozenset[str],
) -> dict[str, Any]:
    """Return one upstream's entry in the host list."""
    address = upstream.listening['main']
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
    deployment: Deployment,
) -> None:
    """Start the hosts; the first is the seed of all others."""
    names = [
        f'{domain}-host-{number}'
        for domain in DOMAINS[rig.name]
        for number in range(rig.hosts)
    ]
    first = await start_host(processes, rig, deployment, names[0])
    deployment.hosts.append(first)
    others = [
        start_host(processes, rig, deployment, name) for name in names[1:]
    ]
    deployment.hosts.extend(await asyncio.gather(*others))
    await publish_host_list(deployment, rig)


async def start_host(
    processes: Processes,
    rig: Rig,
    deployment: Deployment,
    name: str,
) -> RunningProcess:
    """Start one host; the caller adds it to the deployment."""
    domain = name.rpartition('-host-')[0]
    any_port = f'{LOOPBACK}:0'
    seeds = [
        str(host.listening['peers'])
        for host in deployment.hosts
        if 'peers' in host.listening
    ]
    args = [
        f'--host={name}',
        f'--domain={domain}',
        f'--callers={any_port}',
        f'--operators={any_port}',
        f'--peers={any_port}',
        f'--platform={deployment.platform.listening["main"]}',
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


async def call_operator_api(
    address: Address,
    path: str,
    body: dict[str, Any] | None = None,
    token: str = BOOTSTRAP_TOKEN,
) -> Any:
    """Call a host's operator API, and return the decoded reply.

    Args:
        address: Where the host listens to operators.
        path: Path below ``/operators/``.
        body: Body of a ``POST``; None for a ``GET``.
        token: The operator's token.
    """
    url = f'http://{address}/operators/{path}'
    headers = {'Authorization': f'Bearer {token}'}
    async with ClientSession(headers=headers) as session:
        method = 'GET' if body is None else 'POST'
        async with session.request(method, url, json=body) as response:
            return msgspec.json.decode(await response.read())


async def apply(deployment: Deployment) -> None:
    """Apply the configuration; wait until all hosts have it and are ready."""
    await call_operator_api(
        deployment.operator_addresses[0],
        'configuration',
        {'text': deployment.text},
    )
    await wait_for_revision(deployment, 1)
    await wait_until_ready(deployment)


async def wait_until_ready(deployment: Deployment) -> None:
    """Wait until every host is ready, as the platform's load balancer does."""
    async with ClientSession() as session:
        for address in deployment.operator_addresses:
            url = f'http://{address}/readyz'
            while not await _is_ready(session, url):
                await asyncio.sleep(0.1)


async def _is_ready(session: ClientSession, url: str) -> bool:
    """Return whether a host reports that it accepts callers' requests."""
    async with session.get(url) as response:
        return response.ok


async def wait_for_revision(
    deployment: Deployment,
    revision: int,
    token: str = '',
) -> None:
    """Wait until every host has a revision, or a later one, in force.

    Args:
        deployment: The deployment.
        revision: The revision.
        token: An operator's token; empty for the first operator's.
    """
    operator = token or operator_token(deployment.document.operators[0].name)
    for address in deployment.operator_addresses:
        while True:
            status = await call_operator_api(address, 'status', token=operator)
            if status.get('revision', 0) >= revision:
                break
            await asyncio.sleep(0.1)
