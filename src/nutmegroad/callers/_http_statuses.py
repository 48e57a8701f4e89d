"""The HTTP status of each result code."""

from types import MappingProxyType
from typing import Final

from nutmegroad.foundations.results import ResultCode

_UNAVAILABLE: Final = 503

#: HTTP status of each result code; codes that are not listed get 503.
_STATUSES: Final = MappingProxyType(
    {
        ResultCode.BODY_MALFORMED: 400,
        ResultCode.FIELD_INVALID: 400,
        ResultCode.BODY_TOO_LARGE: 413,
        ResultCode.ROUTE_UNKNOWN: 404,
        ResultCode.BODY_TOO_SLOW: 408,
        ResultCode.KEY_REUSED: 422,
        ResultCode.HEADERS_TOO_LARGE: 431,
        ResultCode.HEADERS_TOO_SLOW: 408,
        ResultCode.UNAUTHENTICATED: 401,
        ResultCode.VERSION_NOT_ALLOWED: 403,
        ResultCode.TASK_UNKNOWN: 404,
        ResultCode.SERVICE_UNKNOWN: 404,
        ResultCode.OVERLOADED: 429,
        ResultCode.SHARE_EXCEEDED: 429,
        ResultCode.DEADLINE_UNREACHABLE: 429,
        ResultCode.DEADLINE_PASSED: 504,
        ResultCode.SESSION_ENDED: 409,
        ResultCode.SESSION_INVALID: 400,
        ResultCode.UPSTREAM_ERROR: 502,
        ResultCode.UPSTREAM_TIMEOUT: 504,
        ResultCode.ANSWER_CUT: 502,
        ResultCode.ANSWER_CROSSED: 502,
        ResultCode.OUTCOME_UNKNOWN: 409,
        ResultCode.STILL_RUNNING: 409,
        ResultCode.TICKET_INVALID: 400,
        ResultCode.TICKET_SPENT: 409,
        ResultCode.CONFIGURATION_INVALID: 422,
        ResultCode.CONFIGURATION_CONFLICT: 409,
        ResultCode.PRESET_UNKNOWN: 404,
        ResultCode.OPERATOR_UNAUTHENTICATED: 401,
        ResultCode.OPERATOR_NOT_PERMITTED: 403,
        ResultCode.OPERATOR_REQUEST_INVALID: 400,
        ResultCode.NOT_FOUND: 404,
        ResultCode.INTERNAL: 500,
    }
)


def status_of(code: ResultCode) -> int:
    """Return the HTTP status of a refusal with this result code."""
    return _STATUSES.get(code, _UNAVAILABLE)
