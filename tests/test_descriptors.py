"""What a host does with its file descriptors when callers take many."""

import errno
import socket
import unittest
from unittest import mock

from nutmegroad.foundations.types import Address
from nutmegroad.relay.connections import Connector
from nutmegroad.relay.sockets import ConnectionFailedError


class NoDescriptorTest(unittest.IsolatedAsyncioTestCase):
    """A host whose descriptors are all in use."""

    async def test_a_missing_descriptor_is_a_connection_that_failed(
        self,
    ) -> None:
        """Calls ended with 500, which promises nothing, though none was sent."""
        problem = OSError(errno.EMFILE, 'Too many open files')
        with (
            mock.patch.object(socket, 'socket', side_effect=problem),
            self.assertRaises(ConnectionFailedError) as failure,
        ):
            await Connector().open(Address('127.0.0.1', 1), 1)
        self.assertFalse(failure.exception.sent)
        self.assertFalse(failure.exception.refused)
