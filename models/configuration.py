"""Model of how a configuration revision comes into force, for ``minicheck``.

It covers confirmations and leases; moves of the head and withdrawals have
models of their own. Each model takes the set of mechanisms to disable, so that
a test can show that the checker finds a counterexample without them.
"""

from collections.abc import Iterator
from typing import Final, NamedTuple

from minicheck import Protocol

from models.disabled_mechanisms import NONE_DISABLED, DisabledMechanisms

#: Duration of the lease, in ticks.
LEASE: Final = 2
#: Last tick of the model.
HORIZON: Final = 3
#: The two revisions.
_OLD: Final = 1
_NEW: Final = 2
#: Tick of an event that has not happened.
_NEVER: Final = -9


class Exchange(NamedTuple):
    """A pending read of the table or question to the peer.

    Attributes:
        sent_at: Tick at which it was sent; ``_NEVER`` if none is pending.
        revision: Revision in the answer; 0 until it is answered.
        age: Age in ticks of the peer's own confirmation, in its answer.
        confirms: Whether the answer confirms the revision.
    """

    sent_at: int = _NEVER
    revision: int = 0
    age: int = 0
    confirms: bool = False


class LeaseHost(NamedTuple):
    """State of one host.

    Attributes:
        revision: Revision that it has in force.
        highest: Highest revision that it has ever had in force.
        confirmed_at: Tick from which its confirmation counts.
        read: Its pending read of the table.
        question: Its pending question to the peer.
    """

    revision: int = _OLD
    highest: int = _OLD
    confirmed_at: int = 0
    read: Exchange = Exchange()
    question: Exchange = Exchange()

    def isolated(self, now: int) -> bool:
        """Return whether the lease has expired."""
        return now - self.confirmed_at >= LEASE


class LeaseState(NamedTuple):
    """State of the whole model: time, the table's head and two hosts.

    Attributes:
        now: Ticks since the start.
        head_moved_at: Tick at which the head moved; ``_NEVER`` if it has not.
        connected: The host that reads the table and also asks the other.
        cut_off: The host that cannot read the table and only asks the first.
    """

    now: int = 0
    head_moved_at: int = _NEVER
    connected: LeaseHost = LeaseHost()
    cut_off: LeaseHost = LeaseHost()


def lease_model(disabled: DisabledMechanisms = NONE_DISABLED) -> Protocol:
    """Return the model of confirmations, leases and isolation."""
    return Protocol(
        name='lease',
        candidate=False,
        fields=LeaseState._fields,
        initial=LeaseState(),
        transitions=lambda state: list(_lease_steps(state, disabled)),
        invariants={
            'in force or isolated after the lease': _in_force,
            'never reverts': _never_reverts,
        },
    )


def _in_force(fields: dict[str, object]) -> bool:
    state = LeaseState(**fields)  # type: ignore[arg-type]
    if state.head_moved_at == _NEVER or state.now < state.head_moved_at + LEASE:
        return True
    return all(
        host.isolated(state.now) or host.revision == _NEW
        for host in (state.connected, state.cut_off)
    )


def _never_reverts(fields: dict[str, object]) -> bool:
    state = LeaseState(**fields)  # type: ignore[arg-type]
    return all(
        host.revision == host.highest
        for host in (state.connected, state.cut_off)
    )


def _lease_steps(
    state: LeaseState,
    disabled: DisabledMechanisms,
) -> Iterator[tuple[str, LeaseState]]:
    """Yield the transitions that are possible in a state."""
    if state.now < HORIZON:
        yield 'tick', state._replace(now=state.now + 1)
    if state.head_moved_at == _NEVER:
        yield 'move', state._replace(head_moved_at=state.now)
    for label, host in _table_steps(state, disabled):
        yield label, state._replace(connected=host)
    for label, host in _peer_steps(
        state, state.connected, state.cut_off, disabled
    ):
        yield f'connected {label}', state._replace(connected=host)
    for label, host in _peer_steps(
        state, state.cut_off, state.connected, disabled
    ):
        yield f'cut-off {label}', state._replace(cut_off=host)
    # A message with the old revision may arrive again at any time.
    outdated = _adopt(state.cut_off, _OLD, disabled)
    yield 'cut-off receives old revision', state._replace(cut_off=outdated)


def _table_steps(
    state: LeaseState,
    disabled: DisabledMechanisms,
) -> Iterator[tuple[str, LeaseHost]]:
    """Yield the next transitions of a read of the table."""
    host, read = state.connected, state.connected.read
    if read.sent_at == _NEVER:
        yield 'reads', host._replace(read=Exchange(state.now))
        return
    if read.revision == 0:
        revision = _OLD if state.head_moved_at == _NEVER else _NEW
        answered = read._replace(revision=revision, confirms=True)
        yield 'read is answered', host._replace(read=answered)
    else:
        since = (
            state.now if 'read dated at sending' in disabled else read.sent_at
        )
        after = _confirm(host, read.revision, since, disabled)
        yield 'read completes', after._replace(read=Exchange())
        if read.revision > host.revision:
            # The document can't be fetched, so the read confirms nothing.
            unconfirmed = host._replace(read=Exchange())
            if 'only own revision confirmed' in disabled:
                unconfirmed = unconfirmed._replace(confirmed_at=since)
            yield 'read completes without document', unconfirmed


def _peer_steps(
    state: LeaseState,
    host: LeaseHost,
    peer: LeaseHost,
    disabled: DisabledMechanisms,
) -> Iterator[tuple[str, LeaseHost]]:
    """Yield the next transitions of a question to the peer."""
    question = host.question
    if question.sent_at == _NEVER:
        yield 'asks', host._replace(question=Exchange(state.now))
        return
    if question.revision == 0:
        answered = question._replace(
            revision=peer.revision,
            age=state.now - peer.confirmed_at,
            confirms=not peer.isolated(state.now),
        )
        yield 'question is answered', host._replace(question=answered)
    else:
        after = _adopt(host, question.revision, disabled)
        if question.confirms:
            since = question.sent_at - question.age
            if 'peer age subtracted' in disabled:
                since = question.sent_at
            if 'question dated at sending' in disabled:
                since = state.now - question.age
            after = _confirm(after, question.revision, since, disabled)
        yield 'answer arrives', after._replace(question=Exchange())


def _adopt(
    host: LeaseHost, revision: int, disabled: DisabledMechanisms
) -> LeaseHost:
    """Return the host with a revision put in force, if it is higher."""
    if revision <= host.revision and 'forward only' not in disabled:
        return host
    return host._replace(
        revision=revision,
        highest=max(host.highest, revision),
    )


def _confirm(
    host: LeaseHost,
    revision: int,
    since: int,
    disabled: DisabledMechanisms,
) -> LeaseHost:
    """Return the host after it has received a confirmed revision.

    The confirmation counts only if the host now has that revision in force.
    """
    after = _adopt(host, revision, disabled)
    if revision != after.revision:
        return after
    return after._replace(confirmed_at=max(after.confirmed_at, since))
