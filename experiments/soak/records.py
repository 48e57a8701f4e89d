"""Records of requests and disturbances that the judge keeps."""

from collections import Counter
from dataclasses import dataclass

import msgspec

from nutmegroad.foundations.types import HostId, WorkspaceId


@dataclass(slots=True)
class Call:
    """A caller's request.

    Attributes:
        tag: Identifies the request; its duplicates carry the same tag.
        workspace: The workspace that sends it.
        task: Its task class; empty for a call of a service.
        service: The service; empty for a model request.
        repeatable: Whether its work may run twice.
        words: Number of words of the requested answer.
        session: Name of its session; empty for none.
        deadline: Its deadline in seconds after it is sent.
        sent_at: Time at which it was sent, in seconds.
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
    """A request that was answered completely.

    Attributes:
        request: Its id.
        host: The host that answered it.
        at: Time of the answer, in seconds.
    """

    request: str
    host: HostId
    at: float


@dataclass(slots=True)
class Disturbance:
    """A fault injected into hosts, their links or the platform.

    Attributes:
        at: Time at which it began, in seconds.
        description: Its kind, followed by its target.
        until: Time at which it ended, in seconds.
    """

    at: float
    description: str
    until: float = float('inf')


def count_billed(objects: dict[str, bytes], prefix: str) -> dict[str, int]:
    """Return the number of stored billing records of each request."""
    seen: Counter[str] = Counter()
    for name in sorted(objects):
        if name.startswith(prefix):
            records = msgspec.json.decode(objects[name])
            seen.update({record['request'] for record in records})
    return dict(seen)


def request_of(attempt: str) -> str:
    """Return the id of the request to which an attempt belongs."""
    host, nonce, *_ = attempt.split('.')
    return f'{host}.{nonce}'


def incarnation_of(request: str) -> str:
    """Return the incarnation of the host that created a request id."""
    return request.rpartition('-')[0]
