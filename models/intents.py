"""Model of intent rows: two hosts, a table, an upstream and lost replies."""

from collections.abc import Callable, Iterator
from enum import IntEnum, unique
from typing import Any, Final, NamedTuple

from minicheck import Protocol

from models.switches import (
    ALL_ENABLED,
    HOSTS,
    LAST_INCARNATION,
    LAST_TICK,
    LEASE,
    MAX_ATTEMPTS,
    Step,
    Switches,
    count_execution,
)


@unique
class Phase(IntEnum):
    """Phase of a host's request."""

    IDLE = 0
    WRITING = 1
    WRITTEN = 2
    WRITE_UNKNOWN = 3
    CLAIMED = 4
    NOT_SENT = 5
    SENT = 6
    ANSWERED = 7
    REFUSED = 8
    CRASHED = 9


@unique
class RowState(IntEnum):
    """State of the intent row."""

    ABSENT = 0
    OPEN = 1
    DONE = 2
    NOT_RUN = 3


#: Phases in which a host does not work on an attempt.
_INACTIVE: Final = frozenset((Phase.IDLE, Phase.REFUSED, Phase.CRASHED))


class IntentHost(NamedTuple):
    """State of one host.

    Attributes:
        phase: Phase of its request.
        claim_started: Tick at which it started to write its claim.
        incarnation: Number of its incarnation.
        attempts_left: Attempts that the caller may still make at this host.
        late_write: Whether a write that it gave up may still take effect.
        in_flight: Whether its request is on the way to the upstream.
        executed: Whether its current attempt was executed.
        denied_falsely: Whether it reported "not run" for an attempt that was
            executed before or after the report.
        denied: Whether it reported "not run" for its current attempt.
    """

    phase: Phase = Phase.IDLE
    claim_started: int = 0
    incarnation: int = 0
    attempts_left: int = MAX_ATTEMPTS
    late_write: bool = False
    in_flight: bool = False
    executed: bool = False
    denied_falsely: bool = False
    denied: bool = False


class IntentState(NamedTuple):
    """State of the whole model.

    Attributes:
        tick: Current time.
        row: State of the intent row.
        owner: Nonce in the row: host, incarnation and attempt that wrote it.
        lease_start: Tick at which the owner started to write the row.
        runs: Number of times that the request was executed.
        hosts: Both hosts.
    """

    tick: int = 0
    row: RowState = RowState.ABSENT
    owner: tuple[int, int, int] = (-1, 0, 0)
    lease_start: int = 0
    runs: int = 0
    hosts: tuple[IntentHost, ...] = (IntentHost(), IntentHost(attempts_left=1))


