"""Breaks the worth lost in a load test down into tables that add up.

The load test writes a report; the deployment's site file states what each
kind of request is worth. Three tables are computed from both: the lost worth
by part of the score and price, by kind of request and cause, and by time
window.

    python -m experiments.losses --site SITE.toml REPORT.json...

Losses without a cause in the report (poor answers that were kept, and requests
larger or smaller than is usual for their kind) have rows of their own, so that
each table adds up to the loss stated in the report.
"""

import argparse
import json
import sys
import tomllib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final, TextIO

#: Minimum loss, as a fraction of the total worth, for a price to have a row of
#: its own; smaller ones are summed in one row.
MIN_SHOWN: Final = 0.0005

#: Number of time windows listed, the worst first.
MAX_WINDOWS: Final = 6


@dataclass(frozen=True, slots=True)
class Row:
    """A row of a loss table.

    Attributes:
        name: Cause of the loss, or the time window in which it occurred.
        lost: The loss, as a fraction of the total worth.
    """

    name: str
    lost: float


@dataclass(frozen=True, slots=True)
class KindWorth:
    """The worth of the answers to one kind of request.

    Attributes:
        in_time: Worth of an answer before its deadline.
        late: Worth of a later answer.
    """

    in_time: float
    late: float


def rows_by_part(report: Mapping[str, Any]) -> tuple[Row, ...]:
    """Return the losses by part of the score and by price.

    The rows add up to 1 minus the score of the run.
    """
    parts = tuple(
        Row(name, weight * (1 - fraction))
        for name, weight, fraction in report['parts']
    )
    prices = [Row(name, price) for name, _, price in report['prices']]
    displayed = tuple(row for row in prices if row.lost >= MIN_SHOWN)
    hidden = sum(row.lost for row in prices if row.lost < MIN_SHOWN)
    explained = sum(row.lost for row in (*parts, *displayed)) + hidden
    remainder = 1 - report['G'] - explained
    return (
        *parts,
        *displayed,
        Row('prices below the display threshold', hidden),
        Row('remainder, such as rounding', remainder),
    )


def rows_by_cause(
    report: Mapping[str, Any],
    worths: Mapping[str, KindWorth],
) -> tuple[Row, ...]:
    """Return the losses of the whole run by kind of request and cause.

    The rows add up to 1 minus the fraction of the worth that was earned.
    """
    kinds = [kind for kind in report['classes'] if kind['name'] in worths]
    total_worth = sum(_max_worth(kind, worths) for kind in kinds)
    rows: list[Row] = []
    for kind in kinds:
        rows.extend(_losses_of_kind(kind, worths[kind['name']], total_worth))
    remainder = 1 - report['all']['worth'] - sum(row.lost for row in rows)
    return (*rows, Row('requests larger or smaller than usual', remainder))


def rows_by_window(report: Mapping[str, Any]) -> tuple[Row, ...]:
    """Return the time windows with the largest losses.

    Each window is weighted by the number of requests in it.
    """
    requests = sum(window['n'] for window in report['windows']) or 1
    rows = [
        Row(
            f'from {window["name"]} s: {window["worth"]:.2f} of '
            f'{window["n"]} requests, {window["late"]} late, '
            f'{window["failed"]} failed, {window["refused"]} refused',
            (1 - window['worth']) * window['n'] / requests,
        )
        for window in report['windows']
    ]
    rows.sort(key=lambda row: -row.lost)
    others = sum(row.lost for row in rows[MAX_WINDOWS:])
    return (*rows[:MAX_WINDOWS], Row('all other windows', others))


def read_worths(site: Mapping[str, Any]) -> dict[str, KindWorth]:
    """Return the worth of each kind of request in a site file."""
    return {
        kind['name']: KindWorth(kind['worth'], kind['late_worth'])
        for kind in site['classes']
    }


def write_loss_table(rows: Iterable[Row], heading: str, out: TextIO) -> None:
    """Write rows and their sum as a Markdown table."""
    rows = tuple(rows)
    out.write(f'| {heading} | lost |\n| --- | --- |\n')
    for row in rows:
        out.write(f'| {row.name} | {row.lost:.4f} |\n')
    out.write(f'| sum | {sum(row.lost for row in rows):.4f} |\n\n')


def main(arguments: list[str] | None = None, out: TextIO = sys.stdout) -> None:
    """Write the loss tables of the reports given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--site', type=Path, required=True)
    parser.add_argument('reports', type=Path, nargs='+')
    options = parser.parse_args(arguments)
    worths = read_worths(tomllib.loads(options.site.read_text()))
    for path in options.reports:
        report = json.loads(path.read_text())
        out.write(f'## {path.stem}: worth {report["G"]:.3f}\n\n')
        write_loss_table(rows_by_part(report), 'part or price', out)
        write_loss_table(rows_by_cause(report, worths), 'kind and cause', out)
        write_loss_table(rows_by_window(report), 'moment', out)


def _max_worth(
    kind: Mapping[str, Any],
    worths: Mapping[str, KindWorth],
) -> float:
    """Return the worth of a kind if each request were answered in time.

    Every request is taken to be of the usual size for its kind.
    """
    in_time = worths[kind['name']].in_time
    worth: float = (kind['n'] - kind['not_owed']) * in_time
    return worth


def _losses_of_kind(
    kind: Mapping[str, Any],
    worth: KindWorth,
    total_worth: float,
) -> tuple[Row, ...]:
    """Return the losses of one kind of request by cause.

    Args:
        kind: The kind's entry in the report.
        worth: Its worth.
        total_worth: Maximum worth of all kinds together.
    """
    late = kind['late'] * (worth.in_time - worth.late) / total_worth
    failed = kind['failed'] * worth.in_time / total_worth
    refused = kind['refused'] * worth.in_time / total_worth
    maximum = (kind['n'] - kind['not_owed']) * worth.in_time / total_worth
    lost = maximum * (1 - (kind['worth'] or 0))
    name = kind['name']
    return (
        Row(f'{name}: {kind["late"]} late', late),
        Row(f'{name}: {kind["failed"]} failed', failed),
        Row(f'{name}: {kind["refused"]} refused', refused),
        Row(f'{name}: poor answers kept', lost - late - failed - refused),
    )


if __name__ == '__main__':
    main()
