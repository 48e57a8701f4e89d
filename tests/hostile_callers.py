"""Checks of hosts that callers without manners are connected to.

Each check runs a host of its own as a process with little memory and few
descriptors. It looks at what does not depend on the speed of the machine: that
the process lives, that memory and descriptors stay within the limits of its
machine, and that an ordinary request is served while the crowd is still there.
"""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Final

from tests.caller_crowds import (
    CallerFactory,
    announced_body,
    chunked_body,
    crowd,
    empty_lines,
    endless_head,
    endless_text,
    large_head,
    pipelined,
    unfinished_head,
)
from tests.crowded_host import CrowdedHost, HostLimits
from tests.crowded_hosts import BODY_BYTES, daemon_host, relay_host

#: Numbers of callers: of those that send heads, and of all others.
HEAD_CALLERS: Final = 200
CALLERS: Final = 120

#: Fields of a head that stops, or ends, far over the limit.
FIELDS: Final = 60

#: Bytes that are missing at the end of a body, and those of each of its chunks.
MISSING_BYTES: Final = 200_000
CHUNK_BYTES: Final = 1024


class CrowdChecks:
    """Checks of one program; a subclass says which."""

    open_host: Callable[[], AbstractAsyncContextManager[CrowdedHost]]
    limits: HostLimits

    async def check(
        self,
        size: int,
        make_factory: Callable[[CrowdedHost], CallerFactory],
    ) -> None:
        """Check a host while a crowd is connected to it.

        Args:
            size: Number of callers in the crowd.
            make_factory: Returns what they send to a host.
        """
        async with self.open_host() as host:
            with host.observed():
                async with crowd(host.port, size, make_factory(host)):
                    await host.settle()
                    status = await host.ask()
            self.assertTrue(host.is_alive, 'the process has ended')
            self.assertEqual(status, 200)
            self.assertLess(host.peak_mb, self.limits.memory_mb)
            self.assertLessEqual(host.peak_descriptors, self.limits.descriptors)


class HeadChecks(CrowdChecks):
    """Heads of requests that are too large, or never end."""

    async def test_heads_without_end(self) -> None:
        await self.check(
            HEAD_CALLERS,
            lambda host: (
                lambda _: endless_head(host.body_start, host.field_bytes)
            ),
        )

    async def test_heads_that_stop(self) -> None:
        await self.check(
            HEAD_CALLERS,
            lambda host: (
                lambda _: unfinished_head(
                    host.body_start, host.field_bytes, FIELDS
                )
            ),
        )

    async def test_heads_over_the_limit(self) -> None:
        await self.check(
            HEAD_CALLERS,
            lambda host: (
                lambda _: large_head(host.body_start, host.field_bytes, FIELDS)
            ),
        )

    async def test_a_first_line_without_end(self) -> None:
        await self.check(
            HEAD_CALLERS, lambda _: lambda _: endless_text(b'GET /')
        )

    async def test_a_field_without_end(self) -> None:
        await self.check(
            HEAD_CALLERS,
            lambda host: lambda _: endless_text(host.body_start + b'X-A: '),
        )


class LineChecks(CrowdChecks):
    """Empty lines in place of a request."""

    async def test_empty_lines(self) -> None:
        await self.check(CALLERS, lambda _: lambda _: empty_lines())


class AnswerChecks(CrowdChecks):
    """Long answers that callers don't take."""

    async def test_long_answers_that_are_not_read(self) -> None:
        await self.check(
            CALLERS, lambda host: lambda _: pipelined(host.long_answer, 1)
        )


class BodyChecks(CrowdChecks):
    """Bodies of a legal size that stop just short of their end."""

    async def test_bodies_that_stop(self) -> None:
        await self.check(
            CALLERS,
            lambda host: lambda _: announced_body(host.body_start, BODY_BYTES),
        )

    async def test_bodies_in_chunks_that_stop(self) -> None:
        await self.check(
            CALLERS,
            lambda host: (
                lambda _: chunked_body(
                    host.body_start, BODY_BYTES - MISSING_BYTES, CHUNK_BYTES
                )
            ),
        )


class StreamChecks(CrowdChecks):
    """Long streams that callers don't take."""

    async def test_streams_that_are_not_read(self) -> None:
        await self.check(
            CALLERS, lambda host: lambda _: pipelined(host.stream, 1)
        )


class RelayProgram:
    """The platform's program, and the limits of its machine."""

    limits = HostLimits(memory_mb=100, descriptors=400)

    def open_host(self) -> AbstractAsyncContextManager[CrowdedHost]:
        """Run a host for the time of a block."""
        return relay_host(self.limits)


class DaemonProgram:
    """The daemon, and the limits of its machine."""

    limits = HostLimits(memory_mb=140, descriptors=400)

    def open_host(self) -> AbstractAsyncContextManager[CrowdedHost]:
        """Run a host for the time of a block."""
        return daemon_host(self.limits)
