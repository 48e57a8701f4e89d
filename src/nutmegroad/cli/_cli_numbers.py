"""Parsers of numeric command line flags."""

import math
from argparse import ArgumentTypeError


def positive(text: str) -> float:
    """Parse a finite number above 0.

    Raises:
        ArgumentTypeError: If the text is not such a number; argparse prints
            the message.
    """
    message = f'{text!r} is not a number above 0, such as 2.5'
    try:
        number = float(text)
    except ValueError as problem:
        raise ArgumentTypeError(message) from problem
    if not math.isfinite(number) or number <= 0:
        raise ArgumentTypeError(message)
    return number
