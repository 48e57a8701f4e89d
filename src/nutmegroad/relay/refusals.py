"""The relay's own refusals: HTTP status, text, and when to retry."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Final

from nutmegroad.fleet.crash_causes import BlockedRequest
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import DomainId, Ran, ServiceName
from nutmegroad.upstreams.brittle_limits import REJECTION_PAUSE
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
        ResultCode.HEADERS_TOO_SLOW: 408,
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
        proof: Name of a header that says that the request was not executed;
            empty to omit it.
    """

    status: int
    retry_after: float
    text: str
    close: bool = False
    proof: str = ''


def caller_refusal(
    refusal: Refusal, *, close: bool = False, proof: str = ''
) -> CallerRefusal:
    """Return a refusal as sent to the caller.

    A status that guarantees that the request was not executed is used only if
    that is known.

    Args:
        refusal: The refusal.
        close: Whether to close the connection.
        proof: Name of a header that says that the request was not executed,
            if it is to be sent.
    """
    status = _STATUSES.get(refusal.code, _UNAVAILABLE)
    if refusal.ran is not Ran.NOT_RUN:
        late = refusal.code in (
            ResultCode.DEADLINE_PASSED,
            ResultCode.UPSTREAM_TIMEOUT,
        )
        status = _GATEWAY_TIMEOUT if late else _BAD_GATEWAY
    text = f'{refusal.code.value} {refusal.code.name}: {refusal.reason}\n'
    return CallerRefusal(status, refusal.retry_after, text, close, proof)


@dataclass(frozen=True, slots=True)
class Exclusions:
    """Why upstreams of a service are not used for a request.

    Attributes:
        listed: Number of upstreams that are not draining.
        permitted: Number of those that may execute the request, by version,
            failure domain and region.
        other_regions: Number of those in regions that are not allowed.
        evacuated: Seconds since each evacuation order was received.
        cold: Seconds for which each cold upstream may still be cold.
        withheld: Number of brittle upstreams that get no request now.
        limited: Number of limited upstreams at which this host has no token.
    """

    listed: int
    permitted: int
    other_regions: int = 0
    evacuated: Mapping[DomainId, float] = field(default_factory=dict)
    cold: tuple[float, ...] = ()
    withheld: int = 0
    limited: int = 0

    def log_fields(self) -> dict[str, object]:
        """Return the fields of a log line; none if nothing is excluded."""
        fields: dict[str, object] = {}
        if self.evacuated:
            fields['evacuated'] = {
                domain: round(age, 3) for domain, age in self.evacuated.items()
            }
        if self.other_regions:
            fields['other_regions'] = self.other_regions
        if self.cold:
            fields['cold'] = len(self.cold)
        if self.withheld:
            fields['withheld'] = self.withheld
        if self.limited:
            fields['limited'] = self.limited
        return fields


def no_upstream_refusal(
    exclusions: Exclusions, service: ServiceName
) -> Refusal:
    """Return the refusal of a request for which no upstream is available.

    Args:
        exclusions: The upstreams of the service that are not used.
        service: The service.
    """
    if exclusions.permitted:
        return _unusable_refusal(exclusions, service)
    if exclusions.listed and exclusions.other_regions == exclusions.listed:
        return Refusal(
            ResultCode.REGION_NOT_SERVED,
            f'No upstream of {service!r} is in an allowed region.',
            retry_after=NO_UPSTREAM_RETRY_AFTER,
        )
    if exclusions.listed and exclusions.evacuated:
        domains = ', '.join(sorted(exclusions.evacuated))
        return Refusal(
            ResultCode.DOMAIN_EVACUATED,
            f'The upstreams of {service!r} are in evacuated domains: '
            f'{domains}.',
            retry_after=NO_UPSTREAM_RETRY_AFTER,
        )
    return Refusal(
        ResultCode.NO_UPSTREAM,
        f'No upstream of {service!r} is known.',
        retry_after=NO_UPSTREAM_RETRY_AFTER,
    )


def limited_refusal(
    exclusions: Exclusions, service: ServiceName, retry_after: float
) -> Refusal:
    """Return the refusal if upstreams take no more requests at present.

    Args:
        exclusions: The upstreams of the service that are not used.
        service: The service.
        retry_after: Seconds after which the caller should retry.
    """
    return Refusal(
        ResultCode.UPSTREAM_LIMITED,
        f'{exclusions.limited} of {exclusions.permitted} upstreams of '
        f'{service!r} take no more requests now, and the others can take none.',
        retry_after=retry_after,
    )


def _unusable_refusal(exclusions: Exclusions, service: ServiceName) -> Refusal:
    """Return the refusal if upstreams are permitted, but none can be used."""
    known = exclusions.permitted
    if len(exclusions.cold) == known:
        return Refusal(
            ResultCode.UPSTREAM_COLD,
            f'All {known} upstreams of {service!r} have just started.',
            retry_after=min(exclusions.cold),
        )
    if exclusions.withheld == known:
        return Refusal(
            ResultCode.OVERLOADED,
            f'All {known} upstreams of {service!r} are brittle, and have no '
            'room left.',
            retry_after=REJECTION_PAUSE,
        )
    return Refusal(
        ResultCode.UPSTREAM_UNREACHABLE,
        f'None of {known} upstreams of {service!r} is reachable.',
        retry_after=INITIAL_EXCLUSION,
    )


def truncated_refusal() -> Refusal:
    """Return the refusal of a request whose answer was truncated."""
    return Refusal(
        ResultCode.ANSWER_CUT,
        'The answer was truncated, and the request may not be repeated.',
        Ran.RAN,
    )


def harmful_refusal(harmful: BlockedRequest, service: ServiceName) -> Refusal:
    """Return the refusal of a request that crashes its upstreams."""
    causes = ' and '.join(cause.label for cause in harmful.causes)
    return Refusal(
        ResultCode.REQUEST_HARMFUL,
        f'{harmful.crash_count} upstreams of {service!r} crashed '
        f'while running requests with {causes}.',
        retry_after=max(harmful.pause, MIN_PROBE_RETRY_AFTER),
    )
