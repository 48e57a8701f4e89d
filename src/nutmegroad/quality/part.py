"""Parts that estimate quality and submit answers for rating."""

from typing import Final

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.decisions import Observers
from nutmegroad.contracts.peers import Mesh
from nutmegroad.contracts.platform import Objects, Ratings
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.types import TaskName, VersionId
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.membership.duties import Duties, DutyName
from nutmegroad.quality.canary_policy import CanaryPolicy, PresetShares
from nutmegroad.quality.estimates import Estimates
from nutmegroad.quality.plans import AdaptivePlanner
from nutmegroad.quality.quality_sharing import (
    STORE_PERIOD,
    FeedReader,
    QualitySharer,
    QualityStore,
)
from nutmegroad.quality.rating_samples import RatingSampler

#: Seconds between two updates of the metrics.
_METRICS_PERIOD: Final = 15.0
#: Seconds that a starting host takes to find peers before it asks them.
JOIN_PERIOD: Final = 2.0
#: Duty to read the feed and to store the resulting state.
FEED_DUTY: Final = DutyName('ratings-feed')


@register('part', 'quality')
class QualityPart:
    """Provides the estimates and the rule for versions in a rollout."""

    needs = (Configuration, Metrics)

    async def open(self, kernel: Kernel) -> None:
        """Start with the declared qualities alone."""
        configuration = kernel.need(Configuration)
        metrics = kernel.need(Metrics)
        estimates = Estimates(configuration, kernel.clock)
        kernel.provide(Estimates, estimates)
        kernel.provide(CanaryPolicy, CanaryPolicy(PresetShares(configuration)))

        async def update_periodically() -> None:
            """Update the metrics until cancelled."""
            while True:
                update_metrics(estimates, configuration, metrics)
                await kernel.clock.sleep(_METRICS_PERIOD)

        kernel.spawn(update_periodically, 'quality metrics')


@register('part', 'rating')
class RatingPart:
    """Submits answers for rating, reads the ratings and shares estimates."""

    needs = (Observers, Ratings, Objects, Estimates, Mesh, Duties)

    async def open(self, kernel: Kernel) -> None:
        """Start to sample answers, to share estimates and to read ratings."""
        self._start_sampling(kernel)
        sharer = QualitySharer(
            kernel.need(Mesh),
            kernel.need(Estimates),
            kernel.clock,
            kernel.randomness,
        )
        kernel.spawn(sharer.run, 'quality marks')
        kernel.spawn(sharer.run_fetches, 'quality sharing')
        self._start_reading(kernel, sharer)
        self._start_storing(kernel)

    def _start_reading(self, kernel: Kernel, sharer: QualitySharer) -> None:
        """Start to read the feed while this host holds the duty."""
        estimates, clock = kernel.need(Estimates), kernel.clock
        duties = kernel.need(Duties)
        store = QualityStore(kernel.need(Objects), estimates)
        reader = FeedReader(
            kernel.need(Ratings),
            estimates,
            clock,
            lambda: duties.is_mine(FEED_DUTY),
        )

        async def read_feed() -> None:
            """Read on from the state of a peer, or else the stored state."""
            await clock.sleep(JOIN_PERIOD)
            if not await sharer.fetch_initial():
                await store.load()
            await reader.run()

        kernel.spawn(read_feed, 'rating feed')

    def _start_storing(self, kernel: Kernel) -> None:
        """Start to store the state while this host holds the duty."""
        duties = kernel.need(Duties)
        store = QualityStore(kernel.need(Objects), kernel.need(Estimates))

        async def store_periodically() -> None:
            """Store the state periodically until cancelled."""
            while True:
                await kernel.clock.sleep(STORE_PERIOD)
                if duties.is_mine(FEED_DUTY):
                    await store.save()

        kernel.spawn(store_periodically, 'quality store')

    def _start_sampling(self, kernel: Kernel) -> None:
        """Start to observe attempts and to submit a sample of the answers."""
        sampler = RatingSampler(
            kernel.need(Ratings),
            kernel.need(Estimates),
            kernel.need(Configuration),
            kernel.clock,
            kernel.randomness,
        )
        sampler.count_outcome = kernel.need(Metrics).quality.count_sample
        kernel.need(Observers).add(sampler)
        kernel.spawn(sampler.run, 'rating samples')


@register('planner', 'adaptive')
def adaptive_planner(kernel: Kernel) -> AdaptivePlanner:
    """Create the planner of a host."""
    return AdaptivePlanner(
        kernel.need(Configuration),
        kernel.need(Estimates),
        kernel.need(CanaryPolicy),
        kernel.randomness,
    )


def update_metrics(
    estimates: Estimates,
    configuration: Configuration,
    metrics: Metrics,
) -> None:
    """Set the metrics to the current estimates."""
    quality = metrics.quality
    quality.clear_estimates()
    tracker = estimates.tracker
    quality.set_rating_service(
        tracker.position, estimates.seconds_since_rating, frozen=tracker.frozen
    )
    accepted = configuration.accepted
    if accepted is None:
        return
    for entry in accepted.preset_entry.tasks:
        task = TaskName(entry.task)
        for version in map(VersionId, entry.versions):
            estimate = estimates.estimate(version, task)
            bounds = {
                'lower': estimate.lower,
                'mean': estimate.mean,
                'upper': estimate.upper,
            }
            quality.set_estimate(version, task, bounds, estimate.ratings)
