"""Tests of the metrics."""

import unittest

from nutmegroad.foundations.metrics import Direction, Metrics
from nutmegroad.foundations.results import ResultCode
from nutmegroad.foundations.types import (
    Presence,
    Revision,
    TaskName,
    VersionId,
    WorkspaceId,
)

_WORKSPACE = WorkspaceId('w')
_TASK = TaskName('t')
_EXPECTED_LINES = (
    'nutmegroad_refusals_total{code="OVERLOADED"} 1.0',
    'nutmegroad_retries_total{code="ANSWER_CUT"} 1.0',
    'nutmegroad_requests_total{outcome="OK",task="t",workspace="w"} 1.0',
    'nutmegroad_attempts_total{outcome="OK",version="m@1"} 1.0',
    'nutmegroad_cost_total{task="t",workspace="w"} 0.25',
    'nutmegroad_invariant_failures_total{name="billed-once"} 1.0',
    'nutmegroad_dropped_replies_total{kind="late"} 1.0',
    'nutmegroad_control_bytes_total{direction="sent",part="mesh"} 90.0',
    'nutmegroad_control_messages_total{direction="sent",part="mesh"} 1.0',
    'nutmegroad_control_cpu_seconds_total{part="mesh"} 0.5',
    'nutmegroad_first_token_seconds_sum{task="t"} 0.3',
    'nutmegroad_between_tokens_seconds_sum{task="t"} 0.04',
    'nutmegroad_whole_time_seconds_sum{task="t"} 2.0',
    'nutmegroad_revision 7.0',
    'nutmegroad_isolated 1.0',
    'nutmegroad_lease_age_seconds 3.0',
    'nutmegroad_in_flight 4.0',
    'nutmegroad_queued 5.0',
    'nutmegroad_members{presence="live"} 8.0',
)


def _increment_counters(metrics: Metrics) -> None:
    """Increment the counters to the values of the expected lines."""
    metrics.refused(ResultCode.OVERLOADED)
    metrics.retried(ResultCode.ANSWER_CUT)
    metrics.request_ended(_WORKSPACE, _TASK, ResultCode.OK)
    metrics.attempt_ended(VersionId('m@1'), ResultCode.OK)
    metrics.charged(_WORKSPACE, _TASK, 0.25)
    metrics.invariant_failed('billed-once')
    metrics.reply_dropped('late')
    metrics.control_message('mesh', Direction.SENT, 90)


def _observe_latencies(metrics: Metrics) -> None:
    """Observe each latency of the expected lines once."""
    metrics.latency.observe_first_token(_TASK, 0.3)
    metrics.latency.observe_between_tokens(_TASK, 0.04)
    metrics.latency.observe_whole_time(_TASK, 2)


def _set_gauges(metrics: Metrics) -> None:
    """Set the gauges to the values of the expected lines."""
    metrics.state.set_revision(Revision(7))
    metrics.state.set_isolated(isolated=True)
    metrics.state.set_lease_age(3)
    metrics.state.set_in_flight(4)
    metrics.state.set_queued(5)
    metrics.state.set_members(Presence.LIVE, 8)


class MetricsTest(unittest.TestCase):
    def test_every_metric_is_rendered(self) -> None:
        times = iter((1.0, 1.5))
        metrics = Metrics(lambda: next(times))
        _increment_counters(metrics)
        _observe_latencies(metrics)
        _set_gauges(metrics)
        with metrics.control_time('mesh'):
            metrics.state.set_queued(5)
        lines = metrics.render().decode().splitlines()
        for line in _EXPECTED_LINES:
            with self.subTest(line=line):
                self.assertIn(line, lines)

    def test_instances_are_independent(self) -> None:
        one, other = Metrics(float), Metrics(float)
        one.refused(ResultCode.OVERLOADED)
        self.assertNotIn(b'OVERLOADED', other.render())
