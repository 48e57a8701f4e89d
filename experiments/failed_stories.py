"""Draws failed requests from logs and tells the story of each.

``python -m experiments.failed_stories --seed 1 --count 30 LOG ...`` shows how
many of them the logs explain: a refusal with its code and reason, and what led
to it, either attempts or what the host believed.
"""

import argparse
import random
import sys
from collections import defaultdict
from pathlib import Path

from nutmegroad.cli.request_timelines import (
    LogLine,
    read_logs,
    request_timeline,
)

#: Refusals that a caller brought on itself.
CALLERS_OWN = frozenset(('UNAUTHENTICATED', 'ROUTE_UNKNOWN', 'BODY_TOO_LARGE'))


def failed(lines: list[LogLine]) -> list[str]:
    """Return the requests that were refused, or given up in an attempt."""
    found = {
        line.request
        for line in lines
        if line.request
        and line.event == 'refused'
        and line.fields.get('code') not in CALLERS_OWN
    }
    return sorted(found)


def explained(lines: list[LogLine], request: str) -> bool:
    """Tell whether the logs say why a request failed."""
    events = defaultdict(list)
    for line in lines:
        if line.request == request:
            events[line.event].append(line)
    refusals = [line for line in events['refused'] if line.fields.get('reason')]
    believed = any('configuration_age' in line.fields for line in refusals)
    return bool(refusals) and (believed or bool(events['attempt']))


def main() -> int:
    """Draw requests, and print their stories."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('logs', nargs='+', type=Path)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--count', type=int, default=30)
    parser.add_argument('--quiet', action='store_true')
    given = parser.parse_args()
    lines = read_logs(given.logs)
    requests = failed(lines)
    drawn = random.Random(given.seed).sample(
        requests,
        min(given.count, len(requests)),
    )
    known = 0
    for request in drawn:
        known += explained(lines, request)
        if not given.quiet:
            sys.stdout.write(f'\n{request}\n')
            sys.stdout.writelines(
                f'{told}\n' for told in request_timeline(lines, request)
            )
    sys.stdout.write(
        f'{known} of {len(drawn)} explained, {len(requests)} failed\n'
    )
    return 0


if __name__ == '__main__':
    sys.exit(main())
