"""Descriptions of result codes, and advice that several codes share."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from nutmegroad.foundations.results import ResultCode

# Advice to callers that several codes share.
FIX_REQUEST: Final = 'Correct the request; the same one is refused again.'
RETRY_LATER: Final = 'Retry after `retry_after_ms`.'
RETRY_IF_NOT_RUN: Final = (
    'Retry after `retry_after_ms` if `not_run` is true or the request may be '
    'repeated.'
)
CHECK_OUTCOME: Final = (
    'Find out by other means whether it ran; do not repeat it blindly.'
)
ASK_OPERATORS: Final = "Ask the deployment's operators."
INTERNAL_ONLY: Final = (
    'Nothing: the program handles it, and operators can see it.'
)


@unique
class NotRun(Enum):
    """Values that ``not_run`` can have in a refusal with a given code.

    ``NONE`` marks the codes that concern no request.
    """

    ALWAYS = 'true'
    NEVER = 'false'
    EITHER = 'either'
    NONE = 'none'


@dataclass(frozen=True, slots=True)
class CodeMeaning:
    """The description of one result code.

    Attributes:
        code: The code.
        meaning: What happened.
        advice: What the caller should do.
        not_run: Values that ``not_run`` can have in the refusal.
    """

    code: ResultCode
    meaning: str
    advice: str
    not_run: NotRun

    def row(self) -> str:
        """Return the code's row of the Markdown table."""
        cells = (
            f'{self.code.value:04}',
            f'`{self.code.name}`',
            self.meaning,
            self.advice,
            self.not_run.value,
        )
        return f'| {" | ".join(cells)} |'
