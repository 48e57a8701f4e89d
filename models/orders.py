"""Model of orders under a lease: pauses, lapses, a second holder.

Host A holds the lease with number 1 at the beginning, may renew it once
and give one order. Host B sees the row, waits a whole term of its own,
takes the lease with number 2 and gives orders, too. Any step may be late;
a step that doesn't come is a pause or a crash. Reads and writes of the
table take effect at any later moment. Orders arrive at any later moment,
or within a bound if the engine ignores numbers.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any, Final, NamedTuple

from models.exploring import explore

#: Ticks of a lease, of its safety margin and of an order's way.
TERM: Final = 4
MARGIN: Final = 1
WAY: Final = 1
#: Ticks that are explored.
HORIZON: Final = 11
MAX_STATES: Final = 400_000

_NEVER: Final = -1
#: What a host's order is: none, decided on, or on its way since a tick.
_NONE: Final = -2
_DECIDED: Final = -1


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """What is there; a mutant lacks one of these.

    Attributes:
        fencing: The engine refuses numbers below the highest it has seen.
        gate: The lease is looked at in one step with the first byte.
        margin: The holder leaves a margin, and the time of an order's way.
        comparing: The holder compares reports with what it wants.
        bounded: Orders arrive within a bound.
    """

    fencing: bool = False
    gate: bool = True
    margin: bool = True
    comparing: bool = True
    bounded: bool = False


class State(NamedTuple):
    """Everything, as small numbers.

    Attributes:
        now: The tick.
        row: Version of the lease's row.
        asked: Tick at which A asked for its renewal.
        renewed: Whether A has used its renewal.
        expires: Tick at which A's lease ends.
        order_a: A's order.
        ordered: Whether A has decided on its order.
        seen: Row version that B saw.
        since: Tick at which it first saw it.
        taking: Tick at which B asked for the lease.
        holds: Whether B holds it.
        order_b: B's order.
        applied: Number of the order that the engine obeyed last.
        highest: Highest number that it obeyed.
        looked: B has compared since the engine last obeyed.
    """

    now: int = 0
    row: int = 1
    asked: int = _NEVER
    renewed: int = 0
    expires: int = TERM - MARGIN
    order_a: int = _NONE
    ordered: int = 0
    seen: int = 0
    since: int = _NEVER
    taking: int = _NEVER
    holds: int = 0
    order_b: int = _NONE
    applied: int = 0
    highest: int = 0
    looked: int = 0


Step = tuple[str, State]


class OrderModel:
    """The steps that are possible in a state.

    Args:
        mechanisms: What is there.
    """

    def __init__(self, mechanisms: Mechanisms) -> None:
        self._has = mechanisms

    def start(self) -> State:
        """Return the first state."""
        return State(expires=TERM - self._margin())

    def steps(self, fields: tuple[int, ...]) -> list[Step]:
        """Return each step's name and the state after it."""
        state = State(*fields)
        return [
            *self._time(state),
            *self._renewal(state),
            *self._taking(state),
            *self._orders_a(state),
            *self._orders_b(state),
            *self._arrivals(state),
        ]

    def _margin(self) -> int:
        return MARGIN if self._has.margin else 0

    def _time(self, state: State) -> Iterator[Step]:
        """Let a tick pass, unless an order must arrive before."""
        on_the_way = [
            sent for sent in (state.order_a, state.order_b) if sent >= 0
        ]
        is_due = any(state.now - sent >= WAY for sent in on_the_way)
        if state.now < HORIZON and not (self._has.bounded and is_due):
            yield 'tick', state._replace(now=state.now + 1)

    def _renewal(self, state: State) -> Iterator[Step]:
        """A asks for a renewal; the write takes effect later, or not."""
        if not state.renewed and not state.holds:
            yield 'A asks', state._replace(asked=state.now, renewed=1)
        if state.asked == _NEVER:
            return
        if state.holds:
            yield 'A conflicts', state._replace(asked=_NEVER, expires=_NEVER)
            return
        yield (
            'A renews',
            state._replace(
                asked=_NEVER,
                row=state.row + 1,
                expires=state.asked + TERM - self._margin(),
            ),
        )

    def _taking(self, state: State) -> Iterator[Step]:
        """B sees the row, waits, asks; its write is a compare-and-set."""
        if state.holds:
            return
        # One call at a time: the write expects the version that was seen.
        if state.taking == _NEVER and state.seen != state.row:
            yield 'B sees', state._replace(seen=state.row, since=state.now)
        has_waited = state.seen and state.now - state.since >= TERM
        if has_waited and state.taking == _NEVER:
            yield 'B asks', state._replace(taking=state.now)
        if state.taking == _NEVER:
            return
        if state.seen == state.row:
            yield (
                'B takes',
                state._replace(
                    holds=1,
                    row=state.row + 1,
                    taking=_NEVER,
                ),
            )
        else:
            yield 'B conflicts', state._replace(taking=_NEVER)

    def _orders_a(self, state: State) -> Iterator[Step]:
        """A decides, and sends at any later moment if the gate lets it."""
        if not state.ordered and state.now < state.expires:
            yield 'A decides', state._replace(order_a=_DECIDED, ordered=1)
        if state.order_a == _DECIDED and self._gate(state):
            yield 'A sends', state._replace(order_a=state.now)

    def _gate(self, state: State) -> bool:
        if not self._has.gate:
            return True
        way = WAY if self._has.margin and not self._has.fencing else 0
        return state.now + way < state.expires

    def _orders_b(self, state: State) -> Iterator[Step]:
        """B gives its order, looks at reports, and puts them right."""
        if not state.holds or state.order_b != _NONE:
            return
        if state.highest < 2:
            yield 'B sends', state._replace(order_b=state.now)
            return
        if state.applied < 2 and self._has.comparing:
            yield 'B puts right', state._replace(order_b=state.now)
        elif not state.looked:
            yield 'B looks', state._replace(looked=1)

    def _arrivals(self, state: State) -> Iterator[Step]:
        if state.order_a >= 0:
            after = state._replace(order_a=_NONE)
            yield 'A arrives', self._obey(after, 1)
        if state.order_b >= 0:
            after = state._replace(order_b=_NONE)
            yield 'B arrives', self._obey(after, 2)

    def _obey(self, state: State, number: int) -> State:
        if self._has.fencing and number < state.highest:
            return state
        return state._replace(
            applied=number,
            highest=max(number, state.highest),
            looked=0,
        )


