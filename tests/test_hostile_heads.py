"""Heads of requests that are too large, or have no end.

They guard against a host that keeps what it reads of them until its memory is
used up.
"""

import unittest

from tests.hostile_callers import DaemonProgram, HeadChecks, RelayProgram


class RelayHeadsTest(
    RelayProgram, HeadChecks, unittest.IsolatedAsyncioTestCase
):
    """Heads that are sent to the platform's program."""


class DaemonHeadsTest(
    DaemonProgram, HeadChecks, unittest.IsolatedAsyncioTestCase
):
    """Heads that are sent to the daemon."""


if __name__ == '__main__':
    unittest.main()
