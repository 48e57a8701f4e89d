"""Operators that change the configuration concurrently."""

import asyncio
import random
from dataclasses import dataclass
from typing import Any, Final

from msgspec.structs import replace as replace_fields

from experiments.soak.hosts import SoakHost
from experiments.soak.judge import Judge
from nutmegroad.configuration.changes import ConfigurationChanges
from nutmegroad.contracts.documents import Document, VersionEntry
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import (
    HostId,
    OperatorId,
    PresetName,
    VersionId,
)

#: Minimum and maximum duration of an event, in seconds.
SHORT_SPAN: Final = (1.0, 6.0)
LONG_SPAN: Final = (10.0, 30.0)

_OPERATORS: Final = (OperatorId('one'), OperatorId('other'))


@dataclass(slots=True)
class Operators:
    """Two operators, each connected to a randomly chosen host.

    Attributes:
        document: The initial configuration document.
        judge: Notified of the changes.
        clock: Virtual clock.
        randomness: Source of the random choices.
        hosts: The present incarnation of each host.
    """

    document: Document
    judge: Judge
    clock: Clock
    randomness: random.Random
    hosts: dict[HostId, SoakHost]
    _is_withdrawing: bool = False

    async def change_concurrently(self) -> None:
        """Make two changes concurrently, at different hosts."""
        hosts = [host for host in self.hosts.values() if host.is_running]
        if len(hosts) < 2:
            return
        chosen = self.randomness.sample(hosts, 2)
        tasks = [
            self._change(host, operator)
            for host, operator in zip(chosen, _OPERATORS, strict=True)
        ]
        await asyncio.gather(*tasks)

    async def _change(self, host: SoakHost, operator: OperatorId) -> None:
        """Switch the preset, or change or restore the entry of a workspace."""
        changes = host.kernel.need(ConfigurationChanges)
        preset = PresetName(
            self.randomness.choice(self.document.presets).name,
        )
        if self.randomness.getrandbits(1):
            outcome: Any = await changes.switch_preset(preset, operator, None)
        else:
            entry = self.randomness.choice(self.document.workspaces)
            if self.randomness.getrandbits(1):
                removed = self.randomness.choice(entry.versions)
                remaining = tuple(
                    version for version in entry.versions if version != removed
                )
                entry = replace_fields(entry, versions=remaining)
            outcome = await changes.set_workspace(entry, operator, None)
        outcome_type = type(outcome).__name__
        self.judge.counts[f'changes {outcome_type}'] += 1
        self.judge.log_event(f'{operator} at {host.host}: {outcome_type}')

    async def withdraw(self) -> None:
        """Withdraw a version, and reinstate it after a while."""
        hosts = [host for host in self.hosts.values() if host.is_running]
        if not hosts or self._is_withdrawing:
            return
        self._is_withdrawing = True
        host = self.randomness.choice(hosts)
        version = VersionId(self.randomness.choice(self.document.versions).id)
        self.judge.log_event(f'{version} withdrawn at {host.host}')
        self.judge.counts['withdrawals'] += 1
        changes = host.kernel.need(ConfigurationChanges)
        await changes.withdraw_version(version, None, _OPERATORS[0])
        await self._sleep_within(LONG_SPAN)
        while not await self._reinstate_versions():
            await self._sleep_within(SHORT_SPAN)
        self._is_withdrawing = False

    async def _reinstate_versions(self) -> bool:
        """Reinstate all withdrawn versions; return whether that succeeded."""
        hosts = [host for host in self.hosts.values() if host.is_running]
        if not hosts:
            return False
        host = self.randomness.choice(hosts)
        accepted = host.configuration.accepted
        if accepted is None:
            return False
        document = accepted.document
        versions = tuple(
            self._with_valid_epoch(entry) for entry in document.versions
        )
        if versions == document.versions:
            return True
        head = await host.kernel.need(ConfigurationChanges).apply(
            replace_fields(document, versions=versions),
            None,
            _OPERATORS[1],
            accepted.revision,
        )
        return bool(head)

    def _with_valid_epoch(self, entry: VersionEntry) -> VersionEntry:
        """Return a version's entry with an epoch that is not withdrawn."""
        if self.judge.history.is_withdrawn(entry.version):
            return replace_fields(entry, epoch=entry.epoch + 1)
        return entry

    async def _sleep_within(self, bounds: tuple[float, float]) -> None:
        await self.clock.sleep(self.randomness.uniform(*bounds))
