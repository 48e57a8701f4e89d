"""Model of a host that hears of the store's changes through another one.

The reader asks the store, which may fall silent to it for good at any moment;
what it was told it tells on, and that is under way for any time. Its link to
the follower never breaks, so nothing but the age of the news shows the silence.
The follower asks the store itself once the news are too old; the store answers
it within a bound. One change is made, at any tick.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any, Final, NamedTuple

from models.exploring import explore

#: Ticks for which news are relied on, and that a call on the store takes.
RELIANCE: Final = 3
CALL: Final = 1
#: Ticks that are explored.
HORIZON: Final = 10
MAX_STATES: Final = 400_000

_NEVER: Final = -1


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """What is there; a mutant lacks one of these.

    Attributes:
        reliance: The follower asks the store once the news are too old.
        dated: News count from the store's answer, not from when they come.
        own_news: An answer of the store to the follower is as good as news.
    """

    reliance: bool = True
    dated: bool = True
    own_news: bool = True


class State(NamedTuple):
    """Everything, as small numbers.

    Attributes:
        now: The tick.
        changed: Tick at which the change was confirmed.
        silent: Whether the store answers the reader no more.
        reading: Whether the reader waits for an answer.
        told: Whether news are under way that hold the change.
        told_at: Tick of the answer that these news are of.
        known: Whether the follower has the change.
        known_at: Tick up to which the follower takes itself to know.
        asked: Tick at which the follower asked the store.
    """

    now: int = 0
    changed: int = _NEVER
    silent: int = 0
    reading: int = 0
    told: int = 0
    told_at: int = _NEVER
    known: int = 0
    known_at: int = 0
    asked: int = _NEVER


Step = tuple[str, State]


class ReadingModel:
    """The steps that are possible in a state.

    Args:
        mechanisms: What is there.
    """

    def __init__(self, mechanisms: Mechanisms) -> None:
        self._has = mechanisms

    def steps(self, fields: tuple[int, ...]) -> list[Step]:
        """Return each step's name and the state after it."""
        state = State(*fields)
        return [
            *self._time(state),
            *self._faults(state),
            *self._reader(state),
            *self._news(state),
            *self._follower(state),
        ]

    def _time(self, state: State) -> Iterator[Step]:
        """Let a tick pass, unless something must happen before."""
        answer_is_due = state.asked >= 0 and state.now - state.asked >= CALL
        if state.now < HORIZON and not answer_is_due and not self._due(state):
            yield 'tick', state._replace(now=state.now + 1)

    def _faults(self, state: State) -> Iterator[Step]:
        """A change is confirmed; the store falls silent to the reader."""
        if state.changed == _NEVER:
            yield 'change', state._replace(changed=state.now)
        if not state.silent:
            yield 'silence', state._replace(silent=1)

    def _reader(self, state: State) -> Iterator[Step]:
        """The reader asks, and tells what it is answered."""
        if not state.reading:
            yield 'reader asks', state._replace(reading=1)
        elif not state.silent:
            told = int(state.changed != _NEVER)
            yield (
                'reader is answered',
                state._replace(reading=0, told=told, told_at=state.now),
            )

    def _news(self, state: State) -> Iterator[Step]:
        """News come, at any later moment."""
        if state.told_at == _NEVER:
            return
        moment = state.told_at if self._has.dated else state.now
        yield (
            'news come',
            state._replace(
                told_at=_NEVER,
                known=max(state.known, state.told),
                known_at=max(state.known_at, moment),
            ),
        )

    def _follower(self, state: State) -> Iterator[Step]:
        """The follower asks the store, and is answered."""
        if self._due(state):
            yield 'follower asks', state._replace(asked=state.now)
        if state.asked == _NEVER:
            return
        known = state.known
        if self._has.own_news:
            known = int(state.changed != _NEVER)
        yield (
            'follower is answered',
            state._replace(asked=_NEVER, known=known, known_at=state.now),
        )

    def _due(self, state: State) -> bool:
        """Tell whether the follower has to ask now."""
        too_old = state.now - state.known_at >= RELIANCE
        return self._has.reliance and too_old and state.asked == _NEVER


def is_in_force(state: dict[str, int]) -> bool:
    """Tell whether the follower has a change that is older than the bound."""
    if state['changed'] == _NEVER:
        return True
    late = state['now'] - state['changed'] > RELIANCE + CALL
    return bool(state['known']) or not late


#: What must be found when a mechanism is taken out.
MUTANTS: Final = (
    ('relies for ever', replace(Mechanisms(), reliance=False)),
    ('counts from when news come', replace(Mechanisms(), dated=False)),
    ('only looks at the time', replace(Mechanisms(), own_news=False)),
)


def check(name: str, mechanisms: Mechanisms) -> dict[str, Any]:
    """Explore all states, and return the checker's report."""
    model = ReadingModel(mechanisms)
    return explore(
        name,
        State(),
        model.steps,
        {'is_in_force': is_in_force},
        MAX_STATES,
    )
