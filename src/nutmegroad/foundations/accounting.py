"""Control-plane cost of a host by part: bytes, messages, processor time.

Parts report their costs to an :class:`Account`. A :class:`Ledger` implements
it and keeps the totals, from which the metrics are published.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Coroutine, Generator, Mapping
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

Outcome = TypeVar('Outcome')


class Account(Protocol):
    """Receives the costs and events that parts report."""

    def add_sent(self, part: str, size: int) -> None:
        """Add one sent message of ``size`` bytes."""

    def add_received(self, part: str, size: int) -> None:
        """Add one received message of ``size`` bytes."""

    def add_processor_time(self, part: str, seconds: float) -> None:
        """Add processor time in seconds."""

    def count_event(self, event: str) -> None:
        """Count an event, such as a refusal."""

    def processor_time(self) -> float:
        """Return the processor time used so far, in seconds."""


@dataclass(slots=True)
class PartCost:
    """Cost of one part since the start of the process.

    Attributes:
        sent_bytes: Bytes sent, without the network's headers.
        sent_messages: Messages sent.
        received_bytes: Bytes received, without the network's headers.
        received_messages: Messages received.
        processor_seconds: Processor time used.
    """

    sent_bytes: int = 0
    sent_messages: int = 0
    received_bytes: int = 0
    received_messages: int = 0
    processor_seconds: float = 0

    def minus(self, before: 'PartCost') -> 'PartCost':
        """Return the cost added since an earlier total."""
        return PartCost(
            self.sent_bytes - before.sent_bytes,
            self.sent_messages - before.sent_messages,
            self.received_bytes - before.received_bytes,
            self.received_messages - before.received_messages,
            self.processor_seconds - before.processor_seconds,
        )


class Ledger:
    """An :class:`Account` that keeps totals in memory.

    Args:
        processor_time: Returns the processor time used so far in seconds,
            such as ``time.thread_time``.
    """

    def __init__(self, processor_time: Callable[[], float]) -> None:
        self._processor_time = processor_time
        self._costs: defaultdict[str, PartCost] = defaultdict(PartCost)
        self._events: Counter[str] = Counter()

    def add_sent(self, part: str, size: int) -> None:
        """Add one sent message of ``size`` bytes."""
        cost = self._costs[part]
        cost.sent_bytes += size
        cost.sent_messages += 1

    def add_received(self, part: str, size: int) -> None:
        """Add one received message of ``size`` bytes."""
        cost = self._costs[part]
        cost.received_bytes += size
        cost.received_messages += 1

    def add_processor_time(self, part: str, seconds: float) -> None:
        """Add processor time in seconds."""
        self._costs[part].processor_seconds += seconds

    def count_event(self, event: str) -> None:
        """Count an event."""
        self._events[event] += 1

    def processor_time(self) -> float:
        """Return the processor time used so far, in seconds."""
        return self._processor_time()

    def costs(self) -> Mapping[str, PartCost]:
        """Return the cost of each part."""
        return dict(self._costs)

    def events(self) -> Mapping[str, int]:
        """Return the count of each event."""
        return dict(self._events)


class MeteredCoroutine(Coroutine[Any, Any, Outcome]):
    """Wraps a coroutine and charges its processor time to a part.

    Only the steps of the coroutine itself are charged, not what other tasks
    do while it waits.

    Args:
        account: Account that is charged.
        part: Part that is charged.
        work: The coroutine.
    """

    def __init__(
        self,
        account: Account,
        part: str,
        work: Coroutine[Any, Any, Outcome],
    ) -> None:
        self._account = account
        self._part = part
        self._work = work

    def __await__(self) -> Generator[Any, Any, Outcome]:
        """Await the coroutine."""
        return self._work.__await__()

    def send(self, step: Any) -> Any:
        """Resume the coroutine with a value, and charge the step."""
        return self._charge(self._work.send, step)

    def throw(self, *error: Any) -> Any:
        """Raise an exception in the coroutine, and charge the step."""
        return self._charge(self._work.throw, *error)

    def close(self) -> None:
        """Close the coroutine."""
        self._work.close()

    def _charge(self, step: Callable[..., Any], *args: Any) -> Any:
        """Call a function, and charge its processor time."""
        started_at = self._account.processor_time()
        try:
            return step(*args)
        finally:
            seconds = self._account.processor_time() - started_at
            self._account.add_processor_time(self._part, seconds)
