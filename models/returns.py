"""Model of a host that follows a table of a store that comes back from a copy.

The operator writes configurations, others write rows between them, and each
write takes the next version. The store keeps a copy at any moment and comes
back from it at any later one, in its next era; the operator writes again what
it lost. A host asks for changes after a version or reads the table whole;
answers are under way for any time.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Any, Final, NamedTuple

from models.exploring import explore

#: Configurations, versions and returns that are explored.
CONFIGURATIONS: Final = 2
VERSIONS: Final = 4
RETURNS: Final = 2
MAX_STATES: Final = 2_000_000

_NOTHING: Final = -1
#: What is under way.
_IDLE, _CHANGES, _WHOLE = range(3)


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """What is there; a mutant lacks one of these.

    Attributes:
        eras: Answers of another era are no changes; the table is read whole.
        forward: What is in force gives way to newer configurations only.
        confirming: Only a store that shows what is in force confirms it.
    """

    eras: bool = True
    forward: bool = True
    confirming: bool = True


class State(NamedTuple):
    """Everything, as small numbers.

    Attributes:
        era: The store's era.
        version: Its newest version.
        shown: The configuration that it has.
        shown_at: The version at which that was written.
        written: The last configuration that the operator has written.
        copy_version: The copy's newest version; none if there is none.
        copy_shown: The configuration that the copy has.
        copy_at: The version at which that was written.
        known_era: The era that the host knows.
        known: The version up to which it knows the table.
        held: The configuration that it has in force.
        peak: The newest one that it has ever had in force.
        unsure: Whether an older copy has confirmed what it has in force.
        whole: Whether it has to read the table whole.
        call: What is under way.
        told_era: The era of the answer that is under way.
        told: Its version.
        told_shown: The configuration in it, if there is one.
    """

    era: int = 1
    version: int = 0
    shown: int = 0
    shown_at: int = 0
    written: int = 0
    copy_version: int = _NOTHING
    copy_shown: int = 0
    copy_at: int = 0
    known_era: int = 1
    known: int = 0
    held: int = 0
    peak: int = 0
    unsure: int = 0
    whole: int = 0
    call: int = _IDLE
    told_era: int = 0
    told: int = 0
    told_shown: int = _NOTHING


Step = tuple[str, State]
Property = Callable[[dict[str, int]], bool]


class ReturnModel:
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
            *self._writes(state),
            *self._returns(state),
            *self._asks(state),
            *self._takes(state),
        ]

    def _writes(self, state: State) -> Iterator[Step]:
        """The operator or somebody else writes."""
        following = state.version + 1
        if following > VERSIONS:
            return
        yield 'row written', state._replace(version=following)
        if state.shown < state.written:
            yield 'written again', _write(state, state.written)
        elif state.written < CONFIGURATIONS:
            yield 'configured', _write(state, state.written + 1)

    def _returns(self, state: State) -> Iterator[Step]:
        """The store keeps a copy, or comes back from it."""
        if state.copy_version == _NOTHING:
            yield (
                'copied',
                state._replace(
                    copy_version=state.version,
                    copy_shown=state.shown,
                    copy_at=state.shown_at,
                ),
            )
        elif state.era <= RETURNS:
            yield (
                'came back',
                state._replace(
                    era=state.era + 1,
                    version=state.copy_version,
                    shown=state.copy_shown,
                    shown_at=state.copy_at,
                    copy_version=_NOTHING,
                ),
            )

    def _asks(self, state: State) -> Iterator[Step]:
        """The host asks, and the store makes its answer."""
        if state.call != _IDLE:
            return
        answer = state._replace(told_era=state.era, told=state.version)
        if state.whole:
            yield (
                'whole read',
                answer._replace(call=_WHOLE, told_shown=state.shown),
            )
        elif state.known > state.version:
            # The store says that it does not know the version.
            yield 'version unknown', state._replace(whole=1)
        else:
            is_news = state.shown_at > state.known
            found = state.shown if is_news else _NOTHING
            yield (
                'changes read',
                answer._replace(call=_CHANGES, told_shown=found),
            )

    def _takes(self, state: State) -> Iterator[Step]:
        """An answer comes."""
        if state.call == _IDLE:
            return
        idle = state._replace(call=_IDLE, told_era=0, told=0)
        if self._has.eras and state.told_era < state.known_era:
            yield 'answer dropped', idle._replace(told_shown=_NOTHING)
            return
        risen = state.told_era > state.known_era
        if self._has.eras and risen and state.call == _CHANGES:
            yield (
                'era risen',
                idle._replace(
                    known_era=state.told_era,
                    whole=1,
                    told_shown=_NOTHING,
                ),
            )
            return
        yield 'answer taken', self._taken(state, idle)

    def _taken(self, state: State, idle: State) -> State:
        """Return the state in which an answer was taken in."""
        held = state.held
        told = state.told_shown
        if told != _NOTHING:
            held = max(held, told) if self._has.forward else told
        confirms = told == held or (told == _NOTHING and not state.unsure)
        unsure = 0 if confirms else int(not self._has.confirming)
        return idle._replace(
            known_era=max(state.known_era, state.told_era),
            known=state.told,
            held=held,
            peak=max(state.peak, held),
            unsure=unsure,
            whole=0,
            told_shown=_NOTHING,
        )


def _write(state: State, configuration: int) -> State:
    """Return the state after a configuration was written."""
    following = state.version + 1
    return state._replace(
        version=following,
        shown=configuration,
        shown_at=following,
        written=configuration,
    )


def misses_nothing(state: dict[str, int]) -> bool:
    """Tell whether a host that is up to date has what the store shows.

    The store gives it nothing more from there, so it would never learn of it.
    """
    waits = state['call'] == _IDLE and not state['whole']
    is_there = waits and state['known'] == state['version']
    if not is_there or state['known_era'] != state['era']:
        return True
    return state['held'] >= state['shown']


def goes_forward(state: dict[str, int]) -> bool:
    """Tell whether what is in force never went back."""
    return state['held'] == state['peak']


def is_confirmed_truly(state: dict[str, int]) -> bool:
    """Tell whether no older copy has confirmed what is in force."""
    return not state['unsure']


PROPERTIES: Final[dict[str, Property]] = {
    'misses_nothing': misses_nothing,
    'goes_forward': goes_forward,
    'is_confirmed_truly': is_confirmed_truly,
}

#: What must be found when a mechanism is taken out, by which property.
MUTANTS: Final = (
    (
        'compares versions without eras',
        replace(Mechanisms(), eras=False),
        'misses_nothing',
    ),
    (
        'takes what the copy shows',
        replace(Mechanisms(), forward=False),
        'goes_forward',
    ),
    (
        'confirms by an older copy',
        replace(Mechanisms(), confirming=False),
        'is_confirmed_truly',
    ),
)


def check(name: str, mechanisms: Mechanisms) -> dict[str, Any]:
    """Explore all states, and return the checker's report."""
    return explore(
        name,
        State(),
        ReturnModel(mechanisms).steps,
        PROPERTIES,
        MAX_STATES,
    )
