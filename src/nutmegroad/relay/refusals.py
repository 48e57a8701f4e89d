"""The relay's own refusals: HTTP status, text, and when to retry."""

from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from nutmegroad.fleet.crash_tracker import BlockedRequest
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Ran, ServiceName
from nutmegroad.upstreams.health import INITIAL_EXCLUSION

#: HTTP status of each refusal of a request that was not executed. A caller
#: takes 429 and 503 as a guarantee that the request will never be executed.
_STATUSES: Final = MappingProxyType(
    {
        ResultCode.BODY_MALFORMED: 400,
        ResultCode.FIELD_INVALID: 400,
        ResultCode.BODY_TOO_LARGE: 413,
        ResultCode.HEADERS_TOO_LARGE: 431,
        ResultCode.BODY_TOO_SLOW: 408,
        ResultCode.ROUTE_UNKNOWN: 404,
        ResultCode.UNAUTHENTICATED: 401,
        ResultCode.SHARE_EXCEEDED: 429,
    }
)
_UNAVAILABLE: Final = 503
_BAD_GATEWAY: Final = 502
_GATEWAY_TIMEOUT: Final = 504


#: Seconds after which a caller should retry if its service has no known
#: upstream: one registers within seconds.
NO_UPSTREAM_RETRY_AFTER: Final = 1.0

#: Minimum seconds after which a caller should retry if its request may get a
#: probe execution: until then another request's probe may be running.
MIN_PROBE_RETRY_AFTER: Final = 1.5


@dataclass(frozen=True, slots=True)
class CallerRefusal:
    """A refusal as sent over HTTP.

    Attributes:
        status: HTTP status.
        retry_after: Seconds, or 0 to omit the header.
        text: The body.
        close: Whether to close the connection, so that the caller's retry may
            reach another host.
    """

    status: int
    retry_after: float
    text: str
    close: bool = False


def caller_refusal(refusal: Refusal, *, close: bool = False) -> CallerRefusal:
    """Return a refusal as sent to the caller.

    A status that guarantees that the request was not executed is used only if
    that is known.

    Args:
        refusal: The refusal.
        close: Whether to close the connection.
    """
    status = _STATUSES.get(refusal.code, _UNAVAILABLE)
    if refusal.ran is not Ran.NOT_RUN:
        late = refusal.code in (
            ResultCode.DEADLINE_PASSED,
            ResultCode.UPSTREAM_TIMEOUT,
        )
        status = _GATEWAY_TIMEOUT if late else _BAD_GATEWAY
    text = f'{refusal.code.value} {refusal.code.name}: {refusal.reason}\n'
    return CallerRefusal(status, refusal.retry_after, text, close)


def no_upstream_refusal(known: int, service: ServiceName) -> Refusal:
    """Return the refusal of a request for which no upstream is available.

    Args:
        known: Number of upstreams that may execute the request.
        service: The service.
    """
    if known:
        return Refusal(
            ResultCode.UPSTREAM_UNREACHABLE,
            f'None of {known} upstreams of {service!r} is reachable.',
            retry_after=INITIAL_EXCLUSION,
        )
    return Refusal(
        ResultCode.NO_UPSTREAM,
        f'No upstream of {service!r} is known.',
        retry_after=NO_UPSTREAM_RETRY_AFTER,
    )


def harmful_refusal(harmful: BlockedRequest, service: ServiceName) -> Refusal:
    """Return the refusal of a request that crashes its upstreams."""
    return Refusal(
        ResultCode.REQUEST_HARMFUL,
        f'{harmful.crash_count} upstreams of {service!r} crashed '
        'while running it.',
        retry_after=max(harmful.pause, MIN_PROBE_RETRY_AFTER),
    )
