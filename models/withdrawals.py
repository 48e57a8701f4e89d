"""Model of withdrawals: once a host knows one, it stays known."""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

from models.disabled_mechanisms import NONE_DISABLED, DisabledMechanisms


class KnownWithdrawal(NamedTuple):
    """What a host or the table knows of the withdrawals of one version.

    Attributes:
        epoch: Highest withdrawn epoch that it knows; -1 for none.
        highest: Highest epoch that this incarnation has ever known.
    """

    epoch: int = -1
    highest: int = -1


class WithdrawalState(NamedTuple):
    """The table, two hosts and all messages that were ever sent.

    Attributes:
        table: What the table knows.
        sent: Epochs in messages; each may arrive any number of times.
        one: The first host.
        other: The second host.
        given: Number of withdrawals that operators have ordered.
        restarts: Number of host restarts that may still occur.
    """

    table: KnownWithdrawal = KnownWithdrawal()
    sent: tuple[int, ...] = ()
    one: KnownWithdrawal = KnownWithdrawal()
    other: KnownWithdrawal = KnownWithdrawal()
    given: int = 0
    restarts: int = 2


def withdrawal_model(disabled: DisabledMechanisms = NONE_DISABLED) -> Protocol:
    """Return the model of how withdrawals spread by messages and table."""
    return Protocol(
        name='withdrawals',
        candidate=False,
        fields=WithdrawalState._fields,
        initial=WithdrawalState(),
        transitions=lambda state: list(_withdrawal_steps(state, disabled)),
        invariants={'withdrawals persist': _withdrawals_persist},
    )


def _withdrawals_persist(fields: dict[str, object]) -> bool:
    state = WithdrawalState(**fields)  # type: ignore[arg-type]
    all_known = (state.table, state.one, state.other)
    return all(known.epoch == known.highest for known in all_known)


def _withdrawal_steps(
    state: WithdrawalState,
    disabled: DisabledMechanisms,
) -> Iterator[tuple[str, WithdrawalState]]:
    """Yield the transitions that are possible in a state."""
    for name in ('one', 'other'):
        host: KnownWithdrawal = getattr(state, name)
        if state.given < 2:
            ordered = _merge(host, state.given, disabled)
            changes = {name: ordered, 'given': state.given + 1}
            yield f'{name} receives order', state._replace(**changes)  # type: ignore[arg-type]
        if state.restarts:
            restarted = {
                name: KnownWithdrawal(),
                'restarts': state.restarts - 1,
            }
            yield f'{name} restarts', state._replace(**restarted)  # type: ignore[arg-type]
        sent = tuple(sorted({*state.sent, host.epoch}))
        yield f'{name} sends', state._replace(sent=sent)
        for epoch in state.sent:
            received = {name: _merge(host, epoch, disabled)}
            yield f'{name} receives {epoch}', state._replace(**received)  # type: ignore[arg-type]
        read = {name: _merge(host, state.table.epoch, disabled)}
        yield f'{name} reads table', state._replace(**read)  # type: ignore[arg-type]
        merged = _merge(state.table, host.epoch, disabled)
        yield f'{name} updates table', state._replace(table=merged)


def _merge(
    known: KnownWithdrawal, epoch: int, disabled: DisabledMechanisms
) -> KnownWithdrawal:
    """Return the known withdrawals after an epoch was received."""
    if 'union' in disabled:
        return KnownWithdrawal(epoch, max(known.highest, epoch))
    return KnownWithdrawal(max(known.epoch, epoch), max(known.highest, epoch))
