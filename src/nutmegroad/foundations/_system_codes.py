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
        'The request went out, and whether it ran cannot be told.',
        CHECK_OUTCOME,
        NotRun.NEVER,
    ),
    CodeMeaning(
        ResultCode.STILL_RUNNING,
        'A request with the same key is running.',
        'Wait for the first one, or ask again after `retry_after_ms`.',
        NotRun.NEVER,
    ),
    CodeMeaning(
        ResultCode.INTENT_UNAVAILABLE,
        'That the request runs at most once cannot be recorded now.',
        RETRY_LATER,
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.TICKET_INVALID,
        'The ticket is not one that this deployment signed for the workspace.',
        'Take a new ticket.',
        NotRun.ALWAYS,
    ),
    CodeMeaning(
        ResultCode.TICKET_SPENT,
        'The ticket was used already.',
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
        'The document is wrong; nothing changed.',
        'Mend the fields that the problems name.',
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.CONFIGURATION_CONFLICT,
        'Another change came first; nothing of this one is in force.',
        'Look at the other change, then decide anew.',
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
        'There is no such preset.',
        'Name a preset of the document in force.',
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.CONFIGURATION_UNCONFIRMED,
        'The change is accepted but not yet confirmed to be in force '
        'everywhere.',
        'Ask for its status.',
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.TABLE_UNAVAILABLE,
        'The table service gave no answer.',
        INTERNAL_ONLY,
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.TABLE_CONFLICT,
        'A row was changed by somebody else first.',
        INTERNAL_ONLY,
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.OBJECT_UNAVAILABLE,
        'The object store gave no answer.',
        INTERNAL_ONLY,
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.OBJECT_MISSING,
        'The object store has no such object.',
        INTERNAL_ONLY,
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.HOST_LIST_UNAVAILABLE,
        'The host list gave no answer.',
        INTERNAL_ONLY,
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.RATINGS_UNAVAILABLE,
        'The rating service gave no answer.',
        INTERNAL_ONLY,
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.WEIGHTS_UNAVAILABLE,
        'The weight store gave no answer, or is at its limit.',
        INTERNAL_ONLY,
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.PEER_UNREACHABLE,
        'Another host gave no answer.',
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
        'The host is stopping and takes no new work.',
        'Try again at once: another host takes it.',
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
        'The lease lapsed before the order went out.',
        INTERNAL_ONLY,
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.OPERATOR_UNAUTHENTICATED,
        'The token is missing or belongs to no operator.',
        "Send an operator's token.",
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.OPERATOR_NOT_PERMITTED,
        'The operator may read but not change.',
        'Ask an operator who may.',
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.OPERATOR_REQUEST_INVALID,
        "The operator's request has a bad value; the sentence names it.",
        'Mend the request.',
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.NOT_FOUND,
        'There is no such thing to show.',
        'Check its name; hosts keep explanations for a while only.',
        NotRun.NONE,
    ),
    CodeMeaning(
        ResultCode.INTERNAL,
        'The program itself failed.',
        'Tell the operators the request id; repeat it only if it may '
        'be repeated.',
        NotRun.EITHER,
    ),
)
