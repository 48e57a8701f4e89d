"""Cost of answers, from the prices that the configuration states."""

from typing import Final

from nutmegroad.contracts.documents import VersionEntry

#: Number of tokens that a price is stated for.
PRICED_TOKENS: Final = 1000


def cost_of(entry: VersionEntry, prompt: int, output: int) -> float:
    """Return the cost of a request on a version.

    Args:
        entry: Configuration of the version, with its prices.
        prompt: Number of prompt tokens.
        output: Number of output tokens.
    """
    prompt_cost = prompt * entry.price_in
    output_cost = output * entry.price_out
    return (prompt_cost + output_cost) / PRICED_TOKENS
