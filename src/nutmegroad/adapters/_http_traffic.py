"""Accounting of the HTTP traffic that the control plane causes."""

from typing import Final

from aiohttp import ClientResponse

from nutmegroad.foundations.accounting import Account

#: Bytes that a header adds to its name and value: colon, space and CRLF.
_HEADER_OVERHEAD: Final = 4
#: Bytes of the status line ``HTTP/1.1 200 OK`` and the empty line. The same is
#: added for a request, whose method and path are counted separately.
_HEAD_OVERHEAD: Final = 19


def record_exchange(
    account: Account | None,
    part: str,
    response: ClientResponse,
    sent: int,
    received: int,
) -> None:
    """Add the bytes of an exchange to the traffic of a part.

    The size of the heads is estimated from their fields.

    Args:
        account: Records the bytes; None to record nothing.
        part: Name of the part that caused the exchange.
        response: The response.
        sent: Bytes of the request's body.
        received: Bytes of the response's body.
    """
    if account is None:
        return
    request = response.request_info
    target_size = len(request.method) + len(request.url.raw_path_qs)
    request_headers = sum(
        len(name) + len(text) + _HEADER_OVERHEAD
        for name, text in request.headers.items()
    )
    response_headers = sum(
        len(name) + len(text) + _HEADER_OVERHEAD
        for name, text in response.raw_headers
    )
    account.add_sent(
        part, _HEAD_OVERHEAD + target_size + request_headers + sent
    )
    account.add_received(part, _HEAD_OVERHEAD + response_headers + received)
