"""Final answers of our own: what a caller is told, and when to come back."""

from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from nutmegroad.fleet.crash_book import Harmful
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Ran, ServiceName
from nutmegroad.upstreams.health import FIRST_PAUSE

#: The HTTP status of each refusal, for requests that did not run. A caller
#: takes 429 and 503 as a promise that the request never will.
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
_NOT_NOW: Final = 503
_NO_PROMISE: Final = 502
_TOO_LATE: Final = 504


#: Seconds after which a caller comes back whose service has no upstream that is
#: known: one registers within seconds.
NONE_KNOWN: Final = 1.0

#: Least seconds after which a caller comes back whose request may be tried once
#: more: another one may be under trial until then.
TRIED_NEXT: Final = 1.5


@dataclass(frozen=True, slots=True)
class CallerRefusal:
    """A refusal as HTTP.

    Attributes:
        status: HTTP status.
        retry_after: Seconds, or 0 to leave the header out.
        text: The body.
        close: Whether the caller had better come back to another host.
    """

    status: int
    retry_after: float
    text: str
    close: bool = False


def spell(refusal: Refusal, *, close: bool = False) -> CallerRefusal:
    """Return what a caller is told.

    A status that promises that nothing ran is given only for that.
    """
    status = _STATUSES.get(refusal.code, _NOT_NOW)
    if refusal.ran is not Ran.NOT_RUN:
        late = refusal.code in (
            ResultCode.DEADLINE_PASSED,
            ResultCode.UPSTREAM_TIMEOUT,
        )
        status = _TOO_LATE if late else _NO_PROMISE
    text = f'{refusal.code.value} {refusal.code.name}: {refusal.reason}\n'
    return CallerRefusal(status, refusal.retry_after, text, close)


def nowhere(known: int, service: ServiceName) -> Refusal:
    """Return the refusal of a request that can be sent nowhere.

    Args:
        known: How many upstreams of the service are known.
        service: The service.
    """
    if known:
        return Refusal(
            ResultCode.UPSTREAM_UNREACHABLE,
            f'None of {known} upstreams of {service!r} is reached.',
            retry_after=FIRST_PAUSE,
        )
    return Refusal(
        ResultCode.NO_UPSTREAM,
        f'No upstream of {service!r} is known.',
        retry_after=NONE_KNOWN,
    )


def kept_out(harmful: Harmful, service: ServiceName) -> Refusal:
    """Return the refusal of a request under which upstreams end."""
    return Refusal(
        ResultCode.REQUEST_HARMFUL,
        f'{harmful.ends} upstreams of {service!r} have ended under it.',
        retry_after=max(harmful.pause, TRIED_NEXT),
    )
