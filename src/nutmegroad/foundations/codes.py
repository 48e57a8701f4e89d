"""Generates ``docs/CODES.md``, the reference of all result codes.

Run ``python -m nutmegroad.foundations.codes > docs/CODES.md`` after a change.
"""

import sys
from typing import Final

from nutmegroad.foundations._code_meaning import CodeMeaning
from nutmegroad.foundations._request_codes import REQUEST_CODES
from nutmegroad.foundations._system_codes import SYSTEM_CODES

_HEAD: Final = """\
# Result codes

Generated from `src/nutmegroad/foundations/codes.py` by
`python -m nutmegroad.foundations.codes > docs/CODES.md`; a test checks that
the page is up to date.

A refusal has a code and its name, a message, `not_run` and `retry_after_ms`.
`not_run` is true only if no byte of the request was sent to any upstream, or
if the upstream proved that it did not start. In the table, `either` means that
the refusal itself says which, since the code may occur before the first
attempt or after one; `none` means that the code does not concern a request.

The first digit is the area: 1 the caller's request, 2 rights and limits,
3 routing, 4 upstreams, 5 records, 6 configuration, 7 the platform, 8 hosts,
9 operators.

| Number | Name | Meaning | What the caller does | `not_run` |
| --- | --- | --- | --- | --- |
"""

#: Descriptions of all codes, ordered by number.
MEANINGS: Final[tuple[CodeMeaning, ...]] = (*REQUEST_CODES, *SYSTEM_CODES)


def render_page() -> str:
    """Return the contents of ``docs/CODES.md``."""
    rows = '\n'.join(entry.row() for entry in MEANINGS)
    return f'{_HEAD}{rows}\n'


if __name__ == '__main__':
    sys.stdout.write(render_page())
