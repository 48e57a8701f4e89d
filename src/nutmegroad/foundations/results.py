"""Result codes, and the value that a failed operation returns.

A function that can fail returns a :class:`Refusal` in place of its value.
Exceptions occur only at the edges, where libraries raise them.
"""

from dataclasses import dataclass
from enum import IntEnum, unique

from nutmegroad.foundations.types import Ran


@unique
class ResultCode(IntEnum):
    """Numbered outcomes; ``docs/CODES.md`` describes each.

    The first digit is the area: 1 the caller's request, 2 rights and limits,
    3 routing, 4 upstreams, 5 records, 6 configuration, 7 the platform,
    8 hosts, 9 operators.
    """

    OK = 0
    BODY_MALFORMED = 1001
    FIELD_INVALID = 1002
    BODY_TOO_LARGE = 1003
    ROUTE_UNKNOWN = 1004
    BODY_TOO_SLOW = 1005
    KEY_REUSED = 1006
    HEADERS_TOO_LARGE = 1007
    CALLER_LEFT = 1008
    HEADERS_TOO_SLOW = 1009
    UNAUTHENTICATED = 2001
    VERSION_NOT_ALLOWED = 2002
    TASK_UNKNOWN = 2003
    SERVICE_UNKNOWN = 2004
    OVERLOADED = 2101
    SHARE_EXCEEDED = 2102
    DEADLINE_UNREACHABLE = 2103
    DEADLINE_PASSED = 2104
    NO_UPSTREAM = 3001
    VERSION_WITHDRAWN = 3002
    NO_PLAN = 3003
    ISOLATED = 3004
    SESSION_ENDED = 3005
    SESSION_INVALID = 3006
    UPSTREAM_LEAVING = 3007
    HOST_PAUSED = 3008
    VERSION_QUARANTINED = 3009
    RETRY_BUDGET_SPENT = 3010
    DOMAIN_EVACUATED = 3011
    UPSTREAM_COLD = 3012
    REGION_NOT_SERVED = 3013
    UPSTREAM_LIMITED = 3014
    UPSTREAM_UNREACHABLE = 4001
    UPSTREAM_ERROR = 4002
    UPSTREAM_TIMEOUT = 4003
    ANSWER_CUT = 4004
    ANSWER_CROSSED = 4005
    UPSTREAM_BUSY = 4006
    VERSION_NOT_LOADED = 4007
    ORDER_FENCED = 4008
    REQUEST_HARMFUL = 4009
    OUTCOME_UNKNOWN = 5001
    STILL_RUNNING = 5002
    INTENT_UNAVAILABLE = 5003
    TICKET_INVALID = 5004
    TICKET_SPENT = 5005
    TICKET_HOST_GONE = 5006
    CONFIGURATION_INVALID = 6001
    CONFIGURATION_CONFLICT = 6002
    CONFIGURATION_MISSING = 6003
    PRESET_UNKNOWN = 6004
    CONFIGURATION_UNCONFIRMED = 6005
    TABLE_UNAVAILABLE = 7001
    TABLE_CONFLICT = 7002
    OBJECT_UNAVAILABLE = 7003
    OBJECT_MISSING = 7004
    HOST_LIST_UNAVAILABLE = 7005
    RATINGS_UNAVAILABLE = 7006
    WEIGHTS_UNAVAILABLE = 7007
    TABLE_ROW_INVALID = 7008
    PEER_UNREACHABLE = 8001
    PEER_REFUSED = 8002
    HOST_STOPPING = 8003
    LEASE_HELD = 8004
    LEASE_LOST = 8005
    HOST_OVERLOADED = 8006
    HOST_MEMORY_SHORT = 8007
    HOST_CONNECTIONS_SHORT = 8008
    OPERATOR_UNAUTHENTICATED = 9001
    OPERATOR_NOT_PERMITTED = 9002
    OPERATOR_REQUEST_INVALID = 9003
    NOT_FOUND = 9004
    INTERNAL = 9999


@dataclass(frozen=True, slots=True)
class Refusal:
    """Returned in place of a value by an operation that failed.

    A refusal is falsy, so that ``if answer:`` tests for success.

    Attributes:
        code: The result code.
        reason: One sentence that explains the refusal to a person.
        ran: What is known about whether any upstream ran the request.
        retry_after: Seconds after which a retry may succeed; 0 if none will.
    """

    code: ResultCode
    reason: str
    ran: Ran = Ran.NOT_RUN
    retry_after: float = 0

    def __bool__(self) -> bool:
        """Return False."""
        return False
