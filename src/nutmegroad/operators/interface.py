"""The operators' HTTP interface.

How the host stands is told here; all else is in groups of routes, which
are plug-ins of the kind ``operator routes`` (see ``operator_access``).
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
    refuse_operator,
    reply,
)
from nutmegroad.routing.directory import Directory

_UNAVAILABLE: Final = 503


class ConditionBody(Struct, frozen=True):
    """Something that keeps a host from serving as it should.

    Attributes:
        code: Result code of what callers or operators meet.
        name: The code's name.
        message: One sentence.
    """

    code: int
    name: str
    message: str


class StatusBody(Struct, frozen=True):
    """What a host says of itself.

    Attributes:
        host: Its id.
        revision: The configuration in force here.
        preset: The preset in force here.
        author: Who made that revision.
        heard: The highest revision of which it has heard.
        behind: Whether it lacks that revision; it then confirms nothing.
        isolated: Whether its last confirmation has lapsed.
        confirmation_age: Seconds since the confirming read; None for never.
        withdrawals: Withdrawn versions.
        unrecorded: Those that the table is not known to have.
        upstreams: How many upstreams it knows.
        open_requests: How many requests of callers are open.
        conditions: What keeps it from serving as it should.
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
    """An upstream, as a host sees it.

    Attributes:
        upstream: Its id.
        domain: Its failure domain.
        kind: Engine or service.
        address: Where it listens.
        presence: Live or leaving.
        versions: Versions that it has loaded.
        in_flight: Requests that this host has there.
    """

    upstream: str
    domain: str
    kind: str
    address: str
    presence: str
    versions: tuple[str, ...]
    in_flight: int


class OperatorsInterface:
    """Serves operators.

    Args:
        host: This host's id.
        domain: The failure domain that it stands in.
        configuration: What is in force.
        directory: The upstreams.
        stop: The host's stop.
        access: Knows operators.
        groups: More routes.
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
        """Say that the process runs."""
        return Response(text='ok\n')

    async def ready(self, http: Request) -> Response:
        """Say whether callers may be sent here."""
        if self._configuration.accepted is None:
            return Response(status=_UNAVAILABLE, text='no configuration\n')
        # The host list lags: a host may open before the list names anything,
        # and would refuse for want of capacity that is there.
        if not self._directory.knows_engines(self._domain):
            return Response(status=_UNAVAILABLE, text='no upstreams yet\n')
        return Response(text='ready\n')

    async def status(self, http: Request) -> Response:
        """Say how this host stands."""
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return refuse_operator(operator)
        accepted = self._configuration.accepted
        age = self._configuration.confirmation_age
        return reply(
            StatusBody(
                host=self._host,
                revision=self._configuration.revision,
                preset=accepted.preset if accepted else '',
                author=accepted.author if accepted else '',
                heard=self._configuration.heard,
                behind=self._configuration.behind,
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
        """List the upstreams."""
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return refuse_operator(operator)
        listed = [
            UpstreamBody(
                upstream=state.info.upstream,
                domain=state.info.domain,
                kind=state.info.kind.value,
                address=str(state.info.address),
                presence='live' if state.is_open else 'leaving',
                versions=state.report.versions if state.report else (),
                in_flight=state.in_flight,
            )
            for state in self._directory.states()
        ]
        return reply(listed)

    def _conditions(self) -> tuple[ConditionBody, ...]:
        """Return what keeps this host from serving as it should."""
        held = self._configuration
        found = []
        if not self._stop.is_ready:
            sentence = 'The host is stopping.'
            found.append(_condition(ResultCode.HOST_STOPPING, sentence))
        if held.accepted is None:
            sentence = 'The host has no configuration.'
            found.append(_condition(ResultCode.CONFIGURATION_MISSING, sentence))
        elif held.isolated:
            sentence = (
                f'Nothing has confirmed revision {held.revision} for '
                f'{held.confirmation_age:.0f} s; the host serves only what '
                'may be served in isolation.'
            )
            found.append(_condition(ResultCode.ISOLATED, sentence))
        if held.behind:
            sentence = f'The host lacks revision {held.heard}.'
            code = ResultCode.CONFIGURATION_UNCONFIRMED
            found.append(_condition(code, sentence))
        if held.unrecorded:
            sentence = 'The table is not known to have all withdrawals.'
            found.append(_condition(ResultCode.TABLE_UNAVAILABLE, sentence))
        return tuple(found)


def _condition(code: ResultCode, sentence: str) -> ConditionBody:
    """Return a condition."""
    return ConditionBody(int(code), code.name, sentence)
