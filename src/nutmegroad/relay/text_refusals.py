"""Refusals of requests that were not parsed, as text like all others."""

import re
from http import HTTPStatus
from typing import Final

from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import RequestId
from nutmegroad.relay.refusals import caller_refusal
from nutmegroad.routes.headers import HeaderNames

_RESPONSE: Final = (
    'HTTP/1.1 {status} {phrase}\r\n'
    'Content-Type: text/plain; charset=utf-8\r\n'
    'Content-Length: {length}\r\n'
    'Retry-After: {retry_after:.2f}\r\n'
    'Connection: close\r\n\r\n{text}'
)


class TextRefusals:
    """Writes refusals as text, and finds the ids that callers send.

    Args:
        names: The deployment's header names.
    """

    def __init__(self, names: HeaderNames) -> None:
        self._request_id = re.compile(
            rb'\r\n%s:[ \t]*([^\r\n]*)' % re.escape(names.request_id.encode()),
            re.IGNORECASE,
        )

    def request_id(self, request: bytes) -> RequestId:
        """Return the id that the caller sent; empty if there is none."""
        found = self._request_id.search(request)
        return RequestId(
            '' if found is None else found.group(1).decode('latin-1')
        )

    def encode(self, refusal: Refusal, request: RequestId) -> bytes:
        """Return a complete HTTP response that closes the connection."""
        sent = caller_refusal(refusal)
        return _RESPONSE.format(
            status=sent.status,
            phrase=HTTPStatus(sent.status).phrase,
            length=len(sent.text),
            retry_after=sent.retry_after,
            text=sent.text,
        ).encode()
