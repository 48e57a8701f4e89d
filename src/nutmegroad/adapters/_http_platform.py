"""Adapters that reach the platform's services over HTTP.

Each call is made once: whoever calls decides on another try. (aiohttp
itself sends a GET or a PUT anew if a kept connection turns out to be
closed; both change nothing when they are done twice.)
"""

from dataclasses import dataclass, field
from http import HTTPStatus
from typing import ClassVar, Final, TypeVar

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
)
from msgspec import DecodeError
from msgspec.json import decode, encode
from yarl import URL

from nutmegroad.adapters._http_costs import account_for
from nutmegroad.adapters._platform_bodies import (
    CommitBody,
    ConflictBody,
    ListingBody,
    LoadRateBody,
    NamesBody,
    RatingsBody,
    RowsBody,
)
from nutmegroad.contracts.platform import (
    Conflict,
    Listing,
    RatedAnswer,
    Rating,
    Row,
    RowKey,
    RowWrite,
)
from nutmegroad.foundations.accounting import Account
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Address, Ran
from nutmegroad.kernel.registry import register

#: Seconds that a call may take; the platform answers in milliseconds, and
#: a caller that waits longer does better to go on without it.
CALL_TIMEOUT: Final = 2.0
#: Seconds until a service that failed is worth another try.
RETRY_AFTER: Final = 1.0

_PLUG_IN: Final = 'http'
_GET: Final = 'GET'
_Body = TypeVar('_Body')


@dataclass(frozen=True, slots=True)
class _Call:
    """One request to a service of the platform."""

    path: str
    method: str = _GET
    query: dict[str, str] = field(default_factory=dict)
    body: bytes | None = None

    @property
    def writes(self) -> bool:
        """Tell whether it may change what the platform holds."""
        return self.method != _GET


@dataclass(frozen=True, slots=True)
class _Reply:
    """What came back, whatever its status."""

    status: int
    body: bytes


class _Service:
    """Calls one service, and turns trouble into refusals.

    Args:
        session: What sends the requests; its owner closes it.
        address: Where the platform listens.
        timeout: Seconds that a call may take.
        account: Where its cost is written, if anywhere.
    """

    #: The code of its refusals.
    _code: ClassVar[ResultCode]
    #: Whose cost its calls are.
    _part: ClassVar[str]

    def __init__(
        self,
        session: ClientSession,
        address: Address,
        timeout: float = CALL_TIMEOUT,
        account: Account | None = None,
    ) -> None:
        self._session = session
        self._address = address
        self._timeout = ClientTimeout(total=timeout)
        self._account = account

    async def _send(self, call: _Call) -> _Reply | Refusal:
        """Make a call once."""
        try:
            return await self._exchange(call)
        except ClientConnectorError as error:
            # There was no connection, so nothing can have been sent.
            return self._refusal(f'cannot be reached: {error}', Ran.NOT_RUN)
        except TimeoutError:
            seconds = self._timeout.total
            problem = f'gave no answer in {seconds} seconds'
            return self._failed(call, problem)
        except (ClientError, OSError) as error:
            return self._failed(call, f'broke off: {error!r}')

    async def _ask(self, call: _Call, kind: type[_Body]) -> _Body | Refusal:
        """Make a call that has only one good reply, and decode it."""
        reply = await self._send(call)
        if isinstance(reply, Refusal):
            return reply
        if reply.status != HTTPStatus.OK:
            return self._unexpected(call, reply)
        return self._parse(call, reply, kind)

    async def _tell(self, call: _Call, expected: HTTPStatus) -> Refusal | None:
        """Make a call whose good reply has no body."""
        reply = await self._send(call)
        if isinstance(reply, Refusal):
            return reply
        if reply.status != expected:
            return self._unexpected(call, reply)
        return None

    def _parse(
        self,
        call: _Call,
        reply: _Reply,
        kind: type[_Body],
    ) -> _Body | Refusal:
        """Decode a reply's JSON."""
        try:
            return decode(reply.body, type=kind)
        except (DecodeError, UnicodeDecodeError) as error:
            return self._failed(call, f'gave a malformed reply: {error}')

    def _unexpected(self, call: _Call, reply: _Reply) -> Refusal:
        """Refuse a reply whose status the interface does not know."""
        return self._failed(call, f'answered with status {reply.status}')

    def _failed(self, call: _Call, problem: str) -> Refusal:
        """Refuse after the request may have gone out."""
        ran = Ran.UNKNOWN if call.writes else Ran.NOT_RUN
        return self._refusal(f'{problem} ({call.method} {call.path})', ran)

    def _refusal(self, problem: str, ran: Ran) -> Refusal:
        reason = f'The platform at {self._address} {problem}.'
        return Refusal(self._code, reason, ran, RETRY_AFTER)

    def _count(self, call: _Call) -> None:
        """Count a call as a read or a write of the service."""
        if self._account is not None:
            kind = 'writes' if call.writes else 'reads'
            service = self._part.replace(' ', '_')
            self._account.count(f'platform_{service}_{kind}')

    async def _exchange(self, call: _Call) -> _Reply:
        url = URL.build(
            scheme='http',
            host=self._address.ip,
            port=self._address.port,
            path=call.path,
            query=call.query,
        )
        self._count(call)
        request = self._session.request(
            call.method,
            url,
            data=call.body,
            timeout=self._timeout,
            allow_redirects=False,
        )
        async with request as response:
            body = await response.read()
            sent = len(call.body or b'')
            account_for(self._account, self._part, response, sent, len(body))
            return _Reply(response.status, body)


