"""The command line's side of the operators' HTTP interface."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum, unique
from typing import Any, Final

import msgspec
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
)
from msgspec import Struct

from nutmegroad.foundations.results import ResultCode
from nutmegroad.foundations.types import Address

#: Where the operator's token comes from; flags can be read by others.
TOKEN_VARIABLE: Final = 'NUTMEGROAD_TOKEN'

_FIRST_ERROR: Final = 400
_LONGEST_SHOWN: Final = 200


@unique
class ExitCode(IntEnum):
    """How the command line ends; ``docs/COMMANDS.md`` has the table."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    NOT_PERMITTED = 4
    CONFLICT = 5
    INVALID = 6
    NOT_IN_TIME = 7


#: Exit codes of refusals that are not just ``REFUSED``.
_EXITS: Final = (
    (ResultCode.OPERATOR_UNAUTHENTICATED, ExitCode.NOT_PERMITTED),
    (ResultCode.OPERATOR_NOT_PERMITTED, ExitCode.NOT_PERMITTED),
    (ResultCode.CONFIGURATION_CONFLICT, ExitCode.CONFLICT),
    (ResultCode.CONFIGURATION_INVALID, ExitCode.INVALID),
)


class ErrorPart(Struct, frozen=True):
    """The part of an error's body that the command line shows.

    Attributes:
        code: Result code.
        name: Its name.
        message: One sentence.
    """

    code: int
    name: str
    message: str


class ProblemPart(Struct, frozen=True):
    """A field of a document that is wrong.

    Attributes:
        path: The field's path.
        wrong: What is wrong, with the bad value.
        expected: What would be right.
    """

    path: str
    wrong: str
    expected: str


class ErrorReply(Struct, frozen=True):
    """A host's error.

    Attributes:
        error: What it is.
        problems: What is wrong with a document, field by field.
    """

    error: ErrorPart
    problems: tuple[ProblemPart, ...] = ()


@dataclass(frozen=True, slots=True)
class Failure:
    """A command that did not succeed; it is false.

    Attributes:
        exit_code: How the program is to end.
        sentence: What went wrong, for a person.
    """

    exit_code: ExitCode
    sentence: str

    def __bool__(self) -> bool:
        """Return false, always."""
        return False


class OperatorClient:
    """Calls the first host that can be reached.

    Args:
        addresses: Operators' listeners of some hosts.
        token: The operator's token.
        timeout: Seconds that a call may take.
        say: Shows a person how far a command has come.
    """

    def __init__(
        self,
        addresses: tuple[Address, ...],
        token: str,
        timeout: float,
        say: Callable[[str], object],
    ) -> None:
        self._addresses = addresses
        self._token = token
        self._timeout = timeout
        self._say = say

    def say(self, text: str) -> None:
        """Show how far the command has come."""
        self._say(f'{text}\n')

    async def get(self, path: str, **query: str | int) -> Any | Failure:
        """Read something."""
        return await self._call('GET', path, query, None)

    async def post(self, path: str, body: dict[str, Any]) -> Any | Failure:
        """Ask for something; fields that are None are left out."""
        given = {
            name: field for name, field in body.items() if field is not None
        }
        return await self._call('POST', path, {}, given)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str | int],
        body: dict[str, Any] | None,
    ) -> Any | Failure:
        """Make a call; try the next host only if none of it was sent."""
        problems: list[str] = []
        for address in self._addresses:
            url = f'http://{address}/operators/{path}'
            try:
                return await self._ask(method, url, query, body)
            except ClientConnectorError as problem:
                problems.append(f'{address} ({problem.strerror})')
            except (ClientError, TimeoutError) as problem:
                return Failure(ExitCode.UNREACHABLE, _broken(address, problem))
        tried = ', '.join(problems)
        return Failure(
            ExitCode.UNREACHABLE,
            f"No host could be reached: {tried}. Give the operators' "
            'listener of a running host with --operators.',
        )

    def _explain_token(self, url: str, failure: Failure) -> Failure:
        """Add where the token came from to a failure for its sake."""
        if failure.exit_code is not ExitCode.NOT_PERMITTED:
            return failure
        state = 'set' if self._token else 'not set'
        return Failure(
            failure.exit_code,
            f'{failure.sentence}\nThe token is taken from {TOKEN_VARIABLE}, '
            f'which is {state}; {url} was asked.',
        )

    async def _ask(
        self,
        method: str,
        url: str,
        query: dict[str, str | int],
        body: dict[str, Any] | None,
    ) -> Any | Failure:
        """Make a call to one host."""
        headers = {'Authorization': f'Bearer {self._token}'}
        limit = ClientTimeout(total=self._timeout)
        async with (
            ClientSession(headers=headers, timeout=limit) as session,
            session.request(method, url, params=query, json=body) as response,
        ):
            content = await response.read()
            if response.status >= _FIRST_ERROR:
                return self._explain_token(url, read_failure(content))
            return msgspec.json.decode(content)


def read_failure(content: bytes) -> Failure:
    """Return what an error's body says."""
    try:
        reply = msgspec.json.decode(content, type=ErrorReply)
    except msgspec.DecodeError:
        shown = content[:_LONGEST_SHOWN].decode(errors='replace')
        return Failure(
            ExitCode.REFUSED,
            f'The host answered with something else than an error of its '
            f'own: {shown!r}.',
        )
    lines = [f'{reply.error.name} ({reply.error.code}): {reply.error.message}']
    lines.extend(
        f'  {problem.path}: {problem.wrong}; expected {problem.expected}'
        for problem in reply.problems
    )
    exit_code = ExitCode.REFUSED
    for code, other in _EXITS:
        if reply.error.code == code:
            exit_code = other
    return Failure(exit_code, '\n'.join(lines))


def _broken(address: Address, problem: Exception) -> str:
    """Say that a call broke after it may have been sent."""
    if isinstance(problem, asyncio.TimeoutError):
        return (
            f'The host {address} did not answer in time; a change may have '
            'taken effect: look at it before you try again.'
        )
    return (
        f'The call to {address} broke off ({problem}); a change may have '
        'taken effect: look at it before you try again.'
    )
