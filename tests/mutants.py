"""Mutants of the configuration code, each with one mechanism disabled.

Tests run with a mutant to show that they detect the missing mechanism.
"""

from collections.abc import Callable
from typing import Any, Final
from unittest.mock import _patch, patch

from nutmegroad.configuration import heads
from nutmegroad.configuration._configuration_messages import (
    HeadQuestion,
    HeadReply,
)
from nutmegroad.configuration.in_force import (
    AcceptedConfiguration,
    Configuration,
)
from nutmegroad.configuration.peer_queries import (
    REPLY_TIMEOUT,
    PeerHead,
    PeerQueries,
)
from nutmegroad.configuration.poller import ConfigurationPoller
from nutmegroad.configuration.withdrawals import WithdrawalSet
from nutmegroad.foundations.types import HostId


async def accept_any_head(self: Any, head: Any, host: Any) -> Any:
    """Accept any received head, older or newer than the current one."""
    accepted = await self._accepted(head, host)
    if isinstance(accepted, AcceptedConfiguration):
        self._configuration._accepted = accepted
        return None
    return accepted


def confirm_any_revision(self: Any, revision: Any, asked: float) -> bool:
    """Let a read of any revision confirm the configuration in force."""
    self._confirmed = max(self._confirmed, asked)
    return True


async def poll_dated_by_reply(self: Any) -> Any:
    """Poll, but date the confirmation by the reply instead of the request."""
    asked = self._timing.clock.now()
    head = await self._store.read()
    if isinstance(head, heads.Head):
        refusal = await self._apply_read(head, self._timing.clock.now())
        await self._write_unrecorded()
    else:
        refusal = await self._ask_peers(head)
    if refusal is not None:
        self._configuration.record_failure(asked)
    return refusal


def _ask_dated_by(
    date_confirmation: Callable[[float, float, float], float],
) -> Any:
    """Return an ``_ask_one`` that dates the peer's confirmation otherwise.

    Args:
        date_confirmation: Returns the time from which a confirmation counts,
            given the times of the question and of the reply and the age that
            the peer reports.
    """

    async def ask_one(self: Any, hosts: Any) -> PeerHead | None:
        """Ask the first host for its head."""
        host: HostId = next(hosts, HostId(''))
        asked = self._clock.now()
        reply = await self._mesh.request(host, HeadQuestion(), REPLY_TIMEOUT)
        if not isinstance(reply, HeadReply):
            return None
        age = reply.age
        if age is None:
            return PeerHead(host, reply.notice, None)
        confirmed = date_confirmation(asked, self._clock.now(), age)
        return PeerHead(host, reply.notice, confirmed)

    return ask_one


def replace_withdrawals(self: Any, withdrawals: Any) -> bool:
    """Replace the known withdrawals by those of the newest message."""
    known = {withdrawal.version: withdrawal.epoch for withdrawal in withdrawals}
    changed = bool(known != self._epochs)
    self._epochs = known
    return changed


def mutant(name: str) -> '_patch[Any]':
    """Return the patch that disables a mechanism."""
    owner, attribute, new = _MUTANTS[name]
    return patch.object(owner, attribute, new)


_ASK_ONE: Final = (PeerQueries, '_ask_one')
_MUTANTS: Final = {
    'not forward only': (ConfigurationPoller, '_take', accept_any_head),
    'any revision confirms': (Configuration, 'confirm', confirm_any_revision),
    'count from reply': (ConfigurationPoller, 'poll', poll_dated_by_reply),
    'forget the age': (*_ASK_ONE, _ask_dated_by(lambda asked, now, age: asked)),
    'subtract from reply': (
        *_ASK_ONE,
        _ask_dated_by(lambda asked, now, age: now - age),
    ),
    'no nonce': (heads, '_made', lambda history, wanted: False),
    'no union': (WithdrawalSet, 'add', replace_withdrawals),
}
