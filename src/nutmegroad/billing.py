"""Billing records: one for each request, the whole cascade summed.

Records go out in batches that are named by the host's incarnation and a
sequence number, so that writing a batch twice stores the same object. A
reader keeps one record for each request id.
"""

from typing import Final

import msgspec
from msgspec import Struct

from nutmegroad.platform import Objects
from nutmegroad.results import Refusal
from nutmegroad.types import Incarnation

#: Objects of billing batches begin with this.
BILLING_PREFIX: Final = 'billing/'


class BillingRecord(Struct, frozen=True):
    """What one request is billed.

    Attributes:
        request: Its id.
        workspace: Who pays.
        task: The task class, or the plain service's name.
        at: Wall-clock seconds at its end.
        version: The version that answered; empty for a plain service.
        outcome: Name of the result code.
        prompt_tokens: Tokens read by that version.
        output_tokens: Tokens written by that version.
        cost: All attempts and steps summed, whatever the outcome.
    """

    request: str
    workspace: str
    task: str
    at: float
    version: str = ''
    outcome: str = 'OK'
    prompt_tokens: int = 0
    output_tokens: int = 0
    cost: float = 0


class Biller:
    """Gathers records and stores them in batches.

    Args:
        objects: The object store.
        incarnation: Names this host's batches.
    """

    def __init__(self, objects: Objects, incarnation: Incarnation) -> None:
        self._objects = objects
        self._incarnation = incarnation
        self._waiting: list[BillingRecord] = []
        self._sealed: dict[str, bytes] = {}
        self._sequence = 0

    @property
    def pending(self) -> int:
        """Return how many records and batches are not stored yet."""
        return len(self._waiting) + len(self._sealed)

    def record(self, record: BillingRecord) -> None:
        """Take a record."""
        self._waiting.append(record)

    async def flush(self) -> Refusal | None:
        """Store all that waits; what fails is kept for the next time."""
        self._seal()
        for name, content in tuple(self._sealed.items()):
            refusal = await self._objects.put(name, content)
            if refusal is not None:
                return refusal
            self._sealed.pop(name, None)
        return None

    def _seal(self) -> None:
        """Make a batch of what waits; its content never changes again."""
        if not self._waiting:
            return
        self._sequence += 1
        name = f'{BILLING_PREFIX}{self._incarnation}/{self._sequence:09d}'
        self._sealed[name] = msgspec.json.encode(self._waiting)
        self._waiting = []
