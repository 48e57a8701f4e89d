"""Calls to upstreams at an address, for tests of the daemon's clients."""

from typing import Any

from nutmegroad.contracts.upstreams import Attempt, ServiceCall
from nutmegroad.foundations.types import (
    Address,
    AttemptId,
    DomainId,
    UpstreamId,
    UpstreamInfo,
    UpstreamKind,
    VersionId,
)

BODY = b'{"messages":[{"role":"user","content":"hi"}],"nutmegroad_tokens":8}'


def open_gate() -> None:
    """Allow the request."""


def upstream_at(address: Address) -> UpstreamInfo:
    """Return an upstream that listens at an address."""
    return UpstreamInfo(
        UpstreamId('u'),
        DomainId('d'),
        UpstreamKind.ENGINE,
        address,
    )


def attempt_at(address: Address, **changes: Any) -> Attempt:
    """Return an attempt that requests an answer of eight tokens."""
    defaults: dict[str, Any] = {
        'attempt': AttemptId('at'),
        'upstream': upstream_at(address),
        'version': VersionId('a@1'),
        'body': BODY,
        'gate': open_gate,
        'timeout': 10,
    }
    return Attempt(**{**defaults, **changes})


def call_at(address: Address, **changes: Any) -> ServiceCall:
    """Return a call to a service."""
    defaults: dict[str, Any] = {
        'attempt': AttemptId('at'),
        'upstream': upstream_at(address),
        'method': 'POST',
        'path': 'fees/receipt',
        'body': b'{}',
        'content_type': 'application/json',
        'gate': open_gate,
        'timeout': 10,
        'key': 'k1',
    }
    return ServiceCall(**{**defaults, **changes})
