"""The part that keeps the configuration in force on this host."""

from nutmegroad.changes import Changes
from nutmegroad.configuration import Configuration
from nutmegroad.core import Kernel
from nutmegroad.heads import HeadStore
from nutmegroad.platform import Objects, Table
from nutmegroad.registry import register
from nutmegroad.spread import ConfigurationPoller


@register('part', 'configuration')
class ConfigurationPart:
    """Provides the configuration and the way to change it."""

    needs = (Table, Objects)

    async def open(self, kernel: Kernel) -> None:
        """Read the head once, then keep polling it."""
        configuration = Configuration(kernel.clock, kernel.settings.lease)
        store = HeadStore(
            kernel.need(Table),
            kernel.need(Objects),
            kernel.nonce,
        )
        poller = ConfigurationPoller(
            store,
            configuration,
            kernel.clock,
            kernel.randomness,
            kernel.settings.poll,
        )
        await poller.poll()
        kernel.spawn(poller.run(), 'configuration')
        kernel.provide(Configuration, configuration)
        kernel.provide(HeadStore, store)
        kernel.provide(ConfigurationPoller, poller)
        kernel.provide(Changes, Changes(store, poller, configuration))
