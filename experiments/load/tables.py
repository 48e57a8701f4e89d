"""Markdown tables and descriptions of runs."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

import numpy as np

from experiments.load.request_stats import Exposure, RequestStats
from experiments.load.run_reports import RunReport

#: Returns a metric of a run; None if the run does not provide it.
MetricGetter = Callable[[RunReport], float | None]

_NO_VALUE: Final = '-'


@dataclass(frozen=True, slots=True)
class Spread:
    """Spread of a metric over several seeds.

    Attributes:
        mean: Mean.
        low: Minimum.
        high: Maximum.
    """

    mean: float
    low: float
    high: float

    def __str__(self) -> str:
        """Return the mean and, if they differ, the minimum and maximum."""
        if self.low == self.high:
            return f'{self.mean:.4g}'
        return f'{self.mean:.4g} [{self.low:.4g}, {self.high:.4g}]'


def spread(metrics: Iterable[float | None]) -> Spread | None:
    """Return the spread of the values that are not None, if there are any."""
    present = [metric for metric in metrics if metric is not None]
    if not present:
        return None
    return Spread(float(np.mean(present)), min(present), max(present))


def _milliseconds(seconds: float | None) -> float | None:
    """Convert seconds to milliseconds."""
    return None if seconds is None else seconds * 1000


#: Name of a metric and the function that returns it.
Column = tuple[str, MetricGetter]

COLUMNS: Final[tuple[Column, ...]] = (
    ('asked', lambda run: run.models.asked),
    ('in time', lambda run: run.models.share_in_time),
    ('goodput/s', lambda run: run.goodput),
    ('met', lambda run: run.models.share_met),
    ('cost/answer', lambda run: run.models.cost_per_answer),
    ('cost/met', lambda run: run.models.cost_per_met),
    ('first p50 ms', lambda run: _milliseconds(run.models.first.p50)),
    ('first p95 ms', lambda run: _milliseconds(run.models.first.p95)),
    ('first p99 ms', lambda run: _milliseconds(run.models.first.p99)),
    ('between p95 ms', lambda run: _milliseconds(run.models.between.p95)),
    ('whole p95 ms', lambda run: _milliseconds(run.models.whole.p95)),
    ('refusal p95 ms', lambda run: _milliseconds(run.models.refused.p95)),
    ('worst fair share', lambda run: min(run.fairness.values(), default=0)),
    ('retried', lambda run: run.retried),
)

_GROUP_COLUMNS: Final = (
    'asked',
    'in time',
    'met',
    'cost/answer',
    'cost/met',
    'first p50/p95/p99 ms',
    'between p50/p95/p99 ms',
    'whole p50/p95/p99 ms',
    'without an answer',
)


def table(header: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    """Return a Markdown table."""
    columns = tuple(header)
    lines = [f'| {" | ".join(columns)} |']
    lines.append(f'| {" | ".join("---" for _ in columns)} |')
    lines.extend(f'| {" | ".join(row)} |' for row in rows)
    return '\n'.join(lines)


def arms_of(runs: list[RunReport]) -> list[str]:
    """Return the names of the arms in the order of their first runs."""
    return list(dict.fromkeys(run.arm for run in runs))


def comparison_table(runs: list[RunReport]) -> str:
    """Return a table that compares the arms of one scenario over all seeds."""
    rows = []
    for arm in arms_of(runs):
        own = [run for run in runs if run.arm == arm]
        cells = [
            _spread_cell(spread(getter(run) for run in own))
            for _, getter in COLUMNS
        ]
        rows.append([arm, str(len(own)), *cells])
    columns = ['arm', 'seeds', *(name for name, _ in COLUMNS)]
    return table(columns, rows)


def describe(run: RunReport) -> str:
    """Return all results of one run as Markdown."""
    title = f'### {run.scenario}, {run.arm}, seed {run.seed}'
    groups = {
        'all model requests': run.models,
        'plain services': run.services,
        **run.tasks,
        **run.workspaces,
        **run.classes,
    }
    rows = [[name, *_group_row(group)] for name, group in groups.items()]
    parts = [
        title,
        table(('group', *_GROUP_COLUMNS), rows),
        *_detail_lines(run),
    ]
    return '\n\n'.join(parts)


def run_warnings(run: RunReport) -> list[str]:
    """Return warnings about a run that affect the use of its results."""
    messages = []
    if run.client.saturated:
        lag = _milliseconds(run.client.lag.p99) or 0
        messages.append(
            f'the load client or the machine was overloaded (lag p99 '
            f'{lag:.0f} ms, '
            f'{run.client.cpu:.2f} of a core)',
        )
    for guarantee, count in run.breaches.items():
        example = run.examples[guarantee][0]
        messages.append(f'BROKEN {count} times: {guarantee} ({example})')
    messages.extend(
        f'invariant check of the hosts failed {count} times: {name}'
        for name, count in run.invariants.items()
    )
    messages.extend(
        f'{count} tracebacks in the log of {name}'
        for name, count in run.tracebacks.items()
    )
    messages.extend(
        f'{name} exited with code {code}'
        for name, code in run.exit_codes.items()
    )
    return messages


def _detail_lines(run: RunReport) -> list[str]:
    """Return the lines below the table of a run."""
    client = run.client
    lag = _milliseconds(client.lag.p99) or 0
    before, after = client.load_average
    lines = [
        f'Peak rate {run.rate:.1f}/s; versions: {_join_counts(run.versions)}.',
        f'Answers begun by engine: {_join_counts(run.work)}; '
        f'by end: {_join_counts(run.ends)}; '
        f'requests begun more than once: {run.retried}; retries by reason: '
        f'{_join_counts(run.retries) or "not reported by the hosts"}.',
        f'Fair share by workspace: {_join_shares(run.fairness)}.',
        f'Load client: lag p99 {lag:.1f} ms, {client.cpu:.2f} of a core; '
        f'load average {before:.1f} before, {after:.1f} after.',
    ]
    lines.extend(_special_lines(run))
    lines.extend(f'Note: {warning}.' for warning in run_warnings(run))
    if run.note:
        lines.append(run.note)
    return lines


def _special_lines(run: RunReport) -> list[str]:
    """Return the lines for results that only some scenarios have."""
    lines = []
    if run.exposure is not None:
        lines.append(_exposure_line(run.exposure))
    if run.outage is not None:
        outage = run.outage
        lines.append(
            f'Calls to the platform per second: {outage.before:.0f} before the '
            f'outage, at most {outage.during} during it, at most '
            f'{outage.after} after its end.',
        )
    return lines


def _exposure_line(exposure: Exposure) -> str:
    """Return the line about a version that degraded."""
    share = 'no requests'
    if exposure.share is not None:
        share = f'{exposure.share:.1%}'
    last = 'none'
    if exposure.last is not None:
        last = f'{exposure.last:.1f} s after its degradation'
    return (
        f'Exposure to {exposure.version}: {exposure.exposed} of '
        f'{exposure.asked} requests ({share}), {exposure.below} below target, '
        f'last {last}, observed for {exposure.watched:.1f} s.'
    )


def _group_row(group: RequestStats) -> list[str]:
    """Return the table cells of one group of requests."""
    met = group.share_met
    return [
        str(group.asked),
        f'{group.share_in_time:.3f}',
        _NO_VALUE if met is None else f'{met:.3f}',
        _number_cell(group.cost_per_answer),
        _number_cell(group.cost_per_met),
        _percentile_cell(group.first.p50, group.first.p95, group.first.p99),
        _percentile_cell(
            group.between.p50, group.between.p95, group.between.p99
        ),
        _percentile_cell(group.whole.p50, group.whole.p95, group.whole.p99),
        _join_counts(group.reasons),
    ]


def _spread_cell(cell: Spread | None) -> str:
    """Return a cell with a spread over the seeds."""
    return _NO_VALUE if cell is None else str(cell)


def _number_cell(cell: float | None) -> str:
    """Return a cell with a number of four significant digits."""
    return _NO_VALUE if cell is None else f'{cell:.4g}'


def _percentile_cell(*seconds: float | None) -> str:
    """Return a cell with several durations in milliseconds."""
    cells = [_milliseconds(duration) for duration in seconds]
    return ' / '.join(
        _NO_VALUE if cell is None else f'{cell:.0f}' for cell in cells
    )


def _join_counts(counts: dict[str, int]) -> str:
    """Return names and counts as a comma-separated list."""
    return ', '.join(f'{name} {count}' for name, count in counts.items())


def _join_shares(shares: dict[str, float]) -> str:
    """Return names and shares as a comma-separated list."""
    return ', '.join(f'{name} {part:.2f}' for name, part in shares.items())
