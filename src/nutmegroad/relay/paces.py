"""How long answers usually take to begin, by route and model."""

from dataclasses import dataclass
from typing import Final

from nutmegroad.relay.deployment import RouteName
from nutmegroad.types import ModelName

#: Seconds below which answers count as equally fast.
SHORTEST: Final = 0.001

#: Weight of the newest answer: about the last twenty decide.
RECENT: Final = 0.1


@dataclass(frozen=True, slots=True)
class PaceKey:
    """Answers that take about as long as each other.

    Attributes:
        route: Their route.
        model: Their model; None where callers name it, or there is none.
    """

    route: RouteName
    model: ModelName | None


class UsualPaces:
    """Moving averages of the time to an answer's beginning."""

    def __init__(self) -> None:
        self._seconds: dict[PaceKey, float] = {}

    def usual(self, key: PaceKey) -> float | None:
        """Return the usual seconds, or None before the first answer."""
        return self._seconds.get(key)

    def observe(self, key: PaceKey, seconds: float) -> float:
        """Take an answer in, and return its pace against the usual.

        Returns:
            1 for an answer that was as fast as usual, 2 for twice as slow.
        """
        usual = self._seconds.get(key)
        if usual is None:
            self._seconds[key] = seconds
            return 1
        self._seconds[key] = usual + RECENT * (seconds - usual)
        return seconds / max(usual, SHORTEST)
