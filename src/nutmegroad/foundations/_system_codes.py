"""Descriptions of the codes of records, configuration and the system."""

from typing import Final

from nutmegroad.foundations._code_meaning import (
    CHECK_OUTCOME,
    INTERNAL_ONLY,
    RETRY_LATER,
    CodeMeaning,
    NotRun,
)
from nutmegroad.foundations.results import ResultCode

SYSTEM_CODES: Final = (
    CodeMeaning(
        ResultCode.OUTCOME_UNKNOWN,
        'The request was dispatched, and it is unknown whether it ran.',
        CHECK_OUTCOME,
        NotRun.NEVER,
    ),
    CodeMeaning(
        ResultCode.STILL_RUNNING,
        'A request with the same idempotency key is running.',
        'Wait for the first one, or retry after `retry_after_ms`.',
        NotRun.NEVER,
    ),
    CodeMeaning(
        ResultCode.INTENT_UNAVAILABLE,
        'The record that makes the request run at most once cannot be '
        'written now.',
        RETRY_LATER,
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.TICKET_INVALID,
        'The ticket was not signed by this deployment for the workspace.',
        'Request a new ticket.',
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.TICKET_SPENT,
        'The ticket has already been used.',
        CHECK_OUTCOME,
        NotRun.NEVER,
    ),
    CodeMeaning(
        ResultCode.TICKET_HOST_GONE,
        'The host that issued the ticket cannot be reached; the request may '
        'have run there.',
        CHECK_OUTCOME,
        NotRun.NEVER,
    ),
    CodeMeaning(
        ResultCode.CONFIGURATION_INVALID,
        'The document is invalid; nothing was changed.',
        'Correct the fields that the problems name.',
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.CONFIGURATION_CONFLICT,
        'Another change came first; no part of this one was applied.',
        'Review the other change, then decide again.',
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.CONFIGURATION_MISSING,
        'The host has no configuration yet.',
        RETRY_LATER,
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.PRESET_UNKNOWN,
        'No such preset exists.',
        'Name a preset of the document in force.',
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.CONFIGURATION_UNCONFIRMED,
        'The change is accepted but not yet confirmed to be in force '
        'everywhere.',
        'Query its status.',
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.TABLE_UNAVAILABLE,
        'The table service did not answer.',
        INTERNAL_ONLY,
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.TABLE_CONFLICT,
        'A row was changed by another writer first.',
        INTERNAL_ONLY,
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.OBJECT_UNAVAILABLE,
        'The object store did not answer.',
        INTERNAL_ONLY,
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.OBJECT_MISSING,
        'The object store does not have the object.',
        INTERNAL_ONLY,
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.HOST_LIST_UNAVAILABLE,
        'The host list service did not answer.',
        INTERNAL_ONLY,
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.RATINGS_UNAVAILABLE,
        'The rating service did not answer.',
        INTERNAL_ONLY,
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.WEIGHTS_UNAVAILABLE,
        'The weight store did not answer, or is at its limit.',
        INTERNAL_ONLY,
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.TABLE_ROW_INVALID,
        'A row of the table can not be decoded; another program wrote it.',
        INTERNAL_ONLY,
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.PEER_UNREACHABLE,
        'Another host did not answer.',
        INTERNAL_ONLY,
        NotRun.EITHER,
    ),
    CodeMeaning(
        ResultCode.PEER_REFUSED,
        'Another host refused a message.',
        INTERNAL_ONLY,
        NotRun.EITHER,
    ),
    CodeMeaning(
        ResultCode.HOST_STOPPING,
        'The host is stopping and accepts no new requests.',
        'Retry immediately; another host will accept it.',
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.LEASE_HELD,
        'Another host holds the lease.',
        INTERNAL_ONLY,
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.LEASE_LOST,
        'The lease expired before the order was sent.',
        INTERNAL_ONLY,
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.HOST_OVERLOADED,
        'This host is short of processor time; others may have some.',
        'Retry after the given time, on a new connection.',
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.HOST_MEMORY_SHORT,
        'This host has no memory left for a body of this size.',
        'Retry after the given time, on a new connection.',
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.HOST_CONNECTIONS_SHORT,
        'This host has no connection left; the request was not read.',
        'Retry after the given time, on a new connection.',
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.OPERATOR_UNAUTHENTICATED,
        'The token is missing or belongs to no operator.',
        "Send an operator's token.",
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.OPERATOR_NOT_PERMITTED,
        'The operator may read but not make changes.',
        'Ask an operator who may.',
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.OPERATOR_REQUEST_INVALID,
        "The operator's request has an invalid value; the message names it.",
        'Correct the request.',
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.NOT_FOUND,
        'The requested item does not exist.',
        'Check its name; hosts retain explanations only for a while.',
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.INTERNAL,
        'The program failed unexpectedly.',
        'Report the request id to the operators; repeat the request only if '
        'it may be repeated.',
        NotRun.EITHER,
    ),
)
