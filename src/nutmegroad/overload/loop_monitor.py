"""Measures how long an event loop takes for one iteration.

All that is ready is handled once in an iteration: a request that has arrived
waits for up to one before it is read, and for several more on its way through
the host. The time of an iteration thus shows whether the host itself is short
of processor time. Nothing is measured while a host waits for input, and a
machine that is suspended delays single iterations only.
"""

import statistics
from collections import deque
from typing import Final

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger

_LOG: Final = part_logger('overload')

#: Seconds between measurements. Each of them wakes up a host that is idle.
INTERVAL: Final = 0.25

#: Seconds between measurements while the host is late or may become so, unless
#: the last iteration was a long one.
SHORT_INTERVAL: Final = 0.05

#: Number of measurements of which the median counts: a pause of the process,
#: a garbage collection or a step of the clock delays one or two of them.
SAMPLES: Final = 5

#: Seconds of an iteration above which a host is late: a request then spends
#: half a second in it.
LATE: Final = 0.06

#: Seconds of an iteration below which a late host is on time again. The
#: difference keeps the log from reporting each small change.
ON_TIME: Final = 0.03

#: Seconds of an iteration that the timeouts of exchanges include.
NORMAL_ITERATION: Final = 0.005

#: Iterations that a request takes between its arrival and its transmission to
#: an upstream: accept, read, decide, connect twice, send, and as much again for
#: the answer.
ITERATIONS_PER_REQUEST: Final = 8


class LoopMonitor:
    """Measures the iterations of the running event loop.

    Args:
        clock: The host's clock.
    """

    @property
    def iteration(self) -> float:
        """Seconds that an iteration takes at present."""
        return self._iteration

    @property
    def own_delay(self) -> float:
        """Seconds by which this host delays an exchange at present.

        Timeouts allow for it, so that they show the lateness of others.
        """
        excess = max(0, self._iteration - NORMAL_ITERATION)
        return excess * ITERATIONS_PER_REQUEST

    @property
    def is_late(self) -> bool:
        """Whether this host is short of processor time."""
        return self._late_since is not None

    @property
    def late_seconds(self) -> float:
        """Seconds for which this host has been late; 0 if it is not."""
        if self._late_since is None:
            return 0
        return self.clock.now() - self._late_since

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._samples: deque[float] = deque(maxlen=SAMPLES)
        self._iteration: float = 0
        self._late_since: float | None = None

    async def run(self) -> None:
        """Measure until cancelled."""
        seconds: float = 0
        while True:
            if seconds < LATE:
                await self.clock.sleep(self._next_interval())
            began = self.clock.now()
            await self.clock.sleep(0)
            seconds = self.clock.now() - began
            self.record(seconds)

    def _next_interval(self) -> float:
        """Return the seconds until the next measurement."""
        longest = max(self._samples, default=0)
        return INTERVAL if longest < ON_TIME else SHORT_INTERVAL

    def record(self, seconds: float) -> None:
        """Record the duration of one iteration."""
        self._samples.append(max(0, seconds))
        if len(self._samples) == SAMPLES:
            self._iteration = statistics.median(self._samples)
        if self._late_since is None and self._iteration > LATE:
            self._late_since = self.clock.now()
            _LOG.decision('host is late', iteration=round(self._iteration, 3))
        elif self._late_since is not None and self._iteration < ON_TIME:
            _LOG.decision('host is on time', after=round(self.late_seconds, 3))
            self._late_since = None
