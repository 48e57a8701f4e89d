"""Records of a soak run that the judges evaluate."""

from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

OK: Final = 200

#: Seconds by which a bound may be exceeded before that counts: on a busy
#: machine, two processes read the same clock up to a scheduling delay apart.
TOLERANCE: Final = 0.5

#: Number of events in each streamed answer.
STREAM_EVENTS: Final = 6


@unique
class Kind(Enum):
    """Kind of a request, by which the operator's route allows retries.

    Values are the names of the routes: look-ups are idempotent, payments are
    not, and drafts are streamed.
    """

    LOOK = 'look'
    PAY = 'pay'
    DRAFT = 'draft'


@unique
class RolloutOutcome(Enum):
    """State of a rollout, as hosts write it into the store."""

    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    ROLLED_BACK = 'rolled_back'


@dataclass(slots=True)
class OrderedRollout:
    """A rollout ordered by the operator; times are monotonic seconds.

    Attributes:
        version: The new version.
        bad: Whether the new version fails a fraction of its requests.
        ordered_at: When the store acknowledged the order.
        duration: Time limit of the rollout in seconds.
        ended_at: When its outcome was read or waiting for it timed out;
            infinite before.
        outcome: The outcome that hosts have written; ``RUNNING`` if none.
    """

    version: str
    bad: bool
    ordered_at: float
    duration: float
    ended_at: float = float('inf')
    outcome: RolloutOutcome = RolloutOutcome.RUNNING


@dataclass(slots=True)
class Evacuation:
    """An evacuation ordered by the operator; times are monotonic seconds.

    Attributes:
        domain: The failure domain.
        ordered_at: When the store acknowledged the order.
        ended_at: When the operator began to withdraw it; infinite before.
    """

    domain: str
    ordered_at: float
    ended_at: float = float('inf')


@dataclass(slots=True)
class RequestRecord:
    """A request as its caller observed it; times are monotonic seconds.

    Attributes:
        request_id: The request's id.
        kind: The request's kind.
        host: Name of the host that it was sent to; the address for requests
            that neither a ``Caller`` nor a ``Prober`` sent.
        key: The API key that it carried.
        sent_at: When it was sent.
        ended_at: When it ended, with or without an answer; 0 while pending.
        status: HTTP status of the answer; 0 if there was none.
        body: The part of the answer's body that was received.
        complete: Whether the answer was received to its end.
        signed: Whether the answer carried a worker's signature.
        abandoned: Whether the request is exempt from the rules on answer
            times and planned stops: its caller disconnects before the answer,
            or it is a probe or another request not sent by a ``Caller``.
        route: The recently added route that it probes; empty for others.
        session: The session that it belongs to; empty for none.
        in_crowd: Whether it is part of a crowd at one host.
        left_at: When its caller disconnected without an answer; 0 if it did
            not.
    """

    request_id: str
    kind: Kind
    host: str
    key: str
    sent_at: float
    ended_at: float = 0
    status: int = 0
    body: bytes = b''
    complete: bool = False
    signed: bool = False
    abandoned: bool = False
    route: str = ''
    session: str = ''
    in_crowd: bool = False
    left_at: float = 0

    @property
    def served(self) -> bool:
        """Whether a complete successful answer was received."""
        return self.status == OK and self.complete


@dataclass(frozen=True, slots=True)
class Ran:
    """An execution of a request, as its worker reported it.

    Attributes:
        request_id: The request's id.
        worker: The worker's id.
        started_at: When the execution started, in monotonic seconds.
        workspace: The workspace that the host named in the request.
        authorization: The key that the host forwarded; must be empty.
        harmful: The request's path, or the part of its prompt, that crashes
            workers; empty if it does not.
        failed: Whether the worker failed it deliberately.
    """

    request_id: str
    worker: str
    started_at: float
    workspace: str = ''
    authorization: str = ''
    harmful: str = ''
    failed: bool = False


@dataclass(frozen=True, slots=True)
class FaultInterval:
    """A span in which an unplanned fault was in effect.

    Attributes:
        since: When the fault began, in monotonic seconds.
        until: When the fault ended; infinite while it lasts.
        host: The only host that it affects; empty if it may affect any.
    """

    since: float
    until: float
    host: str = ''


@dataclass(slots=True)
class HostCut:
    """A span in which hosts had no path to any worker.

    Attributes:
        hosts: Numbers of the hosts.
        since: When it began, in monotonic seconds.
        until: When it ended; infinite while it lasts.
    """

    hosts: tuple[int, ...]
    since: float
    until: float = float('inf')


@dataclass(frozen=True, slots=True)
class BrittleTime:
    """A span in which all workers said that they are brittle.

    Attributes:
        workers: Number of workers.
        since: When it began, in monotonic seconds.
        until: When it ends.
    """

    workers: int
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class NeedTime:
    """A span in which a worker named a limit on its requests.

    Attributes:
        worker: The worker's id.
        limit: Requests in a second that it took from all hosts.
        since: When it began, in monotonic seconds.
        until: When it ends.
    """

    worker: str
    limit: float
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class CrowdTime:
    """A span in which a crowd came to a host with a part of a core.

    Attributes:
        host: Name of the host.
        since: When it began, in monotonic seconds.
        until: When all callers had left.
        core_seconds: Processor time that the host has used meanwhile, beyond
            what it uses without a crowd.
    """

    host: str
    since: float
    until: float
    core_seconds: float


