"""The kernel part that keeps this host's configuration up to date."""

from functools import partial
from typing import Final

from nutmegroad.configuration.announcements import Announcer
from nutmegroad.configuration.changes import ConfigurationChanges
from nutmegroad.configuration.heads import HeadStore
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.configuration.peer_queries import PeerQueries
from nutmegroad.configuration.poller import ConfigurationPoller, PollTiming
from nutmegroad.configuration.progress import ChangeProgress
from nutmegroad.contracts.peers import Mesh
from nutmegroad.contracts.platform import Objects, Table
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register

#: Seconds between updates of the metrics.
_METRICS_INTERVAL: Final = 1.0


@register('part', 'configuration')
class ConfigurationPart:
    """Provides the configuration and the operations that change it."""

    needs = (Table, Objects, Mesh, Metrics)

    async def open(self, kernel: Kernel) -> None:
        """Poll the head once, then start the periodic tasks."""
        configuration = Configuration(kernel.clock, kernel.settings.lease)
        store = HeadStore(
            kernel.need(Table),
            kernel.need(Objects),
            kernel.nonce,
        )
        poller = _start_distribution(kernel, configuration, store)
        progress = ChangeProgress(
            kernel.need(Mesh),
            configuration,
            kernel.settings.host,
            kernel.settings.domain,
        )
        await poller.poll()
        kernel.spawn(poller.run, 'configuration')
        kernel.spawn(
            partial(
                update_metrics,
                configuration,
                kernel.need(Metrics),
                kernel.clock,
            ),
            'configuration metrics',
        )
        kernel.provide(Configuration, configuration)
        kernel.provide(HeadStore, store)
        kernel.provide(ConfigurationPoller, poller)
        kernel.provide(ChangeProgress, progress)
        kernel.provide(
            ConfigurationChanges,
            ConfigurationChanges(store, poller, configuration),
        )


def _start_distribution(
    kernel: Kernel,
    configuration: Configuration,
    store: HeadStore,
) -> ConfigurationPoller:
    """Start to announce changes to peers, and return the poller."""
    confirmations = PeerQueries(
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
    kernel.spawn(announcer.run, 'announcements')
    return poller


async def update_metrics(
    configuration: Configuration,
    metrics: Metrics,
    clock: Clock,
) -> None:
    """Update the metrics of the configuration, until cancelled."""
    while True:
        metrics.state.set_revision(configuration.revision)
        metrics.state.set_revision_heard(configuration.highest_known_revision)
        metrics.state.set_isolated(configuration.isolated)
        metrics.state.set_lease_age(configuration.confirmation_age)
        await clock.sleep(_METRICS_INTERVAL)
