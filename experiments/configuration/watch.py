"""Invariants of the hosts' configuration, checked during random runs."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Final

import msgspec

from experiments.configuration.hosts import (
    LEASE,
    ConfigurationHost,
    Fleet,
)
from nutmegroad.configuration.heads import HEAD_KEY, Head
from nutmegroad.configuration.withdrawals import WithdrawalSet
from nutmegroad.foundations.types import (
    Epoch,
    HostId,
    Revision,
    VersionId,
)

#: Maximum age, in seconds, of rows that reads return in runs with an even
#: seed. The platform promises 0; the time until a revision is in force
#: everywhere may grow by as much.
LAG: Final = 1.0


@dataclass(slots=True)
class RunReport:
    """Counts and violations of one random run.

    Attributes:
        seed: Seed of the run.
        lag: Maximum age of the rows that stale reads return, in seconds.
        seconds: Virtual duration of the run.
        revisions: Number of the last revision.
        host_checks: How many times a host was checked.
        actions: Number of operators' changes and of fault actions, by kind.
        violations: Invariants that did not hold, each once.
    """

    seed: int
    lag: float
    seconds: float = 0
    revisions: int = 0
    host_checks: int = 0
    actions: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)

    @property
    def bound(self) -> float:
        """Seconds until a revision must be in force on all hosts.

        The hosts share one clock, so no margin for clock drift is added.
        """
        return LEASE + self.lag

    def check(self, holds: bool, problem: str) -> None:
        """Record a violation, unless the same one is recorded already."""
        if not holds and problem not in self.violations:
            self.violations.append(problem)


class InvariantChecker:
    """Checks the invariants on all running hosts.

    Args:
        fleet: The hosts.
        report: Receives the violations.
    """

    def __init__(self, fleet: Fleet, report: RunReport) -> None:
        self._fleet = fleet
        self.report = report
        # Digest and preset of each revision, as first seen.
        self._first_seen: dict[int, tuple[str, str]] = {}
        # What each host's current incarnation was last seen to have.
        self._last_revisions: dict[
            HostId, tuple[ConfigurationHost, Revision]
        ] = {}
        self._withdrawals: dict[
            HostId, tuple[ConfigurationHost, WithdrawalSet]
        ] = {}

    @property
    def heads(self) -> list[tuple[float, Head]]:
        """Every head that was written, with the time of its write."""
        return [
            (written.at, msgspec.json.decode(written.row.text, type=Head))
            for written in self._fleet.platform.write_log
            if written.row.key == HEAD_KEY
        ]

    def check_hosts(self) -> None:
        """Check every host that is not paused, and every head."""
        heads = self.heads
        now = self._fleet.clock.now()
        due = [head for at, head in heads if at + self.report.bound <= now]
        for host in self._fleet.hosts.values():
            if not host.paused:
                self.report.host_checks += 1
                self._check_host(host, due[-1] if due else Head())
        for _, head in heads:
            self._check_revision(head.revision, head.digest, head.preset)

    def _check_host(self, host: ConfigurationHost, due: Head) -> None:
        """Check one host; unless isolated, it must not be behind.

        Args:
            host: The host.
            due: The newest head that must be in force everywhere.
        """
        configuration = host.configuration
        name = host.placement.host
        self._check_progress(host)
        accepted = configuration.accepted
        if accepted is None:
            return
        self._check_revision(
            accepted.revision, accepted.digest, accepted.preset
        )
        if configuration.isolated:
            return
        self.report.check(
            configuration.revision >= due.revision,
            f'{name} uses revision {configuration.revision}, but '
            f'{due.revision} must be in force everywhere',
        )
        known = WithdrawalSet()
        known.add(configuration.withdrawals)
        for withdrawal in due.withdrawals:
            self.report.check(
                known.covers(withdrawal),
                f'{name} uses {withdrawal.version}, whose withdrawal must be '
                'in force everywhere',
            )

    def _check_progress(self, host: ConfigurationHost) -> None:
        """Check that an incarnation lost no revision and no withdrawal."""
        configuration = host.configuration
        name = host.placement.host
        incarnation, revision = self._last_revisions.get(
            name, (host, Revision(0))
        )
        self.report.check(
            incarnation is not host or configuration.revision >= revision,
            f'{name} went back from revision {revision} to '
            f'{configuration.revision}',
        )
        self._last_revisions[name] = (host, configuration.revision)
        incarnation, known = self._withdrawals.get(
            name, (host, WithdrawalSet())
        )
        if incarnation is not host:
            known = WithdrawalSet()
        for withdrawal in known.withdrawals:
            self.report.check(
                configuration.is_withdrawn(
                    VersionId(withdrawal.version), Epoch(withdrawal.epoch)
                ),
                f'{name} lost the withdrawal of {withdrawal.version}',
            )
        known.add(configuration.withdrawals)
        self._withdrawals[name] = (host, known)

    def _check_revision(self, revision: int, digest: str, preset: str) -> None:
        """Check that a revision has the same content wherever it is seen."""
        first = self._first_seen.setdefault(revision, (digest, preset))
        self.report.check(
            first == (digest, preset),
            f'revision {revision} has different presets or documents',
        )
