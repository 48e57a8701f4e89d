"""The part that keeps the configuration in force on this host."""

from typing import Final

from nutmegroad.configuration.announcements import Announcer
from nutmegroad.configuration.changes import Changes
from nutmegroad.configuration.confirmations import Confirmations
from nutmegroad.configuration.heads import HeadStore
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.configuration.progress import ChangeProgress
from nutmegroad.configuration.spread import ConfigurationPoller, PollTiming
from nutmegroad.contracts.peers import Mesh
from nutmegroad.contracts.platform import Objects, Table
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register

#: Seconds between looks for the metrics.
_SHOWN_EVERY: Final = 1.0


@register('part', 'configuration')
class ConfigurationPart:
    """Provides the configuration and the way to change it."""

    needs = (Table, Objects, Mesh, Metrics)

    async def open(self, kernel: Kernel) -> None:
        """Read the head once, then keep polling it."""
        configuration = Configuration(kernel.clock, kernel.settings.lease)
        store = HeadStore(
            kernel.need(Table),
            kernel.need(Objects),
            kernel.nonce,
        )
        poller = _spread(kernel, configuration, store)
        progress = ChangeProgress(
            kernel.need(Mesh),
            configuration,
            kernel.settings.host,
            kernel.settings.domain,
        )
        await poller.poll()
        kernel.spawn(poller.run(), 'configuration')
        kernel.spawn(
            show_state(configuration, kernel.need(Metrics), kernel.clock),
            'configuration metrics',
        )
        kernel.provide(Configuration, configuration)
        kernel.provide(HeadStore, store)
        kernel.provide(ConfigurationPoller, poller)
        kernel.provide(ChangeProgress, progress)
        kernel.provide(Changes, Changes(store, poller, configuration))


def _spread(
    kernel: Kernel,
    configuration: Configuration,
    store: HeadStore,
) -> ConfigurationPoller:
    """Begin to tell of changes; return what learns of them."""
    confirmations = Confirmations(
        kernel.need(Mesh),
        configuration,
        kernel.clock,
        kernel.randomness,
        kernel.settings.domain,
    )
    timing = PollTiming(kernel.clock, kernel.randomness, kernel.settings.poll)
    poller = ConfigurationPoller(store, configuration, confirmations, timing)
    announcer = Announcer(
        kernel.need(Mesh),
        configuration,
        confirmations,
        poller,
        kernel.clock,
        kernel.randomness,
        kernel.settings.poll,
    )
    kernel.spawn(announcer.run(), 'announcements')
    return poller


async def show_state(
    configuration: Configuration,
    metrics: Metrics,
    clock: Clock,
) -> None:
    """Keep the metrics of the configuration fresh, until cancelled."""
    while True:
        metrics.state.revision(configuration.revision)
        metrics.state.heard(configuration.heard)
        metrics.state.isolated(configuration.isolated)
        metrics.state.lease_age(configuration.confirmation_age)
        await clock.sleep(_SHOWN_EVERY)
