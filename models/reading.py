"""Model of a host that receives the store's changes through another host.

The reader polls the store, which may stop answering it for good at any time.
It sends each answer on to the follower as an update, which may be delayed
without bound. Its link to the follower never breaks, so only the age of the
updates reveals that the store does not answer the reader. The follower asks
the store itself once its last update is too old; the store answers it within a
bound. One change is made, at any tick.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any, Final, NamedTuple

from models.exploration import explore

#: Age at which an update is too old, and longest duration of a call to the
#: store, in ticks.
MAX_UPDATE_AGE: Final = 3
MAX_CALL_TICKS: Final = 1
#: Last tick of the model.
HORIZON: Final = 10
#: Number of states after which the search gives up.
MAX_STATES: Final = 400_000

#: Tick of an event that has not happened.
_NEVER: Final = -1


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """Mechanisms that are enabled; a mutant lacks one of them.

    Attributes:
        age_limit: The follower asks the store once its last update is too old.
        dated_by_answer: The age of an update counts from the store's answer to
            the reader, not from the update's arrival.
        answers_applied: The follower applies the store's answers to its own
            calls as it applies updates.
    """

    age_limit: bool = True
    dated_by_answer: bool = True
    answers_applied: bool = True


class State(NamedTuple):
    """State of the whole model, as small integers.

    Attributes:
        now: Current tick.
        changed: Tick at which the change was confirmed.
        silent: Whether the store has stopped answering the reader.
        reader_waiting: Whether the reader waits for an answer.
        update_has_change: Whether the update in flight contains the change.
        update_read_at: Tick of the store's answer that the update in flight
            passes on; ``_NEVER`` if none is in flight.
        known: Whether the follower has the change.
        known_until: Tick up to which the follower considers itself up to date.
        call_sent: Tick at which the follower sent its pending call to the
            store; ``_NEVER`` if none is pending.
    """

    now: int = 0
    changed: int = _NEVER
    silent: int = 0
    reader_waiting: int = 0
    update_has_change: int = 0
    update_read_at: int = _NEVER
    known: int = 0
    known_until: int = 0
    call_sent: int = _NEVER


Step = tuple[str, State]


class ReadingModel:
    """Transitions of the model.

    Args:
        mechanisms: Mechanisms that are enabled.
    """

    def __init__(self, mechanisms: Mechanisms) -> None:
        self._mechanisms = mechanisms

    def steps(self, fields: tuple[int, ...]) -> list[Step]:
        """Return the transitions that are possible in a state."""
        state = State(*fields)
        return [
            *self._tick_steps(state),
            *self._fault_steps(state),
            *self._reader_steps(state),
            *self._update_steps(state),
            *self._follower_steps(state),
        ]

    def _tick_steps(self, state: State) -> Iterator[Step]:
        """Let a tick pass, unless a call of the follower is due before."""
        answer_is_due = (
            state.call_sent >= 0
            and state.now - state.call_sent >= MAX_CALL_TICKS
        )
        if (
            state.now < HORIZON
            and not answer_is_due
            and not self._is_call_due(state)
        ):
            yield 'tick', state._replace(now=state.now + 1)

    def _fault_steps(self, state: State) -> Iterator[Step]:
        """Confirm the change, or let the store stop answering the reader."""
        if state.changed == _NEVER:
            yield 'change', state._replace(changed=state.now)
        if not state.silent:
            yield 'silence', state._replace(silent=1)

    def _reader_steps(self, state: State) -> Iterator[Step]:
        """Let the reader poll the store and send its answer on."""
        if not state.reader_waiting:
            yield 'reader asks', state._replace(reader_waiting=1)
        elif not state.silent:
            has_change = int(state.changed != _NEVER)
            yield (
                'reader is answered',
                state._replace(
                    reader_waiting=0,
                    update_has_change=has_change,
                    update_read_at=state.now,
                ),
            )

    def _update_steps(self, state: State) -> Iterator[Step]:
        """Let an update arrive, at any later time."""
        if state.update_read_at == _NEVER:
            return
        read_at = (
            state.update_read_at
            if self._mechanisms.dated_by_answer
            else state.now
        )
        yield (
            'update arrives',
            state._replace(
                update_read_at=_NEVER,
                known=max(state.known, state.update_has_change),
                known_until=max(state.known_until, read_at),
            ),
        )

    def _follower_steps(self, state: State) -> Iterator[Step]:
        """Let the follower ask the store, or receive its answer."""
        if self._is_call_due(state):
            yield 'follower asks', state._replace(call_sent=state.now)
        if state.call_sent == _NEVER:
            return
        known = state.known
        if self._mechanisms.answers_applied:
            known = int(state.changed != _NEVER)
        yield (
            'follower is answered',
            state._replace(
                call_sent=_NEVER, known=known, known_until=state.now
            ),
        )

    def _is_call_due(self, state: State) -> bool:
        """Return whether the follower must ask the store now."""
        too_old = state.now - state.known_until >= MAX_UPDATE_AGE
        return (
            self._mechanisms.age_limit and too_old and state.call_sent == _NEVER
        )


def is_in_force(state: dict[str, int]) -> bool:
    """Return whether the follower has any change older than the bound."""
    if state['changed'] == _NEVER:
        return True
    is_overdue = (
        state['now'] - state['changed'] > MAX_UPDATE_AGE + MAX_CALL_TICKS
    )
    return bool(state['known']) or not is_overdue


#: Mutants, each of which must violate the invariant.
MUTANTS: Final = (
    ('no age limit', replace(Mechanisms(), age_limit=False)),
    ('dated by arrival', replace(Mechanisms(), dated_by_answer=False)),
    ('answers not applied', replace(Mechanisms(), answers_applied=False)),
)


def check(name: str, mechanisms: Mechanisms) -> dict[str, Any]:
    """Explore all reachable states and return the checker's report."""
    model = ReadingModel(mechanisms)
    return explore(
        name,
        State(),
        model.steps,
        {'is_in_force': is_in_force},
        MAX_STATES,
    )
