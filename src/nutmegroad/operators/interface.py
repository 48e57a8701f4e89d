"""The operators' HTTP interface.

This module serves health checks, the status of the host and its upstreams.
All other routes come in groups, which are plug-ins of the kind
``operator routes`` (see ``operator_access``).
"""

from collections.abc import Iterable
from typing import Final

from aiohttp.web import Application, Request, Response
from msgspec import Struct

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import DomainId, HostId
from nutmegroad.kernel.stops import GracefulStop
from nutmegroad.operators.operator_access import (
    Access,
    OperatorRoutes,
    json_response,
    refusal_response,
)
from nutmegroad.routing.directory import Directory

_UNAVAILABLE: Final = 503


class ConditionBody(Struct, frozen=True):
    """A condition that impairs the service of a host.

    Attributes:
        code: Result code that callers or operators get because of it.
        name: Name of the result code.
        message: Description of the condition, in one sentence.
    """

    code: int
    name: str
    message: str


class StatusBody(Struct, frozen=True):
    """Status of a host.

    Attributes:
        host: Id of the host.
        revision: Revision of the configuration in force on the host.
        preset: Name of the preset in force; empty if there is none.
        author: Operator who made the revision; empty if there is none.
        heard: Highest revision that the host knows to exist.
        behind: Whether the host lacks that revision. Confirmations do not
            count meanwhile.
        isolated: Whether the last confirmation of the configuration expired.
        confirmation_age: Seconds since the start of the last confirming read;
            None if there was none.
        withdrawals: Withdrawn versions.
        unrecorded: Withdrawn versions whose withdrawal is not known to be in
            the table.
        upstreams: Number of known upstreams.
        open_requests: Number of open requests of callers.
        conditions: Conditions that impair the service of the host.
    """

    host: str
    revision: int
    preset: str
    author: str
    heard: int
    behind: bool
    isolated: bool
    confirmation_age: float | None
    withdrawals: tuple[str, ...]
    unrecorded: tuple[str, ...]
    upstreams: int
    open_requests: int
    conditions: tuple[ConditionBody, ...]


class UpstreamBody(Struct, frozen=True):
    """An upstream, as known by the host that replies.

    Attributes:
        upstream: Id of the upstream.
        domain: Its failure domain.
        kind: Engine or service.
        address: Address that it listens on.
        presence: ``live`` or ``leaving``.
        versions: Versions that it has loaded.
        in_flight: Number of this host's requests in flight there.
    """

    upstream: str
    domain: str
    kind: str
    address: str
    presence: str
    versions: tuple[str, ...]
    in_flight: int


class OperatorsInterface:
    """Serves the operators' HTTP interface of a host.

    Args:
        host: Id of this host.
        domain: Failure domain of this host.
        configuration: Configuration in force.
        directory: Known upstreams.
        stop: Graceful stop of this host.
        access: Authenticates operators.
        groups: Groups of additional routes.
    """

    def __init__(
        self,
        host: HostId,
        domain: DomainId,
        configuration: Configuration,
        directory: Directory,
        stop: GracefulStop,
        access: Access,
        groups: Iterable[OperatorRoutes],
    ) -> None:
        self._host = host
        self._domain = domain
        self._configuration = configuration
        self._directory = directory
        self._stop = stop
        self._access = access
        self._groups = tuple(groups)

    def application(self) -> Application:
        """Return the aiohttp application."""
        app = Application()
        app.router.add_get('/healthz', self.health)
        app.router.add_get('/readyz', self.ready)
        app.router.add_get('/operators/status', self.status)
        app.router.add_get('/operators/upstreams', self.upstreams)
        for group in self._groups:
            group.add_routes(app)
        return app

    async def health(self, http: Request) -> Response:
        """Report that the process runs (liveness check)."""
        return Response(text='ok\n')

    async def ready(self, http: Request) -> Response:
        """Report whether the host can serve callers (readiness check)."""
        if self._configuration.accepted is None:
            return Response(status=_UNAVAILABLE, text='no configuration\n')
        # The host list lags: a host may start before the list names any
        # upstream, and would refuse requests although there is capacity.
        if not self._directory.knows_engines(self._domain):
            return Response(status=_UNAVAILABLE, text='no upstreams yet\n')
        return Response(text='ready\n')

    async def status(self, http: Request) -> Response:
        """Return the status of this host."""
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return refusal_response(operator)
        accepted = self._configuration.accepted
        age = self._configuration.confirmation_age
        return json_response(
            StatusBody(
                host=self._host,
                revision=self._configuration.revision,
                preset=accepted.preset if accepted else '',
                author=accepted.author if accepted else '',
                heard=self._configuration.highest_known_revision,
                behind=self._configuration.is_behind,
                isolated=self._configuration.isolated,
                confirmation_age=None if age == float('inf') else age,
                withdrawals=tuple(
                    withdrawal.version
                    for withdrawal in self._configuration.withdrawals
                ),
                unrecorded=tuple(
                    withdrawal.version
                    for withdrawal in self._configuration.unrecorded
                ),
                upstreams=len(self._directory.states()),
                open_requests=self._stop.open_requests,
                conditions=self._conditions(),
            ),
        )

    async def upstreams(self, http: Request) -> Response:
        """List the upstreams that this host knows."""
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return refusal_response(operator)
        bodies = [
            UpstreamBody(
                upstream=state.info.upstream,
                domain=state.info.domain,
                kind=state.info.kind.value,
                address=str(state.info.address),
                presence='live' if state.accepts_requests else 'leaving',
                versions=state.report.versions if state.report else (),
                in_flight=state.in_flight,
            )
            for state in self._directory.states()
        ]
        return json_response(bodies)

    def _conditions(self) -> tuple[ConditionBody, ...]:
        """Return the conditions that impair the service of this host."""
        configuration = self._configuration
        conditions = []
        if not self._stop.is_ready:
            message = 'The host is stopping.'
            conditions.append(_condition(ResultCode.HOST_STOPPING, message))
        if configuration.accepted is None:
            message = 'The host has no configuration.'
            code = ResultCode.CONFIGURATION_MISSING
            conditions.append(_condition(code, message))
        elif configuration.isolated:
            message = (
                f'Revision {configuration.revision} has not been confirmed '
                f'for {configuration.confirmation_age:.0f} s; the host serves '
                'only requests that are allowed in isolation.'
            )
            conditions.append(_condition(ResultCode.ISOLATED, message))
        if configuration.is_behind:
            message = (
                'The host lacks revision '
                f'{configuration.highest_known_revision}.'
            )
            code = ResultCode.CONFIGURATION_UNCONFIRMED
            conditions.append(_condition(code, message))
        if configuration.unrecorded:
            message = 'Some withdrawals are not known to be in the table.'
            code = ResultCode.TABLE_UNAVAILABLE
            conditions.append(_condition(code, message))
        return tuple(conditions)


def _condition(code: ResultCode, message: str) -> ConditionBody:
    return ConditionBody(int(code), code.name, message)
