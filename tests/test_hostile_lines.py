"""Empty lines without end in place of a request.

They guard against a host that reads them for as long as they come, with what
the kernel holds of them, while other callers wait.
"""

import unittest

from tests.hostile_callers import (
    DaemonProgram,
    LineChecks,
    RelayProgram,
)


class RelayLinesTest(
    RelayProgram, LineChecks, unittest.IsolatedAsyncioTestCase
):
    """Empty lines that are sent to the platform's program."""


class DaemonLinesTest(
    DaemonProgram, LineChecks, unittest.IsolatedAsyncioTestCase
):
    """Empty lines that are sent to the daemon."""


if __name__ == '__main__':
    unittest.main()
