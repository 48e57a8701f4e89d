"""A long randomised run over whole hosts, on a virtual time.

``python -m experiments.soak --seed 1 --hours 1`` runs one seed; with
``--seeds 20`` it runs that many, one after the other. ``--limit`` bounds
the real time. The same seed gives the same run; its digest is printed.
"""

import argparse
import asyncio
import random
import sys
import time
from collections import Counter
from contextlib import AsyncExitStack, nullcontext
from dataclasses import dataclass
from typing import Final

from absl import logging

from experiments.deployment import DOMAINS, read_example
from experiments.soak.events import Events
from experiments.soak.history import History
from experiments.soak.hosts import Surroundings
from experiments.soak.judge import Judge
from experiments.soak.mutants import MUTANTS, mutant
from experiments.soak.platform import SoakPlatform
from experiments.soak.records import read_bills
from experiments.soak.traffic import Traffic
from experiments.soak.upstreams import Upstream, World
from experiments.virtual_time import (
    VirtualClock,
    VirtualLoop,
    run_virtually,
)
from nutmegroad.configuration.changes import ConfigurationChanges
from nutmegroad.contracts.documents import Document, parse_document
from nutmegroad.contracts.platform import Listing
from nutmegroad.daemon.plugins import load_plugins
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    HostId,
    OperatorId,
    ServiceName,
    UpstreamId,
    UpstreamInfo,
    UpstreamKind,
    VersionId,
)
from nutmegroad.records.billing import BILLING_PREFIX
from nutmegroad.testing.virtual import MemoryMesh, NetworkFaults

#: Hosts in each of the three domains.
HOSTS: Final = 2
#: Upstreams in each of them.
KINDS: Final = (
    UpstreamKind.ENGINE,
    UpstreamKind.ENGINE,
    UpstreamKind.SERVICE,
)
#: Seconds that the fleet has to come to rest, and to store its bills.
QUIET: Final = 60.0
#: Seconds for which reads of the table lag at most, in every second run.
LAG: Final = 3.0

_HOUR: Final = 3600.0
_MOST_SHOWN: Final = 5


@dataclass(frozen=True, slots=True)
class Result:
    """What a run found.

    Attributes:
        seed: Its seed.
        seconds: Seconds of virtual time.
        digest: Hash of its log of events.
        counts: What happened, by kind.
        faults: What did not hold.
    """

    seed: int
    seconds: float
    digest: str
    counts: Counter[str]
    faults: tuple[str, ...]


