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
`python -m nutmegroad.foundations.codes > docs/CODES.md`; a test holds the page
to it.

A refusal carries its code and name, a sentence, `not_run` and
`retry_after_ms`. `not_run` is true only where no byte of the request went to
any upstream, or where the upstream proved that it did not start. In the table
`either` means that the refusal itself tells, since the code may come before
a first attempt or after one, and `none` that the code concerns no request.

The first digit names the area: 1 the caller's request, 2 rights and limits,
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
