"""The operators of a randomised run, who change things at the same moment."""

import asyncio
import random
from dataclasses import dataclass
from typing import Any, Final

from msgspec.structs import replace as changed

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

#: Seconds for which an event lasts, at least and at most.
SHORT: Final = (1.0, 6.0)
LONG: Final = (10.0, 30.0)

_OPERATORS: Final = (OperatorId('one'), OperatorId('other'))


@dataclass(slots=True)
class Operators:
    """Two operators, each at some host.

    Attributes:
        document: The document at the start.
        judge: Told of what they do.
        clock: The time of all.
        randomness: Draws what they do.
        hosts: The present run of each host.
    """

    document: Document
    judge: Judge
    clock: Clock
    randomness: random.Random
    hosts: dict[HostId, SoakHost]
    _is_withdrawing: bool = False

    async def operate(self) -> None:
        """Have two operators change something at once."""
        hosts = [host for host in self.hosts.values() if host.is_running]
        if len(hosts) < 2:
            return
        chosen = self.randomness.sample(hosts, 2)
        works = [
            self._change(host, operator)
            for host, operator in zip(chosen, _OPERATORS, strict=True)
        ]
        await asyncio.gather(*works)

    async def _change(self, host: SoakHost, operator: OperatorId) -> None:
        """Switch the preset, or change or put back a workspace."""
        changes = host.kernel.need(ConfigurationChanges)
        preset = PresetName(
            self.randomness.choice(self.document.presets).name,
        )
        if self.randomness.getrandbits(1):
            outcome: Any = await changes.switch_preset(preset, operator, None)
        else:
            entry = self.randomness.choice(self.document.workspaces)
            if self.randomness.getrandbits(1):
                out = self.randomness.choice(entry.versions)
                left = tuple(one for one in entry.versions if one != out)
                entry = changed(entry, versions=left)
            outcome = await changes.set_workspace(entry, operator, None)
        what = type(outcome).__name__
        self.judge.counts[f'changes {what}'] += 1
        self.judge.note(f'{operator} at {host.host}: {what}')

    async def withdraw(self) -> None:
        """Withdraw a version, and allow it anew after a while."""
        hosts = [host for host in self.hosts.values() if host.is_running]
        if not hosts or self._is_withdrawing:
            return
        self._is_withdrawing = True
        host = self.randomness.choice(hosts)
        version = VersionId(self.randomness.choice(self.document.versions).id)
        self.judge.note(f'{version} withdrawn at {host.host}')
        self.judge.counts['withdrawals'] += 1
        changes = host.kernel.need(ConfigurationChanges)
        await changes.withdraw_version(version, None, _OPERATORS[0])
        await self._last(LONG)
        while not await self._allow_again():
            await self._last(SHORT)
        self._is_withdrawing = False

    async def _allow_again(self) -> bool:
        """Allow all versions anew; false if that did not succeed."""
        hosts = [host for host in self.hosts.values() if host.is_running]
        if not hosts:
            return False
        host = self.randomness.choice(hosts)
        accepted = host.configuration.accepted
        if accepted is None:
            return False
        document = accepted.document
        versions = tuple(self._renewed(entry) for entry in document.versions)
        if versions == document.versions:
            return True
        head = await host.kernel.need(ConfigurationChanges).apply(
            changed(document, versions=versions),
            None,
            _OPERATORS[1],
            accepted.revision,
        )
        return bool(head)

    def _renewed(self, entry: VersionEntry) -> VersionEntry:
        """Return a version's entry under an epoch that is not withdrawn."""
        if self.judge.history.is_withdrawn(entry.version):
            return changed(entry, epoch=entry.epoch + 1)
        return entry

    async def _last(self, spans: tuple[float, float]) -> None:
        await self.clock.sleep(self.randomness.uniform(*spans))
