"""Tables of runs, for people, and the goals beside the figures."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

import numpy as np

from experiments.load.reports import Figures
from experiments.load.summaries import Report

#: Tells a figure of a run; None where it has none.
Getter = Callable[[Report], float | None]

_NOTHING: Final = '-'


@dataclass(frozen=True, slots=True)
class Spread:
    """A figure over several seeds.

    Attributes:
        mean: Mean.
        low: Lowest.
        high: Highest.
    """

    mean: float
    low: float
    high: float

    def __str__(self) -> str:
        """Return the form that tables use."""
        if self.low == self.high:
            return f'{self.mean:.4g}'
        return f'{self.mean:.4g} [{self.low:.4g}, {self.high:.4g}]'


def spread(found: Iterable[float | None]) -> Spread | None:
    """Return the spread of those figures that there are."""
    there = [figure for figure in found if figure is not None]
    if not there:
        return None
    return Spread(float(np.mean(there)), min(there), max(there))


def _milliseconds(seconds: float | None) -> float | None:
    """Return milliseconds."""
    return None if seconds is None else seconds * 1000


#: A figure's name and how it is got.
Column = tuple[str, Getter]

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

_GROUP_HEAD: Final = (
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


def table(head: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    """Return a Markdown table."""
    heads = tuple(head)
    lines = [f'| {" | ".join(heads)} |']
    lines.append(f'| {" | ".join("---" for _ in heads)} |')
    lines.extend(f'| {" | ".join(row)} |' for row in rows)
    return '\n'.join(lines)


def arms_of(runs: list[Report]) -> list[str]:
    """Return the arms in the order in which they were run."""
    return list(dict.fromkeys(run.arm for run in runs))


def compare(runs: list[Report]) -> str:
    """Compare the arms of one scenario, over its seeds."""
    rows = []
    for arm in arms_of(runs):
        own = [run for run in runs if run.arm == arm]
        cells = [
            _text(spread(getter(run) for run in own)) for _, getter in COLUMNS
        ]
        rows.append([arm, str(len(own)), *cells])
    heads = ['arm', 'seeds', *(name for name, _ in COLUMNS)]
    return table(heads, rows)


def describe(run: Report) -> str:
    """Return one run in full."""
    title = f'### {run.scenario}, {run.arm}, seed {run.seed}'
    groups = {
        'all model requests': run.models,
        'plain services': run.services,
        **run.tasks,
        **run.workspaces,
        **run.classes,
    }
    rows = [[name, *_group_row(group)] for name, group in groups.items()]
    parts = [title, table(('group', *_GROUP_HEAD), rows), *_lines(run)]
    return '\n\n'.join(parts)


def warnings(run: Report) -> list[str]:
    """Return what a reader of a run's figures has to know."""
    found = []
    if run.client.saturated:
        lag = _milliseconds(run.client.lag.p99) or 0
        found.append(
            f'the load client or the machine was too busy (lag p99 '
            f'{lag:.0f} ms, '
            f'{run.client.cpu:.2f} of a core)',
        )
    for promise, count in run.breaches.items():
        example = run.examples[promise][0]
        found.append(f'BROKEN {count} times: {promise} ({example})')
    found.extend(
        f'alarm of the hosts: {name} {count} times'
        for name, count in run.invariants.items()
    )
    found.extend(
        f'{count} tracebacks in the log of {name}'
        for name, count in run.tracebacks.items()
    )
    found.extend(
        f'{name} ended with {code}' for name, code in run.exit_codes.items()
    )
    return found


def _lines(run: Report) -> list[str]:
    """Return what stands below a run's table."""
    client = run.client
    lag = _milliseconds(client.lag.p99) or 0
    before, after = client.load_average
    lines = [
        f'Rate at the highest point {run.rate:.1f}/s; versions: '
        f'{_counts(run.versions)}.',
        f'Begun by engine: {_counts(run.work)}; ends: {_counts(run.ends)}; '
        f'begun more than once: {run.retried}; retries by reason: '
        f'{_counts(run.retries) or "not shown by the hosts"}.',
        f'Fair share by workspace: {_shares(run.fairness)}.',
        f'Load client: lag p99 {lag:.1f} ms, {client.cpu:.2f} of a core; '
        f'load average {before:.1f} before, {after:.1f} after.',
    ]
    lines.extend(_special_lines(run))
    lines.extend(f'Note: {warning}.' for warning in warnings(run))
    if run.note:
        lines.append(run.note)
    return lines


def _special_lines(run: Report) -> list[str]:
    """Return the lines that only some scenarios have."""
    lines = []
    if run.exposure is not None:
        seen = run.exposure
        share = 'no requests' if seen.share is None else f'{seen.share:.1%}'
        last = 'none' if seen.last is None else f'{seen.last:.1f} s later'
        lines.append(
            f'Exposure to {seen.version}: {seen.exposed} of {seen.asked} '
            f'requests ({share}), {seen.below} below target, last {last}, '
            f'of {seen.watched:.1f} s watched.',
        )
    if run.outage is not None:
        calls = run.outage
        lines.append(
            f'Calls to the platform a second: {calls.before:.0f} before the '
            f'outage, at most {calls.during} during it, at most '
            f'{calls.after} after its end.',
        )
    return lines


def _group_row(group: Figures) -> list[str]:
    """Return the cells of one group."""
    met = group.share_met
    return [
        str(group.asked),
        f'{group.share_in_time:.3f}',
        _NOTHING if met is None else f'{met:.3f}',
        _number(group.cost_per_answer),
        _number(group.cost_per_met),
        _three(group.first.p50, group.first.p95, group.first.p99),
        _three(group.between.p50, group.between.p95, group.between.p99),
        _three(group.whole.p50, group.whole.p95, group.whole.p99),
        _counts(group.reasons),
    ]


def _text(cell: Spread | None) -> str:
    """Return a cell."""
    return _NOTHING if cell is None else str(cell)


def _number(cell: float | None) -> str:
    """Return a cell."""
    return _NOTHING if cell is None else f'{cell:.4g}'


def _three(*seconds: float | None) -> str:
    """Return a cell of milliseconds."""
    cells = [_milliseconds(one) for one in seconds]
    return ' / '.join(
        _NOTHING if one is None else f'{one:.0f}' for one in cells
    )


def _counts(counts: dict[str, int]) -> str:
    """Return counts in words."""
    return ', '.join(f'{name} {count}' for name, count in counts.items())


def _shares(shares: dict[str, float]) -> str:
    """Return shares in words."""
    return ', '.join(f'{name} {part:.2f}' for name, part in shares.items())
