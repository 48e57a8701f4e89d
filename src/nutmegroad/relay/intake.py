"""Parses and checks callers' HTTP requests."""

from dataclasses import dataclass, replace
from typing import Final

from aiohttp import web

from nutmegroad.fleet.request_attributes import (
    ContentFingerprint,
    fingerprint_content,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.timeouts import ReadTimeout
from nutmegroad.foundations.types import RequestId
from nutmegroad.ingress.bodies import read_body
from nutmegroad.ingress.connections import BodyInterruptedError, reading_body
from nutmegroad.overload.arrivals import seconds_since_arrival
from nutmegroad.overload.memory_budget import Holding
from nutmegroad.relay.listener import raw_headers
from nutmegroad.routes.attributes import request_attributes
from nutmegroad.routes.cached_configuration import CachedConfiguration
from nutmegroad.routes.deployment import Route, RoutingTable, Workspace
from nutmegroad.routes.headers import HeaderNames, forwarded_headers
from nutmegroad.routes.requests import (
    CallerRequest,
    SessionName,
    read_caller_timeout,
    read_generation,
)

_BEARER: Final = 'bearer '

#: Fraction of a request's time within which its body has to arrive: an upstream
#: needs the rest.
BODY_FRACTION: Final = 0.5

#: Seconds after which a caller should retry if this host has just started, or
#: can't confirm that its keys are still valid. Other hosts may have a newer
#: confirmation, and this one asks the store every second.
UNCONFIRMED_RETRY_AFTER: Final = 0.5


@dataclass(frozen=True, slots=True)
class _Matched:
    """A request's route and workspace.

    Attributes:
        table: The configuration in which they were found.
        route: The route.
        workspace: The workspace of the key; None if the route needs no key.
    """

    table: RoutingTable
    route: Route
    workspace: Workspace | None


class Intake:
    """Parses callers' requests, and checks their sizes, routes and keys.

    Args:
        names: The deployment's header names.
        configuration: The cached configuration.
        clock: The host's clock.
    """

    @property
    def age(self) -> float:
        """Seconds since the configuration was last confirmed."""
        return self._configuration.age

    def __init__(
        self,
        names: HeaderNames,
        configuration: CachedConfiguration,
        clock: Clock,
    ) -> None:
        self._names = names
        self._configuration = configuration
        self._clock = clock

    async def read(
        self, http: web.BaseRequest, holding: Holding
    ) -> CallerRequest | Refusal:
        """Return a request after reading its body, or why it is refused.

        Args:
            http: The request.
            holding: Accounts for the bytes of its body.
        """
        waited = seconds_since_arrival(http.transport)
        arrived = self._clock.now() - waited
        refusal = self._check_headers(http)
        if refusal is not None:
            return refusal
        matched = self._match(http)
        if isinstance(matched, Refusal):
            return matched
        holding.owners = _owners(matched)
        body = await self._read_body(http, matched, holding, arrived)
        if isinstance(body, Refusal):
            return body
        if self._configuration.table is not matched.table:
            # The body may have taken seconds, and the key be revoked since.
            matched = self._match(http)
            if isinstance(matched, Refusal):
                return matched
        refusal = self._check_key_validity(matched)
        if refusal is not None:
            return refusal
        return self._compose(http, matched, body, arrived)

    async def _read_body(
        self,
        http: web.BaseRequest,
        matched: _Matched,
        holding: Holding,
        arrived: float,
    ) -> bytes | Refusal:
        """Return the body if it arrives in time."""
        limit = matched.table.limits.body_bytes
        if http.content.is_eof():
            return await read_body(http, limit, holding)
        text = http.headers.get(self._names.deadline, '')
        timeout = matched.route.timeout
        allowed = BODY_FRACTION * min(
            read_caller_timeout(text, timeout), timeout
        )
        time_left = max(0, arrived + allowed - self._clock.now())
        try:
            async with ReadTimeout(time_left):
                with reading_body(http):
                    return await read_body(http, limit, holding)
        except BodyInterruptedError as interrupted:
            return interrupted.refusal
        except TimeoutError:
            return Refusal(
                ResultCode.BODY_TOO_SLOW,
                f'The body was not complete within {allowed:.1f} s.',
            )

    def _check_headers(self, http: web.BaseRequest) -> Refusal | None:
        """Return the refusal of headers that are too large, or None."""
        table = self._configuration.table
        size = sum(len(name) + len(text) for name, text in raw_headers(http))
        if table is None or size <= table.limits.header_bytes:
            return None
        return Refusal(
            ResultCode.HEADERS_TOO_LARGE,
            f'The headers have {size} bytes; '
            f'the limit is {table.limits.header_bytes}.',
        )

    def _match(self, http: web.BaseRequest) -> _Matched | Refusal:
        """Find a request's route, and check its key."""
        table = self._configuration.table
        if table is None:
            return Refusal(
                ResultCode.CONFIGURATION_MISSING,
                'This host has no configuration yet.',
                retry_after=UNCONFIRMED_RETRY_AFTER,
            )
        host = http.headers.get('Host', '').rpartition(':')
        name = (host[0] or host[2]).lower()
        path = raw_path(http)
        route = table.match(name, path)
        if route is None:
            return self._unmatched(name, path)
        if route.anonymous or not table.requires_key:
            return _Matched(table, route, None)
        key = _bearer(http.headers.get('Authorization', ''))
        workspace = table.keys.get(key)
        if workspace is None:
            return self._unknown_key()
        return _Matched(table, route, workspace)

    def _check_key_validity(self, matched: _Matched) -> Refusal | None:
        """Return the refusal of a key that may have been revoked, or None."""
        if matched.workspace is None or self._configuration.keys_valid:
            return None
        return Refusal(
            ResultCode.CONFIGURATION_UNCONFIRMED,
            'This host cannot confirm that the key is still valid.',
            retry_after=UNCONFIRMED_RETRY_AFTER,
        )

    def _unmatched(self, host: str, path: str) -> Refusal:
        """Return the refusal of a request without a route."""
        if not self._configuration.keys_valid:
            return self._unconfirmed()
        return Refusal(
            ResultCode.ROUTE_UNKNOWN,
            f'There is no route for the host {host!r} and the path {path!r}.',
        )

    def _unknown_key(self) -> Refusal:
        """Return the refusal of a request with an unknown key."""
        if not self._configuration.keys_valid:
            return self._unconfirmed()
        return Refusal(
            ResultCode.UNAUTHENTICATED,
            'The key is not part of the configuration.',
        )

    def _unconfirmed(self) -> Refusal:
        """Return the refusal of a request that a newer table may accept."""
        return Refusal(
            ResultCode.CONFIGURATION_UNCONFIRMED,
            'This host cannot confirm that its configuration is current.',
            retry_after=UNCONFIRMED_RETRY_AFTER,
        )

    def _compose(
        self,
        http: web.BaseRequest,
        matched: _Matched,
        body: bytes,
        arrived: float,
    ) -> CallerRequest:
        """Return the parsed request of a caller."""
        names = self._names
        headers = http.headers
        route = matched.route
        wait = read_caller_timeout(
            headers.get(names.deadline, ''), route.timeout
        )
        session = headers.get(names.session)
        request = CallerRequest(
            request_id=RequestId(headers.get(names.request_id, '')),
            method=http.method,
            target=raw_target(http),
            headers=forwarded_headers(raw_headers(http), names),
            body=body,
            has_body=http.body_exists or 'Content-Length' in headers,
            route=route,
            table=matched.table,
            workspace=matched.workspace,
            arrived=arrived,
            deadline=arrived + min(wait, route.timeout),
            caller_deadline=arrived + wait,
            content=_fingerprint_content(http, matched, body),
            generation=read_generation(headers, names),
            session=SessionName(session) if session else None,
            last_event=headers.get(names.last_event, ''),
        )
        return replace(request, attributes=request_attributes(request))


def _fingerprint_content(
    http: web.BaseRequest,
    matched: _Matched,
    body: bytes,
) -> ContentFingerprint:
    """Return the content fingerprint of a request."""
    workspace = matched.workspace
    name = '' if workspace is None else workspace.name
    caller = f'{http.method} {matched.route.host} {name}'
    return fingerprint_content(caller, raw_target(http), body)


def raw_target(http: web.BaseRequest) -> bytes:
    """Return the path and query as received."""
    return http.raw_path.encode('utf-8', 'surrogateescape')


def raw_path(http: web.BaseRequest) -> str:
    """Return the path as received, without the query."""
    return http.raw_path.partition('?')[0]


def _bearer(text: str) -> str:
    """Return the key in an Authorization header, or an empty string."""
    if text[: len(_BEARER)].lower() == _BEARER:
        return text[len(_BEARER) :].strip()
    return ''


def _owners(matched: _Matched) -> tuple[str, ...]:
    """Return who shares the memory that is held for a request."""
    owners = (f'route {matched.route.name}',)
    if matched.workspace is None:
        return owners
    return (*owners, f'workspace {matched.workspace.name}')
