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
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec

from experiments.configuration_hosts import (
    LEASE,
    PRESETS,
    VERSIONS,
    Fleet,
    TrialHost,
    make_document,
)
from experiments.memory_platform import TableWeather
from nutmegroad.changes import Withdrawn
from nutmegroad.heads import HEAD_KEY, Head
from nutmegroad.results import Refusal
from nutmegroad.testing import Weather
from nutmegroad.types import (
    Epoch,
    HostId,
    OperatorId,
    PresetName,
    Ran,
    Revision,
    VersionId,
)
from nutmegroad.withdrawals import WithdrawalSet

#: Seconds by which reads of the table may lag in runs with an even seed. The
#: platform promises 0; the bound until all is in force grows by as much.
LAG: Final = 1.0
#: Seconds between looks at what must hold.
STEP: Final = 0.25
#: Seconds that a healed fleet has to agree.
CALM: Final = 40.0
#: Times in 100 looks that operators change, withdraw, and that faults act.
_ACT: Final = 15
_WITHDRAW: Final = 3
_TROUBLE: Final = 12


@dataclass(slots=True)
class Report:
    """What a run gave.

    Attributes:
        seed: Its seed.
        lag: Seconds by which reads of the table may lag.
        seconds: Seconds that it lasted on its clock.
        revisions: Revisions that were made.
        looks: How many times a host was looked at.
        done: What was done, by kind.
        broken: What did not hold.
    """

    seed: int
    lag: float
    seconds: float = 0
    revisions: int = 0
    looks: int = 0
    done: Counter[str] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)

    @property
    def bound(self) -> float:
        """Seconds until a revision is in force; the clocks here agree."""
        return LEASE + self.lag

    def check(self, held: bool, problem: str) -> None:
        """Note what did not hold, once."""
        if not held and problem not in self.broken:
            self.broken.append(problem)


class Watch:
    """Looks at what must always hold.

    Args:
        fleet: The hosts.
        report: Where it is written.
    """

    def __init__(self, fleet: Fleet, report: Report) -> None:
        self._fleet = fleet
        self.report = report
        self._known: dict[int, tuple[str, str]] = {}
        self._last: dict[HostId, tuple[TrialHost, Revision]] = {}
        self._facts: dict[HostId, tuple[TrialHost, WithdrawalSet]] = {}

    @property
    def heads(self) -> list[tuple[float, Head]]:
        """Return every head that ever was, with the time of its write."""
        return [
            (written.at, msgspec.json.decode(written.row.text, type=Head))
            for written in self._fleet.platform.log
            if written.row.key == HEAD_KEY
        ]

    def look(self) -> None:
        """Look at every host that runs."""
        heads = self.heads
        now = self._fleet.clock.now()
        due = [head for at, head in heads if at + self.report.bound <= now]
        for host in self._fleet.hosts.values():
            if not host.paused:
                self.report.looks += 1
                self._look_at(host, due[-1] if due else Head())
        for _, head in heads:
            self._compare(head.revision, head.digest, head.preset)

    def _look_at(self, host: TrialHost, due: Head) -> None:
        held = host.configuration
        name = host.names.host
        self._look_back(host)
        accepted = held.accepted
        if accepted is None:
            return
        self._compare(accepted.revision, accepted.digest, accepted.preset)
        if held.isolated:
            return
        self.report.check(
            held.revision >= due.revision,
            f'{name} uses revision {held.revision} where {due.revision} is due',
        )
        known = WithdrawalSet()
        known.add(held.withdrawals)
        for fact in due.withdrawals:
            self.report.check(
                known.covers(fact),
                f'{name} uses {fact.version}, whose withdrawal is due',
            )

    def _look_back(self, host: TrialHost) -> None:
        """Check that nothing that an incarnation had has been undone."""
        held = host.configuration
        name = host.names.host
        before, revision = self._last.get(name, (host, Revision(0)))
        self.report.check(
            before is not host or held.revision >= revision,
            f'{name} went back from {revision} to {held.revision}',
        )
        self._last[name] = (host, held.revision)
        owner, known = self._facts.get(name, (host, WithdrawalSet()))
        facts = known if owner is host else WithdrawalSet()
        for fact in facts.facts:
            self.report.check(
                held.is_withdrawn(VersionId(fact.version), Epoch(fact.epoch)),
                f'{name} forgot that {fact.version} is withdrawn',
            )
        facts.add(held.withdrawals)
        self._facts[name] = (host, facts)

    def _compare(self, revision: int, digest: str, preset: str) -> None:
        """Check that a revision is one thing everywhere."""
        first = self._known.setdefault(revision, (digest, preset))
        self.report.check(
            first == (digest, preset),
            f'revision {revision} has two presets or documents',
        )


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
            outcome = await host.changes.switch(preset, author, None)
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
        outcome = await host.changes.withdraw(version, epoch, author)
        if isinstance(outcome, Withdrawn):
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
        self._fleet.platform.weather.cut.add(self._draw_domain())

    def turn_down(self) -> None:
        """Let the platform be down for all."""
        self._fleet.platform.weather.down = True

    def storm(self) -> None:
        """Drop, delay, duplicate and reorder."""
        weather = self._fleet.platform.weather
        weather.delay = (0.001, self._randomness.choice((0.05, 0.9, 2.5)))
        weather.drop = self._randomness.choice((0, 0.2))
        weather.lose_reply = self._randomness.choice((0, 0.3))
        weather.stale = self._randomness.choice((0, 0.3)) if self._lag else 0
        weather.lag = self._lag
        self._fleet.network.weather = Weather(
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
        self._fleet.network.weather = Weather()
        self._fleet.platform.weather = TableWeather()

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
    for fact in known.facts:
        report.check(
            table.covers(fact),
            f'the table never got the withdrawal of {fact.version}',
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
