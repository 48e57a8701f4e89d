"""Model of tickets: only the issuing incarnation may execute the request."""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

from models.switches import (
    ALL_ENABLED,
    LAST_INCARNATION,
    Step,
    Switches,
    count_execution,
)


class TicketState(NamedTuple):
    """State of a ticket's issuer, of the caller and of the upstream.

    Attributes:
        incarnation: Number of the issuer's current or last incarnation.
        alive: Whether the issuer is running.
        waiting: Attempts that have reached the issuer and are queued there.
        admitted: Attempts that have passed the check for a spent ticket and
            have not been sent yet.
        spent: Whether the issuer has the ticket recorded as spent.
        in_flight: Requests on the way to the upstream.
        runs: Number of times that the request was executed.
        attempts_left: Attempts that the caller may still make.
        denied: Whether a host reported "not run" for the ticket's request.
    """

    incarnation: int = 0
    alive: bool = True
    waiting: int = 0
    admitted: int = 0
    spent: bool = False
    in_flight: int = 0
    runs: int = 0
    attempts_left: int = 4
    denied: bool = False


class TicketModel:
    """One ticket that is presented at its issuer and through another host.

    Args:
        switches: Which mechanisms are enabled.
    """

    def __init__(self, switches: Switches = ALL_ENABLED) -> None:
        self._enabled = switches

    def protocol(self) -> Protocol:
        """Return the model in the checker's form."""
        return Protocol(
            name='tickets',
            candidate=False,
            fields=TicketState._fields,
            initial=TicketState(),
            transitions=lambda state: list(self.steps(TicketState(*state))),
            invariants={
                'at_most_once': lambda state: state['runs'] <= 1,
                'true_not_run': lambda state: (
                    not (state['denied'] and state['runs'])
                ),
            },
        )

    def steps(self, state: TicketState) -> Iterator[Step]:
        """Yield the transitions that are possible in a state."""
        if state.attempts_left:
            yield from self._attempt_steps(state)
        if state.in_flight:
            landed = state._replace(in_flight=state.in_flight - 1)
            yield 'lost', landed
            yield 'runs', landed._replace(runs=count_execution(state.runs))
        if state.alive:
            yield from self._issuer_steps(state)
        elif state.incarnation < LAST_INCARNATION:
            yield (
                'restarts',
                state._replace(alive=True, incarnation=state.incarnation + 1),
            )

    def _attempt_steps(self, state: TicketState) -> Iterator[Step]:
        """Make an attempt; its message may be duplicated or not arrive."""
        attempted = state._replace(attempts_left=state.attempts_left - 1)
        yield 'arrives', attempted._replace(waiting=state.waiting + 1)
        yield 'arrives twice', attempted._replace(waiting=state.waiting + 2)
        denied = not self._enabled.gone_unknown
        yield (
            'issuer unreachable',
            attempted._replace(denied=state.denied or denied),
        )

    def _issuer_steps(self, state: TicketState) -> Iterator[Step]:
        """Let the issuer process attempts, or crash and lose its memory."""
        yield (
            'crashes',
            state._replace(alive=False, waiting=0, admitted=0, spent=False),
        )
        is_issuer = state.incarnation == 0 or not self._enabled.incarnation
        if state.waiting:
            taken = state._replace(waiting=state.waiting - 1)
            if state.spent or not is_issuer:
                yield 'refused', taken
            else:
                yield (
                    'spent',
                    taken._replace(
                        admitted=state.admitted + 1,
                        spent=self._enabled.spent_first,
                    ),
                )
        if state.admitted:
            yield (
                'sends',
                state._replace(
                    admitted=state.admitted - 1,
                    spent=True,
                    in_flight=state.in_flight + 1,
                ),
            )