@dataclass(slots=True)
class History:
    """All requests and executions of a run, and all interventions in it.

    Attributes:
        requests_by_id: Requests by id.
        executions: Executions by workers, in any order.
        workspace_by_key: Workspace by API key, of all keys that were ever
            valid.
        revoked_at: By key, when the store acknowledged its revocation.
        draining_since: By worker, when the store acknowledged that it drains.
        route_added_at: By route, when the store acknowledged it.
        versions: Version by worker.
        rollouts: Rollouts, in order.
        domains: Failure domain by worker.
        evacuations: Evacuations, in order.
        fault_intervals: Spans in which hosts, links or the store were faulty.
        planned_stops: Host, begin and end of each planned stop.
        settled_at: When the fleet is expected to have recovered from the last
            fault.
        cuts: Spans in which hosts had no path to any worker.
        brittle_times: Spans in which workers were brittle.
        falls: When brittle workers fell over.
        need_times: Spans in which workers named a limit on their requests.
        crowds: Spans in which a crowd came to a host.
    """

    requests_by_id: dict[str, RequestRecord] = field(default_factory=dict)
    executions: list[Ran] = field(default_factory=list)
    workspace_by_key: dict[str, str] = field(default_factory=dict)
    revoked_at: dict[str, float] = field(default_factory=dict)
    draining_since: dict[str, float] = field(default_factory=dict)
    route_added_at: dict[str, float] = field(default_factory=dict)
    versions: dict[str, str] = field(default_factory=dict)
    rollouts: list[OrderedRollout] = field(default_factory=list)
    domains: dict[str, str] = field(default_factory=dict)
    evacuations: list[Evacuation] = field(default_factory=list)
    fault_intervals: list[FaultInterval] = field(default_factory=list)
    planned_stops: list[tuple[str, float, float]] = field(default_factory=list)
    settled_at: float = float('inf')
    cuts: list[HostCut] = field(default_factory=list)
    brittle_times: list[BrittleTime] = field(default_factory=list)
    falls: list[float] = field(default_factory=list)
    need_times: list[NeedTime] = field(default_factory=list)
    crowds: list[CrowdTime] = field(default_factory=list)

    @property
    def requests(self) -> tuple[RequestRecord, ...]:
        """All requests."""
        return tuple(self.requests_by_id.values())

    def of_kind(self, kind: Kind) -> tuple[RequestRecord, ...]:
        """Return the requests of a kind."""
        return tuple(each for each in self.requests if each.kind is kind)

    def execution_count(self, request_id: str) -> int:
        """Return how many times a request was executed."""
        return sum(run.request_id == request_id for run in self.executions)

    def is_fault_free(
        self, begin: float, end: float, margin: float = 0
    ) -> bool:
        """Return whether no fault was in effect in a span.

        Args:
            begin: Begin of the span.
            end: End of the span.
            margin: Seconds before the span that must be free of faults, too.
        """
        return all(
            each.until < begin - margin or each.since > end
            for each in self.fault_intervals
        )

    def is_unaffected(self, host: str, begin: float, end: float) -> bool:
        """Return whether a host was neither faulty nor stopping in a span.

        Faults of other hosts don't count: they must not affect this host.
        """
        faulty = any(
            each.host in {'', host}
            and each.until >= begin
            and each.since <= end
            for each in self.fault_intervals
        )
        stopped = any(
            stopped_host == host and until >= begin and since <= end
            for stopped_host, since, until in self.planned_stops
        )
        return not faulty and not stopped


@dataclass(frozen=True, slots=True)
class Bounds:
    """The operator's bounds on the fleet, and tolerances of the judges.

    Attributes:
        revoke: Seconds after which a revoked key is rejected.
        drain: Seconds after which a draining worker gets no new requests.
        evacuate: Seconds after which an evacuated domain gets no new requests.
        propagation: Seconds for which a fault's effects may outlast it, and in
            which hosts learn that a request is harmful.
        timeout: Timeout of each route in seconds.
        crash_limit: Crashes after which a request counts as harmful.
        part_crash_limit: Crashes after which a part of a prompt does.
        max_later_executions: Maximum number of executions of a harmful request
            once hosts have learned of it.
        apply: Seconds after which a confirmed configuration is in force.
        retry_ratio: Maximum ratio of retries to requests.
        retry_slack: Number of retries allowed beyond that ratio.
        budget_window: Seconds over which retries are counted.
        session_lifetime: Seconds for which an idle session lives on.
        max_moved_sessions: Number of moved sessions tolerated per rollout.
        exposure_fraction: Maximum traffic fraction of a bad version.
        exposure_slack: Number of requests allowed beyond that fraction.
        rollback: Seconds after which a bad version gets no more requests, once
            it has failed enough of them.
        min_failures: Number of failures that are enough for a rollback.
    """

    revoke: float = 5
    drain: float = 2
    evacuate: float = 2
    propagation: float = 3
    timeout: float = 4
    crash_limit: int = 3
    part_crash_limit: int = 5
    max_later_executions: int = 3
    apply: float = 2
    retry_ratio: float = 0.9
    retry_slack: float = 58
    budget_window: float = 10
    session_lifetime: float = 5
    max_moved_sessions: int = 3
    exposure_fraction: float = 0.15
    exposure_slack: int = 30
    rollback: float = 5
    min_failures: int = 50


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of one judge.

    Attributes:
        judge: The judge's name.
        checked: Number of occasions on which its rule could have been broken.
        violations: A description of each violation of the rule.
    """

    judge: str
    checked: int
    violations: tuple[str, ...] = ()


def expected_body(request_id: str, kind: Kind) -> bytes:
    """Return the complete body with which a worker answers a request."""
    if kind is not Kind.DRAFT:
        return f'answer to {request_id}'.encode()
    return b''.join(
        stream_event(request_id, number)
        for number in range(1, STREAM_EVENTS + 1)
    )


def stream_event(request_id: str, number: int) -> bytes:
    """Return one event of a streamed answer; numbers start at 1."""
    return f'id: {number}\ndata: {request_id} piece {number}\n\n'.encode()
