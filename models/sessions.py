"""Model of a session's version under concurrent requests and withdrawals.

Two hosts receive first requests of one session at the same time. Each reads
the session's row. If there is none, it chooses a version itself and writes the
row if it is still absent. The reply may be lost after the write took effect;
the host then reads the row to learn the outcome. It dispatches the request if
its gate admits the version: a version's withdrawal reaches each host at a
different time. Each host then serves a second request with the version that it
remembers, or that the row has.

Checked: all requests dispatched for the session have the same version; no host
dispatches a version that it knows to be withdrawn; a refused request has not
been dispatched.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any, Final

from minicheck import Protocol, check_safety

#: Number of hosts, and of versions.
HOSTS: Final = 2
#: Number of requests at each host.
REQUESTS: Final = 2
#: No version.
ABSENT: Final = 0
#: Far above the number of states of the model; the search gives up beyond it.
MAX_STATES: Final = 500_000

#: Phases of a request at its host.
IDLE: Final = 0
CHOOSING: Final = 1
WRITING: Final = 2
REPLY_LOST: Final = 3
BOUND: Final = 4
ENDED: Final = 5


@dataclass(frozen=True)
class Mechanisms:
    """Mechanisms that are enabled; a mutant lacks one of them.

    Attributes:
        put_if_absent: The row is written only if it is absent.
        adopt_winner: The loser of a race uses the row's version.
        read_back: After a lost reply the host reads the row.
        gate: No first byte is sent to a withdrawn version.
        keep_version: A session whose version is withdrawn is not moved to
            another version.
    """

    put_if_absent: bool = True
    adopt_winner: bool = True
    read_back: bool = True
    gate: bool = True
    keep_version: bool = True


@dataclass(frozen=True)
class Host:
    """A host and the request that it serves.

    Attributes:
        phase: Phase of its request.
        preferred: The version that it chooses for a new session.
        bound: The version that it remembers for the session; ``ABSENT`` for
            none.
        withdrawn: Versions that it knows to be withdrawn.
        requests_left: Requests that it has yet to receive.
    """

    phase: int
    preferred: int
    bound: int
    withdrawn: frozenset[int]
    requests_left: int


@dataclass(frozen=True)
class State:
    """State of the whole model.

    Attributes:
        hosts: The hosts.
        row: The row's version; ``ABSENT`` if there is no row.
        withdrawn: Versions that an operator has withdrawn.
        sent: Versions to which a first byte was sent.
        knowing: Whether a host sent a request to a version that it knew to be
            withdrawn.
    """

    hosts: tuple[Host, ...]
    row: int
    withdrawn: frozenset[int]
    sent: frozenset[int]
    knowing: bool


#: The initial state.
INITIAL_STATE: Final = State(
    tuple(
        Host(IDLE, number + 1, ABSENT, frozenset(), REQUESTS)
        for number in range(HOSTS)
    ),
    ABSENT,
    frozenset(),
    frozenset(),
    knowing=False,
)


class SessionModel:
    """Transitions of the model.

    Args:
        mechanisms: Mechanisms that are enabled.
    """

    def __init__(self, mechanisms: Mechanisms) -> None:
        self._mechanisms = mechanisms

    def transitions(self, packed: tuple[Any, ...]) -> list[tuple[str, Any]]:
        """Return the transitions that are possible in a state."""
        state = State(*packed)
        transitions: list[tuple[str, Any]] = []
        for number, host in enumerate(state.hosts):
            for label, after, changed in self._host_steps(state, host):
                hosts = list(state.hosts)
                hosts[number] = after
                complete = replace(changed, hosts=tuple(hosts))
                transitions.append((f'host {number} {label}', _pack(complete)))
        for version in range(1, HOSTS + 1):
            if version not in state.withdrawn:
                known = state.withdrawn | {version}
                withdrawn = replace(state, withdrawn=known)
                transitions.append((f'withdraw {version}', _pack(withdrawn)))
        return transitions

    def _host_steps(
        self,
        state: State,
        host: Host,
    ) -> Iterator[tuple[str, Host, State]]:
        """Yield one host's transitions: label, host and state after it.

        The host is not yet part of that state.
        """
        for version in state.withdrawn - host.withdrawn:
            known = host.withdrawn | {version}
            yield (
                f'learns withdrawal {version}',
                replace(host, withdrawn=known),
                state,
            )
        if host.phase == IDLE and host.requests_left:
            yield from self._begin(state, host)
        if host.phase == CHOOSING:
            yield from self._choose(state, host)
        if host.phase == WRITING:
            yield from self._write(state, host)
        if host.phase == REPLY_LOST:
            yield from self._settle(state, host)
        if host.phase == BOUND:
            yield from self._dispatch(state, host)
        if host.phase == ENDED:
            yield 'finishes request', replace(host, phase=IDLE), state

    def _begin(
        self,
        state: State,
        host: Host,
    ) -> Iterator[tuple[str, Host, State]]:
        """Begin a request with the remembered version, or read the row."""
        taken = replace(host, requests_left=host.requests_left - 1)
        if host.bound != ABSENT:
            yield 'remembers', replace(taken, phase=BOUND), state
        elif state.row != ABSENT:
            bound = replace(taken, phase=BOUND, bound=state.row)
            yield 'reads row', bound, state
        else:
            yield 'finds no row', replace(taken, phase=CHOOSING), state

    def _choose(
        self,
        state: State,
        host: Host,
    ) -> Iterator[tuple[str, Host, State]]:
        """Choose a version that the host does not know to be withdrawn."""
        versions = set(range(1, HOSTS + 1)) - host.withdrawn
        if not versions:
            yield 'refuses', replace(host, phase=ENDED), state
            return
        preferred = (
            host.preferred if host.preferred in versions else min(versions)
        )
        yield (
            'chooses',
            replace(host, phase=WRITING, preferred=preferred),
            state,
        )

    def _write(
        self,
        state: State,
        host: Host,
    ) -> Iterator[tuple[str, Host, State]]:
        """Write the row; the reply or the write itself may be lost."""
        row = state.row
        if row == ABSENT or not self._mechanisms.put_if_absent:
            row = host.preferred
        bound = row if self._mechanisms.adopt_winner else host.preferred
        written = replace(state, row=row)
        yield 'writes', replace(host, phase=BOUND, bound=bound), written
        yield 'reply is lost', replace(host, phase=REPLY_LOST), written
        yield 'write is lost', replace(host, phase=REPLY_LOST), state

    def _settle(
        self,
        state: State,
        host: Host,
    ) -> Iterator[tuple[str, Host, State]]:
        """Continue after a lost reply, or refuse the request."""
        if state.row == ABSENT and self._mechanisms.read_back:
            yield 'refuses', replace(host, phase=ENDED), state
        else:
            version = (
                state.row if self._mechanisms.read_back else host.preferred
            )
            bound = replace(host, phase=BOUND, bound=version)
            yield 'continues', bound, state
        yield 'read fails', replace(host, phase=ENDED), state

    def _dispatch(
        self,
        state: State,
        host: Host,
    ) -> Iterator[tuple[str, Host, State]]:
        """Check the gate and send the first byte, in one step."""
        version = host.bound
        ended = replace(host, phase=ENDED)
        if version in host.withdrawn and not self._mechanisms.keep_version:
            version = min(
                set(range(1, HOSTS + 1)) - host.withdrawn,
                default=version,
            )
        if version in host.withdrawn and self._mechanisms.gate:
            yield 'ends the session', ended, state
            return
        knowing = state.knowing or version in host.withdrawn
        sent = replace(state, sent=state.sent | {version}, knowing=knowing)
        yield f'sends {version}', ended, sent


def check(mechanisms: Mechanisms) -> dict[str, Any]:
    """Explore all reachable states and return the checker's report."""
    model = SessionModel(mechanisms)
    protocol = Protocol(
        name='sessions',
        candidate=False,
        fields=('hosts', 'row', 'withdrawn', 'sent', 'knowing'),
        initial=_pack(INITIAL_STATE),
        transitions=model.transitions,
        invariants={
            'one_version': lambda fields: len(fields['sent']) <= 1,
            'nothing_known_withdrawn': lambda fields: not fields['knowing'],
        },
    )
    report: dict[str, Any] = check_safety(protocol, max_states=MAX_STATES)
    return report


def _pack(state: State) -> tuple[Any, ...]:
    """Return a state as the tuple that the checker stores."""
    return (
        state.hosts,
        state.row,
        state.withdrawn,
        state.sent,
        state.knowing,
    )
