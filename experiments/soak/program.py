"""Long randomized runs of complete hosts under faults, on virtual time.

``python -m experiments.soak --seed 1 --hours 1`` runs one seed;
``--seeds 20`` runs 20 seeds, one after the other. ``--limit`` bounds the real
time in seconds. Runs of the same seed are identical; the digest of the event
log is printed.
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
from experiments.soak.events import EventScheduler
from experiments.soak.history import History
from experiments.soak.hosts import Environment
from experiments.soak.judge import Judge
from experiments.soak.mutants import MUTANTS, mutant
from experiments.soak.platform import SoakPlatform
from experiments.soak.records import count_billed
from experiments.soak.traffic import Traffic
from experiments.soak.upstreams import Upstream, UpstreamNetwork
from experiments.virtual_time import (
    VirtualClock,
    VirtualLoop,
    run_on_virtual_loop,
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

#: Number of hosts in each of the three failure domains.
HOSTS_PER_DOMAIN: Final = 2
#: Kinds of the upstreams in each failure domain.
UPSTREAM_KINDS: Final = (
    UpstreamKind.ENGINE,
    UpstreamKind.ENGINE,
    UpstreamKind.SERVICE,
)
#: Seconds in which the fleet must settle, and store its billing records.
SETTLE_TIME: Final = 60.0
#: Maximum lag of table reads, in seconds, for every second pair of seeds.
MAX_READ_LAG: Final = 3.0

_SECONDS_PER_HOUR: Final = 3600.0
_MAX_FAULTS_SHOWN: Final = 5


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Outcome of a run.

    Attributes:
        seed: Its seed.
        seconds: Duration in seconds of virtual time.
        digest: Hash of its event log.
        counts: Number of occurrences, by kind.
        faults: Violated invariants.
    """

    seed: int
    seconds: float
    digest: str
    counts: Counter[str]
    faults: tuple[str, ...]


