"""HTTP clients for the platform's services.

Each call is made once; the caller decides whether to retry. (aiohttp itself
repeats a GET or a PUT if a kept-alive connection turns out to be closed; both
are idempotent.)
"""

from dataclasses import dataclass, field
from http import HTTPStatus
from typing import ClassVar, Final, TypeVar

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)
from msgspec.json import encode
from yarl import URL

from nutmegroad.adapters._complete_responses import CompleteResponse
from nutmegroad.adapters._host_listings import decode_listing
from nutmegroad.adapters._http_traffic import record_exchange
from nutmegroad.adapters._platform_bodies import (
    CommitBody,
    ConflictBody,
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
from nutmegroad.foundations.decoding import UndecodableError, decode_json
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Address, Ran
from nutmegroad.kernel.registry import register

#: Timeout of a call in seconds. The platform answers in milliseconds; rather
#: than wait longer, a caller should go on without it.
CALL_TIMEOUT: Final = 2.0
#: Seconds after which a failed call may be retried.
RETRY_AFTER: Final = 1.0

_LOG: Final = part_logger('platform')

_PLUGIN_NAME: Final = 'http'
_GET: Final = 'GET'
_Body = TypeVar('_Body')


@dataclass(frozen=True, slots=True)
class _Call:
    """A request to a service of the platform."""

    path: str
    method: str = _GET
    query: dict[str, str] = field(default_factory=dict)
    body: bytes | None = None

    @property
    def is_write(self) -> bool:
        """Whether the request may change data of the platform."""
        return self.method != _GET


@dataclass(frozen=True, slots=True)
class _Reply:
    """A reply with any status."""

    status: int
    body: bytes


def open_session() -> ClientSession:
    """Return a client session for all services of the platform."""
    return ClientSession(
        connector=TCPConnector(limit=0),
        response_class=CompleteResponse,
    )


class _Service:
    """Client of one service, which converts failures into refusals.

    Args:
        session: Sends the requests; its owner closes it.
        address: Address of the platform.
        timeout: Timeout of a call in seconds.
        account: Records the traffic of the calls; None to record nothing.
    """

    #: Code of the refusals for failed calls.
    _code: ClassVar[ResultCode]
    #: Name under which traffic and calls are recorded.
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
        """Make a call once; a failure becomes a refusal."""
        try:
            return await self._exchange(call)
        except ClientConnectorError as error:
            # Without a connection, nothing can have been sent.
            return self._refusal(f'could not be reached: {error}', Ran.NOT_RUN)
        except TimeoutError:
            seconds = self._timeout.total
            problem = f'did not answer within {seconds} seconds'
            return self._failure(call, problem)
        except (ClientError, OSError) as error:
            return self._failure(call, f'failed to reply: {error!r}')

    async def _fetch_body(
        self, call: _Call, kind: type[_Body]
    ) -> _Body | Refusal:
        """Make a call and decode its reply, which must have status 200."""
        reply = await self._fetch(call)
        if isinstance(reply, Refusal):
            return reply
        return self._parse(call, reply, kind)

    async def _fetch(self, call: _Call) -> _Reply | Refusal:
        """Make a call whose reply must have status 200."""
        reply = await self._send(call)
        if isinstance(reply, Refusal) or reply.status == HTTPStatus.OK:
            return reply
        return self._refuse_status(call, reply)

    async def _send_expecting(
        self, call: _Call, expected: HTTPStatus
    ) -> Refusal | None:
        """Make a call whose successful reply has no body."""
        reply = await self._send(call)
        if isinstance(reply, Refusal):
            return reply
        if reply.status != expected:
            return self._refuse_status(call, reply)
        return None

    def _parse(
        self,
        call: _Call,
        reply: _Reply,
        kind: type[_Body],
    ) -> _Body | Refusal:
        """Decode the JSON body of a reply."""
        try:
            return decode_json(reply.body, kind)
        except UndecodableError as error:
            return self._failure(call, f'sent a malformed reply: {error}')

    def _refuse_status(self, call: _Call, reply: _Reply) -> Refusal:
        """Return the refusal for a reply with an unexpected status."""
        return self._failure(call, f'returned status {reply.status}')

    def _failure(self, call: _Call, problem: str) -> Refusal:
        """Return the refusal for a call that may have been sent.

        A read changes nothing, so it counts as not run.
        """
        ran = Ran.UNKNOWN if call.is_write else Ran.NOT_RUN
        return self._refusal(f'{problem} ({call.method} {call.path})', ran)

    def _refusal(self, problem: str, ran: Ran) -> Refusal:
        """Return a refusal that names the platform's address."""
        reason = f'The platform at {self._address} {problem}.'
        return Refusal(self._code, reason, ran, RETRY_AFTER)

    def _count(self, call: _Call) -> None:
        """Count the call as a read or a write of the service."""
        if self._account is not None:
            kind = 'writes' if call.is_write else 'reads'
            service = self._part.replace(' ', '_')
            self._account.count_event(f'platform_{service}_{kind}')

    async def _exchange(self, call: _Call) -> _Reply:
        """Send a call, receive its reply and record the traffic."""
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
            record_exchange(
                self._account, self._part, response, sent, len(body)
            )
            return _Reply(response.status, body)


@register('table', _PLUGIN_NAME)
class HttpTable(_Service):
    """Client of the table; see ``nutmegroad.contracts.platform.Table``."""

    _code = ResultCode.TABLE_UNAVAILABLE
    _part = 'table'

    async def read(self, key: RowKey) -> Row | Refusal:
        """Return a row; its version is ``ABSENT`` if it was never written."""
        call = _Call('/table/row', query={'key': key})
        return await self._fetch_body(call, Row)

    async def scan(self, prefix: str) -> tuple[Row, ...] | Refusal:
        """Return the rows whose keys begin with ``prefix``, sorted by key."""
        call = _Call('/table/rows', query={'prefix': prefix})
        body = await self._fetch_body(call, RowsBody)
        return body if isinstance(body, Refusal) else body.rows

    async def commit(
        self,
        writes: tuple[RowWrite, ...],
    ) -> tuple[Row, ...] | Conflict | Refusal:
        """Apply all writes or none, and return the new rows."""
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
            return self._refuse_status(call, reply)
        body = self._parse(call, reply, RowsBody)
        return body if isinstance(body, Refusal) else body.rows


@register('objects', _PLUGIN_NAME)
class HttpObjects(_Service):
    """Client of the object store.

    See ``nutmegroad.contracts.platform.Objects``.
    """

    _code = ResultCode.OBJECT_UNAVAILABLE
    _part = 'objects'

    async def put(self, name: str, content: bytes) -> Refusal | None:
        """Store an object; storing the same content again has no effect."""
        call = _Call(f'/objects/{name}', 'PUT', body=content)
        reply = await self._send(call)
        if isinstance(reply, Refusal):
            return reply
        if reply.status == HTTPStatus.CONFLICT:
            reason = f'The object {name!r} already exists with other content.'
            return Refusal(ResultCode.OBJECT_UNAVAILABLE, reason)
        if reply.status != HTTPStatus.NO_CONTENT:
            return self._refuse_status(call, reply)
        return None

    async def fetch(self, name: str) -> bytes | Refusal:
        """Return an object's content."""
        call = _Call(f'/objects/{name}')
        reply = await self._send(call)
        if isinstance(reply, Refusal):
            return reply
        if reply.status == HTTPStatus.NOT_FOUND:
            reason = f'The object {name!r} does not exist.'
            return Refusal(ResultCode.OBJECT_MISSING, reason)
        if reply.status != HTTPStatus.OK:
            return self._refuse_status(call, reply)
        return reply.body

    async def names(self, prefix: str) -> tuple[str, ...] | Refusal:
        """Return the names that begin with ``prefix``, sorted."""
        call = _Call('/objects', query={'prefix': prefix})
        body = await self._fetch_body(call, NamesBody)
        return body if isinstance(body, Refusal) else body.names


@register('host list', _PLUGIN_NAME)
class HttpHostList(_Service):
    """Client of the host list.

    See ``nutmegroad.contracts.platform.HostList``.
    """

    _code = ResultCode.HOST_LIST_UNAVAILABLE
    _part = 'host list'

    def __init__(
        self,
        session: ClientSession,
        address: Address,
        timeout: float = CALL_TIMEOUT,
        account: Account | None = None,
    ) -> None:
        super().__init__(session, address, timeout, account)
        # Why entries of the last list were left out.
        self._rejected: tuple[str, ...] = ()

    async def listing(self) -> Listing | Refusal:
        """Return the current host list, without entries that are invalid."""
        call = _Call('/hosts')
        reply = await self._fetch(call)
        if isinstance(reply, Refusal):
            return reply
        try:
            decoded = decode_listing(reply.body)
        except UndecodableError as error:
            return self._failure(call, f'sent a malformed reply: {error}')
        if decoded.rejected and decoded.rejected != self._rejected:
            _LOG.warning(
                'host list: %d entries left out, the first: %s',
                len(decoded.rejected),
                decoded.rejected[0],
            )
        self._rejected = decoded.rejected
        return decoded.listing


@register('ratings', _PLUGIN_NAME)
class HttpRatings(_Service):
    """Client of the rating service.

    See ``nutmegroad.contracts.platform.Ratings``.
    """

    _code = ResultCode.RATINGS_UNAVAILABLE
    _part = 'ratings'

    async def submit(self, answer: RatedAnswer) -> Refusal | None:
        """Submit an answer to be rated."""
        call = _Call('/ratings/answers', 'POST', body=encode(answer))
        return await self._send_expecting(call, HTTPStatus.ACCEPTED)

    async def feed(self, after: int) -> tuple[Rating, ...] | Refusal:
        """Return ratings whose position is greater than ``after``."""
        call = _Call('/ratings/feed', query={'after': str(after)})
        body = await self._fetch_body(call, RatingsBody)
        return body if isinstance(body, Refusal) else body.ratings


@register('weights', _PLUGIN_NAME)
class HttpWeights(_Service):
    """Client of the weight store.

    See ``nutmegroad.contracts.platform.Weights``.
    """

    _code = ResultCode.WEIGHTS_UNAVAILABLE
    _part = 'weights'

    async def loads_per_minute(self) -> float | Refusal:
        """Return how many weight loads per minute the store serves."""
        body = await self._fetch_body(_Call('/weights/rate'), LoadRateBody)
        return body if isinstance(body, Refusal) else body.loads_per_minute
