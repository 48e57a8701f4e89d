"""Bounds and switchable mechanisms of the at-most-once models."""

from dataclasses import dataclass
from typing import Any, Final

#: Duration of a claim's lease and of the whole model, in ticks.
LEASE: Final = 1
LAST_TICK: Final = 3
#: Number of a host's last incarnation: a host restarts at most once.
LAST_INCARNATION: Final = 1
#: Attempts of the caller at the first host; it makes one at the second.
MAX_ATTEMPTS: Final = 2
#: Numbers of the two hosts.
HOSTS: Final = (0, 1)


@dataclass(frozen=True, slots=True)
class Switches:
    """Which mechanisms are enabled; disabling one makes a mutant.

    Attributes:
        put_if_absent: A claim is written only if no other claim is in force.
        nonce: A host that reads a claim back checks for its own nonce.
        fence: The lease is checked in the same step as the first byte is sent.
        no_takeover: An open intent of a crashed owner is not taken over.
        no_resend: A request that may have been executed is not sent again.
        truth: Once the first byte is sent, a host never reports "not run".
        incarnation: Only the incarnation that issued a ticket may spend it.
        spent_first: A ticket is marked as spent before the first byte is sent.
        gone_unknown: The outcome of a ticket is reported as unknown if its
            issuer is unreachable.
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


ALL_ENABLED: Final = Switches()
Step = tuple[str, Any]


def count_execution(executions: int) -> int:
    """Return the incremented count of executions, capped at two.

    The invariants need no distinction beyond two.
    """
    return min(executions + 1, 2)
