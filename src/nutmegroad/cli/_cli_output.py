"""What the command line prints: tables for people, JSON for programs."""

from collections.abc import Callable, Sequence
from typing import Any, Final

import msgspec

#: Prints a reply for people.
Renderer = Callable[[Any], str]

_INDENT: Final = 2
_GAP: Final = '  '

#: Place of a quarantine's level, odd while it stands, in its array.
_LEVEL: Final = 3


def as_json(reply: Any) -> str:
    """Return a reply as indented JSON."""
    encoded = msgspec.json.encode(reply)
    return msgspec.json.format(encoded, indent=_INDENT).decode()


def cell(content: Any) -> str:
    """Return one value as text."""
    if content is None:
        return '-'
    if isinstance(content, bool):
        return 'yes' if content else 'no'
    if isinstance(content, float):
        return f'{content:.3f}'
    if isinstance(content, list):
        return ', '.join(cell(part) for part in content) or '-'
    if isinstance(content, dict):
        pairs = (f'{name}={cell(part)}' for name, part in content.items())
        return ', '.join(pairs) or '-'
    return str(content)


def explanation(reply: Any) -> str:
    """Print what happened to a request."""
    if 'story' in reply:
        return '\n'.join(reply['story'])
    return steps(reply)


def table(*columns: str) -> Renderer:
    """Return a renderer of a list as a table of these columns."""

    def render(reply: Any) -> str:
        """Return the table."""
        rows = [[cell(row.get(name)) for name in columns] for row in reply]
        if not rows:
            return 'There is none.'
        heads = [name.upper().replace('_', ' ') for name in columns]
        return _align([heads, *rows])

    return render


def fields(reply: Any) -> str:
    """Return a reply's fields, one a line."""
    rows = [
        [name.replace('_', ' '), cell(part)] for name, part in reply.items()
    ]
    return _align(rows)


def steps(reply: Any) -> str:
    """Return the steps of a request, with seconds since its first."""
    if not reply:
        return 'There is none.'
    start = reply[0]['at']
    rows = [
        [f'{step["at"] - start:8.3f}s', step['part'], step['text']]
        for step in reply
    ]
    return _align(rows)


def status(reply: Any) -> str:
    """Return how a host stands, and what keeps it from serving."""
    plain = {name: part for name, part in reply.items() if name != 'conditions'}
    lines = [fields(plain)]
    lines.extend(
        f'{found["name"]} ({found["code"]}): {found["message"]}'
        for found in reply['conditions']
    )
    return '\n'.join(lines)


def configuration(reply: Any) -> str:
    """Return a revision's fields, and its document as JSON."""
    plain = {name: part for name, part in reply.items() if name != 'document'}
    return f'{fields(plain)}\n{as_json(reply["document"])}'


def history(reply: Any) -> str:
    """Return the newest changes."""
    return table('revision', 'author', 'summary')(reply['moves'])


def rollouts(reply: Any) -> str:
    """Return the roll-outs, their last reasons, and quarantines."""
    rows = [
        {
            **entry,
            'in_force': reply['shares'].get(entry['version']),
            'reason': entry['steps'][-1]['reason'] if entry['steps'] else None,
        }
        for entry in reply['rollouts']
    ]
    shown = table('version', 'phase', 'share', 'in_force', 'reason')(rows)
    standing = [fact for fact in reply['quarantines'] if fact[_LEVEL] % 2 == 1]
    lines = [
        f'quarantine of {fact[0]} (epoch {fact[1]}) for {fact[2]}: {fact[5]}'
        for fact in standing
    ]
    return '\n'.join((shown, *lines))


def _align(rows: Sequence[Sequence[str]]) -> str:
    """Return rows with their columns aligned."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = (
        _GAP.join(
            part.ljust(width) for part, width in zip(row, widths, strict=True)
        )
        for row in rows
    )
    return '\n'.join(line.rstrip() for line in lines)
