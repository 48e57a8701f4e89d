"""Metrics of quality estimates and of the rating service."""

from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge

from nutmegroad.foundations.types import TaskName, VersionId

_NAMESPACE: Final = 'nutmegroad'


class QualityMetrics:
    """Quality estimates of model versions, and the arrival of ratings.

    Args:
        registry: Registry to which the metrics are added.
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

    def set_estimate(
        self,
        version: VersionId,
        task: TaskName,
        bounds: dict[str, float],
        ratings: float,
    ) -> None:
        """Set the quality estimate of a version for a task class.

        Args:
            version: The version.
            task: The task class.
            bounds: Estimated quality by bound: lower, mean and upper.
            ratings: Ratings behind the estimate, after decay.
        """
        for bound, quality in bounds.items():
            self._quality.labels(version, task, bound).set(quality)
        self._ratings.labels(version, task).set(ratings)

    def clear_estimates(self) -> None:
        """Remove all estimates, so that only current ones are set again."""
        self._quality.clear()
        self._ratings.clear()

    def set_rating_service(
        self, position: int, silence: float, *, frozen: bool
    ) -> None:
        """Set the state of the rating service.

        Args:
            position: Position in the ratings feed up to which this host has
                read.
            silence: Seconds since a rating was last accepted.
            frozen: Whether the rating service is considered faulty.
        """
        self._position.set(position)
        self._silence.set(silence)
        self._frozen.set(frozen)

    def count_sample(self, outcome: str) -> None:
        """Count an answer that was sampled for rating, by its outcome."""
        self._samples.labels(outcome).inc()
