"""The operators' HTTP interface."""

import hashlib
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

import msgspec
from aiohttp.web import Application, Request, Response
from msgspec import Struct

from nutmegroad.changes import Changes
from nutmegroad.configuration import Configuration
from nutmegroad.directory import Directory
from nutmegroad.documents import Role, parse_document
from nutmegroad.explanations import Explanations
from nutmegroad.heads import Head
from nutmegroad.replies import JSON_TYPE, refuse
from nutmegroad.results import Refusal, ResultCode
from nutmegroad.types import (
    HostId,
    OperatorId,
    PresetName,
    RequestId,
    Revision,
    VersionId,
)

Body = TypeVar('Body', bound=Struct)

_NO_REQUEST: Final = RequestId('-')
_UNAVAILABLE: Final = 503
_BEARER: Final = 'Bearer '
#: The name under which the bootstrap token acts.
BOOTSTRAP: Final = OperatorId('bootstrap')


class ApplyBody(Struct, frozen=True, forbid_unknown_fields=True):
    """A document to be put into force.

    Attributes:
        text: The document, as TOML.
        preset: The preset to be in force with it.
        expected: The revision that the operator saw.
    """

    text: str
    preset: str | None = None
    expected: int | None = None


class SwitchBody(Struct, frozen=True, forbid_unknown_fields=True):
    """A preset to be put into force.

    Attributes:
        preset: Its name.
        expected: The revision that the operator saw.
    """

    preset: str
    expected: int | None = None


class WithdrawBody(Struct, frozen=True, forbid_unknown_fields=True):
    """A version to be withdrawn.

    Attributes:
        version: ``model@version``.
    """

    version: str


