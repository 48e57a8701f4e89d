"""The parts that estimate quality and have answers rated."""

from typing import Final

from nutmegroad.configuration import Configuration
from nutmegroad.core import Kernel
from nutmegroad.decisions import Observers
from nutmegroad.estimates import Estimates
from nutmegroad.metrics import Metrics
from nutmegroad.plans import AdaptivePlanner, PresetShares
from nutmegroad.platform import Objects, Ratings
from nutmegroad.quality_sharing import FeedReader, QualityStore
from nutmegroad.rating_samples import RatingSamples
from nutmegroad.registry import register
from nutmegroad.types import TaskName, VersionId

#: Seconds between two updates of the metrics.
_SHOW_PERIOD: Final = 15.0


@register('part', 'quality')
class QualityPart:
    """Provides the estimates."""

    needs = (Configuration, Metrics)

    async def open(self, kernel: Kernel) -> None:
        """Begin with the declared qualities alone."""
        configuration = kernel.need(Configuration)
        metrics = kernel.need(Metrics)
        estimates = Estimates(configuration, kernel.clock)
        kernel.provide(Estimates, estimates)

        async def show_often() -> None:
            """Keep the metrics in step until cancelled."""
            while True:
                show(estimates, configuration, metrics)
                await kernel.clock.sleep(_SHOW_PERIOD)

        kernel.spawn(show_often(), 'quality metrics')


@register('part', 'rating')
class RatingPart:
    """Has answers rated, and reads the ratings."""

    needs = (Observers, Ratings, Objects, Estimates, Configuration)

    async def open(self, kernel: Kernel) -> None:
        """Take the stored state in, then begin to sample and to read."""
        estimates = kernel.need(Estimates)
        ratings = kernel.need(Ratings)
        store = QualityStore(kernel.need(Objects), estimates)
        samples = RatingSamples(
            ratings,
            estimates,
            kernel.need(Configuration),
            kernel.clock,
            kernel.randomness,
        )
        samples.count = kernel.need(Metrics).quality.sampled
        kernel.need(Observers).add(samples)
        kernel.spawn(samples.run(), 'rating samples')
        reader = FeedReader(ratings, estimates, kernel.clock, _always)

        async def start_reading() -> None:
            """Read on from where the stored state ends."""
            await store.load()
            await reader.run()

        kernel.spawn(start_reading(), 'rating feed')


@register('planner', 'adaptive')
def adaptive_planner(kernel: Kernel) -> AdaptivePlanner:
    """Make the planner for a host."""
    configuration = kernel.need(Configuration)
    return AdaptivePlanner(
        configuration,
        kernel.need(Estimates),
        PresetShares(configuration),
        kernel.randomness,
    )


def _always() -> bool:
    """Read the feed on every host, until hosts share the duty."""
    return True


def show(
    estimates: Estimates,
    configuration: Configuration,
    metrics: Metrics,
) -> None:
    """Put what is believed into the metrics."""
    quality = metrics.quality
    quality.forget()
    book = estimates.book
    quality.service(book.position, estimates.silence, frozen=book.frozen)
    accepted = configuration.accepted
    if accepted is None:
        return
    for entry in accepted.preset_entry.tasks:
        task = TaskName(entry.task)
        for version in map(VersionId, entry.versions):
            known = estimates.estimate(version, task)
            bounds = {
                'lower': known.lower,
                'mean': known.mean,
                'upper': known.upper,
            }
            quality.estimate(version, task, bounds, known.ratings)
