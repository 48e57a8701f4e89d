"""Fast engine settings and a manual clock for tests of the stand-ins."""

import asyncio
from dataclasses import replace
from typing import Any, Final

from fakes.answers import QualityTable
from fakes.batching import BatchSpeed
from fakes.engine_settings import EngineSettings, VersionSettings

FAST_SPEED: Final = BatchSpeed(
    slots=4,
    queue_limit=1,
    prefill_rate=1e6,
    step_base=1e-4,
    step_per_request=0,
)
#: Answers take minutes, so that tests can observe them while they run.
VERY_SLOW_SPEED: Final = replace(FAST_SPEED, step_base=10)


class ManualClock:
    """A clock that advances only by sleeping."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def now(self) -> float:
        """Return the total of the seconds slept."""
        return self.seconds

    def wall(self) -> float:
        """Return the same time as ``now``."""
        return self.seconds

    async def sleep(self, seconds: float) -> None:
        """Advance the clock and let other tasks run once."""
        self.seconds += seconds
        await asyncio.sleep(0)


def fast_settings(**changes: Any) -> EngineSettings:
    """Return the settings of a fast engine, with some of them changed."""
    defaults = EngineSettings(
        versions=VersionSettings(
            loaded=('a@1',),
            loadable=('a@2',),
            load_seconds=0,
        ),
        speed=FAST_SPEED,
        report_lag=0,
        quality=QualityTable({'a@1': 0.5, 'a@1:tag': 0.9}),
    )
    return replace(defaults, **changes)
