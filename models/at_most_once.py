"""At most once: intent rows and tickets under crashes, pauses, lost replies.

Two models, each with switches that take one mechanism out. Hosts take
their steps in any order, so a pause is a host that takes none while time
goes on. Run it as ``python -m models.at_most_once``.
"""

import sys
from collections.abc import Callable
from typing import Any, Final

from minicheck import Protocol, check_safety

from models.intents import IntentModel
from models.switches import (
    Switches,
)
from models.tickets import TicketModel

#: States that one exploration may have.
MOST_STATES: Final = 900_000
#: States among which a mutant's counterexample must be.
MUTANT_STATES: Final = 60_000
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
    most_states: int = MOST_STATES,
) -> dict[str, Any]:
    """Return what the checker found among so many states."""
    found: dict[str, Any] = check_safety(protocol, most_states)
    return found


def main() -> None:
    """Print the size of each model and the mutants' counterexamples."""
    for model in (IntentModel(), TicketModel()):
        sys.stdout.write(f'{explore(model.protocol())}\n')
    for name, mutant in MUTANTS.items():
        sys.stdout.write(f'{name}: {explore(mutant(), MUTANT_STATES)}\n')


if __name__ == '__main__':
    main()
