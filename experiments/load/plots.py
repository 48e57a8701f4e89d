"""Plots of a measurement: one bar chart per metric, by scenario and arm."""

from dataclasses import dataclass
from pathlib import Path
from typing import Final

import numpy as np
from matplotlib.axes import Axes
from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from experiments.load.run_reports import RunReport
from experiments.load.tables import COLUMNS, arms_of, spread

#: Metrics to plot, by the names of their table columns.
PLOTTED_COLUMNS: Final = ('cost/met', 'met', 'first p95 ms', 'goodput/s')


@dataclass(frozen=True, slots=True)
class Bars:
    """Bars of one arm, one per scenario.

    Attributes:
        means: Means over the seeds, which are the heights of the bars.
        below: Differences between the means and the lowest seeds.
        above: Differences between the highest seeds and the means.
    """

    means: list[float]
    below: list[float]
    above: list[float]


def plot(runs: list[RunReport], path: Path) -> None:
    """Plot the metrics of all runs into a PNG file."""
    figure = Figure(
        figsize=(12, 3 * len(PLOTTED_COLUMNS)), layout='constrained'
    )
    # An explicit canvas lets matplotlib draw without a display.
    FigureCanvasAgg(figure)
    charts = figure.subplots(len(PLOTTED_COLUMNS), 1, sharex=True)
    for axes, name in zip(charts, PLOTTED_COLUMNS, strict=True):
        _draw_bars(axes, runs, name)
    charts[0].legend(fontsize='small')
    charts[-1].tick_params(axis='x', rotation=30)
    figure.savefig(path)


def _draw_bars(axes: Axes, runs: list[RunReport], name: str) -> None:
    """Plot one metric: a bar for each arm in each scenario."""
    names = list(dict.fromkeys(run.scenario for run in runs))
    arms = arms_of(runs)
    positions = np.arange(len(names))
    width = 0.8 / len(arms)
    for number, arm in enumerate(arms):
        bars = _seed_bars(runs, names, arm, name)
        axes.bar(
            positions + number * width,
            bars.means,
            width,
            yerr=[bars.below, bars.above],
            label=arm,
            capsize=2,
        )
    axes.set_ylabel(name)
    axes.set_xticks(positions + 0.4 - width / 2, names)


def _seed_bars(
    runs: list[RunReport],
    names: list[str],
    arm: str,
    column: str,
) -> Bars:
    """Return the bars of an arm for one metric.

    Args:
        runs: All runs.
        names: Names of the scenarios.
        arm: Name of the arm.
        column: Name of the metric's table column.
    """
    getter = dict(COLUMNS)[column]
    means: list[float] = []
    below: list[float] = []
    above: list[float] = []
    for name in names:
        seeds = spread(
            getter(run)
            for run in runs
            if run.scenario == name and run.arm == arm
        )
        means.append(0 if seeds is None else seeds.mean)
        below.append(0 if seeds is None else seeds.mean - seeds.low)
        above.append(0 if seeds is None else seeds.high - seeds.mean)
    return Bars(means, below, above)
