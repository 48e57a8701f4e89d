"""The set of mechanisms that a configuration model runs without."""

from typing import Final

#: Names of mechanisms; each one turns the model into a mutant.
DisabledMechanisms = frozenset[str]
NONE_DISABLED: Final[DisabledMechanisms] = frozenset()
