"""Settings of the daemon: flags and environment variables, all checked."""

from dataclasses import dataclass

from nutmegroad.types import Address, DomainId, HostId


@dataclass(frozen=True, slots=True)
class Settings:
    """What a host is told at start.

    Attributes:
        host: Id of this host, unique in the deployment.
        domain: Failure domain that it stands in.
        callers: Where it listens to callers.
        operators: Where it listens to operators.
        peers: Where it listens to other hosts.
        platform: Where the platform's service is.
        seeds: Peer addresses of some other hosts, to start from.
        cluster_key: Secret that hosts share; from the environment only.
        bootstrap_token: Operator token that holds until a configuration
            with operators is in force; from the environment only.
        lease: Seconds for which a confirmed configuration holds.
        poll: Seconds between reads of the configuration's head.
        heartbeat: Seconds between heartbeats to peers.
        drain: Seconds that a graceful stop may take.
        max_body: Bytes that a caller's body may have.
        body_timeout: Seconds that a caller may take to send its body.
        log_format: ``text`` or ``json``.
        seed: Seed for randomness; None takes one from the system.
    """

    host: HostId
    domain: DomainId
    callers: Address
    operators: Address
    peers: Address
    platform: Address
    cluster_key: str
    seeds: tuple[Address, ...] = ()
    bootstrap_token: str = ''
    lease: float = 8.0
    poll: float = 2.0
    heartbeat: float = 1.0
    drain: float = 30.0
    max_body: int = 4_000_000
    body_timeout: float = 20.0
    log_format: str = 'text'
    seed: int | None = None
