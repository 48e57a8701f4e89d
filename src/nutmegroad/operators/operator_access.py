"""Authentication, request bodies and responses shared by operators' routes.

A group of routes is a plug-in, which its module registers::

    @register('operator routes', 'billing')
    class BillingRoutes:
        def __init__(self, kernel: Kernel, access: Access) -> None:
            self._access = access

        def add_routes(self, app: Application) -> None:
            app.router.add_get('/operators/billing', self.show)
"""

from dataclasses import dataclass
from typing import Final, Generic, Protocol, TypeVar

import msgspec
from aiohttp.web import Application, Request, Response
from msgspec import Struct

from nutmegroad.callers.replies import JSON_TYPE, error_body, refuse
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.documents import Role
from nutmegroad.contracts.problems import Problem
from nutmegroad.foundations.decoding import UndecodableError, decode_json
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.secrets import hash_secret, secrets_equal
from nutmegroad.foundations.types import OperatorId, RequestId, Revision

Body = TypeVar('Body', bound=Struct)

#: Operator id recorded for changes made with the bootstrap token.
BOOTSTRAP: Final = OperatorId('bootstrap')

_NO_REQUEST: Final = RequestId('-')
_BEARER: Final = 'Bearer '
_OK: Final = 200
_UNPROCESSABLE: Final = 422


class OperatorRoutes(Protocol):
    """A group of operators' routes."""

    def add_routes(self, app: Application) -> None:
        """Register the routes."""


class ProblemBody(Struct, frozen=True):
    """An invalid field of a document.

    Attributes:
        path: Path of the field.
        wrong: What is wrong, including the invalid value.
        expected: What would be valid.
    """

    path: str
    wrong: str
    expected: str


class ProblemsBody(Struct, frozen=True):
    """Error response for an invalid document.

    Attributes:
        error: The refusal, as in any other error response.
        problems: All invalid fields.
    """

    error: msgspec.Raw
    problems: tuple[ProblemBody, ...]


@dataclass(frozen=True, slots=True)
class AuthorizedRequest(Generic[Body]):
    """A decoded request of an operator whose role permits it.

    Attributes:
        body: Decoded body.
        operator: Operator who sent the request.
    """

    body: Body
    operator: OperatorId


class Access:
    """Authenticates operators by their tokens and checks their roles.

    Args:
        configuration: Configuration in force, which lists the operators.
        bootstrap_token: Token that is valid until a configuration lists
            operators.
    """

    def __init__(
        self,
        configuration: Configuration,
        bootstrap_token: str,
    ) -> None:
        self._configuration = configuration
        self._bootstrap_token = bootstrap_token

    def authenticate(
        self,
        http: Request,
        role: Role = Role.READ,
    ) -> OperatorId | Refusal:
        """Return the operator whose token a request has.

        Args:
            http: Request of the operator.
            role: Role that the request requires.

        Returns:
            The operator; a refusal if the token is unknown or the role
            insufficient.
        """
        token = http.headers.get('Authorization', '').removeprefix(_BEARER)
        accepted = self._configuration.accepted
        entries = accepted.document.operators if accepted else ()
        if (
            not entries
            and token
            and secrets_equal(token, self._bootstrap_token)
        ):
            return BOOTSTRAP
        token_hash = hash_secret(token)
        for entry in entries:
            if secrets_equal(entry.token_hash, token_hash):
                if role is Role.OPERATE and entry.role is Role.READ:
                    return Refusal(
                        ResultCode.OPERATOR_NOT_PERMITTED,
                        f'The operator {entry.name!r} has read access only.',
                    )
                return entry.operator
        return Refusal(
            ResultCode.OPERATOR_UNAUTHENTICATED,
            'The Authorization header must contain an operator token as '
            '"Bearer TOKEN"; the token is missing or unknown.',
        )

    async def read(
        self,
        http: Request,
        kind: type[Body],
        role: Role = Role.OPERATE,
    ) -> AuthorizedRequest[Body] | Refusal:
        """Authenticate an operator and decode the body of the request.

        Args:
            http: Request of the operator.
            kind: Type of the body.
            role: Role that the request requires.
        """
        operator = self.authenticate(http, role)
        if isinstance(operator, Refusal):
            return operator
        try:
            body = decode_json(await http.read(), kind)
        except UndecodableError as problem:
            return Refusal(
                ResultCode.OPERATOR_REQUEST_INVALID,
                f'The request body is invalid: {problem}.',
            )
        return AuthorizedRequest(body, operator)


def json_response(content: object, status: int = _OK) -> Response:
    """Return a response with a JSON body."""
    return Response(
        body=msgspec.json.encode(content),
        content_type=JSON_TYPE,
        status=status,
    )


def refusal_response(refusal: Refusal) -> Response:
    """Return the error response for a refusal."""
    return refuse(refusal, _NO_REQUEST)


def outcome_response(outcome: object) -> Response:
    """Return the response for an outcome, which may be a refusal."""
    if isinstance(outcome, Refusal):
        return refusal_response(outcome)
    return json_response(outcome)


def problems_response(problems: tuple[Problem, ...]) -> Response:
    """Return the error response for an invalid document."""
    refusal = Refusal(
        ResultCode.CONFIGURATION_INVALID,
        f'The document has {len(problems)} problems; the first is: '
        f'{problems[0]} Nothing was changed.',
    )
    envelope = msgspec.json.decode(
        error_body(refusal),
        type=dict[str, msgspec.Raw],
    )
    return json_response(
        ProblemsBody(envelope['error'], problem_bodies(problems)),
        _UNPROCESSABLE,
    )


def problem_bodies(problems: tuple[Problem, ...]) -> tuple[ProblemBody, ...]:
    """Return problems in the form of response bodies."""
    return tuple(
        ProblemBody(problem.path, problem.wrong, problem.expected)
        for problem in problems
    )


def read_query_number(http: Request, name: str, default: int) -> int | Refusal:
    """Return a number from the query string, or the default."""
    text = http.query.get(name, str(default))
    if text.isdecimal():
        return int(text)
    return Refusal(
        ResultCode.OPERATOR_REQUEST_INVALID,
        f'The query has {name}={text!r}; expected a non-negative integer.',
    )


def optional_revision(number: int | None) -> Revision | None:
    """Return a number as a revision; None for None."""
    return None if number is None else Revision(number)
