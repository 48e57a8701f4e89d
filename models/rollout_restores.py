"""Model of a rollout whose order and stage the store loses in a restore.

The operator orders one rollout, and writes the order again whenever the store
lacks it. Two hosts read the order's row and the stage's row, begin the rollout
and end it. Host B restarts once, at any time, and then knows nothing. Writes
expect a version of the row; a write that was in flight during a restore may
find that version by chance.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any, Final, NamedTuple

from models.exploration import explore

#: Versions and restores that are explored.
MAX_VERSIONS: Final = 4
MAX_RESTORES: Final = 1
#: Number of states after which the search gives up.
MAX_STATES: Final = 3_000_000

#: Version of a backup that does not exist.
_NOTHING: Final = -1
#: A row's position is the era's number times this factor, plus its version.
_ERA_FACTOR: Final = 10
#: Stages of a rollout; the last two are its possible ends.
_NO_STAGE, _CANARY, _SUCCEEDED, _FAILED = range(4)


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """Mechanisms that are enabled; a mutant lacks one of them.

    Attributes:
        identity_by_content: A rewritten order is recognized by its content.
        forward_only: A stage behind the known one is not adopted.
        number_adoption: A host that starts later adopts the order's number
            that the other hosts use.
    """

    identity_by_content: bool = True
    forward_only: bool = True
    number_adoption: bool = True


class Host(NamedTuple):
    """What a host knows.

    Attributes:
        era: The store's era.
        number: Number by which the host knows the order; 0 for none.
        order_position: Position at which the host last read the order.
        stage: Stage of the rollout.
        end_number: Number of the rollout's end, in the sequence of all ends;
            0 if it has not ended.
        stage_version: Version of the stage's row that the host knows.
        store_lacks: Whether the store lacks the stage that the host knows.
    """

    era: int = 1
    number: int = 0
    order_position: int = 0
    stage: int = _NO_STAGE
    end_number: int = 0
    stage_version: int = 0
    store_lacks: int = 0


class Rows(NamedTuple):
    """Rows of the store.

    Attributes:
        version: The store's newest version.
        order: Version at which the order was written; 0 for none.
        stage_version: Version at which the stage's row was written; 0 for
            none.
        number: Number of the order in the stage's row.
        stage: Stage in the stage's row.
        end_number: Number of the end in the stage's row; 0 if it has none.
    """

    version: int = 0
    order: int = 0
    stage_version: int = 0
    number: int = 0
    stage: int = _NO_STAGE
    end_number: int = 0


class State(NamedTuple):
    """State of the whole model.

    Attributes:
        era: The store's era.
        rows: The store's rows.
        backup: The rows in the store's backup; their version is ``_NOTHING``
            if there is no backup.
        host_a: Host A.
        host_b: Host B.
        restarts: Number of times that host B has restarted.
        end_count: Number of ends that were written.
        first_end: The lowest number of an end that host A has known; 0 for
            none.
        over: Whether a host that knows the current era has begun the rollout
            although the stage's row had its end.
    """

    era: int = 1
    rows: Rows = Rows()
    backup: Rows = Rows(version=_NOTHING)
    host_a: Host = Host()
    host_b: Host = Host()
    restarts: int = 0
    end_count: int = 0
    first_end: int = 0
    over: int = 0


Step = tuple[str, State]
_HOSTS: Final = ('host_a', 'host_b')


class RolloutRestoreModel:
    """Transitions of the model.

    Args:
        mechanisms: Mechanisms that are enabled.
    """

    def __init__(self, mechanisms: Mechanisms) -> None:
        self._mechanisms = mechanisms

    def steps(self, fields: tuple[Any, ...]) -> list[Step]:
        """Return the transitions that are possible in a state."""
        state = State(*fields)
        transitions = [*self._store_steps(state), *self._restart_steps(state)]
        for name in _HOSTS:
            transitions.extend(self._host_steps(state, name))
        return [
            (label, _update_first_end(after)) for label, after in transitions
        ]

    def _store_steps(self, state: State) -> Iterator[Step]:
        """Let the operator or others write; back up or restore the store."""
        rows = state.rows
        if rows.version < MAX_VERSIONS:
            next_version = rows.version + 1
            written = rows._replace(version=next_version)
            yield 'row written', state._replace(rows=written)
            if not rows.order:
                ordered = written._replace(order=next_version)
                yield 'ordered', state._replace(rows=ordered)
        if state.backup.version == _NOTHING and state.era <= MAX_RESTORES:
            yield 'copied', state._replace(backup=rows)
        elif state.backup.version != _NOTHING:
            yield (
                'restored',
                state._replace(
                    era=state.era + 1,
                    rows=state.backup,
                    backup=Rows(version=_NOTHING),
                ),
            )

    def _restart_steps(self, state: State) -> Iterator[Step]:
        """Let host B restart."""
        if not state.restarts:
            yield 'B restarts', state._replace(host_b=Host(), restarts=1)

    def _host_steps(self, state: State, name: str) -> Iterator[Step]:
        """Let a host read, begin or end the rollout, or restore its stage."""
        host: Host = getattr(state, name)
        read = self._read(state, host)
        if read != host:
            yield f'{name} reads', _replace_host(state, name, read)
        if not host.number:
            return
        if host.store_lacks:
            yield from self._write_steps(state, name, host, host.stage)
        elif host.stage == _NO_STAGE:
            yield from self._write_steps(state, name, host, _CANARY)
        elif host.stage == _CANARY:
            for end in (_SUCCEEDED, _FAILED):
                yield from self._write_steps(state, name, host, end)

    def is_settled(self, state: State) -> bool:
        """Return whether no host has anything left to read or to restore."""
        return all(
            self._read(state, host) == host and not host.store_lacks
            for host in (state.host_a, state.host_b)
        )

    def is_end_restored(self, state: State) -> bool:
        """Return whether the store, once settled, has the end that A knows."""
        if not state.first_end or not self.is_settled(state):
            return True
        return state.rows.end_number == state.host_a.end_number

    def _read(self, state: State, host: Host) -> Host:
        """Return what a host knows after it has read both rows."""
        host = host._replace(era=state.era)
        rows = state.rows
        if rows.order:
            host = self._with_order(host, state.era * _ERA_FACTOR + rows.order)
        if not host.number:
            return host
        if not rows.stage_version:
            store_lacks = int(host.stage != _NO_STAGE)
            return host._replace(stage_version=0, store_lacks=store_lacks)
        host = host._replace(stage_version=rows.stage_version)
        secrets_equal = rows.number in {host.number, host.order_position}
        adopts = self._adopts(host, rows.number)
        if self._is_ahead(host, rows, secrets_equal=secrets_equal or adopts):
            number = rows.number if adopts else host.number
            return host._replace(number=number, store_lacks=1)
        if not (secrets_equal or adopts):
            return host._replace(stage=_NO_STAGE, end_number=0, store_lacks=0)
        return host._replace(
            number=rows.number,
            stage=rows.stage,
            end_number=rows.end_number,
            store_lacks=0,
        )

    def _with_order(self, host: Host, position: int) -> Host:
        """Return what a host knows after it has read the order."""
        if position <= host.order_position:
            return host
        if host.number and self._mechanisms.identity_by_content:
            return host._replace(order_position=position)
        return host._replace(
            number=position,
            order_position=position,
            stage=_NO_STAGE,
            end_number=0,
        )

    def _adopts(self, host: Host, number: int) -> bool:
        """Return whether a host adopts the number in the stage's row."""
        return (
            self._mechanisms.number_adoption
            and number // _ERA_FACTOR < host.number // _ERA_FACTOR
        )

    def _is_ahead(self, host: Host, rows: Rows, *, secrets_equal: bool) -> bool:
        """Return whether a host is ahead of the stage's row."""
        if host.stage == _NO_STAGE or not self._mechanisms.forward_only:
            return False
        if not secrets_equal:
            return rows.number < host.number
        # If both have the same progress, the lower number is kept.
        stored_progress = (*_progress(rows), -rows.number)
        return stored_progress < (*_progress(host), -host.number)

    def _write_steps(
        self,
        state: State,
        name: str,
        host: Host,
        stage: int,
    ) -> Iterator[Step]:
        """Write a stage if the stage's row has the expected version.

        A host that still knows an earlier era sent its write before the
        restore and does not learn its outcome.
        """
        rows = state.rows
        if (
            rows.stage_version != host.stage_version
            or rows.version >= MAX_VERSIONS
        ):
            return
        is_end = stage in {_SUCCEEDED, _FAILED}
        end_number = (
            host.end_number
            if host.store_lacks
            else state.end_count + int(is_end)
        )
        next_version = rows.version + 1
        after = state._replace(
            rows=rows._replace(
                version=next_version,
                stage_version=next_version,
                number=host.number,
                stage=stage,
                end_number=end_number if is_end else 0,
            ),
            end_count=state.end_count + int(is_end and not host.store_lacks),
        )
        if host.era == state.era:
            begun_again = stage == _CANARY and rows.stage in {
                _SUCCEEDED,
                _FAILED,
            }
            after = after._replace(over=int(state.over or begun_again))
            known = host._replace(
                stage=stage,
                end_number=end_number if is_end else 0,
                stage_version=next_version,
                store_lacks=0,
            )
            after = _replace_host(after, name, known)
        yield f'{name} writes {stage}', after


