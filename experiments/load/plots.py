"""Plots of a measurement: bars by scenario and arm, for each figure."""

from dataclasses import dataclass
from pathlib import Path
from typing import Final

import numpy as np
from matplotlib.axes import Axes
from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from experiments.load.summaries import Report
from experiments.load.tables import COLUMNS, arms_of, spread

#: Figures that are drawn, by the names of the table's columns.
DRAWN: Final = ('cost/met', 'met', 'first p95 ms', 'goodput/s')


@dataclass(frozen=True, slots=True)
class Bars:
    """One arm's bars, by scenario.

    Attributes:
        means: Their heights.
        below: How far the lowest seed lies below.
        above: How far the highest seed lies above.
    """

    means: list[float]
    below: list[float]
    above: list[float]


def plot(runs: list[Report], path: Path) -> None:
    """Draw the runs into a PNG file."""
    figure = Figure(figsize=(12, 3 * len(DRAWN)), layout='constrained')
    # The canvas is named, so that no display is looked for.
    FigureCanvasAgg(figure)
    places = figure.subplots(len(DRAWN), 1, sharex=True)
    for axes, name in zip(places, DRAWN, strict=True):
        _draw(axes, runs, name)
    places[0].legend(fontsize='small')
    places[-1].tick_params(axis='x', rotation=30)
    figure.savefig(path)


def _draw(axes: Axes, runs: list[Report], name: str) -> None:
    """Draw one figure: a bar for each arm in each scenario."""
    names = list(dict.fromkeys(run.scenario for run in runs))
    arms = arms_of(runs)
    places = np.arange(len(names))
    width = 0.8 / len(arms)
    for number, arm in enumerate(arms):
        bars = _bars(runs, names, arm, name)
        axes.bar(
            places + number * width,
            bars.means,
            width,
            yerr=[bars.below, bars.above],
            label=arm,
            capsize=2,
        )
    axes.set_ylabel(name)
    axes.set_xticks(places + 0.4 - width / 2, names)


def _bars(
    runs: list[Report],
    names: list[str],
    arm: str,
    column: str,
) -> Bars:
    """Return an arm's means by scenario, and how far the seeds reach."""
    getter = dict(COLUMNS)[column]
    means: list[float] = []
    below: list[float] = []
    above: list[float] = []
    for name in names:
        found = spread(
            getter(run)
            for run in runs
            if run.scenario == name and run.arm == arm
        )
        means.append(0 if found is None else found.mean)
        below.append(0 if found is None else found.mean - found.low)
        above.append(0 if found is None else found.high - found.mean)
    return Bars(means, below, above)