class IntentModel:
    """Two hosts that receive requests with the same idempotency key.

    Args:
        switches: Which mechanisms are enabled.
    """

    def __init__(self, switches: Switches = ALL_ENABLED) -> None:
        self._enabled = switches

    def protocol(self) -> Protocol:
        """Return the model in the checker's form."""
        return Protocol(
            name='intents',
            candidate=False,
            fields=IntentState._fields,
            initial=IntentState(),
            transitions=lambda state: list(self.steps(IntentState(*state))),
            invariants={
                'at_most_once': lambda state: state['runs'] <= 1,
                'true_not_run': lambda state: (
                    not any(host.denied_falsely for host in state['hosts'])
                ),
            },
        )

    def steps(self, state: IntentState) -> Iterator[Step]:
        """Yield the transitions that are possible in a state."""
        if state.tick < LAST_TICK:
            yield 'tick', state._replace(tick=state.tick + 1)
        if self._may_execute_manually(state):
            hosts = tuple(
                host._replace(attempts_left=0) for host in state.hosts
            )
            yield (
                'manual execution',
                state._replace(runs=state.runs + 1, hosts=hosts),
            )
        for number in HOSTS:
            yield from self._upstream_steps(state, number)
            yield from self._crash_steps(state, number)
            phase_steps = _PHASE_STEPS.get(state.hosts[number].phase)
            if phase_steps is not None:
                yield from phase_steps(self, state, number)

    def _may_execute_manually(self, state: IntentState) -> bool:
        """Return whether an operator can see that nothing will be executed.

        The lease of the open intent has expired, no request is in flight, and
        the upstream has executed none. The caller knows the outcome of all its
        attempts but the owner's, and will make no more.
        """
        others = [
            host.phase
            for number, host in enumerate(state.hosts)
            if number != state.owner[0]
        ]
        others_inactive = all(phase in _INACTIVE for phase in others)
        is_expired = state.tick >= state.lease_start + LEASE
        none_in_flight = not any(host.in_flight for host in state.hosts)
        is_open = state.row is RowState.OPEN
        return all(
            (
                is_open,
                is_expired,
                none_in_flight,
                others_inactive,
                not state.runs,
            )
        )

    def _upstream_steps(
        self, state: IntentState, number: int
    ) -> Iterator[Step]:
        host = state.hosts[number]
        if host.late_write and state.row is RowState.ABSENT:
            written = _update_host(state, number, late_write=False)
            yield f'{number} delayed write', _write_claim(written, number, host)
        if not host.in_flight:
            return
        yield (
            f'{number} request lost',
            _update_host(state, number, in_flight=False),
        )
        executed = _update_host(
            state,
            number,
            in_flight=False,
            executed=True,
            denied_falsely=host.denied_falsely or host.denied,
        )
        yield (
            f'{number} runs',
            executed._replace(runs=count_execution(state.runs)),
        )

    def _crash_steps(self, state: IntentState, number: int) -> Iterator[Step]:
        host = state.hosts[number]
        if host.phase is Phase.CRASHED:
            restarted = IntentHost(
                incarnation=host.incarnation, attempts_left=host.attempts_left
            )
            yield (
                f'{number} restarts',
                _update_host(state, number, **restarted._asdict()),
            )
        elif (
            host.incarnation < LAST_INCARNATION and host.phase is not Phase.IDLE
        ):
            crashed = _update_host(
                state,
                number,
                phase=Phase.CRASHED,
                incarnation=host.incarnation + 1,
            )
            # A request in flight stays so although its host has forgotten it.
            yield f'{number} crashes', crashed

    def _idle(self, state: IntentState, number: int) -> Iterator[Step]:
        host = state.hosts[number]
        if host.attempts_left and not host.in_flight:
            yield (
                f'{number} receives request',
                _update_host(
                    state,
                    number,
                    phase=Phase.WRITING,
                    claim_started=state.tick,
                    attempts_left=host.attempts_left - 1,
                    executed=False,
                    denied=False,
                ),
            )

    def _writing(self, state: IntentState, number: int) -> Iterator[Step]:
        host = state.hosts[number]
        is_free = state.row in {RowState.ABSENT, RowState.NOT_RUN}
        if (
            is_free
            or not self._enabled.put_if_absent
            or self._takes_over(state)
        ):
            written = _update_host(state, number, phase=Phase.WRITTEN)
            yield f'{number} writes', _write_claim(written, number, host)
        else:
            yield (
                f'{number} conflict',
                _update_host(state, number, phase=Phase.IDLE),
            )
        yield (
            f'{number} write delayed',
            _update_host(
                state, number, phase=Phase.WRITE_UNKNOWN, late_write=True
            ),
        )

    def _takes_over(self, state: IntentState) -> bool:
        owner = state.owner[0]
        owner_crashed = (
            owner >= 0 and state.hosts[owner].incarnation > state.owner[1]
        )
        return (
            not self._enabled.no_takeover
            and owner_crashed
            and state.row is RowState.OPEN
        )

    def _written(self, state: IntentState, number: int) -> Iterator[Step]:
        yield (
            f'{number} write acknowledged',
            _update_host(state, number, phase=Phase.CLAIMED),
        )
        yield (
            f'{number} write reply lost',
            _update_host(state, number, phase=Phase.WRITE_UNKNOWN),
        )

    def _write_unknown(self, state: IntentState, number: int) -> Iterator[Step]:
        host = state.hosts[number]
        if state.row is RowState.ABSENT:
            yield (
                f'{number} finds no claim',
                _deny(state, number, phase=Phase.REFUSED),
            )
        elif state.row is RowState.OPEN and (
            state.owner == _nonce_of(number, host) or not self._enabled.nonce
        ):
            yield (
                f'{number} finds own claim',
                _update_host(
                    state, number, phase=Phase.CLAIMED, late_write=False
                ),
            )
        else:
            yield (
                f'{number} finds other claim',
                _update_host(state, number, phase=Phase.IDLE, late_write=False),
            )

    def _claimed(self, state: IntentState, number: int) -> Iterator[Step]:
        host = state.hosts[number]
        if not self._enabled.fence or state.tick < host.claim_started + LEASE:
            yield (
                f'{number} sends',
                _update_host(state, number, phase=Phase.SENT, in_flight=True),
            )
        yield (
            f'{number} no upstream',
            _deny(state, number, phase=Phase.NOT_SENT),
        )

    def _not_sent(self, state: IntentState, number: int) -> Iterator[Step]:
        released = state
        if state.owner == _nonce_of(number, state.hosts[number]):
            released = state._replace(row=RowState.NOT_RUN)
        yield (
            f'{number} frees',
            _update_host(released, number, phase=Phase.IDLE),
        )

    def _sent(self, state: IntentState, number: int) -> Iterator[Step]:
        host = state.hosts[number]
        if host.executed:
            yield (
                f'{number} receives answer',
                _update_host(state, number, phase=Phase.ANSWERED),
            )
        if not self._enabled.truth:
            yield f'{number} denies', _deny(state, number, phase=Phase.REFUSED)
        if not self._enabled.no_resend and not host.in_flight:
            yield (
                f'{number} resends',
                _update_host(state, number, in_flight=True),
            )
        yield (
            f'{number} reports unknown',
            _update_host(state, number, phase=Phase.REFUSED),
        )

    def _answered(self, state: IntentState, number: int) -> Iterator[Step]:
        done = state
        if state.owner == _nonce_of(number, state.hosts[number]):
            done = state._replace(row=RowState.DONE)
        yield f'{number} stores', _update_host(done, number, phase=Phase.IDLE)


