"""Model of a host that follows a store's table across restores from a backup.

The operator writes configurations, others write rows in between, and each
write takes the next version. The store makes a backup at any time and is
restored from it at any later time, which begins its next era; the operator
writes a lost configuration again. A host requests the changes since a version,
or a snapshot of the table. Answers may be delayed without bound.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Any, Final, NamedTuple

from models.exploration import explore

#: Configurations, versions and restores that are explored.
MAX_CONFIGURATIONS: Final = 2
MAX_VERSIONS: Final = 4
MAX_RESTORES: Final = 2
#: Number of states after which the search gives up.
MAX_STATES: Final = 2_000_000

#: No configuration, or no backup.
_NOTHING: Final = -1
#: The host's pending call.
_IDLE, _READING_CHANGES, _READING_SNAPSHOT = range(3)


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """Mechanisms that are enabled; a mutant lacks one of them.

    Attributes:
        eras: Answers of an earlier era are dropped. Changes of a later era are
            not applied: the host reads a snapshot instead.
        forward_only: Only a newer configuration replaces the one in force.
        checked_confirmation: Only a store that has the configuration in force
            confirms it.
    """

    eras: bool = True
    forward_only: bool = True
    checked_confirmation: bool = True


class State(NamedTuple):
    """State of the whole model, as small integers.

    Attributes:
        era: The store's era.
        version: The store's newest version.
        shown: The configuration that the store has.
        shown_at: Version at which that configuration was written.
        written: The last configuration that the operator has written.
        backup_version: The backup's newest version; ``_NOTHING`` if there is
            no backup.
        backup_shown: The configuration in the backup.
        backup_shown_at: Version at which that configuration was written.
        known_era: The era that the host knows.
        known: Version up to which the host knows the table.
        held: The configuration that the host has in force.
        peak: The newest configuration that the host has ever had in force.
        unsure: Whether a store with an older configuration has confirmed the
            one in force.
        whole: Whether the host must read a snapshot.
        call: The host's pending call.
        answer_era: The era of the answer in flight.
        answer_version: The version of the answer in flight.
        answer_shown: The configuration in the answer in flight; ``_NOTHING``
            if it contains none.
    """

    era: int = 1
    version: int = 0
    shown: int = 0
    shown_at: int = 0
    written: int = 0
    backup_version: int = _NOTHING
    backup_shown: int = 0
    backup_shown_at: int = 0
    known_era: int = 1
    known: int = 0
    held: int = 0
    peak: int = 0
    unsure: int = 0
    whole: int = 0
    call: int = _IDLE
    answer_era: int = 0
    answer_version: int = 0
    answer_shown: int = _NOTHING


Step = tuple[str, State]
Property = Callable[[dict[str, int]], bool]


class RestoreModel:
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
            *self._write_steps(state),
            *self._restore_steps(state),
            *self._request_steps(state),
            *self._answer_steps(state),
        ]

    def _write_steps(self, state: State) -> Iterator[Step]:
        """Let the operator write a configuration, or somebody else a row."""
        next_version = state.version + 1
        if next_version > MAX_VERSIONS:
            return
        yield 'row written', state._replace(version=next_version)
        if state.shown < state.written:
            yield 'configuration rewritten', _write(state, state.written)
        elif state.written < MAX_CONFIGURATIONS:
            yield 'configured', _write(state, state.written + 1)

    def _restore_steps(self, state: State) -> Iterator[Step]:
        """Make a backup of the store, or restore the store from it."""
        if state.backup_version == _NOTHING:
            yield (
                'copied',
                state._replace(
                    backup_version=state.version,
                    backup_shown=state.shown,
                    backup_shown_at=state.shown_at,
                ),
            )
        elif state.era <= MAX_RESTORES:
            yield (
                'restored',
                state._replace(
                    era=state.era + 1,
                    version=state.backup_version,
                    shown=state.backup_shown,
                    shown_at=state.backup_shown_at,
                    backup_version=_NOTHING,
                ),
            )

    def _request_steps(self, state: State) -> Iterator[Step]:
        """Let the host send a request, and the store make its answer."""
        if state.call != _IDLE:
            return
        answer = state._replace(
            answer_era=state.era, answer_version=state.version
        )
        if state.whole:
            yield (
                'snapshot requested',
                answer._replace(
                    call=_READING_SNAPSHOT, answer_shown=state.shown
                ),
            )
        elif state.known > state.version:
            # The store reports that it does not know the version.
            yield 'version unknown', state._replace(whole=1)
        else:
            has_changed = state.shown_at > state.known
            shown = state.shown if has_changed else _NOTHING
            yield (
                'changes requested',
                answer._replace(call=_READING_CHANGES, answer_shown=shown),
            )

    def _answer_steps(self, state: State) -> Iterator[Step]:
        """Let an answer arrive."""
        if state.call == _IDLE:
            return
        idle = state._replace(call=_IDLE, answer_era=0, answer_version=0)
        if self._mechanisms.eras and state.answer_era < state.known_era:
            yield 'answer dropped', idle._replace(answer_shown=_NOTHING)
            return
        is_later_era = state.answer_era > state.known_era
        if (
            self._mechanisms.eras
            and is_later_era
            and state.call == _READING_CHANGES
        ):
            yield (
                'later era detected',
                idle._replace(
                    known_era=state.answer_era,
                    whole=1,
                    answer_shown=_NOTHING,
                ),
            )
            return
        yield 'answer applied', self._apply_answer(state, idle)

    def _apply_answer(self, state: State, idle: State) -> State:
        """Return the state after the host has applied an answer."""
        held = state.held
        shown = state.answer_shown
        if shown != _NOTHING:
            held = max(held, shown) if self._mechanisms.forward_only else shown
        confirms = shown == held or (shown == _NOTHING and not state.unsure)
        unsure = (
            0 if confirms else int(not self._mechanisms.checked_confirmation)
        )
        return idle._replace(
            known_era=max(state.known_era, state.answer_era),
            known=state.answer_version,
            held=held,
            peak=max(state.peak, held),
            unsure=unsure,
            whole=0,
            answer_shown=_NOTHING,
        )


def _write(state: State, configuration: int) -> State:
    """Return the state after the operator has written a configuration."""
    next_version = state.version + 1
    return state._replace(
        version=next_version,
        shown=configuration,
        shown_at=next_version,
        written=configuration,
    )


def misses_nothing(state: dict[str, int]) -> bool:
    """Return whether a host that is up to date has the store's configuration.

    The store has no more changes for such a host, so it would never receive a
    configuration that it lacks.
    """
    is_waiting = state['call'] == _IDLE and not state['whole']
    is_up_to_date = is_waiting and state['known'] == state['version']
    if not is_up_to_date or state['known_era'] != state['era']:
        return True
    return state['held'] >= state['shown']


def goes_forward(state: dict[str, int]) -> bool:
    """Return whether no older configuration has replaced the one in force."""
    return state['held'] == state['peak']


def is_confirmed_truly(state: dict[str, int]) -> bool:
    """Return whether only stores that have the one in force confirmed it."""
    return not state['unsure']


#: Properties that must hold in every state, by name.
PROPERTIES: Final[dict[str, Property]] = {
    'misses_nothing': misses_nothing,
    'goes_forward': goes_forward,
    'is_confirmed_truly': is_confirmed_truly,
}

#: Mutants: name, mechanisms and the property that each must violate.
MUTANTS: Final = (
    (
        'versions compared without eras',
        replace(Mechanisms(), eras=False),
        'misses_nothing',
    ),
    (
        'older configurations accepted',
        replace(Mechanisms(), forward_only=False),
        'goes_forward',
    ),
    (
        'older configurations confirm',
        replace(Mechanisms(), checked_confirmation=False),
        'is_confirmed_truly',
    ),
)


def check(name: str, mechanisms: Mechanisms) -> dict[str, Any]:
    """Explore all reachable states and return the checker's report."""
    return explore(
        name,
        State(),
        RestoreModel(mechanisms).steps,
        PROPERTIES,
        MAX_STATES,
    )
