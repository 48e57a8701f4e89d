"""How often each table of the platform's store is asked for.

Each answer costs, so a host waits at the store as long as it may.
"""

from typing import Final

from nutmegroad.fleet.followers import FeedPace

#: Part of the keys' trust for which the store is asked to wait: an answer is
#: a moment old when it comes, and a lost one is noticed after a second.
TRUST_PART: Final = 0.6

#: Seconds for which the store is asked to wait for changes of what is not
#: bound by the keys' trust; a dead connection shows by the kernel's probes.
LONG_WAIT: Final = 20.0

#: Seconds between an answer and the next question. A configuration has to be
#: in force within two seconds, and may come ten times a second: a storm of
#: them then costs two or three answers a second.
OPERATOR_REST: Final = 0.4

#: Upstreams give two seconds' notice before they leave; many leave or come
#: one after another when a service is replaced.
UPSTREAM_REST: Final = 0.5
UPSTREAM_PACE: Final = FeedPace(LONG_WAIT, UPSTREAM_REST)

#: A bad version is to be halted within seconds, and every host's news wakes
#: every other host.
FLEET_PACE: Final = FeedPace(LONG_WAIT, 1.0)


def operator_pace(trust: float | None) -> FeedPace:
    """Return how often the operator's table is asked for.

    Args:
        trust: Seconds for which keys hold unconfirmed; None for ever.
    """
    wait = LONG_WAIT if trust is None else trust * TRUST_PART
    return FeedPace(wait, OPERATOR_REST)