def obeys_no_old_order(state: dict[str, int]) -> bool:
    """Tell whether the engine never obeyed a number below its highest."""
    return state['applied'] == state['highest']


def is_put_right(state: dict[str, int]) -> bool:
    """Tell whether an engine is right once the holder has looked at it."""
    quiet = state['order_a'] < 0 and state['order_b'] < 0
    settled = bool(state['looked']) and quiet
    return not settled or state['applied'] == state['highest']


#: An engine that refuses old numbers; orders may take for ever.
CHECKING: Final = Mechanisms(fencing=True)
#: An engine that ignores numbers; orders take a bounded time.
IGNORING: Final = Mechanisms(bounded=True)
#: An engine that ignores numbers, while orders take for ever.
LATE: Final = Mechanisms()

#: What is demanded of each.
DEMANDS: Final = (
    ('checking', CHECKING, 'obeys_no_old_order'),
    ('ignoring', IGNORING, 'obeys_no_old_order'),
    ('late', LATE, 'is_put_right'),
)

#: What must be found when a mechanism is taken out.
MUTANTS: Final = (
    ('no fencing', replace(CHECKING, fencing=False), 'obeys_no_old_order'),
    ('no gate', replace(IGNORING, gate=False), 'obeys_no_old_order'),
    ('no margin', replace(IGNORING, margin=False), 'obeys_no_old_order'),
    ('no comparing', replace(LATE, comparing=False), 'is_put_right'),
)


def check(name: str, mechanisms: Mechanisms, demand: str) -> dict[str, Any]:
    """Explore all states, and return the checker's report."""
    model = OrderModel(mechanisms)
    demands = {
        'obeys_no_old_order': obeys_no_old_order,
        'is_put_right': is_put_right,
    }
    return explore(
        name,
        model.start(),
        model.steps,
        {demand: demands[demand]},
        MAX_STATES,
    )
