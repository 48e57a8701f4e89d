"""PendingReplies that wait for a reply, by number."""

import asyncio
import itertools

from nutmegroad.clocks import Clock
from nutmegroad.peers import Message
from nutmegroad.results import Refusal, ResultCode
from nutmegroad.types import HostId, Ran

_Answer = asyncio.Future[Message | Refusal]


class PendingReplies:
    """The questions of one host that have no reply yet.

    Args:
        clock: For the timeouts.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._numbers = itertools.count(1)
        self._waiting: dict[int, tuple[HostId, _Answer]] = {}

    def __len__(self) -> int:
        """Return how many questions wait."""
        return len(self._waiting)

    def open(self, host: HostId) -> int:
        """Begin a question to a host and return its number."""
        number = next(self._numbers)
        answer: _Answer = asyncio.get_running_loop().create_future()
        self._waiting[number] = (host, answer)
        return number

    def answer(
        self,
        host: HostId,
        number: int,
        reply: Message | Refusal,
    ) -> bool:
        """Settle a question; false if this host was not asked it.

        A reply that comes late, twice or from another host is no reply.
        """
        asked, answer = self._waiting.get(number, (None, None))
        if answer is None or asked != host or answer.done():
            return False
        answer.set_result(reply)
        return True

    def fail(self, host: HostId, reason: str) -> None:
        """Settle all questions to a host whose link was lost."""
        refusal = Refusal(ResultCode.PEER_UNREACHABLE, reason, Ran.UNKNOWN)
        for asked, answer in self._waiting.values():
            if asked == host and not answer.done():
                answer.set_result(refusal)

    def close(self, number: int) -> None:
        """Give a question up that was never sent."""
        self._waiting.pop(number)

    async def wait(self, number: int, seconds: float) -> Message | Refusal:
        """Return the reply, or a refusal when the time is up."""
        host, answer = self._waiting[number]
        timeout = asyncio.ensure_future(self._expire(host, answer, seconds))
        try:
            return await answer
        finally:
            timeout.cancel()
            self._waiting.pop(number)

    async def _expire(
        self,
        host: HostId,
        answer: _Answer,
        seconds: float,
    ) -> None:
        await self._clock.sleep(seconds)
        if answer.done():
            return
        reason = f'Host {host} did not reply within {seconds:g} s.'
        refusal = Refusal(ResultCode.PEER_UNREACHABLE, reason, Ran.UNKNOWN)
        answer.set_result(refusal)
