"""The form of a result code's meaning, and advice that codes share."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from nutmegroad.foundations.results import ResultCode

# What callers do, where several codes ask for the same.
MEND: Final = 'Mend the request; the same one is refused again.'
LATER: Final = 'Try again after `retry_after_ms`.'
IF_NOT_RUN: Final = (
    'Try again after `retry_after_ms` if `not_run` is true or the request '
    'may be repeated.'
)
FIND_OUT: Final = 'Find out by other means; do not repeat it blindly.'
ASK: Final = "Ask the deployment's operators."
INSIDE: Final = 'Nothing: the program deals with it, and operators see it.'


@unique
class NotRun(Enum):
    """What a code alone says of ``not_run``."""

    ALWAYS = 'true'
    NEVER = 'false'
    EITHER = 'either'
    NONE = 'none'


@dataclass(frozen=True, slots=True)
class CodeMeaning:
    """What a result code means.

    Attributes:
        code: The code.
        meaning: What happened.
        advice: What the caller does about it.
        not_run: What the code alone says of ``not_run``.
    """

    code: ResultCode
    meaning: str
    advice: str
    not_run: NotRun

    def row(self) -> str:
        """Return its row of the table."""
        cells = (
            f'{self.code.value:04}',
            f'`{self.code.name}`',
            self.meaning,
            self.advice,
            self.not_run.value,
        )
        return f'| {" | ".join(cells)} |'
