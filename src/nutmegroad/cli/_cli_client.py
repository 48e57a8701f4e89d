"""HTTP client of the operators' interface."""

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

#: Environment variable that holds the operator's token. There is no flag for
#: it, since other users of the machine can read the flags of a process.
TOKEN_VARIABLE: Final = 'NUTMEGROAD_TOKEN'

_MIN_ERROR_STATUS: Final = 400
_MAX_SHOWN_BYTES: Final = 200


@unique
class ExitCode(IntEnum):
    """Exit codes of the program; ``docs/COMMANDS.md`` lists them."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    NOT_PERMITTED = 4
    CONFLICT = 5
    INVALID = 6
    NOT_IN_TIME = 7


#: Exit codes of refusals with a more specific exit code than ``REFUSED``.
_EXIT_CODES: Final = (
    (ResultCode.OPERATOR_UNAUTHENTICATED, ExitCode.NOT_PERMITTED),
    (ResultCode.OPERATOR_NOT_PERMITTED, ExitCode.NOT_PERMITTED),
    (ResultCode.CONFIGURATION_CONFLICT, ExitCode.CONFLICT),
    (ResultCode.CONFIGURATION_INVALID, ExitCode.INVALID),
)


class ErrorDetails(Struct, frozen=True):
    """Fields of an error that the program prints.

    Attributes:
        code: Result code.
        name: Name of the result code.
        message: Error message, in one sentence.
    """

    code: int
    name: str
    message: str


class ProblemDetails(Struct, frozen=True):
    """An invalid field of a document.

    Attributes:
        path: Path of the field.
        wrong: What is wrong, including the invalid value.
        expected: What would be valid.
    """

    path: str
    wrong: str
    expected: str


class ErrorReply(Struct, frozen=True):
    """Body of an error response.

    Attributes:
        error: The error.
        problems: Invalid fields, if the error is about a document.
    """

    error: ErrorDetails
    problems: tuple[ProblemDetails, ...] = ()


@dataclass(frozen=True, slots=True)
class Failure:
    """Failure of a command; always falsy.

    Attributes:
        exit_code: Exit code of the program.
        message: Error message for the user.
    """

    exit_code: ExitCode
    message: str

    def __bool__(self) -> bool:
        """Return false, always."""
        return False


class OperatorClient:
    """Sends calls to the first host that can be reached.

    Args:
        addresses: Addresses of the operators' listeners of some hosts.
        token: Token of the operator.
        timeout: Maximum duration of a call, in seconds.
        write_progress: Writes text about the progress of a command.
    """

    def __init__(
        self,
        addresses: tuple[Address, ...],
        token: str,
        timeout: float,
        write_progress: Callable[[str], object],
    ) -> None:
        self._addresses = addresses
        self._token = token
        self._timeout = timeout
        self._write_progress = write_progress

    def report_progress(self, text: str) -> None:
        """Print the progress of the command."""
        self._write_progress(f'{text}\n')

    async def get(self, path: str, **query: str | int) -> Any | Failure:
        """Send a GET request, and return the decoded reply."""
        return await self._call('GET', path, query, None)

    async def post(self, path: str, body: dict[str, Any]) -> Any | Failure:
        """Send a POST request; fields that are None are omitted."""
        fields = {
            name: field for name, field in body.items() if field is not None
        }
        return await self._call('POST', path, {}, fields)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str | int],
        body: dict[str, Any] | None,
    ) -> Any | Failure:
        """Send a call; try the next host only if no connection was made."""
        problems: list[str] = []
        for address in self._addresses:
            url = f'http://{address}/operators/{path}'
            try:
                return await self._send(method, url, query, body)
            except ClientConnectorError as problem:
                problems.append(f'{address} ({problem.strerror})')
            except (ClientError, TimeoutError) as problem:
                return _interrupted(address, problem)
        unreachable = ', '.join(problems)
        return Failure(
            ExitCode.UNREACHABLE,
            f"No host could be reached: {unreachable}. Name the operators' "
            'listener of a running host with --operators.',
        )

    def _explain_token(self, url: str, failure: Failure) -> Failure:
        """Add the source of the token to a failure that the token caused."""
        if failure.exit_code is not ExitCode.NOT_PERMITTED:
            return failure
        state = 'set' if self._token else 'not set'
        return Failure(
            failure.exit_code,
            f'{failure.message}\nThe token is taken from {TOKEN_VARIABLE}, '
            f'which is {state}; the request went to {url}.',
        )

    async def _send(
        self,
        method: str,
        url: str,
        query: dict[str, str | int],
        body: dict[str, Any] | None,
    ) -> Any | Failure:
        """Send a call to one host."""
        headers = {'Authorization': f'Bearer {self._token}'}
        timeout = ClientTimeout(total=self._timeout)
        async with (
            ClientSession(headers=headers, timeout=timeout) as session,
            session.request(method, url, params=query, json=body) as response,
        ):
            content = await response.read()
            if response.status >= _MIN_ERROR_STATUS:
                return self._explain_token(url, parse_failure(content))
            return msgspec.json.decode(content)


def parse_failure(content: bytes) -> Failure:
    """Return the failure that the body of an error response describes."""
    try:
        reply = msgspec.json.decode(content, type=ErrorReply)
    except msgspec.DecodeError:
        shown = content[:_MAX_SHOWN_BYTES].decode(errors='replace')
        return Failure(
            ExitCode.REFUSED,
            f'The host replied with an error body that cannot be decoded: '
            f'{shown!r}.',
        )
    lines = [f'{reply.error.name} ({reply.error.code}): {reply.error.message}']
    lines.extend(
        f'  {problem.path}: {problem.wrong}; expected {problem.expected}'
        for problem in reply.problems
    )
    exit_code = ExitCode.REFUSED
    for code, specific in _EXIT_CODES:
        if reply.error.code == code:
            exit_code = specific
    return Failure(exit_code, '\n'.join(lines))


def _interrupted(address: Address, problem: Exception) -> Failure:
    """Return the failure of a call that may already have been sent."""
    if isinstance(problem, asyncio.TimeoutError):
        cause = f'The host {address} did not reply in time'
    else:
        cause = f'The call to {address} was interrupted ({problem})'
    return Failure(
        ExitCode.UNREACHABLE,
        f'{cause}; a change may have taken effect: check the state before you '
        'try again.',
    )
