"""A seeded run of the configuration under every fault there is.

Real objects of several hosts run on a clock that is moved by hand, before a
platform and a network in memory that drop, delay, lose replies, lag, and cut
domains off; hosts are paused and restarted. What must always hold is looked
at several times a second, and at the end, when all has healed.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Any, Final

from experiments.configuration.hosts import (
    LEASE,
    PRESETS,
    VERSIONS,
    Fleet,
    TrialHost,
    make_document,
)
from experiments.configuration.memory_platform import TableFaults
from experiments.configuration.watch import LAG, Report, Watch
from nutmegroad.configuration.changes import WithdrawalOutcome
from nutmegroad.configuration.heads import Head
from nutmegroad.configuration.withdrawals import WithdrawalSet
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import (
    Epoch,
    OperatorId,
    PresetName,
    Ran,
    VersionId,
)
from nutmegroad.testing.virtual import NetworkFaults

#: Seconds between looks at what must hold.
STEP: Final = 0.25
#: Seconds that a healed fleet has to agree.
CALM: Final = 40.0
#: Times in 100 looks that operators change, withdraw, and that faults act.
_ACT: Final = 15
_WITHDRAW: Final = 3
_TROUBLE: Final = 12


class Operators:
    """Change the configuration, and remember what they were told.

    Args:
        fleet: The hosts.
        report: Where it is written.
    """

    def __init__(self, fleet: Fleet, report: Report) -> None:
        self._fleet = fleet
        self._report = report
        self._randomness = fleet.randomness
        self._count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._told: list[tuple[str, Head | Refusal]] = []

    def act(self) -> None:
        """Let one operator make one change, or two at the same moment."""
        for _ in range(self._randomness.choice((1, 1, 2))):
            self._start(self._change())

    def withdraw(self) -> None:
        """Let an operator withdraw a version."""
        self._start(self._withdraw())

    async def settle(self) -> None:
        """Wait until all have been told."""
        await asyncio.gather(*self._tasks)

    def judge(self, heads: list[tuple[float, Head]]) -> None:
        """Check that what operators were told is true."""
        made = Counter(head.author for _, head in heads)
        for author, outcome in self._told:
            if isinstance(outcome, Head):
                held = made[author] == 1
            elif outcome.ran is Ran.NOT_RUN:
                held = made[author] == 0
            else:
                held = made[author] <= 1
            self._report.check(
                held,
                f'{author} was told {outcome!r} but made {made[author]}',
            )

    def _start(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _change(self) -> None:
        """Switch the preset or apply a document, under a fresh name."""
        host = self._draw_host()
        self._count += 1
        author = OperatorId(f'operator-{self._count}')
        preset = PresetName(self._randomness.choice(PRESETS))
        if self._randomness.choice((True, True, False)):
            outcome = await host.changes.switch_preset(preset, author, None)
        else:
            document = make_document(self._count)
            outcome = await host.changes.apply(document, preset, author, None)
        self._told.append((author, outcome))
        told = 'refused' if isinstance(outcome, Refusal) else 'changed'
        self._report.done[told] += 1

    async def _withdraw(self) -> None:
        host = self._draw_host()
        version = VersionId(self._randomness.choice(VERSIONS))
        epoch = Epoch(self._randomness.randint(0, 3))
        author = OperatorId('a withdrawer')
        outcome = await host.changes.withdraw_version(version, epoch, author)
        if isinstance(outcome, WithdrawalOutcome):
            self._report.done['withdrawn'] += 1
            self._report.check(
                host.configuration.is_withdrawn(version, epoch),
                'a withdrawal is not in force where it was given',
            )

    def _draw_host(self) -> TrialHost:
        return self._randomness.choice(list(self._fleet.hosts.values()))


class Trouble:
    """Breaks and mends things.

    Args:
        fleet: What is broken.
        lag: Seconds by which reads of the table may lag.
    """

    def __init__(self, fleet: Fleet, lag: float) -> None:
        self._fleet = fleet
        self._lag = lag
        self._randomness = fleet.randomness

    async def act(self) -> str:
        """Do one thing, drawn at random; return what it was."""
        kinds: dict[Callable[[], Any], int] = {
            self.cut_domain: 2,
            self.cut_platform: 2,
            self.turn_down: 1,
            self.storm: 3,
            self.pause: 3,
            self.restart: 1,
            self.heal: 3,
        }
        weights = list(kinds.values())
        action = self._randomness.choices(list(kinds), weights)[0]
        done = action()
        if done is not None:
            await done
        return action.__name__

    def cut_domain(self) -> None:
        """Cut a domain off from the others."""
        self._fleet.network.cut_domain(self._draw_domain())

    def cut_platform(self) -> None:
        """Cut a domain off from the platform."""
        self._fleet.platform.faults.cut.add(self._draw_domain())

    def turn_down(self) -> None:
        """Let the platform be down for all."""
        self._fleet.platform.faults.down = True

    def storm(self) -> None:
        """Drop, delay, duplicate and reorder."""
        faults = self._fleet.platform.faults
        faults.delay = (0.001, self._randomness.choice((0.05, 0.9, 2.5)))
        faults.drop = self._randomness.choice((0, 0.2))
        faults.lose_reply = self._randomness.choice((0, 0.3))
        faults.stale = self._randomness.choice((0, 0.3)) if self._lag else 0
        faults.lag = self._lag
        self._fleet.network.faults = NetworkFaults(
            delay=(0.001, self._randomness.choice((0.05, 0.33))),
            drop=self._randomness.choice((0, 0.2)),
            duplicate=0.2,
            reorder=0.2,
            reorder_delay=self._randomness.choice((0.1, 12)),
        )

    def pause(self) -> None:
        """Pause a host, or let all that are paused go on."""
        paused = [host for host in self._fleet.hosts.values() if host.paused]
        if paused:
            for host in paused:
                host.resume()
            return
        self._randomness.choice(list(self._fleet.hosts.values())).pause()

    async def restart(self) -> None:
        """Restart a host; it keeps nothing."""
        await self._fleet.restart(
            self._randomness.choice(list(self._fleet.hosts)),
        )

    def heal(self) -> None:
        """Mend all."""
        for host in self._fleet.hosts.values():
            host.resume()
        self._fleet.network.heal_all()
        self._fleet.network.faults = NetworkFaults()
        self._fleet.platform.faults = TableFaults()

    def _draw_domain(self) -> Any:
        return self._randomness.choice(self._fleet.domains)


async def run(seed: int, seconds: float, size: int = 2) -> Report:
    """Make one run.

    Args:
        seed: From which all is drawn.
        seconds: How long it lasts on its own clock, before all heals.
        size: Hosts in each of three domains.
    """
    report = Report(seed, 0 if seed % 2 else LAG)
    async with Fleet(size, random.Random(seed)) as fleet:
        watch = Watch(fleet, report)
        operators = Operators(fleet, report)
        trouble = Trouble(fleet, report.lag)
        await _begin(fleet)
        while fleet.clock.now() < seconds:
            await _step(fleet, watch)
            await _disturb(fleet, operators, trouble, watch)
        trouble.heal()
        known = WithdrawalSet()
        for host in fleet.hosts.values():
            known.add(host.configuration.withdrawals)
        await _calm_down(fleet, operators, watch)
        _judge_calm(fleet, watch, known, report)
        report.seconds = fleet.clock.now()
    return report


async def _disturb(
    fleet: Fleet,
    operators: Operators,
    trouble: Trouble,
    watch: Watch,
) -> None:
    """Let operators and faults act, now and then."""
    draw = fleet.randomness.uniform
    if draw(0, 100) < _ACT:
        operators.act()
    if draw(0, 100) < _WITHDRAW:
        operators.withdraw()
    if draw(0, 100) < _TROUBLE:
        watch.report.done[await trouble.act()] += 1
        # At once, before a resumed host has done anything.
        watch.look()


async def _calm_down(fleet: Fleet, operators: Operators, watch: Watch) -> None:
    """Let a healed fleet agree, and hold what operators were told to it."""
    for _ in range(int(CALM / STEP)):
        await _step(fleet, watch)
    await operators.settle()
    operators.judge(watch.heads)


async def _begin(fleet: Fleet) -> None:
    """Put a first document into force."""
    first = next(iter(fleet.hosts.values()))
    work = first.changes.apply(
        make_document(0),
        None,
        OperatorId('the first'),
        None,
    )
    task = asyncio.ensure_future(work)
    await fleet.clock.advance(LEASE)
    await task


async def _step(fleet: Fleet, watch: Watch) -> None:
    """Let a little time pass, and look."""
    await fleet.clock.advance(STEP)
    watch.look()


def _judge_calm(
    fleet: Fleet,
    watch: Watch,
    known: WithdrawalSet,
    report: Report,
) -> None:
    """Check that a healed fleet agrees, and that the table has all."""
    _, head = watch.heads[-1]
    report.revisions = head.revision
    table = WithdrawalSet()
    table.add(head.withdrawals)
    for withdrawal in known.withdrawals:
        report.check(
            table.covers(withdrawal),
            f'the table never got the withdrawal of {withdrawal.version}',
        )
    for host in fleet.hosts.values():
        held = host.configuration
        report.check(
            held.revision == head.revision and not held.isolated,
            f'{host.names.host} has revision {held.revision} in the end, '
            f'not {head.revision}',
        )
        report.check(
            held.withdrawals == head.withdrawals,
            f'{host.names.host} has other withdrawals in the end',
        )
