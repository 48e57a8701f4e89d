"""Model of orders to an engine under a lease that changes its holder.

Host A initially holds the lease with fencing number 1, may renew it once and
send one order. Host B reads the lease's row, waits for a whole term from then
on, takes the lease with fencing number 2 and sends orders, too. Any step may
be delayed; a step that is never taken stands for a pause or a crash. Reads
and writes of the table take effect at any later time. Orders arrive at any
later time, or within a bound if the engine ignores fencing numbers.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any, Final, NamedTuple

from models.exploration import explore

#: Duration of a lease, of its safety margin and of an order's transit, in
#: ticks.
LEASE_TERM: Final = 4
MARGIN: Final = 1
TRANSIT: Final = 1
#: Last tick of the model.
HORIZON: Final = 11
#: Number of states after which the search gives up.
MAX_STATES: Final = 400_000

#: Tick of an event that has not happened.
_NEVER: Final = -1
#: State of a host's order: none, decided on, or the tick at which it was sent.
_NO_ORDER: Final = -2
_DECIDED: Final = -1


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """Mechanisms that are enabled; a mutant lacks one of them.

    Attributes:
        fencing: The engine rejects numbers below the highest it has obeyed.
        gate: The lease is checked in the same step as the first byte is sent.
        margin: The holder stops a safety margin before the lease expires, and
            allows for the transit time of an order.
        comparison: The holder compares the engine's reports with the wanted
            state and repeats its order if they differ.
        bounded_transit: Orders arrive within a bound.
    """

    fencing: bool = False
    gate: bool = True
    margin: bool = True
    comparison: bool = True
    bounded_transit: bool = False


class State(NamedTuple):
    """State of the whole model, as small integers.

    Attributes:
        now: Current tick.
        row: Version of the lease's row.
        renewal_sent: Tick at which A sent its pending renewal; ``_NEVER`` if
            none is pending.
        renewal_used: Whether A has sent its one renewal.
        expires_at: Tick at which A's lease expires.
        order_a: State of A's order.
        a_decided: Whether A has decided on its one order.
        seen_row: Version of the row that B has read; 0 for none.
        seen_at: Tick at which B read that version.
        claim_sent: Tick at which B sent its pending claim of the lease;
            ``_NEVER`` if none is pending.
        b_holds: Whether B holds the lease.
        order_b: State of B's order.
        applied: Fencing number of the order that the engine obeyed last.
        highest: Highest fencing number that the engine has obeyed.
        looked: Whether B has compared reports since the engine last obeyed.
    """

    now: int = 0
    row: int = 1
    renewal_sent: int = _NEVER
    renewal_used: int = 0
    expires_at: int = LEASE_TERM - MARGIN
    order_a: int = _NO_ORDER
    a_decided: int = 0
    seen_row: int = 0
    seen_at: int = _NEVER
    claim_sent: int = _NEVER
    b_holds: int = 0
    order_b: int = _NO_ORDER
    applied: int = 0
    highest: int = 0
    looked: int = 0


Step = tuple[str, State]


class OrderModel:
    """Transitions of the model.

    Args:
        mechanisms: Mechanisms that are enabled.
    """

    def __init__(self, mechanisms: Mechanisms) -> None:
        self._mechanisms = mechanisms

    def initial_state(self) -> State:
        """Return the initial state."""
        return State(expires_at=LEASE_TERM - self._margin())

    def steps(self, fields: tuple[int, ...]) -> list[Step]:
        """Return the transitions that are possible in a state."""
        state = State(*fields)
        return [
            *self._tick_steps(state),
            *self._renewal_steps(state),
            *self._claim_steps(state),
            *self._order_a_steps(state),
            *self._order_b_steps(state),
            *self._arrival_steps(state),
        ]

    def _margin(self) -> int:
        return MARGIN if self._mechanisms.margin else 0

    def _tick_steps(self, state: State) -> Iterator[Step]:
        """Let a tick pass, unless an order must arrive first."""
        sent_ticks = [
            sent for sent in (state.order_a, state.order_b) if sent >= 0
        ]
        is_due = any(state.now - sent >= TRANSIT for sent in sent_ticks)
        if state.now < HORIZON and not (
            self._mechanisms.bounded_transit and is_due
        ):
            yield 'tick', state._replace(now=state.now + 1)

    def _renewal_steps(self, state: State) -> Iterator[Step]:
        """Let A send its renewal; the write takes effect later or fails."""
        if not state.renewal_used and not state.b_holds:
            yield (
                'A sends renewal',
                state._replace(renewal_sent=state.now, renewal_used=1),
            )
        if state.renewal_sent == _NEVER:
            return
        if state.b_holds:
            yield (
                'A renewal conflicts',
                state._replace(renewal_sent=_NEVER, expires_at=_NEVER),
            )
            return
        yield (
            'A renews',
            state._replace(
                renewal_sent=_NEVER,
                row=state.row + 1,
                expires_at=state.renewal_sent + LEASE_TERM - self._margin(),
            ),
        )

    def _claim_steps(self, state: State) -> Iterator[Step]:
        """Let B read the row, wait and claim the lease by compare-and-set."""
        if state.b_holds:
            return
        # B has one call pending at a time: its write expects the version that
        # it read.
        if state.claim_sent == _NEVER and state.seen_row != state.row:
            yield (
                'B reads row',
                state._replace(seen_row=state.row, seen_at=state.now),
            )
        has_waited = state.seen_row and state.now - state.seen_at >= LEASE_TERM
        if has_waited and state.claim_sent == _NEVER:
            yield 'B sends claim', state._replace(claim_sent=state.now)
        if state.claim_sent == _NEVER:
            return
        if state.seen_row == state.row:
            yield (
                'B takes lease',
                state._replace(
                    b_holds=1,
                    row=state.row + 1,
                    claim_sent=_NEVER,
                ),
            )
        else:
            yield 'B claim conflicts', state._replace(claim_sent=_NEVER)

    def _order_a_steps(self, state: State) -> Iterator[Step]:
        """Let A decide, and send at any later time if the gate admits it."""
        if not state.a_decided and state.now < state.expires_at:
            yield (
                'A decides on order',
                state._replace(order_a=_DECIDED, a_decided=1),
            )
        if state.order_a == _DECIDED and self._admits(state):
            yield 'A sends order', state._replace(order_a=state.now)

    def _admits(self, state: State) -> bool:
        if not self._mechanisms.gate:
            return True
        transit = (
            TRANSIT
            if self._mechanisms.margin and not self._mechanisms.fencing
            else 0
        )
        return state.now + transit < state.expires_at

    def _order_b_steps(self, state: State) -> Iterator[Step]:
        """Let B send its order, compare reports and repeat the order."""
        if not state.b_holds or state.order_b != _NO_ORDER:
            return
        if state.highest < 2:
            yield 'B sends order', state._replace(order_b=state.now)
            return
        if state.applied < 2 and self._mechanisms.comparison:
            yield 'B repeats order', state._replace(order_b=state.now)
        elif not state.looked:
            yield 'B compares report', state._replace(looked=1)

    def _arrival_steps(self, state: State) -> Iterator[Step]:
        if state.order_a >= 0:
            after = state._replace(order_a=_NO_ORDER)
            yield 'A order arrives', self._obey(after, 1)
        if state.order_b >= 0:
            after = state._replace(order_b=_NO_ORDER)
            yield 'B order arrives', self._obey(after, 2)

    def _obey(self, state: State, number: int) -> State:
        if self._mechanisms.fencing and number < state.highest:
            return state
        return state._replace(
            applied=number,
            highest=max(number, state.highest),
            looked=0,
        )


def obeys_no_old_order(state: dict[str, int]) -> bool:
    """Return whether the engine's last order has the highest number."""
    return state['applied'] == state['highest']


