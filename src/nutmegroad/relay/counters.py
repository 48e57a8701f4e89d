"""Metrics of a relay host: counters, histograms and gauges."""

from collections.abc import Callable, Mapping
from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from nutmegroad.foundations.results import ResultCode

_PREFIX: Final = 'nutmegroad_relay'

#: Bucket bounds in seconds, dense around the target latencies of plain calls
#: and of first events.
_LATENCY_BUCKETS: Final = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.42, 1.0, 2.0, 4.0, 8.0, 15.0, 30.0,
)  # fmt: skip
#: Bucket bounds in seconds, dense around the duration of a store call and
#: around the longest waits of the store.
_STORE_LATENCY_BUCKETS: Final = (0.005, 0.02, 0.1, 0.25, 0.5, 1.0, 3.0, 20.0)


class RelayCounters:
    """The metrics of a host, in a registry of its own."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._refusals = self._counter('refusals', 'Own refusals', 'code')
        self._attempts = self._counter('attempts', 'Attempts', 'outcome')
        self._repeats = self._counter('repeats', 'Requests sent again', 'why')
        self._denied_repeats = self._counter(
            'denied_repeats',
            'Requests not sent again for want of budget',
            'why',
        )
        self._breaks = self._counter(
            'breaks',
            'Exchanges that broke, by what became of the upstream',
            'upstream',
        )
        self._tunnels = self._counter(
            'tunnel_requests', 'Tunnels that other hosts asked for', 'outcome'
        )
        self._answers = self._counter('answers', 'Answers by status', 'status')
        self._departures = self._counter(
            'departures', 'Callers that left before their request was read'
        )
        self._closed = self._counter(
            'closed_connections',
            "Callers' connections closed without a complete request",
            'state',
            'reason',
        )
        self._store = self._counter(
            'store_calls',
            'Calls to the platform store',
            'call',
            'outcome',
        )
        self._rejected_rows = self._counter(
            'rejected_rows',
            'Rows of the platform store that were left out',
            'table',
        )
        self._failed_tasks = self._counter(
            'task_failures',
            'Background tasks that failed and were started again',
            'task',
        )
        self._answer_seconds = self._histogram(
            'whole_seconds',
            'Seconds from a request to the end of its answer',
            'kind',
            _LATENCY_BUCKETS,
        )
        self._head_seconds = self._histogram(
            'first_seconds',
            'Seconds from a request to the head of its answer',
            'kind',
            _LATENCY_BUCKETS,
        )
        self._store_seconds = self._histogram(
            'store_seconds',
            'Seconds of calls to the platform store',
            'call',
            _STORE_LATENCY_BUCKETS,
        )

    def refused(self, code: ResultCode) -> None:
        """Count a refusal by this host."""
        self._refusals.labels(code.name).inc()

    def attempted(self, outcome: str) -> None:
        """Count an attempt by its outcome."""
        self._attempts.labels(outcome).inc()

    def repeated(self, purpose: str) -> None:
        """Count a repeated request by its purpose."""
        self._repeats.labels(purpose).inc()

    def repeat_denied(self, purpose: str) -> None:
        """Count a repeat that the budget did not allow, by its purpose."""
        self._denied_repeats.labels(purpose).inc()

    def exchange_broken(self, state: str) -> None:
        """Count a broken exchange by the state of its upstream's process."""
        self._breaks.labels(state).inc()

    def tunnel_requested(self, outcome: str) -> None:
        """Count a tunnel that another host asked for, by its outcome."""
        self._tunnels.labels(outcome).inc()

    def answered(self, status: int, kind: str, seconds: float) -> None:
        """Count an answer, and observe its total duration.

        Args:
            status: HTTP status of the answer.
            kind: Kind of the route's requests.
            seconds: Time from the request to the end of the answer.
        """
        self._answers.labels(str(status)).inc()
        self._answer_seconds.labels(kind).observe(seconds)

    def head_received(self, kind: str, seconds: float) -> None:
        """Observe the seconds from a request to the response head."""
        self._head_seconds.labels(kind).observe(seconds)

    def departed_unread(self) -> None:
        """Count a caller that left before its request was read."""
        self._departures.inc()

    def connection_closed(self, state: str, reason: str) -> None:
        """Count a caller's connection that was closed for a reason."""
        self._closed.labels(state, reason).inc()

    def store_called(self, call: str, outcome: str, seconds: float) -> None:
        """Count a call to the platform's store, and observe its duration."""
        self._store.labels(call, outcome).inc()
        self._store_seconds.labels(call).observe(seconds)

    def row_rejected(self, table: str) -> None:
        """Count a row of a table that was left out."""
        self._rejected_rows.labels(table).inc()

    def task_failed(self, task: str) -> None:
        """Count a background task that failed."""
        self._failed_tasks.labels(task).inc()

    def gauge(
        self,
        name: str,
        meaning: str,
        read: Callable[[], float],
    ) -> None:
        """Register a gauge whose value is read at each scrape.

        Args:
            name: Name of the gauge, without the prefix.
            meaning: Help text.
            read: Returns the value.
        """
        gauge = Gauge(f'{_PREFIX}_{name}', meaning, registry=self._registry)
        gauge.set_function(read)

    def gauges(
        self,
        name: str,
        meaning: str,
        label: str,
        readers: Mapping[str, Callable[[], float]],
    ) -> None:
        """Register a gauge with one label, read at each scrape.

        Args:
            name: Name of the gauge, without the prefix.
            meaning: Help text.
            label: Name of the label.
            readers: Return the value, by the label's value.
        """
        gauge = Gauge(
            f'{_PREFIX}_{name}', meaning, (label,), registry=self._registry
        )
        for label_value, read in readers.items():
            gauge.labels(label_value).set_function(read)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _counter(self, name: str, meaning: str, *labels: str) -> Counter:
        """Return a new counter."""
        return Counter(
            f'{_PREFIX}_{name}',
            meaning,
            labels,
            registry=self._registry,
        )

    def _histogram(
        self,
        name: str,
        meaning: str,
        label: str,
        buckets: tuple[float, ...],
    ) -> Histogram:
        """Return a new histogram with one label."""
        return Histogram(
            f'{_PREFIX}_{name}',
            meaning,
            (label,),
            registry=self._registry,
            buckets=buckets,
        )
