"""What control costs a host, by part: bytes, messages, processor time.

A part writes what it spends into an :class:`Account`; whoever shows
metrics reads the totals of the :class:`Ledger` behind it.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Coroutine, Generator, Mapping
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

Outcome = TypeVar('Outcome')


class Account(Protocol):
    """Where a part writes down what it spends and what befell it."""

    def sent(self, part: str, size: int) -> None:
        """Add one message of so many bytes that went out."""

    def received(self, part: str, size: int) -> None:
        """Add one message of so many bytes that came in."""

    def worked(self, part: str, seconds: float) -> None:
        """Add processor time."""

    def count(self, event: str) -> None:
        """Count something that befell a part, such as a refusal."""

    def processor_time(self) -> float:
        """Return the processor seconds spent until now."""


@dataclass(slots=True)
class PartCost:
    """What one part has spent since the start.

    Attributes:
        sent_bytes: Bytes that went out, without the network's headers.
        sent_messages: Messages that went out.
        received_bytes: Bytes that came in, without headers.
        received_messages: Messages that came in.
        processor_seconds: Processor time.
    """

    sent_bytes: int = 0
    sent_messages: int = 0
    received_bytes: int = 0
    received_messages: int = 0
    processor_seconds: float = 0

    def minus(self, before: 'PartCost') -> 'PartCost':
        """Return what was spent since an earlier state."""
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
        processor_time: Returns the processor seconds spent until now,
            such as ``time.thread_time``.
    """

    def __init__(self, processor_time: Callable[[], float]) -> None:
        self._processor_time = processor_time
        self._costs: defaultdict[str, PartCost] = defaultdict(PartCost)
        self._events: Counter[str] = Counter()

    def sent(self, part: str, size: int) -> None:
        """Add one message of so many bytes that went out."""
        cost = self._costs[part]
        cost.sent_bytes += size
        cost.sent_messages += 1

    def received(self, part: str, size: int) -> None:
        """Add one message of so many bytes that came in."""
        cost = self._costs[part]
        cost.received_bytes += size
        cost.received_messages += 1

    def worked(self, part: str, seconds: float) -> None:
        """Add processor time."""
        self._costs[part].processor_seconds += seconds

    def count(self, event: str) -> None:
        """Count something that befell a part."""
        self._events[event] += 1

    def processor_time(self) -> float:
        """Return the processor seconds spent until now."""
        return self._processor_time()

    def costs(self) -> Mapping[str, PartCost]:
        """Return what each part has spent."""
        return dict(self._costs)

    def events(self) -> Mapping[str, int]:
        """Return how often each event was counted."""
        return dict(self._events)


class Metered(Coroutine[Any, Any, Outcome]):
    """A coroutine whose own steps are charged to a part.

    Only the time in which the coroutine itself runs is charged, not what
    other tasks do while it waits.

    Args:
        account: Where the time is written.
        part: Whose time it is.
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
        """Run the coroutine to its end."""
        return self._work.__await__()

    def send(self, step: Any) -> Any:
        """Run one step and charge it."""
        return self._charge(self._work.send, step)

    def throw(self, *error: Any) -> Any:
        """Run one step that begins with an exception, and charge it."""
        return self._charge(self._work.throw, *error)

    def close(self) -> None:
        """End the coroutine."""
        self._work.close()

    def _charge(self, step: Callable[..., Any], *given: Any) -> Any:
        began = self._account.processor_time()
        try:
            return step(*given)
        finally:
            spent = self._account.processor_time() - began
            self._account.worked(self._part, spent)
