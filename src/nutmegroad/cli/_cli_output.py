"""Output formats of the command line: text for people, JSON for programs."""

from collections.abc import Callable, Sequence
from typing import Any, Final

import msgspec

#: Formats a reply as text for people.
Renderer = Callable[[Any], str]

_INDENT: Final = 2
_COLUMN_GAP: Final = '  '
#: Text for an empty list.
_EMPTY: Final = 'No entries.'

#: Indexes of the fields of a quarantine, which is encoded as an array.
_VERSION: Final = 0
_EPOCH: Final = 1
_TASK: Final = 2
#: The level, which is odd while the quarantine is active.
_LEVEL: Final = 3
_REASON: Final = 5


def format_json(reply: Any) -> str:
    """Format a reply as indented JSON."""
    encoded = msgspec.json.encode(reply)
    return msgspec.json.format(encoded, indent=_INDENT).decode()


def format_value(content: Any) -> str:
    """Format one value as text."""
    if content is None:
        return '-'
    if isinstance(content, bool):
        return 'yes' if content else 'no'
    if isinstance(content, float):
        return f'{content:.3f}'
    if isinstance(content, list):
        return ', '.join(format_value(part) for part in content) or '-'
    if isinstance(content, dict):
        pairs = (
            f'{name}={format_value(part)}' for name, part in content.items()
        )
        return ', '.join(pairs) or '-'
    return str(content)


def format_explanation(reply: Any) -> str:
    """Format the explanation of a request, from its host or from logs."""
    if 'story' in reply:
        return '\n'.join(reply['story'])
    return format_steps(reply)


def table_renderer(*columns: str) -> Renderer:
    """Return a renderer that formats a list as a table of some columns."""

    def render(reply: Any) -> str:
        """Format the table, with a header line."""
        rows = [
            [format_value(row.get(name)) for name in columns] for row in reply
        ]
        if not rows:
            return _EMPTY
        headers = [name.upper().replace('_', ' ') for name in columns]
        return _align([headers, *rows])

    return render


def format_fields(reply: Any) -> str:
    """Format the fields of a reply, one per line."""
    rows = [
        [name.replace('_', ' '), format_value(part)]
        for name, part in reply.items()
    ]
    return _align(rows)


def format_steps(reply: Any) -> str:
    """Format the steps of a request, with seconds since the first one."""
    if not reply:
        return _EMPTY
    start = reply[0]['at']
    rows = [
        [f'{step["at"] - start:8.3f}s', step['part'], step['text']]
        for step in reply
    ]
    return _align(rows)


def format_status(reply: Any) -> str:
    """Format the status of a host and the conditions that impair it."""
    plain = {key: part for key, part in reply.items() if key != 'conditions'}
    lines = [format_fields(plain)]
    lines.extend(
        f'{condition["name"]} ({condition["code"]}): {condition["message"]}'
        for condition in reply['conditions']
    )
    return '\n'.join(lines)


def format_configuration(reply: Any) -> str:
    """Format the fields of a revision, and its document as JSON."""
    plain = {key: part for key, part in reply.items() if key != 'document'}
    return f'{format_fields(plain)}\n{format_json(reply["document"])}'


def format_history(reply: Any) -> str:
    """Format the most recent changes."""
    return table_renderer('revision', 'author', 'summary')(reply['moves'])


def format_rollouts(reply: Any) -> str:
    """Format rollouts with the reason of their last step, and quarantines."""
    rows = [
        {
            **entry,
            'in_force': reply['shares'].get(entry['version']),
            'reason': entry['steps'][-1]['reason'] if entry['steps'] else None,
        }
        for entry in reply['rollouts']
    ]
    rollout_table = table_renderer(
        'version', 'phase', 'share', 'in_force', 'reason'
    )(rows)
    active = [
        record for record in reply['quarantines'] if record[_LEVEL] % 2 == 1
    ]
    lines = [
        f'quarantine of {record[_VERSION]} (epoch {record[_EPOCH]}) for '
        f'{record[_TASK]}: {record[_REASON]}'
        for record in active
    ]
    return '\n'.join((rollout_table, *lines))


def _align(rows: Sequence[Sequence[str]]) -> str:
    """Format rows with aligned columns."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = (
        _COLUMN_GAP.join(
            part.ljust(width) for part, width in zip(row, widths, strict=True)
        )
        for row in rows
    )
    return '\n'.join(line.rstrip() for line in lines)