def is_put_right(state: dict[str, int]) -> bool:
    """Return whether the engine is right once B has compared its report.

    Nothing is required while orders are pending.
    """
    none_pending = state['order_a'] < 0 and state['order_b'] < 0
    is_settled = bool(state['looked']) and none_pending
    return not is_settled or state['applied'] == state['highest']


#: An engine that rejects old numbers; an order may be delayed without bound.
CHECKING: Final = Mechanisms(fencing=True)
#: An engine that ignores numbers; orders arrive within a bound.
IGNORING: Final = Mechanisms(bounded_transit=True)
#: An engine that ignores numbers; an order may be delayed without bound.
LATE: Final = Mechanisms()

#: The engines: name, mechanisms and the invariant that must hold.
ENGINES: Final = (
    ('checking', CHECKING, 'obeys_no_old_order'),
    ('ignoring', IGNORING, 'obeys_no_old_order'),
    ('late', LATE, 'is_put_right'),
)

#: Mutants: name, mechanisms and the invariant that each must violate.
MUTANTS: Final = (
    ('no fencing', replace(CHECKING, fencing=False), 'obeys_no_old_order'),
    ('no gate', replace(IGNORING, gate=False), 'obeys_no_old_order'),
    ('no margin', replace(IGNORING, margin=False), 'obeys_no_old_order'),
    ('no comparison', replace(LATE, comparison=False), 'is_put_right'),
)


def check(name: str, mechanisms: Mechanisms, invariant: str) -> dict[str, Any]:
    """Explore all reachable states and return the checker's report."""
    model = OrderModel(mechanisms)
    invariants = {
        'obeys_no_old_order': obeys_no_old_order,
        'is_put_right': is_put_right,
    }
    return explore(
        name,
        model.initial_state(),
        model.steps,
        {invariant: invariants[invariant]},
        MAX_STATES,
    )