class StatusBody(Struct, frozen=True):
    """What a host says of itself.

    Attributes:
        host: Its id.
        revision: The configuration in force here.
        preset: The preset in force here.
        author: Who made that revision.
        isolated: Whether its last confirmation has lapsed.
        confirmation_age: Seconds since the confirming read; None for never.
        withdrawals: Withdrawn versions.
        upstreams: How many upstreams it knows.
    """

    host: str
    revision: int
    preset: str
    author: str
    isolated: bool
    confirmation_age: float | None
    withdrawals: tuple[str, ...]
    upstreams: int


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
        configuration: What is in force.
        changes: Makes changes.
        directory: The upstreams.
        explanations: What happened to requests.
        bootstrap_token: Holds until a configuration has operators.
    """

    def __init__(
        self,
        host: HostId,
        configuration: Configuration,
        changes: Changes,
        directory: Directory,
        explanations: Explanations,
        bootstrap_token: str,
    ) -> None:
        self._host = host
        self._configuration = configuration
        self._changes = changes
        self._directory = directory
        self._explanations = explanations
        self._bootstrap_token = bootstrap_token

    def application(self) -> Application:
        """Return the aiohttp application."""
        app = Application()
        app.router.add_get('/healthz', self.health)
        app.router.add_get('/readyz', self.ready)
        app.router.add_get('/operators/status', self.status)
        app.router.add_get('/operators/upstreams', self.upstreams)
        app.router.add_get('/operators/requests/{request}', self.explain)
        app.router.add_post('/operators/configuration', self.apply)
        app.router.add_post('/operators/preset', self.switch)
        app.router.add_post('/operators/withdrawals', self.withdraw)
        return app

    async def health(self, http: Request) -> Response:
        """Say that the process runs."""
        return Response(text='ok\n')

    async def ready(self, http: Request) -> Response:
        """Say whether callers may be sent here."""
        if self._configuration.accepted is None:
            return Response(status=_UNAVAILABLE, text='no configuration\n')
        return Response(text='ready\n')

    async def status(self, http: Request) -> Response:
        """Say how this host stands."""
        operator = self._authenticate(http, Role.READ)
        if isinstance(operator, Refusal):
            return refuse(operator, _NO_REQUEST)
        accepted = self._configuration.accepted
        age = self._configuration.confirmation_age
        return _reply(
            StatusBody(
                host=self._host,
                revision=self._configuration.revision,
                preset=accepted.preset if accepted else '',
                author=accepted.author if accepted else '',
                isolated=self._configuration.isolated,
                confirmation_age=None if age == float('inf') else age,
                withdrawals=tuple(
                    fact.version for fact in self._configuration.withdrawals
                ),
                upstreams=len(self._directory.states()),
            ),
        )

    async def upstreams(self, http: Request) -> Response:
        """List the upstreams."""
        operator = self._authenticate(http, Role.READ)
        if isinstance(operator, Refusal):
            return refuse(operator, _NO_REQUEST)
        listed = [
            UpstreamBody(
                upstream=state.info.upstream,
                domain=state.info.domain,
                kind=state.info.kind.value,
                address=str(state.info.address),
                presence='leaving' if state.leaving else 'live',
                versions=state.report.versions if state.report else (),
                in_flight=state.in_flight,
            )
            for state in self._directory.states()
        ]
        return _reply(listed)

    async def explain(self, http: Request) -> Response:
        """Tell what happened to a request and why."""
        operator = self._authenticate(http, Role.READ)
        if isinstance(operator, Refusal):
            return refuse(operator, _NO_REQUEST)
        request = RequestId(http.match_info['request'])
        explanation = self._explanations.find(request)
        if explanation is None:
            return refuse(
                Refusal(
                    ResultCode.NOT_FOUND,
                    f'This host knows no request {request!r}.',
                ),
                request,
            )
        return _reply(explanation.steps)

    async def apply(self, http: Request) -> Response:
        """Put a document into force."""

        async def change(
            body: ApplyBody,
            operator: OperatorId,
        ) -> Head | Refusal:
            """Check the document and apply it."""
            try:
                document = parse_document(body.text)
            except msgspec.DecodeError as problem:
                return Refusal(
                    ResultCode.CONFIGURATION_INVALID,
                    f'The document is not valid: {problem}.',
                )
            preset = PresetName(body.preset) if body.preset else None
            expected = _revision(body.expected)
            return await self._changes.apply(
                document,
                preset,
                operator,
                expected,
            )

        return await self._change(http, ApplyBody, change)

    async def switch(self, http: Request) -> Response:
        """Put another preset into force."""

        async def change(
            body: SwitchBody,
            operator: OperatorId,
        ) -> Head | Refusal:
            """Switch."""
            return await self._changes.switch(
                PresetName(body.preset),
                operator,
                _revision(body.expected),
            )

        return await self._change(http, SwitchBody, change)

    async def withdraw(self, http: Request) -> Response:
        """Withdraw a version."""

        async def change(
            body: WithdrawBody,
            operator: OperatorId,
        ) -> Head | Refusal:
            """Withdraw."""
            return await self._changes.withdraw(
                VersionId(body.version),
                operator,
            )

        return await self._change(http, WithdrawBody, change)

    async def _change(
        self,
        http: Request,
        kind: type[Body],
        change: Callable[[Body, OperatorId], Awaitable[Head | Refusal]],
    ) -> Response:
        """Read a body, make a change, answer with the new head."""
        operator = self._authenticate(http, Role.OPERATE)
        if isinstance(operator, Refusal):
            return refuse(operator, _NO_REQUEST)
        try:
            body = msgspec.json.decode(await http.read(), type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError) as problem:
            return refuse(
                Refusal(
                    ResultCode.OPERATOR_REQUEST_INVALID,
                    f'The body is not as expected: {problem}.',
                ),
                _NO_REQUEST,
            )
        head = await change(body, operator)
        if isinstance(head, Refusal):
            return refuse(head, _NO_REQUEST)
        return _reply(head)

    def authorize(self, http: Request, role: Role) -> OperatorId | Refusal:
        """Return the operator who asks, if they may; for other parts."""
        return self._authenticate(http, role)

    def _authenticate(self, http: Request, role: Role) -> OperatorId | Refusal:
        """Return the operator whose token was brought."""
        given = http.headers.get('Authorization', '').removeprefix(_BEARER)
        accepted = self._configuration.accepted
        known = accepted.document.operators if accepted else ()
        if not known and given and given == self._bootstrap_token:
            return BOOTSTRAP
        token_hash = hashlib.sha256(given.encode()).hexdigest()
        for entry in known:
            if entry.token_hash == token_hash:
                if role is Role.OPERATE and entry.role is Role.READ:
                    return Refusal(
                        ResultCode.OPERATOR_NOT_PERMITTED,
                        f'The operator {entry.name!r} may only read.',
                    )
                return entry.operator
        return Refusal(
            ResultCode.OPERATOR_UNAUTHENTICATED,
            'The Authorization header must bring an operator token as '
            '"Bearer TOKEN"; this one is missing or unknown.',
        )


def _revision(number: int | None) -> Revision | None:
    """Return a revision, if a number was given."""
    return None if number is None else Revision(number)


def _reply(content: object) -> Response:
    """Return a JSON reply."""
    return Response(
        body=msgspec.json.encode(content),
        content_type=JSON_TYPE,
    )
