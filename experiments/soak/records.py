"""What the judge of a randomised run keeps of requests and events."""

from collections import Counter
from dataclasses import dataclass

import msgspec

from nutmegroad.foundations.types import HostId, WorkspaceId


@dataclass(slots=True)
class CallRecord:
    """A caller's request, as the judge knows it.

    Attributes:
        mark: What it carries; repeats of a request carry the same.
        workspace: Who asks.
        task: Its task class; empty for a service's call.
        service: The service; empty for a model request.
        repeatable: Whether its work may run twice.
        words: Words of the answer that it asks for.
        session: What names its session; empty for none.
        deadline: Seconds that it gives.
        began: Seconds at which it was sent.
    """

    tag: str
    workspace: WorkspaceId
    task: str
    service: str
    repeatable: bool
    words: int
    session: str
    deadline: float
    sent_at: float


@dataclass(frozen=True, slots=True)
class AnsweredRequest:
    """A request that was answered whole.

    Attributes:
        request: Its id.
        host: The host that was asked.
        at: Seconds.
    """

    request: str
    host: HostId
    at: float


@dataclass(slots=True)
class Disturbance:
    """Something that went wrong with hosts or their links.

    Attributes:
        at: Seconds.
        what: What it was.
        until: Seconds at which it was over.
    """

    at: float
    description: str
    until: float = float('inf')


def count_billed(objects: dict[str, bytes], prefix: str) -> dict[str, int]:
    """Return how often each request stands in the billing objects."""
    seen: Counter[str] = Counter()
    for name in sorted(objects):
        if name.startswith(prefix):
            records = msgspec.json.decode(objects[name])
            seen.update({record['request'] for record in records})
    return dict(seen)


def request_of(attempt: str) -> str:
    """Return the request to which an attempt belongs."""
    host, nonce, *_ = attempt.split('.')
    return f'{host}.{nonce}'


def incarnation_of(request: str) -> str:
    """Return the run of the host that named a request."""
    return request.rpartition('-')[0]
