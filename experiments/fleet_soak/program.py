"""A randomized soak of the program that users run, from outside.

``python -m experiments.fleet_soak --seed 1`` starts a store, workers and
hosts as processes on loopback, sends requests, lets faults befall them by a
plan that the seed gives, and judges by what callers and workers have seen.
``--seeds 50`` runs that many, one after the other. The exit status is 1 if a
rule was broken.
"""

import argparse
import asyncio
import signal
import sys
import time
from pathlib import Path
from typing import Final

from experiments.fleet_soak.callers import Caller
from experiments.fleet_soak.faults import Faults
from experiments.fleet_soak.fleet import Fleet
from experiments.fleet_soak.history import Bounds, History, Verdict
from experiments.fleet_soak.judge import judge
from experiments.fleet_soak.plan import Event, Fault, draw
from experiments.fleet_soak.processes import ROOT

#: Seconds from the last fault until everything is expected to serve again:
#: the operator's bound on keys, a start, and the store's return.
SETTLE: Final = 8.0
#: Seconds of requests after that, at least.
CALM: Final = 4.0

#: Planned work that is done then, with nothing else in the way.
CALM_WORK: Final = (
    Event(0, Fault.HOST_STOPPED, 0, 0),
    Event(0, Fault.WORKER_LEAVES, 1, 0),
    Event(0, Fault.CONFIGURED, 0, 0),
)

#: Callers for each host.
CALLERS: Final = 3


async def play(options: argparse.Namespace, seed: int) -> bool:
    """Play one seed, write what was seen, and tell whether all rules held."""
    history = History()
    targets = options.hosts + options.workers
    plan = list(draw(seed, options.seconds, targets, options.faults or Fault))
    for event in plan:
        sys.stdout.write(f'{event}\n')
    net = 1 + seed % 250
    counts = (options.hosts, options.workers)
    program = options.program.resolve()
    async with Fleet(*counts, net, history, options.mutant, program) as fleet:
        faults = Faults(fleet, history)
        await _play(fleet, faults, plan, history)
    verdicts = list(judge(history, Bounds()))
    _report(seed, history, faults, verdicts)
    return not any(verdict.broken for verdict in verdicts)


async def play_to_the_end(options: argparse.Namespace, seed: int) -> bool:
    """Play one seed; SIGTERM ends its processes and the whole run.

    Raises:
        SystemExit: If it was ended so.
    """
    task = asyncio.ensure_future(play(options, seed))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        sys.stdout.write(f'seed {seed}: ended by a signal\n')
        sys.exit(1)


async def _play(
    fleet: Fleet,
    faults: Faults,
    plan: list[Event],
    history: History,
) -> None:
    """Let callers ask while the faults of a plan happen."""
    over: list[bool] = []

    def present_key() -> str:
        """Return the key that holds now."""
        return fleet.keys[0]

    def is_over() -> bool:
        """Tell whether callers stop asking."""
        return bool(over)

    callers = [
        asyncio.create_task(
            Caller(
                f'c{host}-{number}',
                f'host-{host}',
                address,
                history,
                present_key,
            ).run(is_over),
        )
        for host, address in enumerate(fleet.callers_at)
        for number in range(CALLERS)
    ]
    began = time.monotonic()
    happening = []
    for event in plan:
        await asyncio.sleep(max(0, began + event.at - time.monotonic()))
        happening.append(asyncio.create_task(faults.happen(event)))
    await asyncio.gather(*happening)
    await asyncio.sleep(SETTLE if plan else 0)
    history.calm_from = time.monotonic()
    work = (faults.happen(event) for event in CALM_WORK)
    await asyncio.gather(asyncio.sleep(CALM), *work)
    await fleet.probes.ended()
    over.append(True)
    await asyncio.gather(*callers)


def _report(
    seed: int,
    history: History,
    faults: Faults,
    verdicts: list[Verdict],
) -> None:
    """Write what was asked, what happened, and what was judged."""
    served = sum(each.served for each in history.requests)
    out = sys.stdout
    out.write(f'seed {seed}: {len(history.asked)} requests, {served} served\n')
    fired = ', '.join(f'{fault.value} {faults.fired[fault]}' for fault in Fault)
    out.write(f'faults: {fired}\n')
    for fault in Fault:
        if not faults.fired[fault]:
            out.write(f'never fired: {fault.value}\n')
    for rollout in history.rollouts:
        sort = 'bad' if rollout.bad else 'good'
        took = rollout.ended - rollout.ordered
        out.write(f'{sort} version {rollout.to}: {rollout.end.value}, ')
        out.write(f'{took:.1f} s\n')
    for verdict in verdicts:
        out.write(f'{verdict.judge}: {verdict.moments} judged, ')
        out.write(f'{len(verdict.broken)} broken\n')
        for sentence in verdict.broken[:5]:
            out.write(f'  {sentence}\n')


def main(words: list[str] | None = None) -> int:
    """Play the seeds of a command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1, help='the first seed')
    parser.add_argument('--seeds', type=int, default=1, help='how many')
    parser.add_argument('--hosts', type=int, default=3)
    parser.add_argument('--workers', type=int, default=4)
    parser.add_argument(
        '--seconds',
        type=float,
        default=25.0,
        help='for how long faults begin',
    )
    parser.add_argument(
        '--mutant',
        default='',
        help='a deliberate fault of the workers, which has to be found',
    )
    parser.add_argument(
        '--faults',
        type=Fault,
        nargs='+',
        metavar='KIND',
        help='only these kinds, by the names that a run prints',
    )
    parser.add_argument(
        '--program',
        type=Path,
        default=ROOT,
        help='the checkout whose program is played; this one if left out',
    )
    options = parser.parse_args(words)
    failed = [
        seed
        for seed in range(options.seed, options.seed + options.seeds)
        if not asyncio.run(play_to_the_end(options, seed))
    ]
    sys.stdout.write(f'{options.seeds} seeds played, failed: {failed}\n')
    return 1 if failed else 0
