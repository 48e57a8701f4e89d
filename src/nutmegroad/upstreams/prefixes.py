"""Which parts of prompts an upstream is believed to keep.

Only what this host has sent itself is known here; all hosts of a failure
domain send a subject to the same upstream, so that mostly suffices. A part
is kept for one model, and only with all parts before it.
"""

from collections import OrderedDict
from typing import Final

from nutmegroad.foundations.types import ModelName, UpstreamIncarnation
from nutmegroad.routes.requests import PartId, PromptPart

#: Parts remembered for one upstream; more than its memory holds of them.
MOST_PARTS: Final = 400

_Kept = OrderedDict[tuple[ModelName | None, PartId], None]


class PrefixCache:
    """Remembers which parts were sent where, the oldest forgotten first."""

    def __init__(self) -> None:
        self._upstreams: dict[UpstreamIncarnation, _Kept] = {}

    def missing(
        self,
        upstream: UpstreamIncarnation,
        model: ModelName | None,
        parts: tuple[PromptPart, ...],
    ) -> int:
        """Return the tokens that an upstream would have to read."""
        kept = self._upstreams.get(upstream)
        total = sum(part.tokens for part in parts)
        if kept is None:
            return total
        for part in parts:
            if (model, part.part) not in kept:
                break
            total -= part.tokens
        return total

    def sent(
        self,
        upstream: UpstreamIncarnation,
        model: ModelName | None,
        parts: tuple[PromptPart, ...],
    ) -> None:
        """Remember what an upstream is about to read."""
        kept = self._upstreams.setdefault(upstream, OrderedDict())
        for part in parts:
            key = (model, part.part)
            kept[key] = None
            kept.move_to_end(key)
        while len(kept) > MOST_PARTS:
            kept.popitem(last=False)

    def forget(self, upstream: UpstreamIncarnation) -> None:
        """Forget an upstream that is gone."""
        self._upstreams.pop(upstream, None)
