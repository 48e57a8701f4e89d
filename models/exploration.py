"""Exhaustive search of models whose states are tuples of small integers."""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

#: Values of a state's fields, in the order of the tuple.
Fields = tuple[int, ...]
#: Values of a state's fields, by field name.
NamedFields = dict[str, int]
#: Returns whether a property holds in a state.
Invariant = Callable[[NamedFields], bool]
#: Label of a transition and the state after it.
Step = tuple[str, NamedTuple]


def explore(
    name: str,
    initial: NamedTuple,
    steps: Callable[[Fields], Iterable[Step]],
    invariants: dict[str, Invariant],
    max_states: int,
) -> dict[str, Any]:
    """Explore all reachable states and return the checker's report.

    Args:
        name: Name of the model in the report.
        initial: The initial state.
        steps: Returns the transitions that are possible in a state.
        invariants: Properties that must hold in every state, by name.
        max_states: Number of states after which the search gives up.
    """
    protocol = Protocol(
        name=name,
        candidate=False,
        fields=initial._fields,
        initial=tuple(initial),
        transitions=lambda fields: [
            (label, tuple(after)) for label, after in steps(fields)
        ],
        invariants=invariants,
    )
    report: dict[str, Any] = check_safety(protocol, max_states=max_states)
    return report
