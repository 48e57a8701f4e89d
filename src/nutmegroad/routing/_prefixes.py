"""Tracks to which engines this host has sent a prompt's prefix."""

from collections import OrderedDict
from typing import Final

from nutmegroad.foundations.types import UpstreamId, VersionId

#: Maximum number of prefixes remembered for each engine.
MAX_PREFIXES_PER_ENGINE: Final = 256

#: Maximum number of engines remembered for each prefix.
MAX_ENGINES_PER_PREFIX: Final = 1

_Key = tuple[VersionId, int]


class PrefixTracker:
    """Remembers where prefixes were sent, with an LRU list for each engine.

    Args:
        max_prefixes: Maximum number of prefixes remembered for each engine.
    """

    def __init__(self, max_prefixes: int = MAX_PREFIXES_PER_ENGINE) -> None:
        self._max_prefixes = max_prefixes
        self._sent: dict[UpstreamId, OrderedDict[_Key, None]] = {}
        self._holders: dict[_Key, tuple[UpstreamId, ...]] = {}

    def holders(
        self,
        version: VersionId,
        prefix: int,
    ) -> tuple[UpstreamId, ...]:
        """Return engines expected to have a prefix cached, newest first."""
        return self._holders.get((version, prefix), ())

    def add(
        self,
        version: VersionId,
        prefix: int,
        upstream: UpstreamId,
    ) -> None:
        """Record that an engine processes a prefix."""
        key = (version, prefix)
        sent = self._sent.setdefault(upstream, OrderedDict())
        sent[key] = None
        sent.move_to_end(key)
        others = [one for one in self.holders(*key) if one != upstream]
        self._holders[key] = (upstream, *others[: MAX_ENGINES_PER_PREFIX - 1])
        if len(sent) > self._max_prefixes:
            oldest, _ = sent.popitem(last=False)
            self._drop(oldest, upstream)

    def discard(
        self,
        version: VersionId,
        prefix: int,
        upstream: UpstreamId,
    ) -> None:
        """Record that an engine had evicted a prefix."""
        key = (version, prefix)
        self._sent.get(upstream, OrderedDict()).pop(key, None)
        self._drop(key, upstream)

    def forget(self, upstream: UpstreamId) -> None:
        """Drop all prefixes of an engine that has terminated."""
        for key in self._sent.pop(upstream, OrderedDict()):
            self._drop(key, upstream)

    def _drop(self, key: _Key, upstream: UpstreamId) -> None:
        """Remove an engine from those of a prefix."""
        left = tuple(one for one in self.holders(*key) if one != upstream)
        if left:
            self._holders[key] = left
        else:
            self._holders.pop(key, None)
