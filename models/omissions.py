"""What a model of the configuration is told to leave out."""

from typing import Final

Without = frozenset[str]
NOTHING: Final[Without] = frozenset()
