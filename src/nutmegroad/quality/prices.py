"""What answers cost."""

from typing import Final

from nutmegroad.contracts.documents import VersionEntry

#: Token counts that prices are stated for.
PRICED_TOKENS: Final = 1000


def cost_of(entry: VersionEntry, prompt: int, output: int) -> float:
    """Return what so many tokens cost on a version."""
    read = prompt * entry.price_in
    written = output * entry.price_out
    return (read + written) / PRICED_TOKENS
