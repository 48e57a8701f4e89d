"""Metrics of quality estimates and of the rating service."""

from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge

from nutmegroad.foundations.types import TaskName, VersionId

_NAMESPACE: Final = 'nutmegroad'


class QualityMetrics:
    """What is believed of versions, and how ratings come in.

    Args:
        registry: Where the metrics are registered.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._quality = Gauge(
            'quality',
            'Estimated quality; bound is lower, mean or upper',
            ('version', 'task', 'bound'),
            namespace=_NAMESPACE,
            registry=registry,
        )
        self._ratings = Gauge(
            'quality_ratings',
            'Ratings that an estimate rests on, after decay',
            ('version', 'task'),
            namespace=_NAMESPACE,
            registry=registry,
        )
        self._frozen = Gauge(
            'ratings_frozen',
            '1 while the rating service is held for wrong',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self._silence = Gauge(
            'ratings_silence_seconds',
            'Seconds since a rating was taken in',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self._position = Gauge(
            'ratings_position',
            'How far in the feed of ratings the host has read',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self._samples = Counter(
            'rating_samples',
            'Answers chosen for rating, by what became of them',
            ('outcome',),
            namespace=_NAMESPACE,
            registry=registry,
        )

    def estimate(
        self,
        version: VersionId,
        task: TaskName,
        bounds: dict[str, float],
        ratings: float,
    ) -> None:
        """Set what is believed of a version for a task class."""
        for bound, number in bounds.items():
            self._quality.labels(version, task, bound).set(number)
        self._ratings.labels(version, task).set(ratings)

    def forget(self) -> None:
        """Take all estimates away, before those of now are set."""
        self._quality.clear()
        self._ratings.clear()

    def service(self, position: int, silence: float, *, frozen: bool) -> None:
        """Set how the rating service does."""
        self._position.set(position)
        self._silence.set(silence)
        self._frozen.set(frozen)

    def sampled(self, outcome: str) -> None:
        """Count an answer that was chosen for rating."""
        self._samples.labels(outcome).inc()
