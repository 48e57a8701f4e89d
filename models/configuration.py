"""A model of how a configuration comes into force, for ``minicheck``.

It is about confirmations and leases; the move of the head and withdrawals
have models of their own. Each takes the mechanisms that are left out, so that
a test can show that without them the checker finds a counterexample.
"""

from collections.abc import Iterator
from typing import Final, NamedTuple

from minicheck import Protocol

from models.omissions import NOTHING, Without

LEASE: Final = 2
HORIZON: Final = 3
_OLD: Final = 1
_NEW: Final = 2
_NEVER: Final = -9


class Exchange(NamedTuple):
    """A read of the table, or a question to the peer, under way.

    Attributes:
        asked: Tick at which it was sent; ``_NEVER`` for none.
        revision: What it gives; 0 until it is answered.
        age: Ticks since the peer's own read, in its answer.
        sure: Whether the answer confirms.
    """

    asked: int = _NEVER
    revision: int = 0
    age: int = 0
    sure: bool = False


class LeaseHost(NamedTuple):
    """One host.

    Attributes:
        revision: What it has.
        highest: The highest that it ever had.
        confirmed: Tick from which its confirmation counts.
        read: Its read of the table.
        question: Its question to the peer.
    """

    revision: int = _OLD
    highest: int = _OLD
    confirmed: int = 0
    read: Exchange = Exchange()
    question: Exchange = Exchange()

    def isolated(self, now: int) -> bool:
        """Tell whether the lease has lapsed."""
        return now - self.confirmed >= LEASE


class LeaseState(NamedTuple):
    """The whole: time, the table's head, two hosts.

    Attributes:
        now: Ticks since the start.
        moved: Tick at which the head moved; ``_NEVER`` for not yet.
        one: The host that reads the table and asks the other.
        other: The host that only asks the first, as if cut off.
    """

    now: int = 0
    moved: int = _NEVER
    one: LeaseHost = LeaseHost()
    other: LeaseHost = LeaseHost()


def lease_model(without: Without = NOTHING) -> Protocol:
    """Return the model of confirmations, leases and isolation."""
    return Protocol(
        name='lease',
        candidate=False,
        fields=LeaseState._fields,
        initial=LeaseState(),
        transitions=lambda state: list(_lease_steps(state, without)),
        invariants={
            'in force after the lease': _in_force,
            'never reverts': _never_reverts,
        },
    )


def _in_force(fields: dict[str, object]) -> bool:
    state = LeaseState(**fields)  # type: ignore[arg-type]
    if state.moved == _NEVER or state.now < state.moved + LEASE:
        return True
    return all(
        host.isolated(state.now) or host.revision == _NEW
        for host in (state.one, state.other)
    )


def _never_reverts(fields: dict[str, object]) -> bool:
    state = LeaseState(**fields)  # type: ignore[arg-type]
    return all(
        host.revision == host.highest for host in (state.one, state.other)
    )


def _lease_steps(
    state: LeaseState,
    without: Without,
) -> Iterator[tuple[str, LeaseState]]:
    """Yield all that can happen next."""
    if state.now < HORIZON:
        yield 'tick', state._replace(now=state.now + 1)
    if state.moved == _NEVER:
        yield 'move', state._replace(moved=state.now)
    for label, host in _table_steps(state, without):
        yield label, state._replace(one=host)
    for label, host in _peer_steps(state, state.one, state.other, without):
        yield f'one {label}', state._replace(one=host)
    for label, host in _peer_steps(state, state.other, state.one, without):
        yield f'other {label}', state._replace(other=host)
    # An old message may always come once more.
    late = _take(state.other, _OLD, without)
    yield 'other hears of the old', state._replace(other=late)


def _table_steps(
    state: LeaseState,
    without: Without,
) -> Iterator[tuple[str, LeaseHost]]:
    """Yield what a read of the table can do next."""
    host, read = state.one, state.one.read
    if read.asked == _NEVER:
        yield 'reads', host._replace(read=Exchange(state.now))
        return
    if read.revision == 0:
        revision = _OLD if state.moved == _NEVER else _NEW
        answered = read._replace(revision=revision, sure=True)
        yield 'is read', host._replace(read=answered)
    else:
        since = state.now if 'count before sending' in without else read.asked
        after = _confirm(host, read.revision, since, without)
        yield 'read comes', after._replace(read=Exchange())
        if read.revision > host.revision:
            # The document can't be fetched: that confirms nothing.
            stuck = host._replace(read=Exchange())
            if 'own revision' in without:
                stuck = stuck._replace(confirmed=since)
            yield 'read comes without document', stuck


def _peer_steps(
    state: LeaseState,
    host: LeaseHost,
    peer: LeaseHost,
    without: Without,
) -> Iterator[tuple[str, LeaseHost]]:
    """Yield what a question to the peer can do next."""
    question = host.question
    if question.asked == _NEVER:
        yield 'asks', host._replace(question=Exchange(state.now))
        return
    if question.revision == 0:
        answered = question._replace(
            revision=peer.revision,
            age=state.now - peer.confirmed,
            sure=not peer.isolated(state.now),
        )
        yield 'is answered', host._replace(question=answered)
    else:
        after = _take(host, question.revision, without)
        if question.sure:
            since = question.asked - question.age
            if 'age of the peer' in without:
                since = question.asked
            if 'moment of asking' in without:
                since = state.now - question.age
            after = _confirm(after, question.revision, since, without)
        yield 'answer comes', after._replace(question=Exchange())


def _take(host: LeaseHost, revision: int, without: Without) -> LeaseHost:
    """Take a revision if it is higher."""
    if revision <= host.revision and 'forward only' not in without:
        return host
    return host._replace(
        revision=revision,
        highest=max(host.highest, revision),
    )


def _confirm(
    host: LeaseHost,
    revision: int,
    since: int,
    without: Without,
) -> LeaseHost:
    """Take a revision, and count the confirmation if it is the host's."""
    after = _take(host, revision, without)
    if revision != after.revision:
        return after
    return after._replace(confirmed=max(after.confirmed, since))
