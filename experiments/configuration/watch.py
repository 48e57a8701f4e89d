"""What must hold of hosts and their configuration, looked at all the time."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Final

import msgspec

from experiments.configuration.hosts import (
    LEASE,
    Fleet,
    TrialHost,
)
from nutmegroad.configuration.heads import HEAD_KEY, Head
from nutmegroad.configuration.withdrawals import WithdrawalSet
from nutmegroad.foundations.types import (
    Epoch,
    HostId,
    Revision,
    VersionId,
)

#: Seconds by which reads of the table may lag in runs with an even seed. The
#: platform promises 0; the bound until all is in force grows by as much.
LAG: Final = 1.0


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
        self._withdrawals: dict[HostId, tuple[TrialHost, WithdrawalSet]] = {}

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
        for withdrawal in due.withdrawals:
            self.report.check(
                known.covers(withdrawal),
                f'{name} uses {withdrawal.version}, whose withdrawal is due',
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
        owner, known = self._withdrawals.get(name, (host, WithdrawalSet()))
        withdrawals = known if owner is host else WithdrawalSet()
        for withdrawal in withdrawals.withdrawals:
            self.report.check(
                held.is_withdrawn(
                    VersionId(withdrawal.version), Epoch(withdrawal.epoch)
                ),
                f'{name} forgot that {withdrawal.version} is withdrawn',
            )
        withdrawals.add(held.withdrawals)
        self._withdrawals[name] = (host, withdrawals)

    def _compare(self, revision: int, digest: str, preset: str) -> None:
        """Check that a revision is one thing everywhere."""
        first = self._known.setdefault(revision, (digest, preset))
        self.report.check(
            first == (digest, preset),
            f'revision {revision} has two presets or documents',
        )
