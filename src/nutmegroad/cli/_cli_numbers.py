"""Numbers that the command line's flags take."""

import math
from argparse import ArgumentTypeError


def positive(text: str) -> float:
    """Read a number above 0.

    Raises:
        ArgumentTypeError: If it is none; argparse shows the sentence.
    """
    message = f'{text!r} is no number above 0, such as 2.5'
    try:
        number = float(text)
    except ValueError as problem:
        raise ArgumentTypeError(message) from problem
    if not math.isfinite(number) or number <= 0:
        raise ArgumentTypeError(message)
    return number
