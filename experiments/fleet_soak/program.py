"""A randomized soak of the router, run as real processes.

``python -m experiments.fleet_soak --seed 1`` starts a store, workers and
hosts as processes on loopback, sends requests, injects faults by a plan drawn
from the seed, and checks rules on what callers and workers have observed.
``--seeds 50`` runs that many seeds, one after the other. The exit status is 1
if a rule was broken.
"""

import argparse
import asyncio
import signal
import sys
import time
from pathlib import Path
from typing import Final

from experiments.fleet_soak.callers import Caller
from experiments.fleet_soak.faults import FaultInjector
from experiments.fleet_soak.fleet import Fleet
from experiments.fleet_soak.history import Bounds, History, Verdict
from experiments.fleet_soak.judge import judge
from experiments.fleet_soak.plan import Event, Fault, draw_plan
from experiments.fleet_soak.processes import ROOT

#: Seconds from the end of the last fault until the fleet is expected to have
#: recovered: the operator's bound on revoking keys, the start of a process,
#: and the recovery from an outage of the store.
SETTLE_DURATION: Final = 8.0

#: Minimum seconds of requests after that.
QUIET_DURATION: Final = 4.0

#: Planned operations carried out then, without any fault.
QUIET_OPERATIONS: Final = (
    Event(0, Fault.HOST_STOPPED, 0, 0),
    Event(0, Fault.WORKER_LEAVES, 1, 0),
    Event(0, Fault.CONFIGURED, 0, 0),
)

#: Number of callers per host.
CALLERS_PER_HOST: Final = 3


async def run_seed(options: argparse.Namespace, seed: int) -> bool:
    """Run one seed, print a report, and return whether all rules held."""
    history = History()
    targets = options.hosts + options.workers
    plan = list(
        draw_plan(seed, options.seconds, targets, options.faults or Fault)
    )
    for event in plan:
        sys.stdout.write(f'{event}\n')
    net = 1 + seed % 250
    counts = (options.hosts, options.workers)
    program = options.program.resolve()
    async with Fleet(*counts, net, history, options.mutant, program) as fleet:
        injector = FaultInjector(fleet, history)
        await _run_plan(fleet, injector, plan, history)
    verdicts = list(judge(history, Bounds()))
    _report(seed, history, injector, verdicts)
    return not any(verdict.violations for verdict in verdicts)


async def run_until_signalled(options: argparse.Namespace, seed: int) -> bool:
    """Run one seed; SIGTERM terminates its processes and the program.

    Raises:
        SystemExit: On SIGTERM.
    """
    task = asyncio.ensure_future(run_seed(options, seed))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        sys.stdout.write(f'seed {seed}: ended by a signal\n')
        sys.exit(1)


async def _run_plan(
    fleet: Fleet,
    injector: FaultInjector,
    plan: list[Event],
    history: History,
) -> None:
    """Send requests while the events of a plan are carried out."""
    stopped = False

    def current_key() -> str:
        """Return the oldest valid key."""
        return fleet.keys[0]

    def is_stopped() -> bool:
        """Return whether callers must stop."""
        return stopped

    callers = [
        asyncio.create_task(
            Caller(
                f'c{host}-{number}',
                f'host-{host}',
                address,
                history,
                current_key,
            ).run(is_stopped),
        )
        for host, address in enumerate(fleet.caller_addresses)
        for number in range(CALLERS_PER_HOST)
    ]
    began = time.monotonic()
    injections = []
    for event in plan:
        await asyncio.sleep(max(0, began + event.at - time.monotonic()))
        injections.append(asyncio.create_task(injector.inject(event)))
    await asyncio.gather(*injections)
    await asyncio.sleep(SETTLE_DURATION if plan else 0)
    history.settled_at = time.monotonic()
    operations = (injector.inject(event) for event in QUIET_OPERATIONS)
    await asyncio.gather(asyncio.sleep(QUIET_DURATION), *operations)
    await fleet.prober.wait_finished()
    stopped = True
    await asyncio.gather(*callers)


def _report(
    seed: int,
    history: History,
    injector: FaultInjector,
    verdicts: list[Verdict],
) -> None:
    """Print counts of requests and faults, rollouts, and verdicts."""
    served = sum(each.served for each in history.requests)
    out = sys.stdout
    out.write(
        f'seed {seed}: {len(history.requests)} requests, {served} served\n'
    )
    counts = ', '.join(
        f'{fault.value} {injector.injected[fault]}' for fault in Fault
    )
    out.write(f'faults: {counts}\n')
    for fault in Fault:
        if not injector.injected[fault]:
            out.write(f'never fired: {fault.value}\n')
    for rollout in history.rollouts:
        quality = 'bad' if rollout.bad else 'good'
        seconds = rollout.ended_at - rollout.ordered_at
        out.write(
            f'{quality} version {rollout.version}: {rollout.outcome.value}, '
        )
        out.write(f'{seconds:.1f} s\n')
    for verdict in verdicts:
        out.write(f'{verdict.judge}: {verdict.checked} judged, ')
        out.write(f'{len(verdict.violations)} broken\n')
        for violation in verdict.violations[:5]:
            out.write(f'  {violation}\n')


def main(arguments: list[str] | None = None) -> int:
    """Run the seeds that the command line gives; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1, help='first seed')
    parser.add_argument('--seeds', type=int, default=1, help='number of seeds')
    parser.add_argument('--hosts', type=int, default=3)
    parser.add_argument('--workers', type=int, default=4)
    parser.add_argument(
        '--seconds',
        type=float,
        default=25.0,
        help='seconds within which faults begin',
    )
    parser.add_argument(
        '--mutant',
        default='',
        help='deliberate fault of the workers, which the judges must detect',
    )
    parser.add_argument(
        '--faults',
        type=Fault,
        nargs='+',
        metavar='KIND',
        help='inject only these kinds, by the names that a run prints',
    )
    parser.add_argument(
        '--program',
        type=Path,
        default=ROOT,
        help='checkout whose program is run (default: this one)',
    )
    options = parser.parse_args(arguments)
    failed = [
        seed
        for seed in range(options.seed, options.seed + options.seeds)
        if not asyncio.run(run_until_signalled(options, seed))
    ]
    sys.stdout.write(f'{options.seeds} seeds played, failed: {failed}\n')
    return 1 if failed else 0
