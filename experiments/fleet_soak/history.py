"""What a soak of a fleet has seen, as its judges read it."""

import base64
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

OK: Final = 200

#: Seconds that a bound is exceeded by before it counts: two processes on a
#: busy machine read the same clock up to a scheduler's turn apart.
SLACK: Final = 0.5

#: Events of each stream.
EVENTS: Final = 6


@unique
class Kind(Enum):
    """What may be repeated of a request."""

    LOOK = 'look'
    PAY = 'pay'
    DRAFT = 'draft'


@unique
class RolloutEnd(Enum):
    """What hosts have written of a roll-out, in the operator's words."""

    #: No end; a roll-out that is under way.
    NONE = 'running'
    SUCCEEDED = 'succeeded'
    ROLLED_BACK = 'rolled_back'


@dataclass(slots=True)
class OrderedRollout:
    """A roll-out that an operator has ordered; times are monotonic seconds.

    Attributes:
        to: The new version.
        bad: Whether it fails part of its requests.
        ordered: When the order was acknowledged.
        duration: Seconds that it may take.
        ended: When its end was read; infinite while there is none.
        end: What hosts have written.
    """

    to: str
    bad: bool
    ordered: float
    duration: float
    ended: float = float('inf')
    end: RolloutEnd = RolloutEnd.NONE


@dataclass(slots=True)
class Asked:
    """A request as its caller saw it; times are monotonic seconds.

    Attributes:
        request: Its id.
        kind: Its kind.
        host: Which host was asked.
        key: The key that it bore.
        sent: When it was sent.
        ended: When it ended, however; 0 while it has not.
        status: HTTP status; 0 if there was none.
        body: What came of the answer.
        whole: Whether the answer came to its end.
        signed: Whether it bore a worker's signature.
        left_early: Whether its caller leaves before the answer.
        route: The route that an operator had just added; empty for others.
        session: What it belongs to; empty for nothing.
    """

    request: str
    kind: Kind
    host: str
    key: str
    sent: float
    ended: float = 0
    status: int = 0
    body: bytes = b''
    whole: bool = False
    signed: bool = False
    left_early: bool = False
    route: str = ''
    session: str = ''

    @property
    def served(self) -> bool:
        """Tell whether a success came to its end."""
        return self.status == OK and self.whole


@dataclass(frozen=True, slots=True)
class Ran:
    """A request as a worker saw it.

    Attributes:
        request: Its id.
        worker: The worker's id.
        moment: When it began.
        workspace: The workspace that it was told.
        authorization: The key that was passed on; there must be none.
        harmful: The path, if it is one whose requests end workers.
        failed: Whether it was failed on purpose.
    """

    request: str
    worker: str
    moment: float
    workspace: str = ''
    authorization: str = ''
    harmful: str = ''
    failed: bool = False


@dataclass(frozen=True, slots=True)
class Trouble:
    """A span in which something was in trouble.

    Attributes:
        since: When it began.
        until: When it ended.
        host: Whose trouble it was alone; empty if it may have been anybody's.
    """

    since: float
    until: float
    host: str = ''


@dataclass(slots=True)
class History:
    """All that was seen, and what the operator and the plan did.

    Attributes:
        asked: Requests by id.
        ran: Runs, in any order.
        keys: Workspace by key, of all keys that ever held.
        revoked: When a key's end was acknowledged, by key.
        left: When it was acknowledged that a worker leaves, by worker.
        added: When a route was acknowledged, by route.
        versions: The version of each worker.
        rollouts: Roll-outs, in order.
        troubled: Spans in which hosts, links or the store were in trouble.
        stopping: Spans of planned stops, by host.
        calm_from: When the last fault had ended for long enough.
    """

    asked: dict[str, Asked] = field(default_factory=dict)
    ran: list[Ran] = field(default_factory=list)
    keys: dict[str, str] = field(default_factory=dict)
    revoked: dict[str, float] = field(default_factory=dict)
    left: dict[str, float] = field(default_factory=dict)
    added: dict[str, float] = field(default_factory=dict)
    versions: dict[str, str] = field(default_factory=dict)
    rollouts: list[OrderedRollout] = field(default_factory=list)
    troubled: list[Trouble] = field(default_factory=list)
    stopping: list[tuple[str, float, float]] = field(default_factory=list)
    calm_from: float = float('inf')

    @property
    def requests(self) -> tuple[Asked, ...]:
        """Return all requests."""
        return tuple(self.asked.values())

    def of_kind(self, kind: Kind) -> tuple[Asked, ...]:
        """Return the requests of a kind."""
        return tuple(each for each in self.requests if each.kind is kind)

    def runs_of(self, request: str) -> int:
        """Return how often a request ran."""
        return sum(run.request == request for run in self.ran)

    def is_calm(self, begin: float, end: float, before: float = 0) -> bool:
        """Tell whether nothing was in trouble in a span, nor before it."""
        return all(
            each.until < begin - before or each.since > end
            for each in self.troubled
        )

    def is_well(self, host: str, begin: float, end: float) -> bool:
        """Tell whether a host was in no trouble in a span.

        Other hosts may have been: it has to do its work all the same.
        """
        troubled = any(
            each.host in {'', host}
            and each.until >= begin
            and each.since <= end
            for each in self.troubled
        )
        stopped = any(
            stopping == host and until >= begin and since <= end
            for stopping, since, until in self.stopping
        )
        return not troubled and not stopped


@dataclass(frozen=True, slots=True)
class Bounds:
    """The deployment's bounds, in seconds; ratios without a unit."""

    revoke: float = 5
    drain: float = 2
    contact: float = 3
    timeout: float = 4
    ends: int = 3
    repeats_after: int = 3
    apply: float = 2
    repeat_ratio: float = 0.9
    repeat_slack: float = 58
    window: float = 10
    session: float = 5
    moved: int = 3
    expose_share: float = 0.15
    expose_slack: int = 30
    halt: float = 5
    bad_answers: int = 50


@dataclass(frozen=True, slots=True)
class Verdict:
    """What one judge found.

    Attributes:
        judge: Its name.
        moments: How often its rule could have been broken.
        broken: A sentence for each time that it was.
    """

    judge: str
    moments: int
    broken: tuple[str, ...] = ()


def expected_body(request: str, kind: Kind) -> bytes:
    """Return the whole answer that any worker gives to a request."""
    if kind is not Kind.DRAFT:
        return f'answer to {request}'.encode()
    return b''.join(
        event_of(request, number) for number in range(1, EVENTS + 1)
    )


def put_of(table: str, key: str, content: bytes) -> dict[str, object]:
    """Return the transaction that writes one row, as the store reads it."""
    put = {
        'table': table,
        'part': '',
        'key': key,
        'value': base64.b64encode(content).decode(),
    }
    return {'expectedRevision': [], 'puts': [put], 'remove': []}


def event_of(request: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f'id: {number}\ndata: {request} piece {number}\n\n'.encode()
