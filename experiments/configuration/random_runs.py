"""Seeded random test of the configuration under injected faults.

Several hosts run the real configuration code on a virtual clock. Their
platform and network, in memory, drop, delay, duplicate and reorder messages,
lose replies, serve stale reads and cut failure domains off; hosts are paused
and restarted. The invariants are checked several times per virtual second,
and once more after all faults have been removed.
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
    ConfigurationHost,
    Fleet,
    make_document,
)
from experiments.configuration.memory_platform import TableFaults
from experiments.configuration.watch import (
    LAG,
    InvariantChecker,
    RunReport,
)
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

#: Virtual seconds between checks of the invariants.
STEP: Final = 0.25
#: Virtual seconds that the fleet has to converge once faults are removed.
CONVERGENCE_TIME: Final = 40.0
#: Probability per step, in percent, of an operator's change, of a withdrawal
#: and of a fault (or the removal of faults).
_CHANGE_PERCENT: Final = 15
_WITHDRAWAL_PERCENT: Final = 3
_FAULT_PERCENT: Final = 12


class Operators:
    """Operators that change the configuration and record the replies.

    Args:
        fleet: The hosts at which changes are made.
        report: Receives action counts and violations.
    """

    def __init__(self, fleet: Fleet, report: RunReport) -> None:
        self._fleet = fleet
        self._report = report
        self._randomness = fleet.randomness
        self._count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._replies: list[tuple[str, Head | Refusal]] = []

    def change(self) -> None:
        """Start one change, or two concurrent ones, at random hosts."""
        for _ in range(self._randomness.choice((1, 1, 2))):
            self._start(self._make_change())

    def withdraw(self) -> None:
        """Start the withdrawal of a random version at a random host."""
        self._start(self._make_withdrawal())

    async def settle(self) -> None:
        """Wait until every change that was started has its reply."""
        await asyncio.gather(*self._tasks)

    def check_replies(self, heads: list[tuple[float, Head]]) -> None:
        """Check that the replies to operators agree with the table.

        A change that succeeded must have written one head, a change refused
        as not executed none, and one of unknown outcome one at most.

        Args:
            heads: Every head that was written, with the time of its write.
        """
        head_counts = Counter(head.author for _, head in heads)
        for author, outcome in self._replies:
            if isinstance(outcome, Head):
                holds = head_counts[author] == 1
            elif outcome.ran is Ran.NOT_RUN:
                holds = head_counts[author] == 0
            else:
                holds = head_counts[author] <= 1
            self._report.check(
                holds,
                f'{author} wrote {head_counts[author]} heads; the reply was '
                f'{outcome!r}',
            )

    def _start(self, change: Any) -> None:
        task = asyncio.ensure_future(change)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _make_change(self) -> None:
        """Switch the preset or apply a document, as a new operator."""
        host = self._draw_host()
        self._count += 1
        author = OperatorId(f'operator-{self._count}')
        preset = PresetName(self._randomness.choice(PRESETS))
        if self._randomness.choice((True, True, False)):
            outcome = await host.changes.switch_preset(preset, author, None)
        else:
            document = make_document(self._count)
            outcome = await host.changes.apply(document, preset, author, None)
        self._replies.append((author, outcome))
        kind = 'refused' if isinstance(outcome, Refusal) else 'changed'
        self._report.actions[kind] += 1

    async def _make_withdrawal(self) -> None:
        """Withdraw a version; check that its host applies that."""
        host = self._draw_host()
        version = VersionId(self._randomness.choice(VERSIONS))
        epoch = Epoch(self._randomness.randint(0, 3))
        author = OperatorId('withdrawing-operator')
        outcome = await host.changes.withdraw_version(version, epoch, author)
        if isinstance(outcome, WithdrawalOutcome):
            self._report.actions['withdrawn'] += 1
            self._report.check(
                host.configuration.is_withdrawn(version, epoch),
                f'a withdrawal of {version} is not in force on the host that '
                'accepted it',
            )

    def _draw_host(self) -> ConfigurationHost:
        return self._randomness.choice(list(self._fleet.hosts.values()))


class FaultInjector:
    """Injects faults into the fleet, and removes them.

    Args:
        fleet: The hosts, their network and their platform.
        lag: Maximum age of the rows that stale reads return, in seconds.
    """

    def __init__(self, fleet: Fleet, lag: float) -> None:
        self._fleet = fleet
        self._lag = lag
        self._randomness = fleet.randomness

    async def inject(self) -> str:
        """Take one action, drawn at random, and return its name."""
        weighted_actions: dict[Callable[[], Any], int] = {
            self.cut_domain: 2,
            self.cut_from_platform: 2,
            self.stop_platform: 1,
            self.degrade: 3,
            self.pause_or_resume: 3,
            self.restart: 1,
            self.heal: 3,
        }
        weights = list(weighted_actions.values())
        action = self._randomness.choices(list(weighted_actions), weights)[0]
        pending = action()
        if pending is not None:
            await pending
        return action.__name__

    def cut_domain(self) -> None:
        """Cut a failure domain off from the others."""
        self._fleet.network.cut_domain(self._draw_domain())

    def cut_from_platform(self) -> None:
        """Cut a failure domain off from the platform."""
        self._fleet.platform.faults.cut.add(self._draw_domain())

    def stop_platform(self) -> None:
        """Make the platform refuse the calls of all hosts."""
        self._fleet.platform.faults.down = True

    def degrade(self) -> None:
        """Make the platform and the network slow and lossy.

        Calls are delayed, dropped, lose their replies and read stale rows;
        messages are delayed, dropped, duplicated and reordered.
        """
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

    def pause_or_resume(self) -> None:
        """Resume all paused hosts; if there are none, pause one."""
        paused = [host for host in self._fleet.hosts.values() if host.paused]
        if paused:
            for host in paused:
                host.resume()
            return
        self._randomness.choice(list(self._fleet.hosts.values())).pause()

    async def restart(self) -> None:
        """Replace a host by a new incarnation without any state."""
        await self._fleet.restart(
            self._randomness.choice(list(self._fleet.hosts)),
        )

    def heal(self) -> None:
        """Remove all faults and resume all hosts."""
        for host in self._fleet.hosts.values():
            host.resume()
        self._fleet.network.heal_all()
        self._fleet.network.faults = NetworkFaults()
        self._fleet.platform.faults = TableFaults()

    def _draw_domain(self) -> Any:
        return self._randomness.choice(self._fleet.domains)


async def run(seed: int, seconds: float, size: int = 2) -> RunReport:
    """Run the fleet under random faults, and return what was found.

    Args:
        seed: Seed of all random choices. Reads are stale at times if it is
            even.
        seconds: Virtual seconds before the faults are removed.
        size: Hosts in each of the three failure domains.
    """
    report = RunReport(seed, 0 if seed % 2 else LAG)
    async with Fleet(size, random.Random(seed)) as fleet:
        checker = InvariantChecker(fleet, report)
        operators = Operators(fleet, report)
        faults = FaultInjector(fleet, report.lag)
        await _apply_first_document(fleet)
        while fleet.clock.now() < seconds:
            await _step(fleet, checker)
            await _disturb(fleet, operators, faults, checker)
        faults.heal()
        known = WithdrawalSet()
        for host in fleet.hosts.values():
            known.add(host.configuration.withdrawals)
        await _converge(fleet, operators, checker)
        _check_converged(fleet, checker, known, report)
        report.seconds = fleet.clock.now()
    return report


async def _disturb(
    fleet: Fleet,
    operators: Operators,
    faults: FaultInjector,
    checker: InvariantChecker,
) -> None:
    """Start changes, withdrawals and faults at random."""
    draw = fleet.randomness.uniform
    if draw(0, 100) < _CHANGE_PERCENT:
        operators.change()
    if draw(0, 100) < _WITHDRAWAL_PERCENT:
        operators.withdraw()
    if draw(0, 100) < _FAULT_PERCENT:
        checker.report.actions[await faults.inject()] += 1
        # Immediately, before a resumed host has done anything.
        checker.check_hosts()


async def _converge(
    fleet: Fleet,
    operators: Operators,
    checker: InvariantChecker,
) -> None:
    """Let the healed fleet converge, then check the operators' replies."""
    for _ in range(int(CONVERGENCE_TIME / STEP)):
        await _step(fleet, checker)
    await operators.settle()
    operators.check_replies(checker.heads)


