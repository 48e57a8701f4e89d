"""Counts the store's calls after it comes back, from an outage or from a copy.

    python -m experiments.return_calls --hosts 88

starts a store, workers and hosts as processes on loopback, as the soak does,
lets the store fall silent for a while, and counts calls in the seconds after;
then the same, but the store comes back from an older copy. Some 50 MB a host.
"""

import argparse
import asyncio
import json
import sys
from typing import Final

from experiments.fleet_soak.fleet import Fleet
from experiments.fleet_soak.history import History

#: Seconds in which calls are counted, and until a fleet has calmed down.
COUNTED: Final = 5.0
SETTLES: Final = 15.0

#: Seconds for which the store is away, and of which the copy knows nothing.
AWAY: Final = 1.0
MISSING: Final = 3.0


async def measure(hosts: int, workers: int, net: int) -> dict[str, int]:
    """Return calls in the seconds after the store came back.

    Args:
        hosts: How many hosts.
        workers: How many workers; they write once a half second each.
        net: Second number of all addresses.
    """
    history = History()
    async with Fleet(hosts, workers, net, history) as fleet:
        await asyncio.sleep(SETTLES)
        calm = await _calls(fleet)
        outage = await _after_silence(fleet)
        await asyncio.sleep(SETTLES)
        await fleet.tell_store('copy')
        await asyncio.sleep(MISSING)
        copied = await _after_silence(fleet, 'come_back')
    return {
        'calm': calm,
        'after an outage': outage,
        'after a return from a copy': copied,
    }


async def _after_silence(fleet: Fleet, *calls: str) -> int:
    """Return how many calls are made after the store was away.

    Args:
        fleet: The fleet.
        calls: What the store is told before it answers again.
    """
    await fleet.tell_store('fault/silent')
    await asyncio.sleep(AWAY)
    for call in (*calls, 'fault/none'):
        await fleet.tell_store(call)
    return await _calls(fleet)


async def _calls(fleet: Fleet) -> int:
    """Return how many calls hosts make in the seconds from now on."""
    before = await fleet.host_calls()
    await asyncio.sleep(COUNTED)
    return await fleet.host_calls() - before


def main() -> None:
    """Read the command line, measure and write what came out."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--hosts', type=int, default=9)
    parser.add_argument('--workers', type=int, default=3)
    parser.add_argument('--net', type=int, default=251)
    given = parser.parse_args()
    counts = asyncio.run(measure(given.hosts, given.workers, given.net))
    sys.stdout.write(f'{json.dumps(counts)}\n')


if __name__ == '__main__':
    main()
