"""Prometheus metrics of one host, in a registry of their own.

The name and the help text of a metric are what operators and their tools see.
"""

from collections.abc import Callable, Generator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Histogram,
    generate_latest,
)

from nutmegroad.foundations._quality_metrics import QualityMetrics
from nutmegroad.foundations._state_metrics import StateMetrics
from nutmegroad.foundations.accounting import PartCost
from nutmegroad.foundations.results import ResultCode
from nutmegroad.foundations.types import (
    TaskName,
    VersionId,
    WorkspaceId,
)

_NAMESPACE: Final = 'nutmegroad'
#: Seconds; narrow around 0.42 s, the limit for the time to the first token.
_FIRST_TOKEN_BUCKETS: Final = (
    0.02, 0.05, 0.1, 0.2, 0.3, 0.42, 0.6, 1.0, 2.0, 5.0, 10.0, 30.0,
)  # fmt: skip
#: Seconds; narrow around 44 ms, the limit for the time between tokens.
_BETWEEN_TOKENS_BUCKETS: Final = (
    0.005, 0.01, 0.02, 0.03, 0.044, 0.06, 0.1, 0.2, 0.5, 1.0, 5.0,
)  # fmt: skip
#: Seconds.
_WHOLE_TIME_BUCKETS: Final = (
    0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 20.0, 40.0, 60.0, 120.0,
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class _CounterSpec:
    """Definition of a counter.

    Attributes:
        name: Its name, without namespace and ``_total``.
        help_text: What it counts.
        labels: Names of its labels.
    """

    name: str
    help_text: str
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
    _CounterSpec('task_failures', 'Background tasks that failed', ('task',)),
    _CounterSpec('dropped_replies', 'Replies that came for nobody', ('kind',)),
    _CounterSpec(
        'connection_events', "What befell callers' connections", ('event',)
    ),
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
    """Direction of a message between hosts."""

    SENT = 'sent'
    RECEIVED = 'received'


class LatencyMetrics:
    """Latency of requests as callers see it, in seconds.

    Args:
        registry: Registry to which the metrics are added.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._first_token = _histogram(
            'first_token',
            'Seconds from a request to its first token',
            _FIRST_TOKEN_BUCKETS,
            registry,
        )
        self._between_tokens = _histogram(
            'between_tokens',
            'Seconds between two tokens',
            _BETWEEN_TOKENS_BUCKETS,
            registry,
        )
        self._whole_time = _histogram(
            'whole_time',
            'Seconds from a request to the end of its answer',
            _WHOLE_TIME_BUCKETS,
            registry,
        )

    def observe_first_token(self, task: TaskName, seconds: float) -> None:
        """Observe the time from a request to its first token."""
        self._first_token.labels(task).observe(seconds)

    def observe_between_tokens(self, task: TaskName, seconds: float) -> None:
        """Observe the time between two tokens."""
        self._between_tokens.labels(task).observe(seconds)

    def observe_whole_time(self, task: TaskName, seconds: float) -> None:
        """Observe the time from a request to the end of its answer."""
        self._whole_time.labels(task).observe(seconds)


class Metrics:
    """All metrics of one host.

    Args:
        thread_time: Returns the processor seconds of this thread, such as
            ``time.thread_time``.

    Attributes:
        latency: Latency of requests.
        state: Current state of the host.
        quality: Quality estimates and the arrival of ratings.
    """

    def __init__(self, thread_time: Callable[[], float]) -> None:
        self._thread_time = thread_time
        self._registry = CollectorRegistry()
        self._counters = {
            spec.name: Counter(
                spec.name,
                spec.help_text,
                spec.labels,
                namespace=_NAMESPACE,
                registry=self._registry,
            )
            for spec in _COUNTERS
        }
        self.latency = LatencyMetrics(self._registry)
        self.state = StateMetrics(self._registry)
        self.quality = QualityMetrics(self._registry)

    def refused(self, code: ResultCode) -> None:
        """Count a refusal to a caller."""
        self._add('refusals', code.name)

    def departed_unread(self) -> None:
        """Count a caller that left before its request was read."""
        self._add('connection_events', 'departed_unread')

    def connection_closed(self, state: str, reason: str) -> None:
        """Count a caller's connection that was closed for a reason."""
        self._add('connection_events', f'closed_{state}_{reason}')

    def operator_refused(self, code: ResultCode) -> None:
        """Count a refusal to an operator."""
        self._add('operator_refusals', code.name)

    def retried(self, code: ResultCode) -> None:
        """Count a retry, by the result code of the attempt before it."""
        self._add('retries', code.name)

    def request_ended(
        self,
        workspace: WorkspaceId,
        task: TaskName,
        outcome: ResultCode,
    ) -> None:
        """Count a request that was answered or refused."""
        self._add('requests', workspace, task, outcome.name)

    def attempt_ended(self, version: VersionId, outcome: ResultCode) -> None:
        """Count an attempt at a model engine."""
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
        """Count an event in the handling of records."""
        self._add('record_events', event)

    def task_failed(self, task: str) -> None:
        """Count a background task that failed and is started again."""
        self._add('task_failures', task)

    def reply_dropped(self, kind: str) -> None:
        """Count a reply that nobody waits for, such as a late one."""
        self._add('dropped_replies', kind)

    def control_message(
        self,
        part: str,
        direction: Direction,
        size: int,
        messages: int = 1,
    ) -> None:
        """Count control-plane messages.

        Args:
            part: The part that sent or received them.
            direction: Whether they were sent or received.
            size: Their total size in bytes.
            messages: Their number.
        """
        self._add('control_bytes', part, direction.value, amount=size)
        self._add(
            'control_messages',
            part,
            direction.value,
            amount=messages,
        )

    def host_event(self, event: str, count: int) -> None:
        """Count events of the links to other hosts or of the membership."""
        self._add('host_events', event, amount=count)

    def control_cost(self, part: str, cost: PartCost) -> None:
        """Add to the control-plane cost of a part."""
        directions = (
            (Direction.SENT, cost.sent_bytes, cost.sent_messages),
            (Direction.RECEIVED, cost.received_bytes, cost.received_messages),
        )
        for direction, size, messages in directions:
            labels = (part, direction.value)
            self._add('control_bytes', *labels, amount=size)
            self._add('control_messages', *labels, amount=messages)
        seconds = cost.processor_seconds
        self._add('control_cpu_seconds', part, amount=seconds)

    @contextmanager
    def control_time(self, part: str) -> Generator[None, None, None]:
        """Charge the processor time of the block to a part.

        The block must not await: it would be charged for the other tasks that
        run meanwhile.
        """
        started_at = self._thread_time()
        try:
            yield
        finally:
            seconds = self._thread_time() - started_at
            self._add('control_cpu_seconds', part, amount=seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _add(self, name: str, *labels: str, amount: float = 1) -> None:
        """Add to a counter."""
        self._counters[name].labels(*labels).inc(amount)


def _histogram(
    name: str,
    help_text: str,
    buckets: tuple[float, ...],
    registry: CollectorRegistry,
) -> Histogram:
    """Return a histogram of seconds, by task class."""
    return Histogram(
        name,
        help_text,
        ('task',),
        namespace=_NAMESPACE,
        unit='seconds',
        buckets=buckets,
        registry=registry,
    )
