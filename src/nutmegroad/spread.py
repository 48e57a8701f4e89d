"""Keeps this host's configuration in step with the platform."""

import random
from typing import Final

from absl import logging

from nutmegroad.clocks import Clock
from nutmegroad.configuration import Configuration
from nutmegroad.heads import Head, HeadStore
from nutmegroad.results import Refusal
from nutmegroad.types import Revision

_LOG_PREFIX: Final = 'spread:'

#: Polls are spread over this share of their period, so that hosts which
#: started together do not read together.
JITTER: Final = 0.2


class ConfigurationPoller:
    """Reads the head again and again.

    Args:
        store: Reads the head and documents.
        configuration: What this host holds.
        clock: The host's clock.
        randomness: Spreads the polls.
        period: Seconds between polls.
    """

    def __init__(
        self,
        store: HeadStore,
        configuration: Configuration,
        clock: Clock,
        randomness: random.Random,
        period: float,
    ) -> None:
        self._store = store
        self._configuration = configuration
        self._clock = clock
        self._randomness = randomness
        self._period = period

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await self._clock.sleep(self._pause())

    async def poll(self) -> Refusal | None:
        """Read the head once, and take what it names."""
        asked = self._clock.now()
        head = await self._store.read()
        if isinstance(head, Refusal):
            logging.warning('%s head not read: %s', _LOG_PREFIX, head.reason)
            return head
        return await self.learn(head, asked)

    async def learn(self, head: Head, asked: float) -> Refusal | None:
        """Take a head that a read begun at ``asked`` gave."""
        self._configuration.withdraw(head.withdrawals)
        if head.revision > self._configuration.revision:
            accepted = await self._store.fetch(head)
            if isinstance(accepted, Refusal):
                return accepted
            if self._configuration.take(accepted):
                logging.info(
                    '%s revision %d, preset %s, by %s',
                    _LOG_PREFIX,
                    accepted.revision,
                    accepted.preset,
                    accepted.author,
                )
        self._configuration.confirm(Revision(head.revision), asked)
        return None

    def _pause(self) -> float:
        """Return the seconds until the next poll."""
        spread = self._randomness.uniform(-JITTER, JITTER)
        return self._period * (1 + spread)
