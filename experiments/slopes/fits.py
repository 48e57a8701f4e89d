"""Fits what rounds of ``slopes`` showed, and says what follows from it."""

from typing import Any, Final

import numpy as np

#: Bytes of Ethernet, IP and TCP headers of a segment with time stamps.
HEADERS: Final = 66
#: Far links of a host of the letter, who makes 2 to each of 8 other domains
#: and takes as many.
LETTER: Final = {
    'hosts': 400,
    'domains': 9,
    'engines': 890,
    'near': 43.4,
    'far': 32.0,
}
#: Parts whose messages go over HTTP; each has a segment and an
#: acknowledgement each way.
HTTP: Final = frozenset(
    ('reports', 'table', 'objects', 'host list', 'ratings'),
)
_KINDS: Final = ('sent_bytes', 'sent_messages', 'processor_seconds')


def features(size: dict[str, Any], near: float, far: float) -> list[float]:
    """Return what a host's cost is taken to be a sum of.

    They are: a constant, links within the domain, links to others, engines
    for each host (those that it asks), and engines in all.
    """
    engines = size['engines']
    return [1, near, far, engines / size['hosts'], engines]


def extrapolate(rounds: list[dict[str, Any]]) -> dict[str, Any]:
    """Return each part's cost at the size of the letter, and its spread."""
    usual = [
        one
        for one in rounds
        if not one['size']['changes'] and one['size']['heartbeat'] == 1
    ]
    matrix = np.array(
        [features(one['size'], one['near'], one['far']) for one in usual],
    )
    # As many sizes as parameters fit without any residue, and say nothing.
    if len(usual) <= matrix.shape[1]:
        return {}
    aim = np.array(features(LETTER, LETTER['near'], LETTER['far']))
    parts = sorted({part for one in usual for part in one['parts']})
    fitted = {}
    for part in parts:
        fitted[part] = {
            kind: _fit(matrix, aim, _column(usual, part, kind))
            for kind in _KINDS
        }
    segments = [one['events'].get('links_segments', 0) for one in usual]
    fitted['segments'] = {'count': _fit(matrix, aim, segments)}
    memory = [one['memory'] for one in usual]
    fitted['memory'] = {'bytes': _fit(matrix, aim, memory)}
    process = [one['process'] for one in usual]
    fitted['process'] = {'processor_seconds': _fit(matrix, aim, process)}
    return fitted


def _column(
    rounds: list[dict[str, Any]],
    part: str,
    kind: str,
) -> list[float]:
    return [one['parts'].get(part, {}).get(kind, 0) for one in rounds]


def _fit(matrix: Any, aim: Any, column: list[float]) -> dict[str, Any]:
    """Return the value at the aim, its standard error and the slopes."""
    given = np.array(column, dtype=float)
    slopes, _, rank, _ = np.linalg.lstsq(matrix, given, rcond=None)
    residual = given - matrix @ slopes
    freedom = max(1, len(given) - rank)
    variance = float(residual @ residual) / freedom
    spread = variance * np.linalg.pinv(matrix.T @ matrix)
    return {
        'at_letter': float(aim @ slopes),
        'error': float(np.sqrt(max(0, aim @ spread @ aim))),
        'slopes': [float(slope) for slope in slopes],
        'slope_errors': [float(np.sqrt(each)) for each in np.diag(spread)],
    }


def describe(one: dict[str, Any]) -> str:
    """Return a round as lines of a table."""
    size = one['size']
    segments = one['events'].get('links_segments', 0)
    title = ' '.join(f'{name}={text}' for name, text in size.items())
    lines = [
        f'{title} near={one["near"]:.1f} far={one["far"]:.1f}'
        f' segments={segments:.1f} process={one["process"]:.2%}'
        f' memory={one["memory"] / 1e6:.2f}MB load={one["load"]:.1f}',
    ]
    for part, cost in sorted(one['parts'].items()):
        lines.append(
            f'  {part:16} {cost["sent_bytes"]:8.0f} B/s out'
            f' {cost["received_bytes"]:8.0f} B/s in'
            f' {cost["sent_messages"]:7.2f} msg/s'
            f' {cost["processor_seconds"]:8.3%}',
        )
    return '\n'.join([*lines, ''])


def describe_letter(fitted: dict[str, Any]) -> str:
    """Return the extrapolation as lines of a table."""
    lines = ['at the size of the letter (value, standard error):']
    for part, kinds in fitted.items():
        shown = ', '.join(
            f'{kind} {fit["at_letter"]:.5g} ({fit["error"]:.2g})'
            for kind, fit in kinds.items()
        )
        lines.append(f'  {part:16} {shown}')
    return '\n'.join([*lines, ''])
