"""Descriptions of the codes of requests, routing and upstreams."""

from typing import Final

from nutmegroad.foundations._code_meaning import (
    ASK_OPERATORS,
    FIX_REQUEST,
    INTERNAL_ONLY,
    RETRY_IF_NOT_RUN,
    RETRY_LATER,
    CodeMeaning,
    NotRun,
)
from nutmegroad.foundations.results import ResultCode

REQUEST_CODES: Final = (
    CodeMeaning(
        ResultCode.OK,
        'The request was answered completely.',
        'Nothing.',
        NotRun.NEVER,
    ),
    CodeMeaning(
        ResultCode.BODY_MALFORMED,
        'The body is not the JSON that the route expects.',
        FIX_REQUEST,
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.FIELD_INVALID,
        'A field or header has an invalid value; the message names it.',
        FIX_REQUEST,
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.BODY_TOO_LARGE,
        'The body is larger than the limit of the host.',
        FIX_REQUEST,
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.ROUTE_UNKNOWN,
        'No such path or method exists.',
        FIX_REQUEST,
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.BODY_TOO_SLOW,
        'The body did not arrive within the time limit.',
        'Send it again, faster.',
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.KEY_REUSED,
        'The idempotency key was used for another request.',
        'Use a new key for a new request.',
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.HEADERS_TOO_LARGE,
        'The headers are larger than the limit.',
        'Send fewer or shorter headers.',
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.CALLER_LEFT,
        'The caller closed its connection before the request was sent.',
        'Nothing; it is not sent to a caller.',
        NotRun.EITHER,
    ),
    CodeMeaning(
        ResultCode.HEADERS_TOO_SLOW,
        'The headers did not arrive within the time limit.',
        'Send it again, faster, on a new connection.',
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.UNAUTHENTICATED,
        'The key is missing or belongs to no workspace.',
        'Send the key of the workspace.',
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.VERSION_NOT_ALLOWED,
        'The workspace may not use the model or version.',
        'Name a version that the workspace may use.',
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.TASK_UNKNOWN,
        'No task class of the preset in force has that name.',
        FIX_REQUEST,
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.SERVICE_UNKNOWN,
        'There is no such service, or the workspace may not call it.',
        FIX_REQUEST,
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.OVERLOADED,
        'Too many requests are waiting already.',
        RETRY_LATER,
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.SHARE_EXCEEDED,
        'The workspace has used its quota share while capacity is scarce.',
        RETRY_LATER,
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.DEADLINE_UNREACHABLE,
        'No upstream could answer before the deadline.',
        'Retry later, or with a longer deadline.',
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.DEADLINE_PASSED,
        'The deadline passed before the answer was complete.',
        RETRY_IF_NOT_RUN,
        NotRun.EITHER,
    ),
    CodeMeaning(
        ResultCode.NO_UPSTREAM,
        'No upstream that may receive the request is available.',
        RETRY_IF_NOT_RUN,
        NotRun.EITHER,
    ),
    CodeMeaning(
        ResultCode.VERSION_WITHDRAWN,
        'The version was withdrawn.',
        'Name another version, or a task class.',
        NotRun.EITHER,
    ),
    CodeMeaning(
        ResultCode.NO_PLAN,
        'No allowed plan meets the quality target.',
        ASK_OPERATORS,
        NotRun.EITHER,
    ),
    CodeMeaning(
        ResultCode.ISOLATED,
        'This host cannot confirm its configuration, and the request may '
        'not be served without that.',
        RETRY_IF_NOT_RUN,
        NotRun.EITHER,
    ),
    CodeMeaning(
        ResultCode.SESSION_ENDED,
        'The version that the session is bound to can no longer be used.',
        'Start a new session.',
        NotRun.EITHER,
    ),
    CodeMeaning(
        ResultCode.SESSION_INVALID,
        'The session token was not signed by this deployment for the '
        'workspace.',
        'Start a new session.',
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.UPSTREAM_LEAVING,
        'The chosen upstream is draining.',
        RETRY_IF_NOT_RUN,
        NotRun.EITHER,
    ),
    CodeMeaning(
        ResultCode.HOST_PAUSED,
        'The host was paused and must confirm its configuration first.',
        RETRY_IF_NOT_RUN,
        NotRun.EITHER,
    ),
    CodeMeaning(
        ResultCode.VERSION_QUARANTINED,
        'The version gets no requests while evidence against it is examined.',
        RETRY_IF_NOT_RUN,
        NotRun.EITHER,
    ),
    CodeMeaning(
        ResultCode.RETRY_BUDGET_SPENT,
        'The attempt failed, and the retry budget is used up.',
        RETRY_IF_NOT_RUN,
        NotRun.EITHER,
    ),
    CodeMeaning(
        ResultCode.DOMAIN_EVACUATED,
        'All upstreams of the service are in evacuated failure domains.',
        RETRY_IF_NOT_RUN,
        NotRun.EITHER,
    ),
    CodeMeaning(
        ResultCode.UPSTREAM_COLD,
        'All upstreams of the service have just started, and this host may '
        'send them no more requests yet.',
        RETRY_IF_NOT_RUN,
        NotRun.EITHER,
    ),
    CodeMeaning(
        ResultCode.REGION_NOT_SERVED,
        'No upstream is in a region that the route and the workspace allow.',
        ASK_OPERATORS,
        NotRun.EITHER,
    ),
    CodeMeaning(
        ResultCode.UPSTREAM_LIMITED,
        'Upstreams of the service take no more requests in a second than the '
        'hosts have sent, and no other one can take the request.',
        RETRY_IF_NOT_RUN,
        NotRun.EITHER,
    ),
    CodeMeaning(
        ResultCode.UPSTREAM_UNREACHABLE,
        'The connection to the upstream failed.',
        RETRY_IF_NOT_RUN,
        NotRun.EITHER,
    ),
    CodeMeaning(
        ResultCode.UPSTREAM_ERROR,
        'The upstream answered with an error.',
        RETRY_IF_NOT_RUN,
        NotRun.EITHER,
    ),
    CodeMeaning(
        ResultCode.UPSTREAM_TIMEOUT,
        'The upstream did not answer in time.',
        RETRY_IF_NOT_RUN,
        NotRun.EITHER,
    ),
    CodeMeaning(
        ResultCode.ANSWER_CUT,
        'The answer ended before its end mark, so it is incomplete.',
        'Discard the part; repeat the request if it may be repeated.',
        NotRun.NEVER,
    ),
    CodeMeaning(
        ResultCode.ANSWER_CROSSED,
        'The upstream sent the answer of another attempt; it was dropped.',
        'Repeat the request if it may be repeated.',
        NotRun.NEVER,
    ),
    CodeMeaning(
        ResultCode.UPSTREAM_BUSY,
        'The upstream rejected the request before it started.',
        RETRY_IF_NOT_RUN,
        NotRun.EITHER,
    ),
    CodeMeaning(
        ResultCode.VERSION_NOT_LOADED,
        'The engine has not loaded the version.',
        RETRY_IF_NOT_RUN,
        NotRun.EITHER,
    ),
    CodeMeaning(
        ResultCode.ORDER_FENCED,
        'An engine refused an order with an outdated fencing number.',
        INTERNAL_ONLY,
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.REQUEST_HARMFUL,
        'Several upstreams have crashed while they executed this request, '
        'or others that have something in common with it, such as a part of '
        'the prompt; the reason names it.',
        'Change what the reason names, or ask the operators; a repeat is '
        'refused too.',
        NotRun.EITHER,
    ),
)
