"""Where the worth of a day went, as a table whose rows add up.

A run of the users' bench leaves a report; the deployment's site file says
what each kind of request is worth. From both come three tables: the worth
that was lost by part and price, by kind of request and cause, and by moment.

    python -m experiments.losses --site SITE.toml REPORT.json...

What no other row explains (answers kept though they were poor, and requests
that were larger or smaller than is usual for their kind) stands in a row of
its own, so that each table adds up to what the bench says was lost.
"""

import argparse
import json
import sys
import tomllib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final, TextIO

#: Parts of a report's worth that fall below this are left out of the table by
#: price; they are summed in one row.
LEAST_SHOWN: Final = 0.0005

#: Windows that are shown, the worst first.
MOST_WINDOWS: Final = 6


@dataclass(frozen=True, slots=True)
class Row:
    """A line of a table.

    Attributes:
        name: What was lost, or where.
        lost: How much, in parts of all worth.
    """

    name: str
    lost: float


@dataclass(frozen=True, slots=True)
class KindWorth:
    """What one kind of request is worth.

    Attributes:
        whole: A request that is answered in time.
        late: A request that is answered later.
    """

    whole: float
    late: float


def rows_by_part(report: Mapping[str, Any]) -> tuple[Row, ...]:
    """Return what was lost by part of the goal and by price.

    The rows add up to one less the day's worth.
    """
    parts = tuple(
        Row(name, weight * (1 - share))
        for name, weight, share in report['parts']
    )
    prices = [Row(name, price) for name, _, price in report['prices']]
    shown = tuple(row for row in prices if row.lost >= LEAST_SHOWN)
    small = sum(row.lost for row in prices if row.lost < LEAST_SHOWN)
    known = sum(row.lost for row in (*parts, *shown)) + small
    rest = 1 - report['G'] - known
    return (
        *parts,
        *shown,
        Row('prices below the least shown', small),
        Row('rounding, and marks of the day', rest),
    )


def rows_by_cause(
    report: Mapping[str, Any],
    worths: Mapping[str, KindWorth],
) -> tuple[Row, ...]:
    """Return what was lost of the whole day, by kind of request and cause.

    The rows add up to one less the share of credit earned over the day.
    """
    kinds = [kind for kind in report['classes'] if kind['name'] in worths]
    owed = sum(_owed(kind, worths) for kind in kinds)
    rows: list[Row] = []
    for kind in kinds:
        rows.extend(_rows_of_kind(kind, worths[kind['name']], owed))
    rest = 1 - report['all']['worth'] - sum(row.lost for row in rows)
    return (*rows, Row('sizes of requests against the usual', rest))


def rows_by_moment(report: Mapping[str, Any]) -> tuple[Row, ...]:
    """Return the windows that lost most, by what was asked in them."""
    asked = sum(window['n'] for window in report['windows']) or 1
    rows = [
        Row(
            f'from {window["name"]} s: {window["worth"]:.2f} of '
            f'{window["n"]} asked, {window["late"]} late, '
            f'{window["failed"]} failed, {window["refused"]} refused',
            (1 - window['worth']) * window['n'] / asked,
        )
        for window in report['windows']
    ]
    rows.sort(key=lambda row: -row.lost)
    others = sum(row.lost for row in rows[MOST_WINDOWS:])
    return (*rows[:MOST_WINDOWS], Row('all other windows', others))


def read_worths(site: Mapping[str, Any]) -> dict[str, KindWorth]:
    """Return what a deployment's kinds of request are worth."""
    return {
        kind['name']: KindWorth(kind['worth'], kind['late_worth'])
        for kind in site['classes']
    }


def write_table(rows: Iterable[Row], heading: str, out: TextIO) -> None:
    """Write rows as a table with their sum."""
    rows = tuple(rows)
    out.write(f'| {heading} | lost |\n| --- | --- |\n')
    for row in rows:
        out.write(f'| {row.name} | {row.lost:.4f} |\n')
    out.write(f'| sum | {sum(row.lost for row in rows):.4f} |\n\n')


def main(words: list[str] | None = None, out: TextIO = sys.stdout) -> None:
    """Write the tables of some reports."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--site', type=Path, required=True)
    parser.add_argument('reports', type=Path, nargs='+')
    chosen = parser.parse_args(words)
    worths = read_worths(tomllib.loads(chosen.site.read_text()))
    for path in chosen.reports:
        report = json.loads(path.read_text())
        out.write(f'## {path.stem}: worth {report["G"]:.3f}\n\n')
        write_table(rows_by_part(report), 'part or price', out)
        write_table(rows_by_cause(report, worths), 'kind and cause', out)
        write_table(rows_by_moment(report), 'moment', out)


def _owed(kind: Mapping[str, Any], worths: Mapping[str, KindWorth]) -> float:
    """Return what is owed to a kind's requests, of the usual size each."""
    owed: float = (kind['n'] - kind['not_owed']) * worths[kind['name']].whole
    return owed


def _rows_of_kind(
    kind: Mapping[str, Any],
    worth: KindWorth,
    owed: float,
) -> tuple[Row, ...]:
    """Return what one kind of request lost, by cause."""
    late = kind['late'] * (worth.whole - worth.late) / owed
    failed = kind['failed'] * worth.whole / owed
    refused = kind['refused'] * worth.whole / owed
    share = (kind['n'] - kind['not_owed']) * worth.whole / owed
    lost = share * (1 - (kind['worth'] or 0))
    name = kind['name']
    return (
        Row(f'{name}: {kind["late"]} late', late),
        Row(f'{name}: {kind["failed"]} failed', failed),
        Row(f'{name}: {kind["refused"]} refused', refused),
        Row(f'{name}: poor answers kept', lost - late - failed - refused),
    )


if __name__ == '__main__':
    main()
