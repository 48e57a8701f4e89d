"""Long answers whose callers read nothing of them.

They guard against a host that holds more of such answers than it has memory.
"""

import unittest

from tests.hostile_callers import (
    AnswerChecks,
    DaemonProgram,
    RelayProgram,
    StreamChecks,
)


class RelayReadersTest(
    RelayProgram, AnswerChecks, unittest.IsolatedAsyncioTestCase
):
    """Answers of the platform's program."""


class RelayStreamsTest(
    RelayProgram, StreamChecks, unittest.IsolatedAsyncioTestCase
):
    """Streams of the platform's program."""


class DaemonReadersTest(
    DaemonProgram, AnswerChecks, unittest.IsolatedAsyncioTestCase
):
    """Answers of the daemon."""


if __name__ == '__main__':
    unittest.main()
