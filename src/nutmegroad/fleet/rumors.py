"""Which of many facts a datagram tells, as epidemic protocols do it.

A fact that a host has just learnt is told in its next datagrams, and so by each
host that learns it: all know of it after a few turns, whatever their number.
The other facts are told in turn, which mends what datagrams lost, and lets a
host that has started catch up.

Between failure domains only what a domain has seen itself is news: each domain
tells all others, so nothing has to pass through a third one. What a host has
heard near by it tells on to other domains while it is news here; so do others.
"""

from collections.abc import Collection, Hashable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final, Generic, TypeVar

#: Datagrams in which a host tells its failure domain what it has just learnt.
#: With eight hosts told at a turn, four turns reach all in a domain of a
#: thousand.
TELLINGS: Final = 4

#: The same for what it has seen itself: nobody else may know it yet.
OWN_TELLINGS: Final = 8

Key = TypeVar('Key', bound=Hashable)
Entry = TypeVar('Entry')


@unique
class Source(Enum):
    """Who has seen a fact, as far as a host knows."""

    #: This host.
    OWN = 'own'
    #: Another host of its failure domain.
    HOME = 'home'
    #: A host of another failure domain.
    AWAY = 'away'


@dataclass(frozen=True, slots=True)
class Portion:
    """How many facts of one kind a datagram has room for.

    Attributes:
        news: Facts that were learnt just now.
        others: Others, in turn.
    """

    news: int
    others: int


class Rumors(Generic[Key]):
    """Remembers which facts are news to whom, and whose turn it is.

    Args:
        near: Room in a datagram to a host of the own failure domain.
        far: The same to a host of another one.
        begin: Where the turns begin; hosts that begin at the same place would
            all tell the same facts first.
    """

    @property
    def has_far_news(self) -> bool:
        """Tell whether there is news for other failure domains."""
        return bool(self._own_news) or not self._home.isdisjoint(
            self._near_news,
        )

    def __init__(self, near: Portion, far: Portion, begin: int) -> None:
        self._near = near
        self._far = far
        # Datagrams that are still to tell it.
        self._near_news: dict[Key, int] = {}
        # What this host has seen itself and not told other domains yet.
        self._own_news: dict[Key, None] = {}
        self._home: set[Key] = set()
        self._near_begin = begin
        self._far_begin = begin

    def is_home(self, key: Key) -> bool:
        """Tell whether the own failure domain has seen a fact itself."""
        return key in self._home

    def seen(self, key: Key, source: Source) -> None:
        """Note who has seen a fact that is no news."""
        if source is not Source.AWAY:
            self._home.add(key)

    def learnt(self, key: Key, source: Source) -> None:
        """Note that a fact was learnt just now."""
        self.seen(key, source)
        if source is Source.OWN:
            self._near_news[key] = OWN_TELLINGS
            self._own_news[key] = None
        else:
            self._near_news[key] = TELLINGS

    def keep(self, known: Collection[Key]) -> None:
        """Forget all facts but some."""
        self._home.intersection_update(known)
        for key in self._near_news.keys() - known:
            self._near_news.pop(key)
        for key in self._own_news.keys() - known:
            self._own_news.pop(key)

    def choose_near(self, known: Collection[Key]) -> list[Key]:
        """Return the known facts for one datagram, and count them as told."""
        news = _tell(self._near_news, self._near.news, self._near_begin)
        others = take(tuple(known), self._near_begin, self._near.others)
        self._near_begin += self._near.others
        return list(dict.fromkeys((*news, *others)))

    def choose_far(self, known: Collection[Key]) -> list[Key]:
        """Return the same for a datagram to another failure domain."""
        home = self._home.intersection(self._near_news)
        heard = take(tuple(home), self._far_begin, self._far.news)
        news = tuple(dict.fromkeys((*self._own_news, *heard)))[: self._far.news]
        for key in news:
            self._own_news.pop(key, None)
        others = take(tuple(known), self._far_begin, self._far.others)
        self._far_begin += self._far.others
        return list(dict.fromkeys((*news, *others)))


def take(
    entries: tuple[Entry, ...],
    begin: int,
    count: int,
) -> tuple[Entry, ...]:
    """Return so many entries from a place on, or all if they are few.

    Args:
        entries: The entries; the first follows on the last.
        begin: The place, which may be beyond the last one.
        count: How many.
    """
    if len(entries) <= count:
        return entries
    return tuple(
        entries[(begin + each) % len(entries)] for each in range(count)
    )


def _tell(news: dict[Key, int], count: int, begin: int) -> list[Key]:
    """Return some news, and count them as told.

    What was told least goes first, so that nothing waits behind what is newer;
    among the rest it differs from host to host.
    """
    keys = tuple(news)
    turned = (keys[(begin + each) % len(keys)] for each in range(len(keys)))
    chosen = sorted(turned, key=news.__getitem__, reverse=True)[:count]
    for key in chosen:
        news[key] -= 1
        if not news[key]:
            news.pop(key)
    return chosen
