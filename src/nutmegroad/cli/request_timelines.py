"""Timelines of single requests, assembled from the logs of all hosts.

A log line is a JSON object. A log collector may write a prefix before it, such
as a time and the name of the host; the prefix's last word is the origin of the
line. A timeline also contains state changes that the hosts of the request
logged in the seconds before it.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import msgspec

#: Seconds before the first line of a request from which state changes are
#: included: keys expire within five seconds, and an outage is logged earlier
#: than that.
CONTEXT_SECONDS: Final = 6.0

#: Parts whose lines without a request describe the state of a host.
_STATE_PARTS: Final = frozenset(
    ('configuration', 'followers', 'host', 'rollouts', 'upstreams'),
)

#: Keys of a log line that have attributes of their own.
_ATTRIBUTE_KEYS: Final = frozenset(('time', 'part', 'event', 'request'))


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line of a log.

    Attributes:
        origin: Last word before the JSON object, or the name of the file.
        timestamp: Seconds since 1970.
        part: The part that wrote the line.
        event: Name of the event, or the message.
        request: Id of the request, or empty.
        fields: All other keys with their content.
    """

    origin: str
    timestamp: float
    part: str
    event: str
    request: str
    fields: dict[str, Any]

    def as_text(self, start: float) -> str:
        """Format the line, with its time relative to a start time."""
        pairs = ' '.join(f'{key}={text}' for key, text in self.fields.items())
        return (
            f'{self.timestamp - start:+9.3f} s  {self.origin}  '
            f'{self.part}: {self.event}  {pairs}'
        ).rstrip()


def read_lines(text: str, name: str) -> Iterator[LogLine]:
    """Yield the lines of a log that contain a JSON object; skip all others.

    Args:
        text: Text of the log.
        name: Origin of lines without a prefix.
    """
    for line in text.splitlines():
        start = line.find('{')
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(line[start:], type=dict[str, Any])
        except msgspec.DecodeError:
            continue
        prefix = line[:start].split()
        yield LogLine(
            prefix[-1] if prefix else name,
            float(fields.get('time', 0)),
            str(fields.get('part', '')),
            str(fields.get('event') or fields.get('message', '')),
            str(fields.get('request', '')),
            {
                key: content
                for key, content in fields.items()
                if key not in _ATTRIBUTE_KEYS and content not in ('', None)
            },
        )


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Return the lines of log files, ordered by time.

    Raises:
        OSError: If a file cannot be read.
        UnicodeDecodeError: If a file is not UTF-8 text.
    """
    lines: list[LogLine] = []
    for path in paths:
        lines.extend(read_lines(path.read_text('utf-8'), path.name))
    return sorted(lines, key=lambda line: line.timestamp)


def request_timeline(lines: list[LogLine], request: str) -> list[str]:
    """Return the timeline of a request; empty if no line has its id."""
    own = [line for line in lines if line.request == request]
    if not own:
        return []
    start = own[0].timestamp
    hosts = {line.origin for line in own}
    state_changes = [
        line
        for line in lines
        if line.origin in hosts
        and line.part in _STATE_PARTS
        and not line.request
        and start - CONTEXT_SECONDS <= line.timestamp <= own[-1].timestamp
    ]
    timeline = sorted((*state_changes, *own), key=lambda line: line.timestamp)
    return [line.as_text(start) for line in timeline]
