"""What logs tell of one request, from all hosts together.

A log line is a JSON object; what a collector wrote before it, such as a
time and a host's name, stays beside it. Lines about the request are joined
with what its hosts came to believe in the seconds before.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import msgspec

#: Seconds before a request's first line from which beliefs are shown: keys
#: lapse within five seconds, and an outage shows earlier than that.
BEFORE: Final = 6.0

#: Parts whose lines without a request tell what a host believes.
_BELIEFS: Final = frozenset(
    ('configuration', 'followers', 'host', 'rollouts', 'upstreams'),
)

_SHOWN_APART: Final = frozenset(('time', 'part', 'event', 'request'))


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line of a log.

    Attributes:
        origin: What was written before the object, or the file's name.
        moment: Seconds since 1970.
        part: The part that logged.
        event: What was decided.
        request: The request that it concerns, or empty.
        fields: Everything else.
    """

    origin: str
    moment: float
    part: str
    event: str
    request: str
    fields: dict[str, Any]

    def spelled(self, since: float) -> str:
        """Return it as text, its time counted from a moment."""
        told = ' '.join(f'{name}={text}' for name, text in self.fields.items())
        return (
            f'{self.moment - since:+9.3f} s  {self.origin}  '
            f'{self.part}: {self.event}  {told}'
        ).rstrip()


def read_lines(text: str, name: str) -> Iterator[LogLine]:
    """Yield the lines of a log that are objects, the others left out."""
    for line in text.splitlines():
        begin = line.find('{')
        if begin < 0:
            continue
        try:
            fields = msgspec.json.decode(line[begin:], type=dict[str, Any])
        except msgspec.DecodeError:
            continue
        origin = line[:begin].split()
        yield LogLine(
            origin[-1] if origin else name,
            float(fields.get('time', 0)),
            str(fields.get('part', '')),
            str(fields.get('event') or fields.get('message', '')),
            str(fields.get('request', '')),
            {
                key: content
                for key, content in fields.items()
                if key not in _SHOWN_APART and content not in ('', None)
            },
        )


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Return the lines of log files, in the order of time.

    Raises:
        OSError: If a file can't be read.
        UnicodeDecodeError: If one is no text.
    """
    lines: list[LogLine] = []
    for path in paths:
        lines.extend(read_lines(path.read_text('utf-8'), path.name))
    return sorted(lines, key=lambda line: line.moment)


def story(lines: list[LogLine], request: str) -> list[str]:
    """Return what happened to a request; nothing if no line names it."""
    own = [line for line in lines if line.request == request]
    if not own:
        return []
    began = own[0].moment
    hosts = {line.origin for line in own}
    around = [
        line
        for line in lines
        if line.origin in hosts
        and line.part in _BELIEFS
        and not line.request
        and began - BEFORE <= line.moment <= own[-1].moment
    ]
    told = sorted((*around, *own), key=lambda line: line.moment)
    return [line.spelled(began) for line in told]
