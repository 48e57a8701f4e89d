"""Least-squares fits of measured costs, and extrapolation to a larger fleet.

Each round of ``experiments.slopes.hosts`` gives a host's costs at one size of
the fleet; the keys of a round are the fields of its ``Outcome``.
"""

from typing import Any, Final

import numpy as np

#: Size of the fleet to extrapolate to. A host there opens 2 links to each of
#: the 8 other failure domains and accepts as many, hence 32 remote links.
TARGET: Final = {
    'hosts': 400,
    'domains': 9,
    'engines': 890,
    'near': 43.4,
    'far': 32.0,
}
_COST_KINDS: Final = ('sent_bytes', 'sent_messages', 'processor_seconds')


def features(size: dict[str, Any], near: float, far: float) -> list[float]:
    """Return the terms of the linear model of a host's cost.

    They are: a constant, links within the failure domain, links to other
    domains, engines per host (those that the host polls), and all engines.

    Args:
        size: Size of the fleet.
        near: A host's links within its failure domain.
        far: A host's links to other failure domains.
    """
    engines = size['engines']
    return [1, near, far, engines / size['hosts'], engines]


def extrapolate(rounds: list[dict[str, Any]]) -> dict[str, Any]:
    """Return each part's cost at the target size, with standard errors.

    Rounds with configuration changes or another heartbeat interval don't
    count. Without more rounds than the model has terms, nothing is returned.
    """
    usual = [
        each
        for each in rounds
        if not each['size']['changes'] and each['size']['heartbeat'] == 1
    ]
    matrix = np.array(
        [features(each['size'], each['near'], each['far']) for each in usual],
    )
    # With as many rounds as parameters the fit leaves no residual, and so
    # gives no standard error.
    if len(usual) <= matrix.shape[1]:
        return {}
    target = np.array(features(TARGET, TARGET['near'], TARGET['far']))
    parts = sorted({part for each in usual for part in each['parts']})
    fitted = {}
    for part in parts:
        fitted[part] = {
            kind: _fit(matrix, target, _cost_column(usual, part, kind))
            for kind in _COST_KINDS
        }
    segments = [each['events'].get('links_segments', 0) for each in usual]
    fitted['segments'] = {'count': _fit(matrix, target, segments)}
    memory = [each['memory'] for each in usual]
    fitted['memory'] = {'bytes': _fit(matrix, target, memory)}
    process = [each['process'] for each in usual]
    fitted['process'] = {'processor_seconds': _fit(matrix, target, process)}
    return fitted


def _cost_column(
    rounds: list[dict[str, Any]],
    part: str,
    kind: str,
) -> list[float]:
    """Return one cost of a part in each round; 0 where it has none."""
    return [each['parts'].get(part, {}).get(kind, 0) for each in rounds]


def _fit(matrix: Any, target: Any, column: list[float]) -> dict[str, Any]:
    """Fit a cost, and return its value at the target with standard errors.

    Args:
        matrix: The model's terms, one row per round.
        target: The model's terms at the target size.
        column: The measured cost of each round.
    """
    costs = np.array(column, dtype=float)
    slopes, _, rank, _ = np.linalg.lstsq(matrix, costs, rcond=None)
    residual = costs - matrix @ slopes
    degrees_of_freedom = max(1, len(costs) - rank)
    variance = float(residual @ residual) / degrees_of_freedom
    covariance = variance * np.linalg.pinv(matrix.T @ matrix)
    return {
        'at_letter': float(target @ slopes),
        'error': float(np.sqrt(max(0, target @ covariance @ target))),
        'slopes': [float(slope) for slope in slopes],
        'slope_errors': [float(np.sqrt(each)) for each in np.diag(covariance)],
    }


def format_round(measured: dict[str, Any]) -> str:
    """Return a round's means and the costs of each part, as a table."""
    size = measured['size']
    segments = measured['events'].get('links_segments', 0)
    title = ' '.join(f'{name}={text}' for name, text in size.items())
    lines = [
        f'{title} near={measured["near"]:.1f} far={measured["far"]:.1f}'
        f' segments={segments:.1f} process={measured["process"]:.2%}'
        f' memory={measured["memory"] / 1e6:.2f}MB'
        f' load={measured["load"]:.1f}',
    ]
    for part, cost in sorted(measured['parts'].items()):
        lines.append(
            f'  {part:16} {cost["sent_bytes"]:8.0f} B/s out'
            f' {cost["received_bytes"]:8.0f} B/s in'
            f' {cost["sent_messages"]:7.2f} msg/s'
            f' {cost["processor_seconds"]:8.3%}',
        )
    return '\n'.join([*lines, ''])


def format_extrapolation(fitted: dict[str, Any]) -> str:
    """Return the costs at the target size, as a table."""
    lines = ['at the target size (value, standard error):']
    for part, kinds in fitted.items():
        shown = ', '.join(
            f'{kind} {fit["at_letter"]:.5g} ({fit["error"]:.2g})'
            for kind, fit in kinds.items()
        )
        lines.append(f'  {part:16} {shown}')
    return '\n'.join([*lines, ''])
