"""Model of a roll-out whose order and stage the store loses.

The operator orders once, and writes the order again whenever the store lacks
it. Two hosts read both rows, begin the order, and end it; host B starts again
once, at any moment, and knows nothing then. Writes expect a version of the row;
one that was under way while the store came back may meet it by chance.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any, Final, NamedTuple

from models.exploring import explore

#: Versions and returns that are explored.
VERSIONS: Final = 4
RETURNS: Final = 1
MAX_STATES: Final = 3_000_000

_NOTHING: Final = -1
#: Positions are an era's number times this, and a version.
_ERA: Final = 10
#: Stages, and the two ends.
_NO_STAGE, _TRIAL, _GOOD, _BAD = range(4)


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """What is there; a mutant lacks one of these.

    Attributes:
        content: An order is known again by what it says.
        keeping: A stage that is behind what is known is not taken.
        adopting: Who starts later takes the number that the others use.
    """

    content: bool = True
    keeping: bool = True
    adopting: bool = True


class Host(NamedTuple):
    """What a host knows.

    Attributes:
        era: The store's era.
        number: Its number of the order; 0 for none.
        written: Position at which it read the order last.
        stage: How far the order is.
        since: When it came to an end, as the ends' order goes.
        expected: Version of the stage's row that it knows.
        lacking: Whether the store lacks what it knows.
    """

    era: int = 1
    number: int = 0
    written: int = 0
    stage: int = _NO_STAGE
    since: int = 0
    expected: int = 0
    lacking: int = 0


class Rows(NamedTuple):
    """What the store has.

    Attributes:
        version: Its newest version.
        order: Version at which the order was written; 0 for none.
        at: Version at which the stage's row was written; 0 for none.
        number: Number of the order in it.
        stage: The stage in it.
        since: When that ended.
    """

    version: int = 0
    order: int = 0
    at: int = 0
    number: int = 0
    stage: int = _NO_STAGE
    since: int = 0


class State(NamedTuple):
    """Everything.

    Attributes:
        era: The store's era.
        rows: What it has.
        copy: What its copy has, if there is one.
        host_a: Host A.
        host_b: Host B.
        restarts: How often B has started again.
        ends: How many ends were written.
        first: The first end that host A has known, as the ends' order goes.
        over: Whether the order was begun where a host had read its end.
    """

    era: int = 1
    rows: Rows = Rows()
    copy: Rows = Rows(version=_NOTHING)
    host_a: Host = Host()
    host_b: Host = Host()
    restarts: int = 0
    ends: int = 0
    first: int = 0
    over: int = 0


Step = tuple[str, State]
_HOSTS: Final = ('host_a', 'host_b')


class RolloutReturnModel:
    """The steps that are possible in a state.

    Args:
        mechanisms: What is there.
    """

    def __init__(self, mechanisms: Mechanisms) -> None:
        self._has = mechanisms

    def steps(self, fields: tuple[Any, ...]) -> list[Step]:
        """Return each step's name and the state after it."""
        state = State(*fields)
        found = [*self._store(state), *self._restart(state)]
        for name in _HOSTS:
            found.extend(self._host(state, name))
        return [(step, _noted(after)) for step, after in found]

    def _store(self, state: State) -> Iterator[Step]:
        """The operator writes; the store keeps a copy or comes back."""
        rows = state.rows
        if rows.version < VERSIONS:
            following = rows.version + 1
            written = rows._replace(version=following)
            yield 'row written', state._replace(rows=written)
            if not rows.order:
                ordered = written._replace(order=following)
                yield 'ordered', state._replace(rows=ordered)
        if state.copy.version == _NOTHING and state.era <= RETURNS:
            yield 'copied', state._replace(copy=rows)
        elif state.copy.version != _NOTHING:
            yield (
                'came back',
                state._replace(
                    era=state.era + 1,
                    rows=state.copy,
                    copy=Rows(version=_NOTHING),
                ),
            )

    def _restart(self, state: State) -> Iterator[Step]:
        """Host B starts again."""
        if not state.restarts:
            yield 'B starts', state._replace(host_b=Host(), restarts=1)

    def _host(self, state: State, name: str) -> Iterator[Step]:
        """A host reads, begins the order, ends it or restores its stage."""
        host: Host = getattr(state, name)
        read = self._read(state, host)
        if read != host:
            yield f'{name} reads', _with(state, name, read)
        if not host.number:
            return
        if host.lacking:
            yield from self._write(state, name, host, host.stage)
        elif host.stage == _NO_STAGE:
            yield from self._write(state, name, host, _TRIAL)
        elif host.stage == _TRIAL:
            for end in (_GOOD, _BAD):
                yield from self._write(state, name, host, end)

    def is_settled(self, state: State) -> bool:
        """Tell whether both hosts have read all, and made it good."""
        return all(
            self._read(state, host) == host and not host.lacking
            for host in (state.host_a, state.host_b)
        )

    def is_made_good(self, state: State) -> bool:
        """Tell whether the store has the end that A knows, once settled."""
        if not state.first or not self.is_settled(state):
            return True
        return state.rows.since == state.host_a.since

    def _read(self, state: State, host: Host) -> Host:
        """Return what a host knows after it has read both rows."""
        host = host._replace(era=state.era)
        rows = state.rows
        if rows.order:
            host = self._ordered(host, state.era * _ERA + rows.order)
        if not host.number:
            return host
        if not rows.at:
            lacking = int(host.stage != _NO_STAGE)
            return host._replace(expected=0, lacking=lacking)
        host = host._replace(expected=rows.at)
        same = rows.number in {host.number, host.written}
        adopts = self._adopts(host, rows.number)
        if self._is_ahead(host, rows, same=same or adopts):
            number = rows.number if adopts else host.number
            return host._replace(number=number, lacking=1)
        if not (same or adopts):
            return host._replace(stage=_NO_STAGE, since=0, lacking=0)
        return host._replace(
            number=rows.number,
            stage=rows.stage,
            since=rows.since,
            lacking=0,
        )

    def _ordered(self, host: Host, position: int) -> Host:
        """Return what a host knows after it has read the order."""
        if position <= host.written:
            return host
        if host.number and self._has.content:
            return host._replace(written=position)
        return host._replace(
            number=position,
            written=position,
            stage=_NO_STAGE,
            since=0,
        )

    def _adopts(self, host: Host, number: int) -> bool:
        """Tell whether a host takes the number in the stage's row."""
        return self._has.adopting and number // _ERA < host.number // _ERA

    def _is_ahead(self, host: Host, rows: Rows, *, same: bool) -> bool:
        """Tell whether a host knows more than the stage's row."""
        if host.stage == _NO_STAGE or not self._has.keeping:
            return False
        if not same:
            return rows.number < host.number
        # Where both are as far, the lower number stays.
        there = (*_progress(rows), -rows.number)
        return there < (*_progress(host), -host.number)

    def _write(
        self,
        state: State,
        name: str,
        host: Host,
        stage: int,
    ) -> Iterator[Step]:
        """Write a stage, if the store's row is the one that is expected.

        A host that knows an earlier era has sent its write before the return,
        and learns nothing of its outcome.
        """
        rows = state.rows
        if rows.at != host.expected or rows.version >= VERSIONS:
            return
        is_end = stage in {_GOOD, _BAD}
        since = host.since if host.lacking else state.ends + int(is_end)
        following = rows.version + 1
        after = state._replace(
            rows=rows._replace(
                version=following,
                at=following,
                number=host.number,
                stage=stage,
                since=since if is_end else 0,
            ),
            ends=state.ends + int(is_end and not host.lacking),
        )
        if host.era == state.era:
            over = stage == _TRIAL and rows.stage in {_GOOD, _BAD}
            after = after._replace(over=int(state.over or over))
            known = host._replace(
                stage=stage,
                since=since if is_end else 0,
                expected=following,
                lacking=0,
            )
            after = _with(after, name, known)
        yield f'{name} writes {stage}', after


