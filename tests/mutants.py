"""Mechanisms of the configuration taken out, to see that tests need them."""

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


async def take_any_head(self: Any, head: Any, host: Any) -> Any:
    """Take what is told, older or newer."""
    accepted = await self._accepted(head, host)
    if isinstance(accepted, AcceptedConfiguration):
        self._configuration._accepted = accepted
        return None
    return accepted


def confirm_any(self: Any, revision: Any, asked: float) -> bool:
    """Let any read confirm whatever is here."""
    self._confirmed = max(self._confirmed, asked)
    return True


async def poll_from_reply(self: Any) -> Any:
    """Count a confirmation from the reply of the read."""
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


def _peer_count(count: Callable[[float, float, float], float]) -> Any:
    """Return a way to ask a peer that counts its confirmation otherwise."""

    async def ask_one(self: Any, hosts: Any) -> PeerHead | None:
        """Ask the first host."""
        host: HostId = next(hosts, HostId(''))
        asked = self._clock.now()
        reply = await self._mesh.ask(host, HeadQuestion(), REPLY_TIMEOUT)
        if not isinstance(reply, HeadReply):
            return None
        age = reply.age
        if age is None:
            return PeerHead(host, reply.notice, None)
        confirmed = count(asked, self._clock.now(), age)
        return PeerHead(host, reply.notice, confirmed)

    return ask_one


def forget_withdrawals(self: Any, withdrawals: Any) -> bool:
    """Let the newest message say what is withdrawn."""
    known = {withdrawal.version: withdrawal.epoch for withdrawal in withdrawals}
    changed = bool(known != self._epochs)
    self._epochs = known
    return changed


def mutant(name: str) -> '_patch[Any]':
    """Return the patch that takes a mechanism out."""
    owner, attribute, new = _MUTANTS[name]
    return patch.object(owner, attribute, new)


_ASK: Final = (PeerQueries, '_ask_one')
_MUTANTS: Final = {
    'not forward only': (ConfigurationPoller, '_take', take_any_head),
    'any revision confirms': (Configuration, 'confirm', confirm_any),
    'count from reply': (ConfigurationPoller, 'poll', poll_from_reply),
    'forget the age': (*_ASK, _peer_count(lambda asked, now, age: asked)),
    'subtract from reply': (
        *_ASK,
        _peer_count(lambda asked, now, age: now - age),
    ),
    'no nonce': (heads, '_made', lambda history, wanted: False),
    'no union': (WithdrawalSet, 'add', forget_withdrawals),
}
