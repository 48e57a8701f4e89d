"""Which engines this host has sent a prompt's prefix to."""

from collections import OrderedDict
from typing import Final

from nutmegroad.foundations.types import UpstreamId, VersionId

#: Prefixes remembered of each engine.
KEPT: Final = 256

#: Engines remembered for each prefix.
HOLDERS: Final = 1

_Key = tuple[VersionId, int]


class PrefixMemory:
    """Remembers where prefixes went, the newest of each engine.

    Args:
        kept: Prefixes remembered of each engine.
    """

    def __init__(self, kept: int = KEPT) -> None:
        self._kept = kept
        self._sent: dict[UpstreamId, OrderedDict[_Key, None]] = {}
        self._holders: dict[_Key, tuple[UpstreamId, ...]] = {}

    def holders(
        self,
        version: VersionId,
        prefix: int,
    ) -> tuple[UpstreamId, ...]:
        """Return engines that ought to have a prefix, the newest first."""
        return self._holders.get((version, prefix), ())

    def add(
        self,
        version: VersionId,
        prefix: int,
        upstream: UpstreamId,
    ) -> None:
        """Note that an engine reads a prefix."""
        key = (version, prefix)
        sent = self._sent.setdefault(upstream, OrderedDict())
        sent[key] = None
        sent.move_to_end(key)
        others = [one for one in self.holders(*key) if one != upstream]
        self._holders[key] = (upstream, *others[: HOLDERS - 1])
        if len(sent) > self._kept:
            oldest, _ = sent.popitem(last=False)
            self._drop(oldest, upstream)

    def discard(
        self,
        version: VersionId,
        prefix: int,
        upstream: UpstreamId,
    ) -> None:
        """Note that an engine had forgotten a prefix."""
        key = (version, prefix)
        self._sent.get(upstream, OrderedDict()).pop(key, None)
        self._drop(key, upstream)

    def forget(self, upstream: UpstreamId) -> None:
        """Forget all of an engine that is gone."""
        for key in self._sent.pop(upstream, OrderedDict()):
            self._drop(key, upstream)

    def _drop(self, key: _Key, upstream: UpstreamId) -> None:
        """Take an engine from a prefix's holders."""
        left = tuple(one for one in self.holders(*key) if one != upstream)
        if left:
            self._holders[key] = left
        else:
            self._holders.pop(key, None)
