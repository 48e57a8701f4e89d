"""Accounts for exchanges over HTTP: what control costs beside the mesh."""

from typing import Final

from aiohttp import ClientResponse

from nutmegroad.foundations.accounting import Account

#: A header's colon, blank and line end.
_HEADER: Final = 4
#: ``HTTP/1.1 200 OK`` and the empty line, or ``GET / HTTP/1.1`` likewise.
_LINES: Final = 19


def account_for(
    account: Account | None,
    part: str,
    response: ClientResponse,
    sent: int,
    received: int,
) -> None:
    """Charge an exchange to a part.

    Args:
        account: Where it is written; None for nowhere.
        part: Whose cost it is.
        response: The response.
        sent: Bytes of the request's body.
        received: Bytes of the response's body.
    """
    if account is None:
        return
    request = response.request_info
    line = len(request.method) + len(request.url.raw_path_qs)
    asked = sum(
        len(name) + len(text) + _HEADER
        for name, text in request.headers.items()
    )
    answered = sum(
        len(name) + len(text) + _HEADER for name, text in response.raw_headers
    )
    account.sent(part, _LINES + line + asked + sent)
    account.received(part, _LINES + answered + received)