def _replace_host(state: State, name: str, host: Host) -> State:
    """Return the state with one host's knowledge replaced."""
    if name == 'host_a':
        return state._replace(host_a=host)
    return state._replace(host_b=host)


def _update_first_end(state: State) -> State:
    """Return the state with the first end that host A has known updated."""
    end_number = state.host_a.end_number
    if not end_number or 0 < state.first_end <= end_number:
        return state
    return state._replace(first_end=end_number)


def _progress(known: Host | Rows) -> tuple[int, int]:
    """Return a stage's progress as a sort key.

    Of two ends the earlier one ranks higher.
    """
    if known.stage in {_SUCCEEDED, _FAILED}:
        return 2, -known.end_number
    return int(known.stage == _CANARY), 0


def is_end_kept(state: State) -> bool:
    """Return whether host A still knows the first end that it has known."""
    return not state.first_end or state.host_a.end_number == state.first_end


def _state_of(fields: dict[str, Any]) -> State:
    """Return a state from its named fields."""
    return State(**fields)


#: The protocol with all its mechanisms.
ALL_ENABLED: Final = Mechanisms()

#: Names of the invariants.
NOT_BEGUN_AGAIN: Final = 'an ended rollout is not begun again'
END_KEPT: Final = 'an end stays known'
END_RESTORED: Final = 'the store regains a lost end'

#: Mutants: name, mechanisms and the invariant that each must violate.
MUTANTS: Final = (
    (
        'orders identified by position',
        replace(ALL_ENABLED, identity_by_content=False),
        END_KEPT,
    ),
    ('stages revert', replace(ALL_ENABLED, forward_only=False), END_KEPT),
    (
        'no number adopted',
        replace(ALL_ENABLED, number_adoption=False),
        NOT_BEGUN_AGAIN,
    ),
)


def check(name: str, mechanisms: Mechanisms) -> dict[str, Any]:
    """Explore all reachable states and return the checker's report."""
    model = RolloutRestoreModel(mechanisms)
    return explore(
        name,
        State(),
        model.steps,
        {
            NOT_BEGUN_AGAIN: lambda fields: not fields['over'],
            END_KEPT: lambda fields: is_end_kept(_state_of(fields)),
            END_RESTORED: lambda fields: model.is_end_restored(
                _state_of(fields)
            ),
        },
        MAX_STATES,
    )
