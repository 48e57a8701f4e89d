"""A session's version under concurrent first requests and withdrawal.

Two hosts get first requests of one session at the same time. Each reads the
row; if there is none it chooses a version by its own lights and writes the
row if it is absent; a reply can be lost after the write took effect, and is
settled by reading the row. Then it dispatches, if its own gate lets it: the
versions' withdrawal reaches each host at a moment of its own. Each host then
serves a second request from what it remembers, or from the row.

Checked: all that is ever dispatched for the session is of one version; no
host dispatches a version that it knows to be withdrawn; a request that was
refused has dispatched nothing.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any, Final

from minicheck import Protocol, check_safety

HOSTS: Final = 2
REQUESTS: Final = 2
ABSENT: Final = 0
#: Far above the states that the model has; a search beyond it is refused.
MOST_STATES: Final = 500_000

#: Steps of a request at its host.
IDLE: Final = 0
READ: Final = 1
WRITE: Final = 2
LOST: Final = 3
PINNED: Final = 4
ENDED: Final = 5


@dataclass(frozen=True)
class Mechanisms:
    """What can be taken out, to see that it is needed.

    Attributes:
        put_if_absent: The row is written only where there is none.
        winner: The loser of a race takes the row's version.
        read_back: A lost reply is settled by reading the row.
        gate: A withdrawn version gets no first byte.
        stays: A session whose version is withdrawn is not moved.
    """

    put_if_absent: bool = True
    winner: bool = True
    read_back: bool = True
    gate: bool = True
    stays: bool = True


@dataclass(frozen=True)
class Host:
    """A host and the request that it works on.

    Attributes:
        step: Where its request stands.
        wanted: The version that it would choose.
        held: The version that it remembers; ``ABSENT`` for none.
        withdrawn: Versions that it knows to be withdrawn.
        left: Requests that are still to come.
    """

    step: int
    wanted: int
    held: int
    withdrawn: frozenset[int]
    left: int


@dataclass(frozen=True)
class State:
    """Everything.

    Attributes:
        hosts: The hosts.
        row: The row's version; ``ABSENT`` for none.
        withdrawn: Versions that an operator has withdrawn.
        sent: Versions of first bytes that went out.
        knowing: A host sent what it knew to be withdrawn.
    """

    hosts: tuple[Host, ...]
    row: int
    withdrawn: frozenset[int]
    sent: frozenset[int]
    knowing: bool


START: Final = State(
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
    """The steps of the protocol.

    Args:
        mechanisms: What is in force.
    """

    def __init__(self, mechanisms: Mechanisms) -> None:
        self._has = mechanisms

    def transitions(self, packed: tuple[Any, ...]) -> list[tuple[str, Any]]:
        """Return all that can happen next."""
        state = State(*packed)
        following: list[tuple[str, Any]] = []
        for number, host in enumerate(state.hosts):
            for label, after, changed in self._host_steps(state, host):
                hosts = list(state.hosts)
                hosts[number] = after
                whole = replace(changed, hosts=tuple(hosts))
                following.append((f'host {number} {label}', _pack(whole)))
        for version in range(1, HOSTS + 1):
            if version not in state.withdrawn:
                known = state.withdrawn | {version}
                withdrawn = replace(state, withdrawn=known)
                following.append((f'withdraw {version}', _pack(withdrawn)))
        return following

    def _host_steps(
        self,
        state: State,
        host: Host,
    ) -> Iterator[tuple[str, Host, State]]:
        """Yield the steps of one host: label, host and all else."""
        for version in state.withdrawn - host.withdrawn:
            known = host.withdrawn | {version}
            yield f'hears {version}', replace(host, withdrawn=known), state
        if host.step == IDLE and host.left:
            yield from self._begin(state, host)
        if host.step == READ:
            yield from self._choose(state, host)
        if host.step == WRITE:
            yield from self._write(state, host)
        if host.step == LOST:
            yield from self._settle(state, host)
        if host.step == PINNED:
            yield from self._dispatch(state, host)
        if host.step == ENDED:
            yield 'is done', replace(host, step=IDLE), state

    def _begin(
        self,
        state: State,
        host: Host,
    ) -> Iterator[tuple[str, Host, State]]:
        """Begin a request: remember, or read the row."""
        taken = replace(host, left=host.left - 1)
        if host.held != ABSENT:
            yield 'remembers', replace(taken, step=PINNED), state
        elif state.row != ABSENT:
            held = replace(taken, step=PINNED, held=state.row)
            yield 'reads the row', held, state
        else:
            yield 'reads nothing', replace(taken, step=READ), state

    def _choose(
        self,
        state: State,
        host: Host,
    ) -> Iterator[tuple[str, Host, State]]:
        """Choose a version that is not withdrawn, as far as is known."""
        versions = set(range(1, HOSTS + 1)) - host.withdrawn
        if not versions:
            yield 'refuses', replace(host, step=ENDED), state
            return
        wanted = host.wanted if host.wanted in versions else min(versions)
        yield 'chooses', replace(host, step=WRITE, wanted=wanted), state

    def _write(
        self,
        state: State,
        host: Host,
    ) -> Iterator[tuple[str, Host, State]]:
        """Write the row; its reply may be lost, or nothing be written."""
        row = state.row
        if row == ABSENT or not self._has.put_if_absent:
            row = host.wanted
        held = row if self._has.winner else host.wanted
        written = replace(state, row=row)
        yield 'writes', replace(host, step=PINNED, held=held), written
        yield 'loses the reply', replace(host, step=LOST), written
        yield 'loses the write', replace(host, step=LOST), state

    def _settle(
        self,
        state: State,
        host: Host,
    ) -> Iterator[tuple[str, Host, State]]:
        """Settle a lost reply."""
        if state.row == ABSENT and self._has.read_back:
            yield 'refuses', replace(host, step=ENDED), state
        else:
            version = state.row if self._has.read_back else host.wanted
            held = replace(host, step=PINNED, held=version)
            yield 'goes on', held, state
        yield 'cannot read', replace(host, step=ENDED), state

    def _dispatch(
        self,
        state: State,
        host: Host,
    ) -> Iterator[tuple[str, Host, State]]:
        """Look at the gate and send the first byte, in one step."""
        version = host.held
        ended = replace(host, step=ENDED)
        if version in host.withdrawn and not self._has.stays:
            version = min(
                set(range(1, HOSTS + 1)) - host.withdrawn,
                default=version,
            )
        if version in host.withdrawn and self._has.gate:
            yield 'ends the session', ended, state
            return
        knowing = state.knowing or version in host.withdrawn
        sent = replace(state, sent=state.sent | {version}, knowing=knowing)
        yield f'sends {version}', ended, sent


def check(mechanisms: Mechanisms) -> dict[str, Any]:
    """Search all states; return the checker's verdict."""
    model = SessionModel(mechanisms)
    protocol = Protocol(
        name='sessions',
        candidate=False,
        fields=('hosts', 'row', 'withdrawn', 'sent', 'knowing'),
        initial=_pack(START),
        transitions=model.transitions,
        invariants={
            'one_version': lambda found: len(found['sent']) <= 1,
            'nothing_known_withdrawn': lambda found: not found['knowing'],
        },
    )
    verdict: dict[str, Any] = check_safety(protocol, max_states=MOST_STATES)
    return verdict


def _pack(state: State) -> tuple[Any, ...]:
    """Return a state as the checker keeps it."""
    return (
        state.hosts,
        state.row,
        state.withdrawn,
        state.sent,
        state.knowing,
    )
