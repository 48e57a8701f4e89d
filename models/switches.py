"""Bounds, and the mechanisms that a model of at most once can do without."""

from dataclasses import dataclass
from typing import Any, Final

#: Ticks of the lease, and of the whole model.
LEASE: Final = 1
LAST_TICK: Final = 3
#: Runs of a host: a host restarts at most once.
LAST_RUN: Final = 1
#: Tries of the caller at the first host; there is one at the second.
MOST_TRIES: Final = 2
HOSTS: Final = (0, 1)


@dataclass(frozen=True, slots=True)
class Switches:
    """Which mechanisms are in; each False is a mutant.

    Attributes:
        put_if_absent: A claim is written only where no claim stands.
        nonce: A read-back looks for the writer's own nonce.
        fence: The lease is checked in the step of the first byte.
        no_takeover: An open intent of a dead owner is left alone.
        no_resend: What may have run is not sent again.
        truth: After the first byte nothing is said to be not run.
        incarnation: Only the run that issued a ticket spends it.
        spent_first: A ticket is marked as spent before the first byte.
        gone_unknown: A ticket whose issuer is not reached is unknown.
    """

    put_if_absent: bool = True
    nonce: bool = True
    fence: bool = True
    no_takeover: bool = True
    no_resend: bool = True
    truth: bool = True
    incarnation: bool = True
    spent_first: bool = True
    gone_unknown: bool = True


ALL_IN: Final = Switches()
Step = tuple[str, Any]


def one_more(runs: int) -> int:
    """Return one run more; beyond two they need no telling apart."""
    return min(runs + 1, 2)
