"""Exploring all states of a model whose states are small numbers."""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

#: The values of a state's fields.
Fields = tuple[int, ...]
#: The same by the fields' names.
Named = dict[str, int]
#: Tells whether a state is as it must be.
Demand = Callable[[Named], bool]
#: A step's name and the state after it.
Step = tuple[str, NamedTuple]


def explore(
    name: str,
    start: NamedTuple,
    steps: Callable[[Fields], Iterable[Step]],
    demands: dict[str, Demand],
    most: int,
) -> dict[str, Any]:
    """Explore all states, and return the checker's report.

    Args:
        name: The model's name.
        start: The first state.
        steps: Returns each step's name and the state after it.
        demands: What must hold in every state, by name.
        most: States after which it gives up.
    """
    protocol = Protocol(
        name=name,
        candidate=False,
        fields=start._fields,
        initial=tuple(start),
        transitions=lambda fields: [
            (step, tuple(after)) for step, after in steps(fields)
        ],
        invariants=demands,
    )
    report: dict[str, Any] = check_safety(protocol, max_states=most)
    return report
