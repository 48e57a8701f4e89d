"""Samples failed requests from logs, and prints the timeline of each.

``python -m experiments.failed_stories --seed 1 --count 30 LOG ...`` also
counts how many of them the logs explain: a refusal must have a reason, and
the logs must show what led to it, either attempts or the state of the host.
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

#: Codes of refusals that are the caller's own fault.
CALLER_ERRORS = frozenset(
    ('UNAUTHENTICATED', 'ROUTE_UNKNOWN', 'BODY_TOO_LARGE')
)


def failed_requests(lines: list[LogLine]) -> list[str]:
    """Return ids of refused requests, without those of callers' own fault."""
    failed = {
        line.request
        for line in lines
        if line.request
        and line.event == 'refused'
        and line.fields.get('code') not in CALLER_ERRORS
    }
    return sorted(failed)


def is_explained(lines: list[LogLine], request: str) -> bool:
    """Return whether the logs show why a request failed."""
    events = defaultdict(list)
    for line in lines:
        if line.request == request:
            events[line.event].append(line)
    refused = events['refused']
    refusals = [line for line in refused if line.fields.get('reason')]
    has_host_state = any(
        'configuration_age' in line.fields for line in refusals
    )
    return bool(refusals) and (has_host_state or bool(events['attempt']))


def main() -> int:
    """Sample failed requests, and print their timelines and the counts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('logs', nargs='+', type=Path)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--count', type=int, default=30)
    parser.add_argument('--quiet', action='store_true')
    options = parser.parse_args()
    lines = read_logs(options.logs)
    requests = failed_requests(lines)
    sample = random.Random(options.seed).sample(
        requests,
        min(options.count, len(requests)),
    )
    explained = 0
    for request in sample:
        explained += is_explained(lines, request)
        if not options.quiet:
            sys.stdout.write(f'\n{request}\n')
            sys.stdout.writelines(
                f'{event}\n' for event in request_timeline(lines, request)
            )
    sys.stdout.write(
        f'{explained} of {len(sample)} explained, {len(requests)} failed\n'
    )
    return 0


if __name__ == '__main__':
    sys.exit(main())
