"""JSON bodies in and out of the stand-ins' handlers."""

from http import HTTPStatus
from typing import Any, TypeVar

from aiohttp import web
from msgspec import DecodeError
from msgspec.json import decode, encode

_Body = TypeVar('_Body')


async def read_body(request: web.Request, kind: type[_Body]) -> _Body:
    """Return a request's body.

    Raises:
        HTTPBadRequest: If it is not of that kind.
    """
    try:
        return decode(await request.read(), type=kind)
    except (DecodeError, UnicodeDecodeError) as error:
        raise web.HTTPBadRequest(text=f'The body is wrong: {error}.') from error


def json_reply(
    body: Any,
    status: HTTPStatus = HTTPStatus.OK,
) -> web.Response:
    """Return a reply whose body is JSON."""
    return web.Response(
        body=encode(body),
        status=status,
        content_type='application/json',
    )


def no_content() -> web.Response:
    """Return the reply of a call that has nothing to say."""
    return web.Response(status=HTTPStatus.NO_CONTENT)


def query_text(request: web.Request, name: str) -> str:
    """Return a parameter of the query.

    Raises:
        HTTPBadRequest: If it is missing.
    """
    if name not in request.query:
        raise web.HTTPBadRequest(text=f'The parameter {name!r} is missing.')
    return request.query[name]
