"""What tests of the stand-ins and of their clients share."""

import asyncio
from dataclasses import replace
from typing import Any, Final

from fakes.answers import QualityTable
from fakes.batching import BatchSpeed
from fakes.engine_settings import EngineSettings, ShelfSettings

QUICK_SPEED: Final = BatchSpeed(
    slots=4,
    queue_limit=1,
    prefill_rate=1e6,
    step_base=1e-4,
    step_per_request=0,
)
#: An answer takes minutes, so that a test can look at it while it runs.
ENDLESS: Final = replace(QUICK_SPEED, step_base=10)


class ManualClock:
    """A clock that moves only when somebody sleeps."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def now(self) -> float:
        """Return the seconds that were slept."""
        return self.seconds

    def wall(self) -> float:
        """Return the same."""
        return self.seconds

    async def sleep(self, seconds: float) -> None:
        """Move on, and let others run once."""
        self.seconds += seconds
        await asyncio.sleep(0)


def quick_settings(**changes: Any) -> EngineSettings:
    """Return the settings of an engine that is quick."""
    usual = EngineSettings(
        shelf=ShelfSettings(
            loaded=('a@1',),
            loadable=('a@2',),
            load_seconds=0,
        ),
        speed=QUICK_SPEED,
        report_lag=0,
        quality=QualityTable({'a@1': 0.5, 'a@1:tag': 0.9}),
    )
    return replace(usual, **changes)
