"""Model of the repeats that the hosts of a fleet permit together.

Callers send requests to any host, hosts permit as many repeats as they may, and
hosts are killed and start again with an empty record. All of it happens in any
order, also within one tick. The hosts decide by the program's own functions.

Checked: in every window, the repeats of all hosts, also of those that were
killed, are within the part of the operator's limit that hosts may use.
"""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace
from functools import partial
from typing import Any, Final, NamedTuple

from minicheck import Protocol, check_safety

from nutmegroad.relay.budgets import (
    CURRENT_PART,
    PROCESSES_PER_WINDOW,
    ROUNDING,
    SHARED_FRACTION,
    RepeatLimit,
    permits_repeat,
    process_share,
)

#: Number of hosts.
HOSTS: Final = 2
#: Length of the operator's window in ticks. A request is counted in the windows
#: that begin none, half a window or a whole window after it.
WINDOW: Final = 2
#: Begin of the window that ends with the current tick.
LATEST: Final = 1 - WINDOW
#: Far above the number of states of the model; the search gives up beyond it.
MAX_STATES: Final = 200_000

#: Ticks at which something happened, in order. The current tick is 0, earlier
#: ones are negative.
Ticks = tuple[int, ...]


class Host(NamedTuple):
    """A host's process.

    Attributes:
        requests: Ticks of its requests.
        repeats: Ticks of its repeats.
    """

    requests: Ticks
    repeats: Ticks


@dataclass(frozen=True, slots=True)
class Bounds:
    """What is searched.

    Attributes:
        limit: The operator's limit.
        requests: Most requests in a behaviour.
        kills: Most kills in a behaviour.
    """

    limit: RepeatLimit
    requests: int
    kills: int


#: Requests permit two repeats in their own window and one in the next, and
#: nothing else does.
RATIO_ONLY: Final = Bounds(
    RepeatLimit(ratio=3, window=WINDOW, constant=0), requests=3, kills=1
)
#: Each process of a host may make one repeat without requests in a window.
WITH_CONSTANT: Final = Bounds(
    RepeatLimit(
        ratio=3,
        window=WINDOW,
        constant=PROCESSES_PER_WINDOW * HOSTS / SHARED_FRACTION,
    ),
    requests=1,
    kills=(PROCESSES_PER_WINDOW - 1) * HOSTS,
)


class State(NamedTuple):
    """State of the whole model.

    Attributes:
        hosts: The hosts.
        requests: Ticks of all requests of the fleet that a window counts.
        repeats: Ticks of all repeats in windows that have not ended.
        requests_left: Number of requests that may follow.
        kills_left: Number of kills that may follow.
    """

    hosts: tuple[Host, ...]
    requests: Ticks
    repeats: Ticks
    requests_left: int
    kills_left: int


#: Returns whether a host permits one more repeat within its part of the limit.
Rule = Callable[[Host, RepeatLimit], bool]
#: Returns the next process of a host that has been killed.
Restart = Callable[[Host], Host]


def program_rule(host: Host, limit: RepeatLimit) -> bool:
    """Decide as the program does."""
    return permits_repeat(host.requests, host.repeats, 0, limit)


def largest_window(host: Host, limit: RepeatLimit) -> bool:
    """Compare with the largest of the host's own windows."""
    counted = _largest(host.requests, LATEST)
    allowed = limit.ratio * counted + limit.constant
    return _count(host.repeats, LATEST) + 1 <= allowed


def latest_window(host: Host, limit: RepeatLimit) -> bool:
    """Check only the window that ends now."""
    current = _count(host.requests, LATEST)
    previous = _count(host.requests, LATEST - WINDOW)
    weighted = CURRENT_PART * current + (1 - CURRENT_PART) * previous
    allowed = limit.ratio * weighted + limit.constant
    return _count(host.repeats, LATEST) + 1 <= allowed + ROUNDING


def undivided_share(host: Host, limit: RepeatLimit) -> bool:
    """Give each process what is for all processes of its host."""
    constant = limit.constant * PROCESSES_PER_WINDOW
    return program_rule(host, replace(limit, constant=constant))


