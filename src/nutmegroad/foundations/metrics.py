"""Metrics of one host, on a registry of their own."""

from collections.abc import Callable, Generator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from nutmegroad.foundations._quality_metrics import QualityMetrics
from nutmegroad.foundations.accounting import PartCost
from nutmegroad.foundations.results import ResultCode
from nutmegroad.foundations.types import (
    Presence,
    Revision,
    TaskName,
    VersionId,
    WorkspaceId,
)

_NAMESPACE: Final = 'nutmegroad'
#: Seconds; fine about 0.42 s, the bound that the first token has to meet.
_FIRST_TOKEN: Final = (
    0.02, 0.05, 0.1, 0.2, 0.3, 0.42, 0.6, 1.0, 2.0, 5.0, 10.0, 30.0,
)  # fmt: skip
#: Seconds; fine about 44 ms, the bound between tokens.
_BETWEEN_TOKENS: Final = (
    0.005, 0.01, 0.02, 0.03, 0.044, 0.06, 0.1, 0.2, 0.5, 1.0, 5.0,
)  # fmt: skip
_WHOLE_TIME: Final = (
    0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 20.0, 40.0, 60.0, 120.0,
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class _CounterSpec:
    """A counter: its name without ``_total``, its meaning, its labels."""

    name: str
    meaning: str
    labels: tuple[str, ...]


_COUNTERS: Final = (
    _CounterSpec('refusals', 'Refusals that callers got', ('code',)),
    _CounterSpec('operator_refusals', 'Refusals to operators', ('code',)),
    _CounterSpec('retries', 'Retries by their reason', ('code',)),
    _CounterSpec(
        'requests',
        'Requests that ended',
        ('workspace', 'task', 'outcome'),
    ),
    _CounterSpec('attempts', 'Attempts at upstreams', ('version', 'outcome')),
    _CounterSpec(
        'service_attempts',
        'Attempts at upstreams of plain services',
        ('service', 'outcome'),
    ),
    _CounterSpec('cost', 'Cost of requests', ('workspace', 'task')),
    _CounterSpec('invariant_failures', 'Invariants broken', ('name',)),
    _CounterSpec('record_events', 'What befell records', ('event',)),
    _CounterSpec('dropped_replies', 'Replies that came for nobody', ('kind',)),
    _CounterSpec('host_events', 'What befell links to hosts', ('event',)),
    _CounterSpec('control_bytes', 'Bytes for control', ('part', 'direction')),
    _CounterSpec(
        'control_messages',
        'Messages for control',
        ('part', 'direction'),
    ),
    _CounterSpec('control_cpu_seconds', 'Seconds for control', ('part',)),
)


@unique
class Direction(Enum):
    """Which way a message between hosts went."""

    SENT = 'sent'
    RECEIVED = 'received'


class LatencyMetrics:
    """How long callers wait, in seconds.

    Args:
        registry: Where the metrics are registered.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._first = _histogram(
            'first_token',
            'Seconds from a request to its first token',
            _FIRST_TOKEN,
            registry,
        )
        self._between = _histogram(
            'between_tokens',
            'Seconds between two tokens',
            _BETWEEN_TOKENS,
            registry,
        )
        self._whole = _histogram(
            'whole_time',
            'Seconds from a request to the end of its answer',
            _WHOLE_TIME,
            registry,
        )

    def first_token(self, task: TaskName, seconds: float) -> None:
        """Observe the time to a first token."""
        self._first.labels(task).observe(seconds)

    def between_tokens(self, task: TaskName, seconds: float) -> None:
        """Observe the time between two tokens."""
        self._between.labels(task).observe(seconds)

    def whole_time(self, task: TaskName, seconds: float) -> None:
        """Observe the time to the end of an answer."""
        self._whole.labels(task).observe(seconds)


class StateMetrics:
    """What a host is like now.

    Args:
        registry: Where the metrics are registered.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._revision = _gauge('revision', 'Revision in force', registry)
        self._heard = _gauge(
            'revision_heard',
            'Highest revision of which the host has heard',
            registry,
        )
        self._isolated = _gauge('isolated', '1 while isolated', registry)
        self._lease_age = _gauge(
            'lease_age_seconds',
            'Seconds since the configuration was confirmed',
            registry,
        )
        self._in_flight = _gauge('in_flight', 'Requests that run', registry)
        self._resident = _gauge(
            'resident_bytes',
            'Memory that the process holds',
            registry,
        )
        self._queued = _gauge('queued', 'Requests that wait', registry)
        self._unstored = Gauge(
            'unstored_records',
            'Records that wait to be stored',
            ('kind',),
            namespace=_NAMESPACE,
            registry=registry,
        )
        self._members = Gauge(
            'members',
            'Hosts that this one knows',
            ('presence',),
            namespace=_NAMESPACE,
            registry=registry,
        )

    def revision(self, revision: Revision) -> None:
        """Set the revision in force."""
        self._revision.set(revision)

    def heard(self, revision: Revision) -> None:
        """Set the highest revision of which the host has heard."""
        self._heard.set(revision)

    def isolated(self, isolated: bool) -> None:
        """Set whether nothing confirms the configuration."""
        self._isolated.set(isolated)

    def lease_age(self, seconds: float) -> None:
        """Set the seconds since the configuration was confirmed."""
        self._lease_age.set(seconds)

    def in_flight(self, requests: int) -> None:
        """Set how many requests run."""
        self._in_flight.set(requests)

    def queued(self, requests: int) -> None:
        """Set how many requests wait."""
        self._queued.set(requests)

    def resident(self, size: int) -> None:
        """Set the bytes of memory that the process holds."""
        self._resident.set(size)

    def unstored(self, kind: str, records: int) -> None:
        """Set how many records of a kind wait to be stored."""
        self._unstored.labels(kind).set(records)

    def members(self, presence: Presence, hosts: int) -> None:
        """Set how many hosts stand so."""
        self._members.labels(presence.value).set(hosts)


class Metrics:
    """All metrics of one host.

    Args:
        thread_time: Returns the processor seconds of this thread, such as
            ``time.thread_time``.

    Attributes:
        latency: How long callers wait.
        state: What the host is like now.
        quality: What is believed of versions.
    """

    def __init__(self, thread_time: Callable[[], float]) -> None:
        self._thread_time = thread_time
        self._registry = CollectorRegistry()
        self._counters = {
            entry.name: Counter(
                entry.name,
                entry.meaning,
                entry.labels,
                namespace=_NAMESPACE,
                registry=self._registry,
            )
            for entry in _COUNTERS
        }
        self.latency = LatencyMetrics(self._registry)
        self.state = StateMetrics(self._registry)
        self.quality = QualityMetrics(self._registry)

    def refused(self, code: ResultCode) -> None:
        """Count a refusal that a caller got."""
        self._add('refusals', code.name)

    def operator_refused(self, code: ResultCode) -> None:
        """Count a refusal that an operator got."""
        self._add('operator_refusals', code.name)

    def retried(self, code: ResultCode) -> None:
        """Count a retry by what ended the attempt before it."""
        self._add('retries', code.name)

    def request_ended(
        self,
        workspace: WorkspaceId,
        task: TaskName,
        outcome: ResultCode,
    ) -> None:
        """Count a request that has its answer or its refusal."""
        self._add('requests', workspace, task, outcome.name)

    def attempt_ended(self, version: VersionId, outcome: ResultCode) -> None:
        """Count an attempt at an upstream."""
        self._add('attempts', version, outcome.name)

    def service_attempt_ended(
        self,
        service: TaskName,
        outcome: ResultCode,
    ) -> None:
        """Count an attempt at an upstream of a plain service."""
        self._add('service_attempts', service, outcome.name)

    def charged(
        self,
        workspace: WorkspaceId,
        task: TaskName,
        cost: float,
    ) -> None:
        """Add the cost of a request."""
        self._add('cost', workspace, task, amount=cost)

    def invariant_failed(self, name: str) -> None:
        """Count an invariant that did not hold."""
        self._add('invariant_failures', name)

    def record_event(self, event: str) -> None:
        """Count something that befell the records."""
        self._add('record_events', event)

    def reply_dropped(self, kind: str) -> None:
        """Count a reply that came for nobody, such as a late one."""
        self._add('dropped_replies', kind)

    def control_message(
        self,
        part: str,
        direction: Direction,
        size: int,
        messages: int = 1,
    ) -> None:
        """Count control messages of so many bytes in all."""
        self._add('control_bytes', part, direction.value, amount=size)
        self._add(
            'control_messages',
            part,
            direction.value,
            amount=messages,
        )

    def host_event(self, event: str, count: int) -> None:
        """Count something that befell links to hosts, or the membership."""
        self._add('host_events', event, amount=count)

    def control_cost(self, part: str, cost: PartCost) -> None:
        """Add what a part has spent."""
        directions = (
            (Direction.SENT, cost.sent_bytes, cost.sent_messages),
            (Direction.RECEIVED, cost.received_bytes, cost.received_messages),
        )
        for direction, size, count in directions:
            labels = (part, direction.value)
            self._add('control_bytes', *labels, amount=size)
            self._add('control_messages', *labels, amount=count)
        seconds = cost.processor_seconds
        self._add('control_cpu_seconds', part, amount=seconds)

    @contextmanager
    def control_time(self, part: str) -> Generator[None, None, None]:
        """Add the processor time of the block, which must not await.

        A block that awaits would be charged for all that runs meanwhile.
        """
        began = self._thread_time()
        try:
            yield
        finally:
            spent = self._thread_time() - began
            self._add('control_cpu_seconds', part, amount=spent)

    def render(self) -> bytes:
        """Return all metrics in the text form that Prometheus reads."""
        return generate_latest(self._registry)

    def _add(self, name: str, *labels: str, amount: float = 1) -> None:
        """Add to a counter."""
        self._counters[name].labels(*labels).inc(amount)


def _histogram(
    name: str,
    meaning: str,
    buckets: tuple[float, ...],
    registry: CollectorRegistry,
) -> Histogram:
    """Return a histogram by task class, in seconds."""
    return Histogram(
        name,
        meaning,
        ('task',),
        namespace=_NAMESPACE,
        unit='seconds',
        buckets=buckets,
        registry=registry,
    )


def _gauge(name: str, meaning: str, registry: CollectorRegistry) -> Gauge:
    """Return a gauge without labels."""
    return Gauge(name, meaning, namespace=_NAMESPACE, registry=registry)
