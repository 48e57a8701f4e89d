"""A model of intent rows: two hosts, a table, an upstream, lost replies."""

from collections.abc import Callable, Iterator
from enum import IntEnum, unique
from typing import Any, Final, NamedTuple

from minicheck import Protocol

from models.switches import (
    ALL_IN,
    HOSTS,
    LAST_RUN,
    LAST_TICK,
    LEASE,
    MOST_TRIES,
    Step,
    Switches,
    one_more,
)


@unique
class At(IntEnum):
    """Where a host stands with its request."""

    IDLE = 0
    WRITING = 1
    WRITTEN = 2
    UNSURE = 3
    CLAIMED = 4
    NOT_SENT = 5
    SENT = 6
    ANSWERED = 7
    REFUSED = 8
    DEAD = 9


@unique
class RowState(IntEnum):
    """Where the intent row stands."""

    ABSENT = 0
    OPEN = 1
    DONE = 2
    NOT_RUN = 3


_QUIET: Final = frozenset((At.IDLE, At.REFUSED, At.DEAD))


class IntentHost(NamedTuple):
    """One host.

    Attributes:
        at: Where it stands.
        began: Tick before its claim was written.
        run: Which run of the host it is.
        tries: Tries that the caller has left here.
        late: A write that it gave up may still take effect.
        flying: Its request is on the way to the upstream.
        ran: Its present try has run.
        lied: It said "not run" of a try that had run or ran later.
        denied: It said "not run" of its present try.
    """

    at: At = At.IDLE
    began: int = 0
    run: int = 0
    tries: int = MOST_TRIES
    late: bool = False
    flying: bool = False
    ran: bool = False
    lied: bool = False
    denied: bool = False


class IntentWorld(NamedTuple):
    """Everything.

    Attributes:
        tick: Time.
        row: State of the intent row.
        owner: Host and run and try that wrote it.
        since: Tick before the row was written.
        runs: How often the request ran.
        hosts: Both hosts.
    """

    tick: int = 0
    row: RowState = RowState.ABSENT
    owner: tuple[int, int, int] = (-1, 0, 0)
    since: int = 0
    runs: int = 0
    hosts: tuple[IntentHost, ...] = (IntentHost(), IntentHost(tries=1))


