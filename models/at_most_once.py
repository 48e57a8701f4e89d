"""Checks at-most-once execution under crashes, pauses and lost replies.

There are two models: intent rows and tickets. Each mechanism can be disabled
by a switch. Hosts take their steps in any order, so a paused host is one that
takes no step while time advances. Run it as ``python -m models.at_most_once``.
"""

import sys
from collections.abc import Callable
from typing import Any, Final

from minicheck import Protocol, check_safety

from models.intents import IntentModel
from models.switches import Switches
from models.tickets import TicketModel

#: Maximum number of states of an exhaustive search.
MAX_STATES: Final = 900_000
#: Number of states within which a mutant's counterexample must be found.
MAX_MUTANT_STATES: Final = 60_000
Mutant = Callable[[], Protocol]
MUTANTS: Final[dict[str, Mutant]] = {
    'put_if_absent': lambda: IntentModel(
        Switches(put_if_absent=False),
    ).protocol(),
    'nonce': lambda: IntentModel(Switches(nonce=False)).protocol(),
    'fence': lambda: IntentModel(Switches(fence=False)).protocol(),
    'no_takeover': lambda: IntentModel(Switches(no_takeover=False)).protocol(),
    'no_resend': lambda: IntentModel(Switches(no_resend=False)).protocol(),
    'truth': lambda: IntentModel(Switches(truth=False)).protocol(),
    'incarnation': lambda: TicketModel(Switches(incarnation=False)).protocol(),
    'spent_first': lambda: TicketModel(Switches(spent_first=False)).protocol(),
    'gone_unknown': lambda: TicketModel(
        Switches(gone_unknown=False),
    ).protocol(),
}


def explore(
    protocol: Protocol,
    max_states: int = MAX_STATES,
) -> dict[str, Any]:
    """Return the checker's report on at most ``max_states`` states."""
    report: dict[str, Any] = check_safety(protocol, max_states)
    return report


def main() -> None:
    """Print the report on each model and on each mutant."""
    for model in (IntentModel(), TicketModel()):
        sys.stdout.write(f'{explore(model.protocol())}\n')
    for name, mutant in MUTANTS.items():
        sys.stdout.write(f'{name}: {explore(mutant(), MAX_MUTANT_STATES)}\n')


if __name__ == '__main__':
    main()
