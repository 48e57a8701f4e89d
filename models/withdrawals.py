"""A model of withdrawals: known on a host, they stay known."""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

from models.omissions import NOTHING, Without


class WithdrawalHost(NamedTuple):
    """One host's withdrawals of one version.

    Attributes:
        epoch: The greatest withdrawn epoch that it knows; -1 for none.
        highest: The greatest that this incarnation ever knew.
    """

    epoch: int = -1
    highest: int = -1


class WithdrawalState(NamedTuple):
    """The table, two hosts, and all messages that were ever sent.

    Attributes:
        table: What the table has.
        sent: Epochs in messages, each of which may arrive again.
        one: A host.
        other: Another one.
        given: Withdrawals that operators have given.
        restarts: Restarts that may still come.
    """

    table: WithdrawalHost = WithdrawalHost()
    sent: tuple[int, ...] = ()
    one: WithdrawalHost = WithdrawalHost()
    other: WithdrawalHost = WithdrawalHost()
    given: int = 0
    restarts: int = 2


def withdrawal_model(without: Without = NOTHING) -> Protocol:
    """Return the model of withdrawals without the table."""
    return Protocol(
        name='withdrawals',
        candidate=False,
        fields=WithdrawalState._fields,
        initial=WithdrawalState(),
        transitions=lambda state: list(_withdrawal_steps(state, without)),
        invariants={'a withdrawal stays': _stays},
    )


def _stays(fields: dict[str, object]) -> bool:
    state = WithdrawalState(**fields)  # type: ignore[arg-type]
    holders = (state.table, state.one, state.other)
    return all(holder.epoch == holder.highest for holder in holders)


def _withdrawal_steps(
    state: WithdrawalState,
    without: Without,
) -> Iterator[tuple[str, WithdrawalState]]:
    """Yield all that can happen next."""
    for name in ('one', 'other'):
        host: WithdrawalHost = getattr(state, name)
        if state.given < 2:
            told = _learn(host, state.given, without)
            given = {name: told, 'given': state.given + 1}
            yield f'{name} is told', state._replace(**given)  # type: ignore[arg-type]
        if state.restarts:
            gone = {name: WithdrawalHost(), 'restarts': state.restarts - 1}
            yield f'{name} restarts', state._replace(**gone)  # type: ignore[arg-type]
        sent = tuple(sorted({*state.sent, host.epoch}))
        yield f'{name} sends', state._replace(sent=sent)
        for epoch in state.sent:
            heard = {name: _learn(host, epoch, without)}
            yield f'{name} hears {epoch}', state._replace(**heard)  # type: ignore[arg-type]
        read = {name: _learn(host, state.table.epoch, without)}
        yield f'{name} reads', state._replace(**read)  # type: ignore[arg-type]
        merged = _learn(state.table, host.epoch, without)
        yield f'{name} merges', state._replace(table=merged)


def _learn(
    holder: WithdrawalHost, epoch: int, without: Without
) -> WithdrawalHost:
    """Join what is known with what is told."""
    if 'union' in without:
        return WithdrawalHost(epoch, max(holder.highest, epoch))
    return WithdrawalHost(max(holder.epoch, epoch), max(holder.highest, epoch))
