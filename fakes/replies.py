"""JSON responses of the stand-ins for upstreams."""

from http import HTTPStatus

import msgspec
from aiohttp import web


def json_reply(body: object, status: int = HTTPStatus.OK) -> web.Response:
    """Return a response with a JSON body."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type='application/json',
    )


def error_reply(status: HTTPStatus, code: str) -> web.Response:
    """Return an error response in the format of the model API."""
    return json_reply({'error': {'code': code}}, status)
