"""A model of the head row: operators change it by compare-and-set."""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

from models.omissions import NOTHING, Without


class Operator(NamedTuple):
    """One operator's move of the head.

    Attributes:
        expected: Revision that its write expects; -1 before it has read.
        flying: Copies of its write that may still arrive.
        tries: Times that it was sent.
        reply: What came back: '', 'made' or 'conflict'.
        told: What the operator was told.
    """

    expected: int = -1
    flying: int = 0
    tries: int = 0
    reply: str = ''
    told: str = ''


class HeadState(NamedTuple):
    """The head's history, and two operators.

    Attributes:
        history: Who made each revision.
        others: Moves of others that may still come.
        one: An operator.
        other: Another one.
    """

    history: tuple[int, ...] = ()
    others: int = 2
    one: Operator = Operator()
    other: Operator = Operator()


def head_model(without: Without = NOTHING) -> Protocol:
    """Return the model of compare-and-set and lost replies."""
    return Protocol(
        name='head',
        candidate=False,
        fields=HeadState._fields,
        initial=HeadState(),
        transitions=lambda state: list(_head_steps(state, without)),
        invariants={'operators are told the truth': _truth},
    )


def _truth(fields: dict[str, object]) -> bool:
    state = HeadState(**fields)  # type: ignore[arg-type]
    for number, operator in enumerate((state.one, state.other)):
        made = state.history.count(number)
        if made > 1 or (operator.told == 'made' and made != 1):
            return False
        if operator.told == 'conflict' and made:
            return False
    return True


def _head_steps(
    state: HeadState,
    without: Without,
) -> Iterator[tuple[str, HeadState]]:
    """Yield all that can happen next."""
    if state.others:
        yield (
            'another moves',
            state._replace(
                history=(*state.history, 2),
                others=state.others - 1,
            ),
        )
    for number, name in enumerate(('one', 'other')):
        operator: Operator = getattr(state, name)
        for label, history, after in _operator_steps(
            state.history, operator, number, without
        ):
            changed = {'history': history, name: after}
            yield f'{name} {label}', state._replace(**changed)  # type: ignore[arg-type]


_Step = tuple[str, tuple[int, ...], Operator]


def _operator_steps(
    history: tuple[int, ...],
    operator: Operator,
    number: int,
    without: Without,
) -> Iterator[_Step]:
    """Yield what one operator's move can do next."""
    if operator.flying:
        yield from _arrivals(history, operator, number)
    if operator.told:
        return
    if operator.expected < 0:
        yield 'reads', history, operator._replace(expected=len(history))
    elif operator.reply:
        told = _settled(history, operator, number, without)
        yield 'is told', history, operator._replace(told=told)
    elif operator.tries < 2:
        # The first time, or again as no reply has come.
        sent = operator._replace(
            flying=operator.flying + 1,
            tries=operator.tries + 1,
        )
        yield 'sends', history, sent
    if operator.tries and not operator.reply:
        told = _given_up(history, operator, number, without)
        yield 'gives up', history, operator._replace(told=told)


def _arrivals(
    history: tuple[int, ...],
    operator: Operator,
    number: int,
) -> Iterator[_Step]:
    """Yield what becomes of a write that is under way."""
    landed = operator._replace(flying=operator.flying - 1)
    yield 'write is lost', history, landed
    fits = len(history) == operator.expected
    after = (*history, number) if fits else history
    reply = 'made' if fits else 'conflict'
    yield 'write arrives, reply is lost', after, landed
    if not operator.reply:
        yield 'write arrives', after, landed._replace(reply=reply)


def _settled(
    history: tuple[int, ...],
    operator: Operator,
    number: int,
    without: Without,
) -> str:
    """Return what is told after a reply."""
    if operator.reply == 'made':
        return 'made'
    if 'nonce' in without:
        return 'conflict'
    if 'history' in without:
        return 'made' if history[-1] == number else 'conflict'
    return 'made' if history[operator.expected] == number else 'conflict'


def _given_up(
    history: tuple[int, ...],
    operator: Operator,
    number: int,
    without: Without,
) -> str:
    """Return what is told if no reply ever came."""
    made = history[operator.expected : operator.expected + 1] == (number,)
    if made:
        return 'made'
    return 'conflict' if 'sending once more' in without else 'unknown'