async def _apply_first_document(fleet: Fleet) -> None:
    """Put a first document into force through one host."""
    first = next(iter(fleet.hosts.values()))
    change = first.changes.apply(
        make_document(0),
        None,
        OperatorId('first-operator'),
        None,
    )
    task = asyncio.ensure_future(change)
    await fleet.clock.advance(LEASE)
    await task


async def _step(fleet: Fleet, checker: InvariantChecker) -> None:
    """Advance the clock by one step and check the invariants."""
    await fleet.clock.advance(STEP)
    checker.check_hosts()


def _check_converged(
    fleet: Fleet,
    checker: InvariantChecker,
    known: WithdrawalSet,
    report: RunReport,
) -> None:
    """Check that all hosts agree and that the table has all withdrawals.

    Args:
        fleet: The hosts, after the time for convergence.
        checker: Knows the heads that were written.
        known: Withdrawals known to any host when the faults were removed.
        report: Receives the violations.
    """
    _, head = checker.heads[-1]
    report.revisions = head.revision
    in_table = WithdrawalSet()
    in_table.add(head.withdrawals)
    for withdrawal in known.withdrawals:
        report.check(
            in_table.covers(withdrawal),
            f'the withdrawal of {withdrawal.version} never reached the table',
        )
    for host in fleet.hosts.values():
        name = host.placement.host
        configuration = host.configuration
        report.check(
            configuration.revision == head.revision
            and not configuration.isolated,
            f'{name} has revision {configuration.revision} after '
            f'convergence, or is isolated; expected {head.revision}',
        )
        report.check(
            configuration.withdrawals == head.withdrawals,
            f'{name} and the table have different withdrawals '
            'after convergence',
        )