class Soak:
    """A run of one seed.

    Args:
        seed: Its seed.
        seconds: Seconds of virtual time during which faults are injected.
        clock: Virtual clock.
    """

    def __init__(self, seed: int, seconds: float, clock: Clock) -> None:
        self._seed = seed
        self._seconds = seconds
        self._randomness = random.Random(seed)
        self._deployment = ('lesen', 'cascade')[seed % 2]
        self._document: Document = parse_document(
            read_example(self._deployment)
        )
        self._clock = clock
        self._stack = AsyncExitStack()

    async def run(self, limit: float = float('inf')) -> SoakResult:
        """Run until the end, the limit or the first violated invariant.

        Args:
            limit: Seconds of real time after which the run ends early.
        """
        async with self._stack:
            await self._open()
            steps = int(self._seconds)
            started = time.monotonic()
            for _ in range(steps):
                await self._clock.sleep(1)
                self._judge.check_hosts()
                is_out_of_time = time.monotonic() - started > limit
                if self._judge.faults or is_out_of_time:
                    break
            # The checks at rest have no value after a failure.
            if not self._judge.faults:
                await self._settle()
            self._kill_hosts()
            return self._result()

    async def _open(self) -> None:
        """Start the hosts, the traffic and the events."""
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
        history.max_lag = MAX_READ_LAG * (self._seed // 2 % 2)
        platform.on_row_written = history.record_row
        self._judge = Judge(self._clock, history)
        upstream_network = UpstreamNetwork(
            self._clock, self._randomness, self._judge
        )
        self._add_upstreams(upstream_network)
        upstreams = upstream_network.upstreams.values()
        infos = tuple(upstream.info for upstream in upstreams)
        platform.listing = Listing((), infos)
        self._environment = Environment(
            network,
            platform,
            upstream_network,
            self._judge.report_violation,
        )
        self._events = EventScheduler(
            self._document,
            self._environment,
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
            asyncio.ensure_future(coroutine)
            for coroutine in (
                self._traffic.run(),
                self._events.run(),
                self._events.refresh_host_list(),
            )
        ]

    def _add_upstreams(self, upstream_network: UpstreamNetwork) -> None:
        """Create engines and a service in each domain."""
        versions = tuple(
            VersionId(version.id) for version in self._document.versions
        )
        service = ServiceName(self._document.services[0].name)
        number = 0
        for domain in DOMAINS[self._deployment]:
            for kind in UPSTREAM_KINDS:
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
                upstream_network.upstreams[name] = Upstream(
                    info,
                    versions if is_engine else (),
                )

    async def _open_hosts(self) -> None:
        """Start all hosts, and apply the configuration document."""
        for domain in DOMAINS[self._deployment]:
            for number in range(HOSTS_PER_DOMAIN):
                await self._events.start_host(
                    HostId(f'{domain}-{number}'),
                    DomainId(domain),
                )
        first_host = next(iter(self._judge.hosts.values()))
        await first_host.kernel.need(ConfigurationChanges).apply(
            self._document,
            None,
            OperatorId('first'),
            None,
        )
        await self._clock.sleep(5)

    async def _settle(self) -> None:
        """Stop traffic and events, then check the fleet after it settles."""
        for task in self._tasks[:2]:
            task.cancel()
        deadline = self._clock.now() + SETTLE_TIME
        while self._events.pending and self._clock.now() < deadline:
            await self._clock.sleep(1)
        await self._clock.sleep(SETTLE_TIME)
        judge = self._judge
        judge.check_hosts()
        for task in self._traffic.open_requests:
            judge.fail(f'a request has not ended: {task!r}')
        self._check_agreement()
        judge.check_billing(
            count_billed(self._environment.platform.objects, BILLING_PREFIX),
        )

    def _kill_hosts(self) -> None:
        """Kill all hosts, so that none of their tasks continues."""
        for host in self._judge.hosts.values():
            host.kill()

    def _check_agreement(self) -> None:
        """Check that all hosts have the newest revision."""
        newest = self._judge.history.revisions[-1].head.revision
        for host in self._judge.hosts.values():
            if host.configuration.revision != newest:
                self._judge.fail(f'{host.host} lacks revision {newest}')

    def _result(self) -> SoakResult:
        """Return the outcome of the run."""
        judge = self._judge
        judge.counts['revisions'] = len(judge.history.revisions)
        return SoakResult(
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
) -> SoakResult:
    """Run one seed on an event loop of its own."""
    load_plugins()

    loop = VirtualLoop()
    soak = Soak(seed, seconds, VirtualClock(loop))
    return run_on_virtual_loop(loop, soak.run(limit))


def print_result(result: SoakResult) -> None:
    """Print the outcome of a run."""
    counts = result.counts
    _print_line(
        f'seed {result.seed}: {result.seconds:.0f} s, '
        f'{counts["requests"]} requests, {counts["first bytes"]} first bytes, '
        f'{counts["revisions"]} revisions, digest {result.digest[:16]}, '
        f'{len(result.faults)} faults',
    )
    for fault in result.faults[:_MAX_FAULTS_SHOWN]:
        _print_line(f'  {fault}')


def _print_line(line: str) -> None:
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
    """Run the seeds one after the other until the time limit."""
    args = _arguments()
    logging.set_verbosity(logging.INFO if args.log else logging.FATAL)
    started = time.monotonic()
    total: Counter[str] = Counter()
    failed = 0
    with mutant(args.mutant) if args.mutant else nullcontext():
        for seed in range(args.seed, args.seed + args.seeds):
            left = args.limit - (time.monotonic() - started)
            if left <= 0:
                break
            result = run_seed(seed, args.hours * _SECONDS_PER_HOUR, left)
            print_result(result)
            total.update(result.counts)
            failed += bool(result.faults)
    for name, count in sorted(total.items()):
        _print_line(f'  {name}: {count}')
    _print_line(
        f'{failed} seeds failed, {time.monotonic() - started:.0f} s real'
    )
    return 1 if failed else 0