class Soak:
    """One run.

    Args:
        seed: Its seed.
        seconds: Seconds of virtual time in which things go wrong.
        clock: The virtual time.
    """

    def __init__(self, seed: int, seconds: float, clock: Clock) -> None:
        self._seed = seed
        self._seconds = seconds
        self._randomness = random.Random(seed)
        self._name = ('lesen', 'cascade')[seed % 2]
        self._document: Document = parse_document(read_example(self._name))
        self._clock = clock
        self._stack = AsyncExitStack()

    async def run(self, limit: float = float('inf')) -> Result:
        """Run it.

        Args:
            limit: Real seconds after which it comes to its end early.
        """
        async with self._stack:
            await self._open()
            steps = int(self._seconds)
            began = time.monotonic()
            for _ in range(steps):
                await self._clock.sleep(1)
                self._judge.look()
                stopped = time.monotonic() - began > limit
                if self._judge.faults or stopped:
                    break
            # A run that has failed is not worth its end.
            if not self._judge.faults:
                await self._rest()
            self._end()
            return self._result()

    async def _open(self) -> None:
        """Open everything, and begin."""
        network = await self._stack.enter_async_context(
            MemoryMesh(
                self._clock,
                random.Random(self._randomness.getrandbits(64)),
                NetworkFaults(delay=(0.0005, 0.004)),
            ),
        )
        platform = SoakPlatform(
            self._clock,
            random.Random(self._randomness.getrandbits(64)),
        )
        self._stack.push_async_callback(platform.aclose)
        history = History(self._clock, platform.objects)
        history.lag = LAG * (self._seed // 2 % 2)
        platform.watch = history.watch
        self._judge = Judge(self._clock, history)
        world = World(self._clock, self._randomness, self._judge)
        self._add_upstreams(world)
        infos = tuple(one.info for one in world.upstreams.values())
        platform.listing = Listing((), infos)
        self._around = Surroundings(
            network,
            platform,
            world,
            self._judge.alarm,
        )
        self._events = Events(
            self._document,
            self._around,
            self._judge,
            self._clock,
            self._randomness,
            self._judge.hosts,
        )
        await self._open_hosts()
        self._traffic = Traffic(
            self._document,
            self._judge,
            self._clock,
            self._randomness,
            self._judge.hosts,
        )
        self._tasks = [
            asyncio.ensure_future(work)
            for work in (
                self._traffic.run(),
                self._events.run(),
                self._events.look_at_list(),
            )
        ]

    def _add_upstreams(self, world: World) -> None:
        """Put engines and services into each domain."""
        versions = tuple(VersionId(one.id) for one in self._document.versions)
        service = ServiceName(self._document.services[0].name)
        number = 0
        for domain in DOMAINS[self._name]:
            for kind in KINDS:
                number += 1
                name = UpstreamId(f'{domain}-{kind.value}-{number}')
                is_engine = kind is UpstreamKind.ENGINE
                info = UpstreamInfo(
                    name,
                    DomainId(domain),
                    kind,
                    Address('10.0.0.1', 1000 * number),
                    service=ServiceName('') if is_engine else service,
                )
                world.upstreams[name] = Upstream(
                    info,
                    versions if is_engine else (),
                )

    async def _open_hosts(self) -> None:
        """Start all hosts, and put the document into force."""
        for domain in DOMAINS[self._name]:
            for number in range(HOSTS):
                await self._events.begin_host(
                    HostId(f'{domain}-{number}'),
                    DomainId(domain),
                )
        first = next(iter(self._judge.hosts.values()))
        await first.kernel.need(ConfigurationChanges).apply(
            self._document,
            None,
            OperatorId('first'),
            None,
        )
        await self._clock.sleep(5)

    async def _rest(self) -> None:
        """Let nothing more go wrong, and judge what is left."""
        for task in self._tasks[:2]:
            task.cancel()
        deadline = self._clock.now() + QUIET
        while self._events.pending and self._clock.now() < deadline:
            await self._clock.sleep(1)
        await self._clock.sleep(QUIET)
        judge = self._judge
        judge.look()
        for task in self._traffic.open:
            judge.fault(f'a request has not ended: {task!r}')
        self._judge_agreement()
        judge.judge_bills(
            read_bills(self._around.platform.objects, BILLING_PREFIX),
        )

    def _end(self) -> None:
        """Let nothing of any host run on."""
        for host in self._judge.hosts.values():
            host.kill()

    def _judge_agreement(self) -> None:
        """Judge whether all hosts agree after a while of quiet."""
        newest = self._judge.history.moves[-1].head.revision
        for host in self._judge.hosts.values():
            if host.configuration.revision != newest:
                self._judge.fault(f'{host.host} does not have {newest}')

    def _result(self) -> Result:
        """Sum the run up."""
        judge = self._judge
        judge.counts['revisions'] = len(judge.history.moves)
        return Result(
            self._seed,
            self._clock.now(),
            judge.digest,
            judge.counts,
            tuple(judge.faults),
        )


def run_seed(
    seed: int,
    seconds: float,
    limit: float = float('inf'),
) -> Result:
    """Run one seed on a loop of its own."""
    load_plugins()

    loop = VirtualLoop()
    soak = Soak(seed, seconds, VirtualClock(loop))
    return run_virtually(loop, soak.run(limit))


def show(result: Result) -> None:
    """Print what a run found."""
    counts = result.counts
    _say(
        f'seed {result.seed}: {result.seconds:.0f} s, '
        f'{counts["requests"]} requests, {counts["first bytes"]} first bytes, '
        f'{counts["revisions"]} revisions, digest {result.digest[:16]}, '
        f'{len(result.faults)} faults',
    )
    for fault in result.faults[:_MOST_SHOWN]:
        _say(f'  {fault}')


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--hours', type=float, default=0.1)
    parser.add_argument('--limit', type=float, default=float('inf'))
    parser.add_argument('--mutant', choices=sorted(MUTANTS), default=None)
    parser.add_argument('--log', action='store_true')
    return parser.parse_args()


def main() -> int:
    """Run seeds until the limit."""
    args = _arguments()
    logging.set_verbosity(logging.INFO if args.log else logging.FATAL)
    began = time.monotonic()
    total: Counter[str] = Counter()
    failed = 0
    with mutant(args.mutant) if args.mutant else nullcontext():
        for seed in range(args.seed, args.seed + args.seeds):
            left = args.limit - (time.monotonic() - began)
            if left <= 0:
                break
            result = run_seed(seed, args.hours * _HOUR, left)
            show(result)
            total.update(result.counts)
            failed += bool(result.faults)
    for name, count in sorted(total.items()):
        _say(f'  {name}: {count}')
    _say(f'{failed} seeds failed, {time.monotonic() - began:.0f} s real')
    return 1 if failed else 0
