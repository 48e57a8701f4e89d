"""Decimal numbers in headers."""

import re
from collections.abc import Collection
from typing import Final

#: Maximum characters of an invalid number in a message.
MAX_SHOWN: Final = 40

#: A number below a billion.
_DECIMAL: Final = re.compile(r'[0-9]{1,9}(\.[0-9]{0,9})?')


def parse_decimal(text: str) -> float:
    """Return a decimal number without a sign or an exponent.

    Raises:
        ValueError: If it is anything else; the message has its beginning.
    """
    if _DECIMAL.fullmatch(text.strip()) is None:
        message = f'{text[:MAX_SHOWN]!r} is not a decimal number'
        raise ValueError(message)
    return float(text)


def smallest_decimal(texts: Collection[str]) -> float | None:
    """Return the smallest of several decimal numbers; None if there are none.

    Raises:
        ValueError: If one of them is anything else.
    """
    return min(map(parse_decimal, texts)) if texts else None
