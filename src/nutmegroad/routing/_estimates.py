"""Speed estimates of versions and engines, from this host's attempts."""

import random
from bisect import bisect_right
from collections import deque
from typing import Final

from nutmegroad.contracts.upstreams import UpstreamState
from nutmegroad.routing._ejection import REPORT_LAG, Health

#: Number of recent counts of own attempts that are kept, to determine how many
#: of them a delayed report included.
_HISTORY: Final = 64

#: Weight of the newest observation in a version's speed.
_GAIN: Final = 0.05

#: Weight of the newest observation in an engine's slowness and in the tokens
#: that a cached prefix saves.
_SLOWNESS_GAIN: Final = 0.2

#: Factor from the expected value beyond which an observation is clamped.
_OUTLIER: Final = 8.0

#: Weight of the newest report in the load caused by other hosts.
_REPORT_GAIN: Final = 0.2

#: Number of other hosts assumed to behave like this one. All hosts read the
#: same reports, so an engine that attracts this host attracts others too.
_SIMILAR_HOSTS: Final = 3

#: Half-life in seconds of a measured slowness.
_SLOWNESS_HALF_LIFE: Final = 30.0

#: Slowness from which an engine counts as slow.
_SLOW_RATIO: Final = 1.4

# Estimates before the first observation: seconds between two output tokens,
# seconds per uncached prompt token, total seconds of a request, and prompt
# tokens that a cached prefix saves.
_INITIAL_TOKEN_INTERVAL: Final = 0.03
_INITIAL_PREFILL: Final = 0.0002
_INITIAL_SERVICE_TIME: Final = 5.0
_INITIAL_SAVED_TOKENS: Final = 64.0

#: Variance of ``x`` below which a linear fit has no slope.
_MIN_VARIANCE: Final = 0.25


class LinearFit:
    """A linear fit to points whose weight decays with age.

    Args:
        level: Expected value before the first point.
    """

    def __init__(self, level: float) -> None:
        self._x: float = 0
        self._y = level
        self._xx: float = 0
        self._xy: float = 0
        self._count = 0

    @property
    def slope(self) -> float:
        """Return the increase per unit, never below 0."""
        if self._xx < _MIN_VARIANCE:
            return 0
        return max(0, self._xy / self._xx)

    def at(self, x: float) -> float:
        """Return the expected value at ``x``."""
        floor = self._y / _OUTLIER
        return max(floor, self._y + self.slope * (x - self._x))

    def add(self, x: float, y: float) -> None:
        """Add a point; one far above the expected value is clamped."""
        self._count += 1
        gain = max(_GAIN, 1 / self._count)
        if self._count > 1:
            y = min(y, self.at(x) * _OUTLIER)
        dx = x - self._x
        dy = y - self._y
        self._x += gain * dx
        self._y += gain * dy
        self._xx = (1 - gain) * (self._xx + gain * dx * dx)
        self._xy = (1 - gain) * (self._xy + gain * dx * dy)


class RunningMedian:
    """A running median that each value moves by a small factor only.

    The first value replaces the initial one.

    Args:
        level: Initial value.
    """

    def __init__(self, level: float) -> None:
        self.level = level
        self._fresh = True

    def add(self, found: float) -> None:
        """Add a value."""
        if self._fresh:
            self._fresh = False
            self.level = found
        elif found > self.level:
            self.level *= 1 + _GAIN
        else:
            self.level /= 1 + _GAIN


class VersionSpeed:
    """Speed of a version on the engines that have it loaded.

    Attributes:
        token_interval: Seconds between two output tokens, by the number of
            requests at the engine.
        prefill: Seconds for each prompt token that is not cached.
        service_time: Total seconds of a request, by the number of requests at
            the engine.
        saved_tokens: Prompt tokens that a cached prefix saves.
    """

    def __init__(self) -> None:
        self.token_interval = LinearFit(_INITIAL_TOKEN_INTERVAL)
        self.prefill = RunningMedian(_INITIAL_PREFILL)
        self.service_time = LinearFit(_INITIAL_SERVICE_TIME)
        self.saved_tokens = _INITIAL_SAVED_TOKENS

    def add_cached(self, tokens: int) -> None:
        """Record the tokens that a cached prefix saved.

        Cache misses are not counted. An engine that gets a prefix more often
        will have it cached more often, and a busy engine is avoided anyway.
        """
        self.saved_tokens += (tokens - self.saved_tokens) * _SLOWNESS_GAIN


class EngineView:
    """Load and speed of one engine as learned by this host.

    Args:
        state: The engine.
        randomness: Jitter of ejection times.
    """

    def __init__(
        self,
        state: UpstreamState,
        randomness: random.Random,
    ) -> None:
        self.health = Health(state.first_seen, randomness)
        self._other_load: float = 0
        self._usual_in_flight: float = 0
        self._reported = float('-inf')
        self._own = 0
        self._times: deque[float] = deque(maxlen=_HISTORY)
        self._counts: deque[int] = deque(maxlen=_HISTORY)
        self._slowness = 1.0
        self._measured = float('-inf')

    def load(self, state: UpstreamState) -> float:
        """Return the estimated number of requests there, from all hosts."""
        if (
            state.report is not None
            and state.report_requested_at != self._reported
        ):
            self._reported = state.report_requested_at
            total = state.report.running + state.report.queued
            seen = self._own_at(state.report_requested_at - REPORT_LAG)
            others = max(0, total - seen)
            gain = _REPORT_GAIN
            self._other_load += (others - self._other_load) * gain
            self._usual_in_flight += (
                state.in_flight - self._usual_in_flight
            ) * gain
        own = state.in_flight
        expected = (
            own
            + self._other_load
            + _SIMILAR_HOSTS * (own - self._usual_in_flight)
        )
        return max(own, expected)

    def slowness(self, now: float) -> float:
        """Return the engine's times relative to its peers'; 1 is normal.

        Small differences result from load. Reacting to them would fill the
        engines up one after another.
        """
        measured = self._smoothed(now)
        return measured if measured > _SLOW_RATIO else 1.0

    def count_attempt(self, now: float, step: int) -> None:
        """Record that one of this host's attempts has started or ended.

        Args:
            now: Clock seconds.
            step: 1 for a start, -1 for an end.
        """
        self._own += step
        self._times.append(now)
        self._counts.append(self._own)

    def add_ratio(self, ratio: float, now: float) -> None:
        """Record a measured time relative to that expected of a peer."""
        bounded = min(_OUTLIER, max(1 / _OUTLIER, ratio))
        before = self._smoothed(now)
        self._slowness = before + (bounded - before) * _SLOWNESS_GAIN
        self._measured = now

    def _smoothed(self, now: float) -> float:
        """Return the measured slowness, decayed to ``now``."""
        age = max(0, now - self._measured)
        kept: float = 0.5 ** (age / _SLOWNESS_HALF_LIFE)
        return 1 + (self._slowness - 1) * kept

    def _own_at(self, at_time: float) -> int:
        """Return how many of this host's attempts ran at a given time."""
        place = bisect_right(self._times, at_time)
        if place:
            return self._counts[place - 1]
        return 0 if len(self._times) < _HISTORY else self._counts[0]
