"""Models of how a configuration comes into force, for ``minicheck``.

Three small ones: confirmations and leases, the move of the head, and
withdrawals. Each takes the mechanisms that are left out, so that a test
can show that without them the checker finds a counterexample.
"""

from collections.abc import Iterator
from typing import Final, NamedTuple

from minicheck import Protocol

Without = frozenset[str]
NOTHING: Final[Without] = frozenset()

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


class Operator(NamedTuple):
    """One operator's move of the head.

    Attributes:
        expected: Revision that its write expects; -1 before it has read.
        flying: Copies of its write that may still arrive.
        tries: Times that it was sent.
        reply: What came back: '', 'made' or 'conflict'.
        told: What the operator was told.
    """

    expected: int = -1
    flying: int = 0
    tries: int = 0
    reply: str = ''
    told: str = ''


class HeadState(NamedTuple):
    """The head's history, and two operators.

    Attributes:
        history: Who made each revision.
        others: Moves of others that may still come.
        one: An operator.
        other: Another one.
    """

    history: tuple[int, ...] = ()
    others: int = 2
    one: Operator = Operator()
    other: Operator = Operator()


def head_model(without: Without = NOTHING) -> Protocol:
    """Return the model of compare-and-set and lost replies."""
    return Protocol(
        name='head',
        candidate=False,
        fields=HeadState._fields,
        initial=HeadState(),
        transitions=lambda state: list(_head_steps(state, without)),
        invariants={'operators are told the truth': _truth},
    )


def _truth(fields: dict[str, object]) -> bool:
    state = HeadState(**fields)  # type: ignore[arg-type]
    for number, operator in enumerate((state.one, state.other)):
        made = state.history.count(number)
        if made > 1 or (operator.told == 'made' and made != 1):
            return False
        if operator.told == 'conflict' and made:
            return False
    return True


def _head_steps(
    state: HeadState,
    without: Without,
) -> Iterator[tuple[str, HeadState]]:
    """Yield all that can happen next."""
    if state.others:
        yield (
            'another moves',
            state._replace(
                history=(*state.history, 2),
                others=state.others - 1,
            ),
        )
    for number, name in enumerate(('one', 'other')):
        operator: Operator = getattr(state, name)
        for label, history, after in _operator_steps(
            state.history, operator, number, without
        ):
            changed = {'history': history, name: after}
            yield f'{name} {label}', state._replace(**changed)  # type: ignore[arg-type]


_Step = tuple[str, tuple[int, ...], Operator]


def _operator_steps(
    history: tuple[int, ...],
    operator: Operator,
    number: int,
    without: Without,
) -> Iterator[_Step]:
    """Yield what one operator's move can do next."""
    if operator.flying:
        yield from _arrivals(history, operator, number)
    if operator.told:
        return
    if operator.expected < 0:
        yield 'reads', history, operator._replace(expected=len(history))
    elif operator.reply:
        told = _settled(history, operator, number, without)
        yield 'is told', history, operator._replace(told=told)
    elif operator.tries < 2:
        # The first time, or again as no reply has come.
        sent = operator._replace(
            flying=operator.flying + 1,
            tries=operator.tries + 1,
        )
        yield 'sends', history, sent
    if operator.tries and not operator.reply:
        told = _given_up(history, operator, number, without)
        yield 'gives up', history, operator._replace(told=told)


def _arrivals(
    history: tuple[int, ...],
    operator: Operator,
    number: int,
) -> Iterator[_Step]:
    """Yield what becomes of a write that is under way."""
    landed = operator._replace(flying=operator.flying - 1)
    yield 'write is lost', history, landed
    fits = len(history) == operator.expected
    after = (*history, number) if fits else history
    reply = 'made' if fits else 'conflict'
    yield 'write arrives, reply is lost', after, landed
    if not operator.reply:
        yield 'write arrives', after, landed._replace(reply=reply)


def _settled(
    history: tuple[int, ...],
    operator: Operator,
    number: int,
    without: Without,
) -> str:
    """Return what is told after a reply."""
    if operator.reply == 'made':
        return 'made'
    if 'nonce' in without:
        return 'conflict'
    if 'history' in without:
        return 'made' if history[-1] == number else 'conflict'
    return 'made' if history[operator.expected] == number else 'conflict'


def _given_up(
    history: tuple[int, ...],
    operator: Operator,
    number: int,
    without: Without,
) -> str:
    """Return what is told if no reply ever came."""
    made = history[operator.expected : operator.expected + 1] == (number,)
    if made:
        return 'made'
    return 'conflict' if 'sending once more' in without else 'unknown'


class FactsHost(NamedTuple):
    """One host's withdrawals of one version.

    Attributes:
        epoch: The greatest withdrawn epoch that it knows; -1 for none.
        highest: The greatest that this incarnation ever knew.
    """

    epoch: int = -1
    highest: int = -1


class FactsState(NamedTuple):
    """The table, two hosts, and all messages that were ever sent.

    Attributes:
        table: What the table has.
        sent: Epochs in messages, each of which may arrive again.
        one: A host.
        other: Another one.
        given: Withdrawals that operators have given.
        restarts: Restarts that may still come.
    """

    table: FactsHost = FactsHost()
    sent: tuple[int, ...] = ()
    one: FactsHost = FactsHost()
    other: FactsHost = FactsHost()
    given: int = 0
    restarts: int = 2


def facts_model(without: Without = NOTHING) -> Protocol:
    """Return the model of withdrawals without the table."""
    return Protocol(
        name='withdrawals',
        candidate=False,
        fields=FactsState._fields,
        initial=FactsState(),
        transitions=lambda state: list(_facts_steps(state, without)),
        invariants={'a withdrawal stays': _stays},
    )


def _stays(fields: dict[str, object]) -> bool:
    state = FactsState(**fields)  # type: ignore[arg-type]
    holders = (state.table, state.one, state.other)
    return all(holder.epoch == holder.highest for holder in holders)


def _facts_steps(
    state: FactsState,
    without: Without,
) -> Iterator[tuple[str, FactsState]]:
    """Yield all that can happen next."""
    for name in ('one', 'other'):
        host: FactsHost = getattr(state, name)
        if state.given < 2:
            told = _learn(host, state.given, without)
            given = {name: told, 'given': state.given + 1}
            yield f'{name} is told', state._replace(**given)  # type: ignore[arg-type]
        if state.restarts:
            gone = {name: FactsHost(), 'restarts': state.restarts - 1}
            yield f'{name} restarts', state._replace(**gone)  # type: ignore[arg-type]
        sent = tuple(sorted({*state.sent, host.epoch}))
        yield f'{name} sends', state._replace(sent=sent)
        for epoch in state.sent:
            heard = {name: _learn(host, epoch, without)}
            yield f'{name} hears {epoch}', state._replace(**heard)  # type: ignore[arg-type]
        read = {name: _learn(host, state.table.epoch, without)}
        yield f'{name} reads', state._replace(**read)  # type: ignore[arg-type]
        merged = _learn(state.table, host.epoch, without)
        yield f'{name} merges', state._replace(table=merged)


def _learn(holder: FactsHost, epoch: int, without: Without) -> FactsHost:
    """Join what is known with what is told."""
    if 'union' in without:
        return FactsHost(epoch, max(holder.highest, epoch))
    return FactsHost(max(holder.epoch, epoch), max(holder.highest, epoch))