def empty_record(host: Host) -> Host:
    """Start as the program does: with nothing counted."""
    return Host((), ())


def kept_requests(host: Host) -> Host:
    """Start with the requests that were counted before, but no repeats."""
    return host._replace(repeats=())


class RepeatModel:
    """Transitions of the model.

    Args:
        limit: The operator's limit.
        rule: Decides on repeats.
        restart: Starts a host that was killed.
    """

    def __init__(
        self, limit: RepeatLimit, rule: Rule, restart: Restart
    ) -> None:
        self._limit = limit
        self._rule = rule
        self._restart = restart

    def transitions(self, packed: tuple[Any, ...]) -> list[tuple[str, Any]]:
        """Return the transitions that are possible in a state."""
        state = State(*packed)
        steps = [('tick', tuple(_next_tick(state)))]
        for number, host in enumerate(state.hosts):
            others = (*state.hosts[:number], *state.hosts[number + 1 :])
            for label, after, changed in self._host_steps(state, host):
                # Nothing depends on the order of hosts.
                hosts = tuple(sorted((*others, after)))
                complete = tuple(changed._replace(hosts=hosts))
                steps.append((f'host {number} {label}', complete))
        return steps

    def _host_steps(
        self, state: State, host: Host
    ) -> Iterator[tuple[str, Host, State]]:
        """Yield one host's transitions: label, host and state after it."""
        if state.requests_left:
            yield (
                'receives a request',
                host._replace(requests=(*host.requests, 0)),
                state._replace(
                    requests=(*state.requests, 0),
                    requests_left=state.requests_left - 1,
                ),
            )
        share = process_share(self._limit, HOSTS)
        if self._rule(host, replace(self._limit, constant=share)):
            yield (
                'repeats a request',
                host._replace(repeats=(*host.repeats, 0)),
                state._replace(repeats=(*state.repeats, 0)),
            )
        if state.kills_left:
            killed = state._replace(kills_left=state.kills_left - 1)
            yield 'is killed', self._restart(host), killed


def is_within(limit: RepeatLimit, fields: dict[str, Any]) -> bool:
    """Return whether no window has more repeats than hosts may use."""
    constant = SHARED_FRACTION * limit.constant
    return all(
        _count(fields['repeats'], start)
        <= limit.ratio * _largest(fields['requests'], start) + constant
        for start in range(LATEST, 1)
    )


def check(
    bounds: Bounds,
    rule: Rule = program_rule,
    restart: Restart = empty_record,
) -> dict[str, Any]:
    """Explore all reachable states and return the checker's report."""
    idle = Host((), ())
    initial = State((idle,) * HOSTS, (), (), bounds.requests, bounds.kills)
    protocol = Protocol(
        name='repeats',
        candidate=False,
        fields=State._fields,
        initial=tuple(initial),
        transitions=RepeatModel(bounds.limit, rule, restart).transitions,
        invariants={'within_limit': partial(is_within, bounds.limit)},
    )
    report: dict[str, Any] = check_safety(protocol, max_states=MAX_STATES)
    return report


def _count(ticks: Sequence[int], start: int) -> int:
    """Return how much happened in the window that begins with a tick."""
    return sum(start <= tick < start + WINDOW for tick in ticks)


def _largest(requests: Sequence[int], start: int) -> int:
    """Return the requests that the operator compares a window with."""
    earlier = (0, WINDOW // 2, WINDOW)
    return max(_count(requests, start - ticks) for ticks in earlier)


def _next_tick(state: State) -> State:
    """Return the state one tick later."""
    return state._replace(
        hosts=tuple(
            sorted(
                Host(
                    _older(host.requests, 2 * WINDOW),
                    _older(host.repeats, WINDOW),
                )
                for host in state.hosts
            )
        ),
        requests=_older(state.requests, 2 * WINDOW),
        repeats=_older(state.repeats, WINDOW),
    )


def _older(ticks: Ticks, span: int) -> Ticks:
    """Return ticks as of the next one, without those that no window counts."""
    return tuple(tick - 1 for tick in ticks if tick > -span)
