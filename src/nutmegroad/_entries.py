"""Records by host in the order of their changes, and a hash over them."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, unique
from itertools import takewhile
from typing import Final

from nutmegroad._member_messages import Record
from nutmegroad.types import HostId

#: Gone incarnations that are remembered at most.
_MOST_GONE: Final = 1000


@unique
class Origin(Enum):
    """How a change was learned, which says who else must be told."""

    OWN = 'own'
    NEAR = 'near'
    FAR = 'far'
    VERDICT = 'verdict'
    SYNC = 'sync'


@dataclass(slots=True)
class Entry:
    """A record and how it came here.

    Attributes:
        record: The record.
        change: Number of the change that brought it.
        origin: How it was learned.
        since: Clock seconds at which it was learned.
        is_relay: Whether this host passes it on for its domain.
        known_by: Hosts that told us the same.
    """

    record: Record
    change: int
    origin: Origin
    since: float
    is_relay: bool = False
    known_by: set[HostId] = field(default_factory=set)


class Entries:
    """All records, the latest change last."""

    def __init__(self) -> None:
        self._entries: dict[HostId, Entry] = {}
        self._change = 0
        self._digest = 0

    def __iter__(self) -> Iterator[Entry]:
        """Iterate over the entries, the earliest change first."""
        return iter(tuple(self._entries.values()))

    @property
    def change(self) -> int:
        """How many changes there were."""
        return self._change

    @property
    def digest(self) -> int:
        """A hash over all the records that are not gone."""
        return self._digest

    def get(self, host: HostId) -> Entry | None:
        """Return the entry of a host."""
        return self._entries.get(host)

    def put(self, record: Record, origin: Origin, now: float) -> Entry:
        """Replace the record of a host."""
        old = self._entries.pop(record.host, None)
        if old is not None:
            self._mix(old.record)
        self._mix(record)
        self._change += 1
        entry = Entry(record, self._change, origin, since=now)
        self._entries[record.host] = entry
        return entry

    def records(self) -> tuple[Record, ...]:
        """Return all records, gone ones among them."""
        return tuple(entry.record for entry in self)

    def since(self, change: int) -> list[Entry]:
        """Return the entries that changed later, the earliest first."""
        latest = reversed(self._entries.values())
        news = list(takewhile(lambda entry: entry.change > change, latest))
        news.reverse()
        return news

    def purge(self, limit: float) -> list[HostId]:
        """Forget what has been gone since before a moment.

        Returns:
            The hosts that were forgotten.
        """
        gone = [entry for entry in self if entry.record.is_gone]
        surplus = len(gone) - _MOST_GONE
        forgotten = [
            entry.record.host
            for place, entry in enumerate(gone)
            if entry.since < limit or place < surplus
        ]
        for host in forgotten:
            self._entries.pop(host)
        return forgotten

    def _mix(self, record: Record) -> None:
        """Put a record into the hash, or take it out again."""
        if not record.is_gone:
            self._digest ^= record.digest()
