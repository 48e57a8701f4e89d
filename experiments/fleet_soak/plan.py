"""The plan of a soak: which faults are injected when, drawn from a seed."""

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final


@unique
class Fault(Enum):
    """Kinds of faults and planned operations; values are printed names."""

    HOST_KILLED = 'host killed'
    HOST_PAUSED = 'host paused'
    HOST_STOPPED = 'host stopped'
    HOST_RELOADED = 'host reloaded'
    HOST_CROWDED = 'host crowded'
    WORKER_KILLED = 'worker killed'
    WORKER_PAUSED = 'worker paused'
    WORKER_FAILS = 'worker fails'
    WORKER_LEAVES = 'worker leaves'
    WORKER_BREAKS_OFF = 'worker breaks off'
    WORKER_SILENT = 'worker silent'
    WORKER_SLOW = 'worker slow'
    WORKER_ONE_WAY = 'worker one way'
    WORKER_RESET = 'worker reset'
    WORKER_STALLED = 'worker stalled'
    WORKERS_BRITTLE = 'workers brittle'
    WORKERS_IN_NEED = 'workers in need'
    HOSTS_CUT_RESET = 'hosts cut off, reset'
    HOSTS_CUT_SILENT = 'hosts cut off, silent'
    HOSTS_CUT_REFUSED = 'hosts cut off, new connections refused'
    CALLERS_RESET = 'callers reset'
    STORE_BUSY = 'store busy'
    STORE_THROTTLED = 'store throttled'
    STORE_SILENT = 'store silent'
    STORE_LOSES_REPLIES = 'store loses replies'
    STORE_FORGETS = 'store forgets'
    STORE_REFUSES_HOST = 'store refuses a host'
    STORE_SLOW = 'store slow'
    STORE_SILENT_TO_HOST = 'store silent to a host'
    STORE_RESTORED = 'store back from a copy'
    HARMFUL_REQUEST = 'harmful request'
    HARMFUL_PART = 'harmful part'
    KEY_REVOKED = 'key revoked'
    CONFIGURED = 'configured'
    FOREIGN_ENTRY = 'foreign entry'
    DOMAIN_EVACUATED = 'domain evacuated'
    ROLLED_OUT = 'rolled out'
    ROLLED_OUT_BAD = 'rolled out a bad version'


#: Routine work of operators, through which all rules must hold.
PLANNED_OPERATIONS: Final = frozenset(
    (
        Fault.HOST_STOPPED,
        Fault.HOST_RELOADED,
        Fault.WORKER_LEAVES,
        Fault.KEY_REVOKED,
        Fault.CONFIGURED,
        Fault.FOREIGN_ENTRY,
        Fault.DOMAIN_EVACUATED,
        Fault.ROLLED_OUT,
        Fault.ROLLED_OUT_BAD,
    ),
)

#: Faults through which all rules must hold, too: sound workers may be silent
#: for a second, and hosts that are cut off from workers still reach the store.
UNEXCUSED_FAULTS: Final = frozenset(
    (
        Fault.WORKER_STALLED,
        Fault.WORKERS_BRITTLE,
        Fault.WORKERS_IN_NEED,
        Fault.HOSTS_CUT_RESET,
        Fault.HOSTS_CUT_SILENT,
        Fault.HOSTS_CUT_REFUSED,
    ),
)

#: Faults that affect one host alone; the others must keep all rules meanwhile.
SINGLE_HOST_FAULTS: Final = frozenset(
    (
        Fault.HOST_KILLED,
        Fault.HOST_PAUSED,
        Fault.HOST_CROWDED,
        Fault.CALLERS_RESET,
        Fault.STORE_REFUSES_HOST,
        Fault.STORE_SLOW,
        Fault.STORE_SILENT_TO_HOST,
    ),
)

#: Minimum and maximum seconds between the beginnings of two faults, and of the
#: duration of one.
GAP_RANGE: Final = (0.3, 2.0)
DURATION_RANGE: Final = (1.0, 4.0)


@dataclass(frozen=True, slots=True)
class Event:
    """A planned fault or operation.

    Attributes:
        at: Seconds from the first request.
        fault: Its kind.
        target: Number of the affected host or worker, from 0; taken modulo
            their count.
        duration: Duration in seconds, for kinds that last.
    """

    at: float
    fault: Fault
    target: int
    duration: float

    @property
    def excuses_failures(self) -> bool:
        """Whether rules need not hold for what it affects."""
        return self.fault not in PLANNED_OPERATIONS | UNEXCUSED_FAULTS

    def __str__(self) -> str:
        """Return its line of the printed plan."""
        return (
            f'{self.at:6.2f} s  {self.fault.value} '
            f'(number {self.target}, {self.duration:.1f} s)'
        )


def draw_plan(
    seed: int,
    seconds: float,
    targets: int,
    kinds: Iterable[Fault] = Fault,
) -> Iterator[Event]:
    """Yield the events of a seed, ordered by time.

    Every kind comes once, in random order, before any comes again.

    Args:
        seed: The seed.
        seconds: Time limit for the beginning of the last event.
        targets: Exclusive upper bound of target numbers.
        kinds: The kinds to draw from.
    """
    rng = random.Random(seed)
    at = rng.uniform(*GAP_RANGE)
    remaining: list[Fault] = []
    while at < seconds:
        if not remaining:
            remaining = list(kinds)
            rng.shuffle(remaining)
        yield Event(
            at,
            remaining.pop(),
            rng.randrange(targets),
            rng.uniform(*DURATION_RANGE),
        )
        at += rng.uniform(*GAP_RANGE)