class IntentModel:
    """Two hosts that get the same key.

    Args:
        switches: Which mechanisms are in.
    """

    def __init__(self, switches: Switches = ALL_IN) -> None:
        self._in = switches

    def protocol(self) -> Protocol:
        """Return the model for the checker."""
        return Protocol(
            name='intents',
            candidate=False,
            fields=IntentWorld._fields,
            initial=IntentWorld(),
            transitions=lambda state: list(self.steps(IntentWorld(*state))),
            invariants={
                'at_most_once': lambda world: world['runs'] <= 1,
                'true_not_run': lambda world: (
                    not any(host.lied for host in world['hosts'])
                ),
            },
        )

    def steps(self, world: IntentWorld) -> Iterator[Step]:
        """Yield what may happen next."""
        if world.tick < LAST_TICK:
            yield 'tick', world._replace(tick=world.tick + 1)
        if self._may_run_by_hand(world):
            hosts = tuple(host._replace(tries=0) for host in world.hosts)
            yield (
                'by hand',
                world._replace(runs=world.runs + 1, hosts=hosts),
            )
        for name in HOSTS:
            yield from self._upstream(world, name)
            yield from self._crash(world, name)
            step = _HOST_STEPS.get(world.hosts[name].at)
            if step is not None:
                yield from step(self, world, name)

    def _may_run_by_hand(self, world: IntentWorld) -> bool:
        """Tell whether an operator who looks sees that nothing will run.

        The lease of an open intent is over, nothing is on its way, and the
        service has run nothing. The caller has heard of all its tries but
        the owner's, and will make no more.
        """
        others = [
            host.at
            for name, host in enumerate(world.hosts)
            if name != world.owner[0]
        ]
        quiet = all(at in _QUIET for at in others)
        lapsed = world.tick >= world.since + LEASE
        nothing = not any(host.flying for host in world.hosts)
        is_open = world.row is RowState.OPEN
        return all((is_open, lapsed, nothing, quiet, not world.runs))

    def _upstream(self, world: IntentWorld, name: int) -> Iterator[Step]:
        host = world.hosts[name]
        if host.late and world.row is RowState.ABSENT:
            late = _put(world, name, late=False)
            yield f'{name} late write', _own(late, name, host)
        if not host.flying:
            return
        yield f'{name} lost', _put(world, name, flying=False)
        ran = _put(
            world,
            name,
            flying=False,
            ran=True,
            lied=host.lied or host.denied,
        )
        yield f'{name} runs', ran._replace(runs=one_more(world.runs))

    def _crash(self, world: IntentWorld, name: int) -> Iterator[Step]:
        host = world.hosts[name]
        if host.at is At.DEAD:
            fresh = IntentHost(run=host.run, tries=host.tries)
            yield f'{name} restarts', _put(world, name, **fresh._asdict())
        elif host.run < LAST_RUN and host.at is not At.IDLE:
            dead = _put(world, name, at=At.DEAD, run=host.run + 1)
            # What is on its way stays so, though its host has forgotten it.
            yield f'{name} crashes', dead

    def _idle(self, world: IntentWorld, name: int) -> Iterator[Step]:
        host = world.hosts[name]
        if host.tries and not host.flying:
            yield (
                f'{name} asked',
                _put(
                    world,
                    name,
                    at=At.WRITING,
                    began=world.tick,
                    tries=host.tries - 1,
                    ran=False,
                    denied=False,
                ),
            )

    def _writing(self, world: IntentWorld, name: int) -> Iterator[Step]:
        host = world.hosts[name]
        free = world.row in {RowState.ABSENT, RowState.NOT_RUN}
        if free or not self._in.put_if_absent or self._takes_over(world):
            written = _put(world, name, at=At.WRITTEN)
            yield f'{name} write', _own(written, name, host)
        else:
            yield f'{name} conflict', _put(world, name, at=At.IDLE)
        yield f'{name} write late', _put(world, name, at=At.UNSURE, late=True)

    def _takes_over(self, world: IntentWorld) -> bool:
        owner = world.owner[0]
        is_dead = owner >= 0 and world.hosts[owner].run > world.owner[1]
        return (
            not self._in.no_takeover and is_dead and world.row is RowState.OPEN
        )

    def _written(self, world: IntentWorld, name: int) -> Iterator[Step]:
        yield f'{name} reply', _put(world, name, at=At.CLAIMED)
        yield f'{name} reply lost', _put(world, name, at=At.UNSURE)

    def _unsure(self, world: IntentWorld, name: int) -> Iterator[Step]:
        host = world.hosts[name]
        if world.row is RowState.ABSENT:
            yield f'{name} not written', _deny(world, name, at=At.REFUSED)
        elif world.row is RowState.OPEN and (
            world.owner == _mark(name, host) or not self._in.nonce
        ):
            yield f'{name} own', _put(world, name, at=At.CLAIMED, late=False)
        else:
            yield f'{name} another', _put(world, name, at=At.IDLE, late=False)

    def _claimed(self, world: IntentWorld, name: int) -> Iterator[Step]:
        host = world.hosts[name]
        if not self._in.fence or world.tick < host.began + LEASE:
            yield f'{name} sends', _put(world, name, at=At.SENT, flying=True)
        yield f'{name} no upstream', _deny(world, name, at=At.NOT_SENT)

    def _not_sent(self, world: IntentWorld, name: int) -> Iterator[Step]:
        freed = world
        if world.owner == _mark(name, world.hosts[name]):
            freed = world._replace(row=RowState.NOT_RUN)
        yield f'{name} frees', _put(freed, name, at=At.IDLE)

    def _sent(self, world: IntentWorld, name: int) -> Iterator[Step]:
        host = world.hosts[name]
        if host.ran:
            yield f'{name} answer', _put(world, name, at=At.ANSWERED)
        if not self._in.truth:
            yield f'{name} denies', _deny(world, name, at=At.REFUSED)
        if not self._in.no_resend and not host.flying:
            yield f'{name} resends', _put(world, name, flying=True)
        yield f'{name} unknown', _put(world, name, at=At.REFUSED)

    def _answered(self, world: IntentWorld, name: int) -> Iterator[Step]:
        done = world
        if world.owner == _mark(name, world.hosts[name]):
            done = world._replace(row=RowState.DONE)
        yield f'{name} stores', _put(done, name, at=At.IDLE)


HostStep = Callable[[IntentModel, IntentWorld, int], Iterator[Step]]
_HOST_STEPS: Final[dict[At, HostStep]] = {
    At.IDLE: IntentModel._idle,
    At.WRITING: IntentModel._writing,
    At.WRITTEN: IntentModel._written,
    At.UNSURE: IntentModel._unsure,
    At.CLAIMED: IntentModel._claimed,
    At.NOT_SENT: IntentModel._not_sent,
    At.SENT: IntentModel._sent,
    At.ANSWERED: IntentModel._answered,
    At.REFUSED: IntentModel._idle,
}


def _put(world: IntentWorld, name: int, **changes: Any) -> IntentWorld:
    """Return the world with one host changed."""
    hosts = list(world.hosts)
    hosts[name] = hosts[name]._replace(**changes)
    return world._replace(hosts=tuple(hosts))


def _mark(name: int, host: IntentHost) -> tuple[int, int, int]:
    """Return the nonce of a host's present try."""
    return name, host.run, host.tries


def _own(world: IntentWorld, name: int, host: IntentHost) -> IntentWorld:
    """Return the world with the row written by a host."""
    return world._replace(
        row=RowState.OPEN,
        owner=_mark(name, host),
        since=host.began,
    )


def _deny(world: IntentWorld, name: int, at: At) -> IntentWorld:
    """Let a host say that its present try did not run."""
    host = world.hosts[name]
    return _put(world, name, at=at, denied=True, lied=host.lied or host.ran)