@register('table', _PLUG_IN)
class HttpTable(_Service):
    """The table service; see ``nutmegroad.contracts.platform.Table``."""

    _code = ResultCode.TABLE_UNAVAILABLE
    _part = 'table'

    async def read(self, key: RowKey) -> Row | Refusal:
        """Return a row; one that was never written has ``ABSENT``."""
        call = _Call('/table/row', query={'key': key})
        return await self._ask(call, Row)

    async def scan(self, prefix: str) -> tuple[Row, ...] | Refusal:
        """Return the rows whose keys begin with ``prefix``, in order."""
        call = _Call('/table/rows', query={'prefix': prefix})
        body = await self._ask(call, RowsBody)
        return body if isinstance(body, Refusal) else body.rows

    async def commit(
        self,
        writes: tuple[RowWrite, ...],
    ) -> tuple[Row, ...] | Conflict | Refusal:
        """Do all the writes or none, and return the new rows."""
        call = _Call('/table/commit', 'POST', body=encode(CommitBody(writes)))
        reply = await self._send(call)
        if isinstance(reply, Refusal):
            return reply
        if reply.status == HTTPStatus.CONFLICT:
            conflict = self._parse(call, reply, ConflictBody)
            if isinstance(conflict, Refusal):
                return conflict
            return Conflict(conflict.row)
        if reply.status != HTTPStatus.OK:
            return self._unexpected(call, reply)
        body = self._parse(call, reply, RowsBody)
        return body if isinstance(body, Refusal) else body.rows


@register('objects', _PLUG_IN)
class HttpObjects(_Service):
    """The object store; see ``nutmegroad.contracts.platform.Objects``."""

    _code = ResultCode.OBJECT_UNAVAILABLE
    _part = 'objects'

    async def put(self, name: str, content: bytes) -> Refusal | None:
        """Store an object; storing the same again changes nothing."""
        call = _Call(f'/objects/{name}', 'PUT', body=content)
        reply = await self._send(call)
        if isinstance(reply, Refusal):
            return reply
        if reply.status == HTTPStatus.CONFLICT:
            reason = f'The object {name!r} is stored with other content.'
            return Refusal(ResultCode.OBJECT_UNAVAILABLE, reason)
        if reply.status != HTTPStatus.NO_CONTENT:
            return self._unexpected(call, reply)
        return None

    async def fetch(self, name: str) -> bytes | Refusal:
        """Return an object's content."""
        call = _Call(f'/objects/{name}')
        reply = await self._send(call)
        if isinstance(reply, Refusal):
            return reply
        if reply.status == HTTPStatus.NOT_FOUND:
            reason = f'There is no object {name!r}.'
            return Refusal(ResultCode.OBJECT_MISSING, reason)
        if reply.status != HTTPStatus.OK:
            return self._unexpected(call, reply)
        return reply.body

    async def names(self, prefix: str) -> tuple[str, ...] | Refusal:
        """Return the names that begin with ``prefix``, in order."""
        call = _Call('/objects', query={'prefix': prefix})
        body = await self._ask(call, NamesBody)
        return body if isinstance(body, Refusal) else body.names


@register('host list', _PLUG_IN)
class HttpHostList(_Service):
    """The host list; see ``nutmegroad.contracts.platform.HostList``."""

    _code = ResultCode.HOST_LIST_UNAVAILABLE
    _part = 'host list'

    async def listing(self) -> Listing | Refusal:
        """Return the list as the platform has it."""
        body = await self._ask(_Call('/hosts'), ListingBody)
        return body if isinstance(body, Refusal) else body.to_listing()


@register('ratings', _PLUG_IN)
class HttpRatings(_Service):
    """The rating service; see ``nutmegroad.contracts.platform.Ratings``."""

    _code = ResultCode.RATINGS_UNAVAILABLE
    _part = 'ratings'

    async def submit(self, answer: RatedAnswer) -> Refusal | None:
        """Hand an answer in for rating."""
        call = _Call('/ratings/answers', 'POST', body=encode(answer))
        return await self._tell(call, HTTPStatus.ACCEPTED)

    async def feed(self, after: int) -> tuple[Rating, ...] | Refusal:
        """Return ratings whose position is greater than ``after``."""
        call = _Call('/ratings/feed', query={'after': str(after)})
        body = await self._ask(call, RatingsBody)
        return body if isinstance(body, Refusal) else body.ratings


@register('weights', _PLUG_IN)
class HttpWeights(_Service):
    """The weight store; see ``nutmegroad.contracts.platform.Weights``."""

    _code = ResultCode.WEIGHTS_UNAVAILABLE
    _part = 'weights'

    async def loads_per_minute(self) -> float | Refusal:
        """Return how many weight loads a minute the store serves."""
        body = await self._ask(_Call('/weights/rate'), LoadRateBody)
        return body if isinstance(body, Refusal) else body.loads_per_minute
