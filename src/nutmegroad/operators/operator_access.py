"""What the groups of operators' routes share: tokens, bodies, replies.

A group of routes is a plug-in. Its module says::

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
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.secrets import hash_of, is_same
from nutmegroad.foundations.types import OperatorId, RequestId, Revision

Body = TypeVar('Body', bound=Struct)

#: The name under which the bootstrap token acts.
BOOTSTRAP: Final = OperatorId('bootstrap')

_NO_REQUEST: Final = RequestId('-')
_BEARER: Final = 'Bearer '
_OK: Final = 200
_UNPROCESSABLE: Final = 422


class OperatorRoutes(Protocol):
    """A group of the operators' routes."""

    def add_routes(self, app: Application) -> None:
        """Add the routes to the application."""


class ProblemBody(Struct, frozen=True):
    """A field of a document that is wrong.

    Attributes:
        path: The field's path.
        wrong: What is wrong, with the bad value.
        expected: What would be right.
    """

    path: str
    wrong: str
    expected: str


class ProblemsBody(Struct, frozen=True):
    """All that is wrong with a document.

    Attributes:
        error: The refusal, as for any other.
        problems: Each field that is wrong.
    """

    error: msgspec.Raw
    problems: tuple[ProblemBody, ...]


@dataclass(frozen=True, slots=True)
class Ordered(Generic[Body]):
    """What an operator asks for.

    Attributes:
        body: What was sent.
        operator: Who sent it.
    """

    body: Body
    operator: OperatorId


class Access:
    """Knows operators by their tokens.

    Args:
        configuration: What is in force.
        bootstrap_token: Holds until a configuration has operators.
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
        """Return the operator whose token was brought."""
        given = http.headers.get('Authorization', '').removeprefix(_BEARER)
        accepted = self._configuration.accepted
        known = accepted.document.operators if accepted else ()
        if not known and given and is_same(given, self._bootstrap_token):
            return BOOTSTRAP
        token_hash = hash_of(given)
        for entry in known:
            if is_same(entry.token_hash, token_hash):
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

    async def read(
        self,
        http: Request,
        kind: type[Body],
        role: Role = Role.OPERATE,
    ) -> Ordered[Body] | Refusal:
        """Return the body of a request by an operator of a role."""
        operator = self.authenticate(http, role)
        if isinstance(operator, Refusal):
            return operator
        try:
            body = msgspec.json.decode(await http.read(), type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError) as problem:
            return Refusal(
                ResultCode.OPERATOR_REQUEST_INVALID,
                f'The body is not as expected: {problem}.',
            )
        return Ordered(body, operator)


def reply(content: object, status: int = _OK) -> Response:
    """Return a JSON reply."""
    return Response(
        body=msgspec.json.encode(content),
        content_type=JSON_TYPE,
        status=status,
    )


def refuse_operator(refusal: Refusal) -> Response:
    """Return the reply of a refusal."""
    return refuse(refusal, _NO_REQUEST)


def answer(outcome: object) -> Response:
    """Return the reply of what became of a request."""
    if isinstance(outcome, Refusal):
        return refuse_operator(outcome)
    return reply(outcome)


def refuse_document(problems: tuple[Problem, ...]) -> Response:
    """Return the reply to a document that is not valid."""
    refusal = Refusal(
        ResultCode.CONFIGURATION_INVALID,
        f'The document has {len(problems)} problems, the first is {problems[0]}'
        ' Nothing was changed.',
    )
    envelope = msgspec.json.decode(
        error_body(refusal),
        type=dict[str, msgspec.Raw],
    )
    return reply(
        ProblemsBody(envelope['error'], list_problems(problems)),
        _UNPROCESSABLE,
    )


def list_problems(problems: tuple[Problem, ...]) -> tuple[ProblemBody, ...]:
    """Return problems as operators see them."""
    return tuple(
        ProblemBody(problem.path, problem.wrong, problem.expected)
        for problem in problems
    )


def read_number(http: Request, name: str, default: int) -> int | Refusal:
    """Return a number of the query."""
    text = http.query.get(name, str(default))
    if text.isdecimal():
        return int(text)
    return Refusal(
        ResultCode.OPERATOR_REQUEST_INVALID,
        f'The query has {name}={text!r}; expected a whole number from 0.',
    )


def revision_of(number: int | None) -> Revision | None:
    """Return a revision, if a number was given."""
    return None if number is None else Revision(number)
