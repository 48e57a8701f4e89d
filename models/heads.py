"""Model of the head row, which operators change by compare-and-set."""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

from models.disabled_mechanisms import NONE_DISABLED, DisabledMechanisms


class Operator(NamedTuple):
    """One operator's move of the head.

    Attributes:
        expected: Revision that its write expects; -1 before it has read.
        in_flight: Copies of its write that may still arrive.
        sent_count: Number of times that the write was sent.
        reply: The table's reply: 'made', 'conflict', or '' for none yet.
        outcome: What was reported to the operator: 'made', 'conflict',
            'unknown', or '' for nothing yet.
    """

    expected: int = -1
    in_flight: int = 0
    sent_count: int = 0
    reply: str = ''
    outcome: str = ''


class HeadState(NamedTuple):
    """The head's history and two operators.

    Attributes:
        history: Author of each revision: 0 and 1 for the two operators, 2 for
            anybody else.
        other_moves: Moves that others may still make.
        one: The first operator.
        other: The second operator.
    """

    history: tuple[int, ...] = ()
    other_moves: int = 2
    one: Operator = Operator()
    other: Operator = Operator()


def head_model(disabled: DisabledMechanisms = NONE_DISABLED) -> Protocol:
    """Return the model of compare-and-set with lost replies."""
    return Protocol(
        name='head',
        candidate=False,
        fields=HeadState._fields,
        initial=HeadState(),
        transitions=lambda state: list(_head_steps(state, disabled)),
        invariants={'operators get true outcomes': _has_true_outcomes},
    )


def _has_true_outcomes(fields: dict[str, object]) -> bool:
    state = HeadState(**fields)  # type: ignore[arg-type]
    for number, operator in enumerate((state.one, state.other)):
        made = state.history.count(number)
        if made > 1 or (operator.outcome == 'made' and made != 1):
            return False
        if operator.outcome == 'conflict' and made:
            return False
    return True


def _head_steps(
    state: HeadState,
    disabled: DisabledMechanisms,
) -> Iterator[tuple[str, HeadState]]:
    """Yield the transitions that are possible in a state."""
    if state.other_moves:
        yield (
            'somebody else moves',
            state._replace(
                history=(*state.history, 2),
                other_moves=state.other_moves - 1,
            ),
        )
    for number, name in enumerate(('one', 'other')):
        operator: Operator = getattr(state, name)
        for label, history, after in _operator_steps(
            state.history, operator, number, disabled
        ):
            changed = {'history': history, name: after}
            yield f'{name} {label}', state._replace(**changed)  # type: ignore[arg-type]


#: Label of a transition, and the history and the operator after it.
_Step = tuple[str, tuple[int, ...], Operator]


def _operator_steps(
    history: tuple[int, ...],
    operator: Operator,
    number: int,
    disabled: DisabledMechanisms,
) -> Iterator[_Step]:
    """Yield the next transitions of one operator's move."""
    if operator.in_flight:
        yield from _arrivals(history, operator, number)
    if operator.outcome:
        return
    if operator.expected < 0:
        yield 'reads', history, operator._replace(expected=len(history))
    elif operator.reply:
        outcome = _outcome_after_reply(history, operator, number, disabled)
        yield 'gets outcome', history, operator._replace(outcome=outcome)
    elif operator.sent_count < 2:
        # The first time, or again because no reply has arrived.
        sent = operator._replace(
            in_flight=operator.in_flight + 1,
            sent_count=operator.sent_count + 1,
        )
        yield 'sends', history, sent
    if operator.sent_count and not operator.reply:
        outcome = _outcome_without_reply(history, operator, number, disabled)
        yield 'gives up', history, operator._replace(outcome=outcome)


def _arrivals(
    history: tuple[int, ...],
    operator: Operator,
    number: int,
) -> Iterator[_Step]:
    """Yield what can happen to a write in flight."""
    landed = operator._replace(in_flight=operator.in_flight - 1)
    yield 'write is lost', history, landed
    matches = len(history) == operator.expected
    after = (*history, number) if matches else history
    reply = 'made' if matches else 'conflict'
    yield 'write arrives, reply is lost', after, landed
    if not operator.reply:
        yield 'write arrives', after, landed._replace(reply=reply)


def _outcome_after_reply(
    history: tuple[int, ...],
    operator: Operator,
    number: int,
    disabled: DisabledMechanisms,
) -> str:
    """Return the outcome to report after a reply."""
    if operator.reply == 'made':
        return 'made'
    if 'nonce' in disabled:
        return 'conflict'
    if 'history' in disabled:
        return 'made' if history[-1] == number else 'conflict'
    return 'made' if history[operator.expected] == number else 'conflict'


def _outcome_without_reply(
    history: tuple[int, ...],
    operator: Operator,
    number: int,
    disabled: DisabledMechanisms,
) -> str:
    """Return the outcome to report if no reply has arrived."""
    made = history[operator.expected : operator.expected + 1] == (number,)
    if made:
        return 'made'
    return 'conflict' if 'late writes expected' in disabled else 'unknown'
