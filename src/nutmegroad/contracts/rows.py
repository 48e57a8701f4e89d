"""Decoding of rows of the table service.

Other programs may write to the table, too. A row that can't be decoded is a
refusal, as a row that can't be read is: nothing is known of what it holds.
"""

from typing import TypeVar

from nutmegroad.contracts.platform import Row
from nutmegroad.foundations.decoding import UndecodableError, decode_json
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Ran

Decoded = TypeVar('Decoded')

#: Seconds after which a row is worth reading again: its writer, or an operator,
#: has to replace it.
RETRY_AFTER = 5.0


def decode_row(row: Row, kind: type[Decoded]) -> Decoded | Refusal:
    """Decode the text of a row, or return why it can't be decoded."""
    try:
        return decode_json(row.text, kind)
    except UndecodableError as problem:
        return Refusal(
            ResultCode.TABLE_ROW_INVALID,
            f'The row {row.key!r} of the table can not be decoded: {problem}.',
            Ran.NOT_RUN,
            RETRY_AFTER,
        )
