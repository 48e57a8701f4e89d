"""Which faults befall a soak, and when: drawn from a seed and printed."""

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final


@unique
class Fault(Enum):
    """What may befall a fleet; planned work is no trouble."""

    HOST_KILLED = 'host killed'
    HOST_PAUSED = 'host paused'
    HOST_STOPPED = 'host stopped'
    HOST_RELOADED = 'host reloaded'
    WORKER_KILLED = 'worker killed'
    WORKER_PAUSED = 'worker paused'
    WORKER_FAILS = 'worker fails'
    WORKER_LEAVES = 'worker leaves'
    WORKER_SILENT = 'worker silent'
    WORKER_SLOW = 'worker slow'
    WORKER_ONE_WAY = 'worker one way'
    WORKER_RESET = 'worker reset'
    CALLERS_RESET = 'callers reset'
    STORE_BUSY = 'store busy'
    STORE_THROTTLED = 'store throttled'
    STORE_SILENT = 'store silent'
    STORE_LOSES = 'store loses replies'
    STORE_FORGETS = 'store forgets'
    STORE_REFUSES = 'store refuses a host'
    STORE_SLOW = 'store slow'
    STORE_HOLDS = 'store silent to a host'
    STORE_RETURNS = 'store back from a copy'
    HARMFUL_REQUEST = 'harmful request'
    KEY_REVOKED = 'key revoked'
    CONFIGURED = 'configured'
    FOREIGN_ENTRY = 'foreign entry'
    ROLLED_OUT = 'rolled out'
    ROLLED_OUT_BAD = 'rolled out a bad version'


#: What operators do on an ordinary day; rules hold through it.
PLANNED: Final = frozenset(
    (
        Fault.HOST_STOPPED,
        Fault.HOST_RELOADED,
        Fault.WORKER_LEAVES,
        Fault.KEY_REVOKED,
        Fault.CONFIGURED,
        Fault.FOREIGN_ENTRY,
        Fault.ROLLED_OUT,
        Fault.ROLLED_OUT_BAD,
    ),
)

#: What befalls one host alone; the others have to keep all rules meanwhile.
OF_ONE_HOST: Final = frozenset(
    (
        Fault.HOST_KILLED,
        Fault.HOST_PAUSED,
        Fault.CALLERS_RESET,
        Fault.STORE_REFUSES,
        Fault.STORE_SLOW,
        Fault.STORE_HOLDS,
    ),
)

#: Least and most seconds between two faults, and for which one lasts.
GAPS: Final = (0.3, 2.0)
LASTS: Final = (1.0, 4.0)


@dataclass(frozen=True, slots=True)
class Event:
    """A fault of a plan.

    Attributes:
        at: Seconds from the first request.
        fault: What happens.
        target: Which host or worker, counted from 0.
        lasts: Seconds.
    """

    at: float
    fault: Fault
    target: int
    lasts: float

    @property
    def planned(self) -> bool:
        """Tell whether it is no trouble."""
        return self.fault in PLANNED

    def __str__(self) -> str:
        """Return a line of the printed plan."""
        return (
            f'{self.at:6.2f} s  {self.fault.value} '
            f'(number {self.target}, {self.lasts:.1f} s)'
        )


def draw(
    seed: int,
    seconds: float,
    targets: int,
    kinds: Iterable[Fault] = Fault,
) -> Iterator[Event]:
    """Yield the faults of a seed, in order; kinds come in turn, shuffled.

    Args:
        seed: The seed.
        seconds: For how long faults begin.
        targets: How many hosts and workers there are at most.
        kinds: The kinds that come.
    """
    randomness = random.Random(seed)
    at = randomness.uniform(*GAPS)
    waiting: list[Fault] = []
    while at < seconds:
        if not waiting:
            waiting = list(kinds)
            randomness.shuffle(waiting)
        yield Event(
            at,
            waiting.pop(),
            randomness.randrange(targets),
            randomness.uniform(*LASTS),
        )
        at += randomness.uniform(*GAPS)
