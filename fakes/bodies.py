"""Helpers for JSON bodies and queries in the stand-ins' handlers."""

from http import HTTPStatus
from typing import Any, TypeVar

from aiohttp import web
from msgspec import DecodeError
from msgspec.json import decode, encode

_Body = TypeVar('_Body')


async def read_body(request: web.Request, body_type: type[_Body]) -> _Body:
    """Return a request's JSON body as an instance of a type.

    Raises:
        HTTPBadRequest: If the body can't be decoded as that type.
    """
    try:
        return decode(await request.read(), type=body_type)
    except (DecodeError, UnicodeDecodeError) as error:
        raise web.HTTPBadRequest(text=f'invalid body: {error}') from error


def json_reply(
    body: Any,
    status: HTTPStatus = HTTPStatus.OK,
) -> web.Response:
    """Return a response with a JSON body."""
    return web.Response(
        body=encode(body),
        status=status,
        content_type='application/json',
    )


def no_content() -> web.Response:
    """Return an empty response with status 204."""
    return web.Response(status=HTTPStatus.NO_CONTENT)


def query_text(request: web.Request, name: str) -> str:
    """Return a query parameter.

    Raises:
        HTTPBadRequest: If the parameter is missing.
    """
    if name not in request.query:
        raise web.HTTPBadRequest(text=f'query parameter {name!r} is missing')
    return request.query[name]
