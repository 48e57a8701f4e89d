"""A model of tickets: only the run that issued one may run its request."""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

from models.switches import ALL_IN, LAST_RUN, Step, Switches, one_more


class TicketWorld(NamedTuple):
    """The issuer of a ticket, another host, and the caller's tries.

    Attributes:
        run: Which run of the issuer lives.
        up: Whether it runs now.
        waiting: Tries that have reached the issuer and wait for their turn.
        between: Tries that have passed the look at the spent tickets.
        spent: The issuer remembers that the ticket is spent.
        flying: Requests on the way to the upstream.
        runs: How often the request ran.
        tries: Tries that the caller has left.
        denied: Some host said "not run" of the ticket's request.
    """

    run: int = 0
    up: bool = True
    waiting: int = 0
    between: int = 0
    spent: bool = False
    flying: int = 0
    runs: int = 0
    tries: int = 4
    denied: bool = False


class TicketModel:
    """One ticket, tried at its issuer and through another host.

    Args:
        switches: Which mechanisms are in.
    """

    def __init__(self, switches: Switches = ALL_IN) -> None:
        self._in = switches

    def protocol(self) -> Protocol:
        """Return the model for the checker."""
        return Protocol(
            name='tickets',
            candidate=False,
            fields=TicketWorld._fields,
            initial=TicketWorld(),
            transitions=lambda state: list(self.steps(TicketWorld(*state))),
            invariants={
                'at_most_once': lambda world: world['runs'] <= 1,
                'true_not_run': lambda world: (
                    not (world['denied'] and world['runs'])
                ),
            },
        )

    def steps(self, world: TicketWorld) -> Iterator[Step]:
        """Yield what may happen next."""
        if world.tries:
            yield from self._try(world)
        if world.flying:
            landed = world._replace(flying=world.flying - 1)
            yield 'lost', landed
            yield 'runs', landed._replace(runs=one_more(world.runs))
        if world.up:
            yield from self._issuer(world)
        elif world.run < LAST_RUN:
            yield 'restarts', world._replace(up=True, run=world.run + 1)

    def _try(self, world: TicketWorld) -> Iterator[Step]:
        """Let the caller try; a message may arrive twice, or not at all."""
        tried = world._replace(tries=world.tries - 1)
        yield 'arrives', tried._replace(waiting=world.waiting + 1)
        yield 'arrives twice', tried._replace(waiting=world.waiting + 2)
        denied = not self._in.gone_unknown
        yield 'not reached', tried._replace(denied=world.denied or denied)

    def _issuer(self, world: TicketWorld) -> Iterator[Step]:
        """Let the issuer work, or die and forget everything."""
        yield (
            'crashes',
            world._replace(up=False, waiting=0, between=0, spent=False),
        )
        issued = world.run == 0 or not self._in.incarnation
        if world.waiting:
            taken = world._replace(waiting=world.waiting - 1)
            if world.spent or not issued:
                yield 'refused', taken
            else:
                yield (
                    'spent',
                    taken._replace(
                        between=world.between + 1,
                        spent=self._in.spent_first,
                    ),
                )
        if world.between:
            yield (
                'sends',
                world._replace(
                    between=world.between - 1,
                    spent=True,
                    flying=world.flying + 1,
                ),
            )