PhaseSteps = Callable[[IntentModel, IntentState, int], Iterator[Step]]
_PHASE_STEPS: Final[dict[Phase, PhaseSteps]] = {
    Phase.IDLE: IntentModel._idle,
    Phase.WRITING: IntentModel._writing,
    Phase.WRITTEN: IntentModel._written,
    Phase.WRITE_UNKNOWN: IntentModel._write_unknown,
    Phase.CLAIMED: IntentModel._claimed,
    Phase.NOT_SENT: IntentModel._not_sent,
    Phase.SENT: IntentModel._sent,
    Phase.ANSWERED: IntentModel._answered,
    Phase.REFUSED: IntentModel._idle,
}


def _update_host(
    state: IntentState, number: int, **changes: Any
) -> IntentState:
    """Return the state with one host changed."""
    hosts = list(state.hosts)
    hosts[number] = hosts[number]._replace(**changes)
    return state._replace(hosts=tuple(hosts))


def _nonce_of(number: int, host: IntentHost) -> tuple[int, int, int]:
    """Return the nonce of a host's current attempt."""
    return number, host.incarnation, host.attempts_left


def _write_claim(
    state: IntentState, number: int, host: IntentHost
) -> IntentState:
    """Return the state after a host has written its claim to the row."""
    return state._replace(
        row=RowState.OPEN,
        owner=_nonce_of(number, host),
        lease_start=host.claim_started,
    )


def _deny(state: IntentState, number: int, phase: Phase) -> IntentState:
    """Let a host report that its current attempt was not executed."""
    host = state.hosts[number]
    return _update_host(
        state,
        number,
        phase=phase,
        denied=True,
        denied_falsely=host.denied_falsely or host.executed,
    )
