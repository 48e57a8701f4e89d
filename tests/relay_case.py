"""Test case with a relay host and two workers."""

import unittest

from fakes.opaque_worker import EVENTS, ScriptFactory, stream

from tests.relay_rig import Rig


class RelayCase(unittest.IsolatedAsyncioTestCase):
    """A host with two workers."""

    async def asyncSetUp(self) -> None:
        """Start the store, the workers and the host."""
        self.rig = await self.enterAsyncContext(Rig(workers=2))
        await self.rig.start()

    def all_workers(self, script: object) -> None:
        """Make all workers answer by one script."""
        for worker in self.rig.workers:
            worker.default_script = script  # type: ignore[assignment]

    async def assert_resumed_elsewhere(self, broken: ScriptFactory) -> None:
        """Check that streams that one worker breaks off arrive complete.

        Args:
            broken: Makes scripts that break off inside the second event.
        """
        self.rig.workers[0].default_script = broken
        self.rig.workers[1].default_script = stream()
        for number in range(4):
            _, _, body = await self.rig.ask('/draft/1', f's{number}')
            self.assertEqual(body, b''.join(EVENTS))
        resumed = [
            seen.headers['last-event-id']
            for seen in self.rig.workers[1].requests
            if 'last-event-id' in seen.headers
        ]
        self.assertEqual(set(resumed), {'1'})
