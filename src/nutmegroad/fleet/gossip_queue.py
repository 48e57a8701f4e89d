"""Selects the entries of each gossip datagram, by epidemic dissemination.

A new entry is part of the next few datagrams of the host that received it, and
so of each further host that receives it: after a few rounds all hosts have it,
however many there are. All other entries are sent in rotation, which makes up
for lost datagrams and lets a host that has just started catch up.

Between failure domains, only entries that originate in the sender's own domain
count as new: each domain informs all others directly, so nothing has to pass
through a third one. Entries received from local peers are forwarded to remote
domains as long as they are new here; several hosts of the domain do so.
"""

from collections.abc import Collection, Hashable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final, Generic, TypeVar

#: Datagrams to its own failure domain in which a host sends an entry that it
#: has received. With eight receivers per round, four rounds reach all hosts of
#: a domain of a thousand.
FORWARDED_SENDS: Final = 4

#: Datagrams in which a host sends an entry of its own; no other host may have
#: it yet.
OWN_SENDS: Final = 8

Key = TypeVar('Key', bound=Hashable)
Entry = TypeVar('Entry')


@unique
class Source(Enum):
    """Where an entry originates, seen from this host."""

    #: This host.
    OWN = 'own'
    #: Another host of this failure domain.
    LOCAL = 'home'
    #: A host of another failure domain.
    REMOTE = 'away'


@dataclass(frozen=True, slots=True)
class DatagramCapacity:
    """Number of entries of one kind that fit into a datagram.

    Attributes:
        new: New entries.
        others: Other entries, sent in rotation.
    """

    new: int
    others: int


class GossipQueue(Generic[Key]):
    """Tracks which entries are new to which receivers, and the rotation.

    Args:
        local: Capacity of a datagram within the failure domain.
        remote: Capacity of a datagram to another failure domain.
        offset: Offset at which the rotation starts; hosts that start at the
            same offset would all send the same entries first.
    """

    @property
    def has_remote_updates(self) -> bool:
        """Whether there are new entries for other failure domains."""
        return bool(self._own_unsent) or not self._local_keys.isdisjoint(
            self._pending_sends,
        )

    def __init__(
        self, local: DatagramCapacity, remote: DatagramCapacity, offset: int
    ) -> None:
        self._local_capacity = local
        self._remote_capacity = remote
        # Number of further datagrams in which each entry is sent as new.
        self._pending_sends: dict[Key, int] = {}
        # Own entries that have not been sent to other domains yet.
        self._own_unsent: dict[Key, None] = {}
        self._local_keys: set[Key] = set()
        self._local_offset = offset
        self._remote_offset = offset

    def is_local_entry(self, key: Key) -> bool:
        """Return whether an entry originates in this failure domain."""
        return key in self._local_keys

    def record_source(self, key: Key, source: Source) -> None:
        """Record the source of an entry that is not sent as new."""
        if source is not Source.REMOTE:
            self._local_keys.add(key)

    def add_new(self, key: Key, source: Source) -> None:
        """Record an entry that is to be sent as new."""
        self.record_source(key, source)
        if source is Source.OWN:
            self._pending_sends[key] = OWN_SENDS
            self._own_unsent[key] = None
        else:
            self._pending_sends[key] = FORWARDED_SENDS

    def retain(self, known: Collection[Key]) -> None:
        """Forget all entries except some.

        Args:
            known: The entries to retain.
        """
        self._local_keys.intersection_update(known)
        for key in self._pending_sends.keys() - known:
            self._pending_sends.pop(key)
        for key in self._own_unsent.keys() - known:
            self._own_unsent.pop(key)

    def choose_local(self, known: Collection[Key]) -> list[Key]:
        """Return the entries for a local datagram, and count them as sent.

        Args:
            known: All known entries, for the rotation.
        """
        new = _select_new(
            self._pending_sends, self._local_capacity.new, self._local_offset
        )
        others = cyclic_slice(
            tuple(known), self._local_offset, self._local_capacity.others
        )
        self._local_offset += self._local_capacity.others
        return list(dict.fromkeys((*new, *others)))

    def choose_remote(self, known: Collection[Key]) -> list[Key]:
        """Return the entries for a remote datagram, and count them as sent.

        Args:
            known: All known entries, for the rotation.
        """
        local_new = self._local_keys.intersection(self._pending_sends)
        received = cyclic_slice(
            tuple(local_new), self._remote_offset, self._remote_capacity.new
        )
        new = tuple(dict.fromkeys((*self._own_unsent, *received)))[
            : self._remote_capacity.new
        ]
        for key in new:
            self._own_unsent.pop(key, None)
        others = cyclic_slice(
            tuple(known), self._remote_offset, self._remote_capacity.others
        )
        self._remote_offset += self._remote_capacity.others
        return list(dict.fromkeys((*new, *others)))


def cyclic_slice(
    entries: tuple[Entry, ...],
    offset: int,
    count: int,
) -> tuple[Entry, ...]:
    """Return a number of entries from a position on, or all if they are few.

    Args:
        entries: The entries; the first one follows the last one.
        offset: The position, which may be beyond the last entry.
        count: The number.
    """
    if len(entries) <= count:
        return entries
    return tuple(
        entries[(offset + each) % len(entries)] for each in range(count)
    )


def _select_new(pending: dict[Key, int], count: int, offset: int) -> list[Key]:
    """Return some new entries, and count them as sent.

    Entries that were sent least come first, so that none waits behind newer
    ones; the order of the rest differs between hosts.
    """
    keys = tuple(pending)
    rotated = (keys[(offset + each) % len(keys)] for each in range(len(keys)))
    chosen = sorted(rotated, key=pending.__getitem__, reverse=True)[:count]
    for key in chosen:
        pending[key] -= 1
        if not pending[key]:
            pending.pop(key)
    return chosen
