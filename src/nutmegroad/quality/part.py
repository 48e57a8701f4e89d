"""The parts that estimate quality and have answers rated."""

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
from nutmegroad.quality.estimates import Estimates
from nutmegroad.quality.plans import AdaptivePlanner
from nutmegroad.quality.quality_sharing import (
    STORE_PERIOD,
    FeedReader,
    QualitySharer,
    QualityStore,
)
from nutmegroad.quality.rating_samples import RatingSamples
from nutmegroad.quality.trials import PresetShares, Trials

#: Seconds between two updates of the metrics.
_SHOW_PERIOD: Final = 15.0
#: Seconds that a starting host gives itself to find peers.
JOIN_PERIOD: Final = 2.0
#: The duty of reading the feed and of storing what it says.
FEED_DUTY: Final = DutyName('ratings-feed')


@register('part', 'quality')
class QualityPart:
    """Provides the estimates and the rule for roll-outs."""

    needs = (Configuration, Metrics)

    async def open(self, kernel: Kernel) -> None:
        """Begin with the declared qualities alone."""
        configuration = kernel.need(Configuration)
        metrics = kernel.need(Metrics)
        estimates = Estimates(configuration, kernel.clock)
        kernel.provide(Estimates, estimates)
        kernel.provide(Trials, Trials(PresetShares(configuration)))

        async def show_often() -> None:
            """Keep the metrics in step until cancelled."""
            while True:
                show(estimates, configuration, metrics)
                await kernel.clock.sleep(_SHOW_PERIOD)

        kernel.spawn(show_often(), 'quality metrics')


@register('part', 'rating')
class RatingPart:
    """Has answers rated, reads the ratings and shares what they say."""

    needs = (Observers, Ratings, Objects, Estimates, Mesh, Duties)

    async def open(self, kernel: Kernel) -> None:
        """Begin to sample, to share and to read."""
        self._start_samples(kernel)
        sharer = QualitySharer(
            kernel.need(Mesh),
            kernel.need(Estimates),
            kernel.clock,
            kernel.randomness,
        )
        kernel.spawn(sharer.run(), 'quality marks')
        kernel.spawn(sharer.follow(), 'quality sharing')
        self._start_reading(kernel, sharer)
        self._start_storing(kernel)

    def _start_reading(self, kernel: Kernel, sharer: QualitySharer) -> None:
        """Read the feed where that is our duty."""
        estimates, clock = kernel.need(Estimates), kernel.clock
        duties = kernel.need(Duties)
        store = QualityStore(kernel.need(Objects), estimates)
        reader = FeedReader(
            kernel.need(Ratings),
            estimates,
            clock,
            lambda: duties.is_mine(FEED_DUTY),
        )

        async def read_on() -> None:
            """Read on from where a peer's or the stored state ends."""
            await clock.sleep(JOIN_PERIOD)
            if not await sharer.fetch():
                await store.load()
            await reader.run()

        kernel.spawn(read_on(), 'rating feed')

    def _start_storing(self, kernel: Kernel) -> None:
        """Store the state now and then, where that is our duty."""
        duties = kernel.need(Duties)
        store = QualityStore(kernel.need(Objects), kernel.need(Estimates))

        async def store_often() -> None:
            """Store the state until cancelled."""
            while True:
                await kernel.clock.sleep(STORE_PERIOD)
                if duties.is_mine(FEED_DUTY):
                    await store.save()

        kernel.spawn(store_often(), 'quality store')

    def _start_samples(self, kernel: Kernel) -> None:
        """Watch attempts, and hand a share of the answers in."""
        samples = RatingSamples(
            kernel.need(Ratings),
            kernel.need(Estimates),
            kernel.need(Configuration),
            kernel.clock,
            kernel.randomness,
        )
        samples.count = kernel.need(Metrics).quality.sampled
        kernel.need(Observers).add(samples)
        kernel.spawn(samples.run(), 'rating samples')


@register('planner', 'adaptive')
def adaptive_planner(kernel: Kernel) -> AdaptivePlanner:
    """Make the planner for a host."""
    return AdaptivePlanner(
        kernel.need(Configuration),
        kernel.need(Estimates),
        kernel.need(Trials),
        kernel.randomness,
    )


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
