"""Counts calls to the store after an outage and after a restore from a copy.

    python -m experiments.return_calls --hosts 88

starts a store, workers and hosts as processes on loopback, as the soak test
does. The store stops answering for a while, and the hosts' calls in the
seconds after that are counted. The same is repeated with a store that is
restored from an older copy. A host takes about 50 MB of memory.
"""

import argparse
import asyncio
import json
import sys
from typing import Final

from experiments.fleet_soak.fleet import Fleet
from experiments.fleet_soak.history import History

#: Seconds for which calls are counted, and in which a fleet settles.
COUNT_WINDOW: Final = 5.0
SETTLE_TIME: Final = 15.0

#: Seconds for which the store does not answer, and between taking the copy
#: and that outage; the copy lacks what is written meanwhile.
OUTAGE: Final = 1.0
COPY_AGE: Final = 3.0


async def measure(hosts: int, workers: int, net: int) -> dict[str, int]:
    """Count calls before an outage, after it, and after a restore.

    Args:
        hosts: Number of hosts.
        workers: Number of workers; each writes every half second.
        net: Second octet of all IP addresses.
    """
    history = History()
    async with Fleet(hosts, workers, net, history) as fleet:
        await asyncio.sleep(SETTLE_TIME)
        baseline = await _count_calls(fleet)
        after_outage = await _count_calls_after_outage(fleet)
        await asyncio.sleep(SETTLE_TIME)
        await fleet.post_to_store('copy')
        await asyncio.sleep(COPY_AGE)
        after_restore = await _count_calls_after_outage(fleet, 'come_back')
    return {
        'calm': baseline,
        'after an outage': after_outage,
        'after a return from a copy': after_restore,
    }


async def _count_calls_after_outage(fleet: Fleet, *calls: str) -> int:
    """Make the store unresponsive for a while; count the calls after that.

    Args:
        fleet: The fleet.
        calls: Calls to the store's control interface that are made before it
            answers again.
    """
    await fleet.post_to_store('fault/silent')
    await asyncio.sleep(OUTAGE)
    for call in (*calls, 'fault/none'):
        await fleet.post_to_store(call)
    return await _count_calls(fleet)


async def _count_calls(fleet: Fleet) -> int:
    """Return how many calls hosts make to the store in the next seconds."""
    before = await fleet.host_calls()
    await asyncio.sleep(COUNT_WINDOW)
    return await fleet.host_calls() - before


def main() -> None:
    """Read the command line, measure, and print the counts as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--hosts', type=int, default=9)
    parser.add_argument('--workers', type=int, default=3)
    parser.add_argument('--net', type=int, default=251)
    options = parser.parse_args()
    counts = asyncio.run(measure(options.hosts, options.workers, options.net))
    sys.stdout.write(f'{json.dumps(counts)}\n')


if __name__ == '__main__':
    main()