def _with(state: State, name: str, host: Host) -> State:
    """Return a state with what a host knows now."""
    if name == 'host_a':
        return state._replace(host_a=host)
    return state._replace(host_b=host)


def _noted(state: State) -> State:
    """Return a state with the first end that host A has known."""
    since = state.host_a.since
    if not since or 0 < state.first <= since:
        return state
    return state._replace(first=since)


def _progress(known: Host | Rows) -> tuple[int, int]:
    """Return how far a stage is, to be compared."""
    if known.stage in {_GOOD, _BAD}:
        return 2, -known.since
    return int(known.stage == _TRIAL), 0


def is_kept(state: State) -> bool:
    """Tell whether host A knows an end that it has known before, or a first."""
    return not state.first or state.host_a.since == state.first


def _state(named: dict[str, Any]) -> State:
    """Return a state by its fields."""
    return State(**named)


#: What there is.
WHOLE: Final = Mechanisms()

#: What must hold in every state.
ONCE: Final = 'an ended order is not begun'
KEPT: Final = 'an end stays known'
MADE_GOOD: Final = 'the store has it in the end'

#: What must be found when a mechanism is taken out.
MUTANTS: Final = (
    ('orders known by position', replace(WHOLE, content=False), KEPT),
    ('stages go back', replace(WHOLE, keeping=False), KEPT),
    ('no number adopted', replace(WHOLE, adopting=False), ONCE),
)


def check(name: str, mechanisms: Mechanisms) -> dict[str, Any]:
    """Explore all states, and return the checker's report."""
    model = RolloutReturnModel(mechanisms)
    return explore(
        name,
        State(),
        model.steps,
        {
            ONCE: lambda named: not named['over'],
            KEPT: lambda named: is_kept(_state(named)),
            MADE_GOOD: lambda named: model.is_made_good(_state(named)),
        },
        MAX_STATES,
    )
