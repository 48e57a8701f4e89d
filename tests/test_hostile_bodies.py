"""Bodies of a legal size that stop just short of their end.

They guard against a host that holds more of them than it has memory.
"""

import unittest

from tests.hostile_callers import BodyChecks, DaemonProgram, RelayProgram


class RelayBodiesTest(
    RelayProgram, BodyChecks, unittest.IsolatedAsyncioTestCase
):
    """Bodies that are sent to the platform's program."""


class DaemonBodiesTest(
    DaemonProgram, BodyChecks, unittest.IsolatedAsyncioTestCase
):
    """Bodies that are sent to the daemon."""


if __name__ == '__main__':
    unittest.main()
