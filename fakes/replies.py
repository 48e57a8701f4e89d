"""Replies that the stand-ins for upstreams send."""

from http import HTTPStatus

import msgspec
from aiohttp import web


def json_reply(reply: object, status: int = HTTPStatus.OK) -> web.Response:
    """Return a JSON reply."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(reply),
        content_type='application/json',
    )


def error_reply(status: HTTPStatus, code: str) -> web.Response:
    """Return an error in the model API's shape."""
    return json_reply({'error': {'code': code}}, status)
