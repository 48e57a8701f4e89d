"""Refuses requests of new connections without parsing them.

A host that has no time for a request has little for its refusal either. What
is needed of the request is that it has been received completely: the caller
could miss the refusal otherwise.
"""

import re
import socket
from contextlib import suppress
from typing import Final, Protocol

from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import RequestId

_LOG: Final = part_logger('overload')

#: Seconds after which a refused caller should retry: as a rule at another host,
#: and at this one when most of the present queue has been served or refused.
RETRY_AFTER: Final = 0.2

#: Refusal of a connection for which a host has no descriptor.
NO_ROOM: Final = Refusal(
    ResultCode.HOST_CONNECTIONS_SHORT,
    'All connections of this host are in use.',
    retry_after=RETRY_AFTER,
)

#: Maximum bytes of a request that is refused without parsing.
_MAX_BYTES: Final = 65_536

_HEAD_END: Final = b'\r\n\r\n'
_LENGTH: Final = re.compile(
    rb'\r\ncontent-length:[ \t]*(\d{1,9})[ \t]*\r', re.I
)
_CHUNKED: Final = re.compile(rb'\r\ntransfer-encoding:', re.I)


class RefusalFormat(Protocol):
    """Writes the refusals of a program."""

    def request_id(self, request: bytes) -> RequestId:
        """Return the id of a request, as received from its caller."""

    def encode(self, refusal: Refusal, request: RequestId) -> bytes:
        """Return a complete HTTP response that closes the connection."""


class UnservedCounters(Protocol):
    """Counts connections that are not served."""

    def departed_unread(self) -> None:
        """Count a caller that left before its request was read."""

    def refused(self, code: ResultCode) -> None:
        """Count a refusal by its result code."""


class QuickRefusals:
    """Refuses requests that have waited too long to be read.

    Args:
        refusals: Writes the refusals.
        counters: The host's metrics.
    """

    def __init__(
        self,
        refusals: RefusalFormat,
        counters: UnservedCounters,
    ) -> None:
        self._refusals = refusals
        self._counters = counters

    def departed(self) -> None:
        """Count a caller that left before its request was read."""
        self._counters.departed_unread()

    def refuse(self, connection: socket.socket, waited: float) -> bool:
        """Refuse the request of a connection; return False if it can't be."""
        try:
            request = connection.recv(_MAX_BYTES, socket.MSG_PEEK)
        except OSError:
            # Nothing has arrived, or the connection was reset.
            return False
        if not _is_complete(request):
            return False
        request_id = self._refusals.request_id(request)
        answer = self._refusals.encode(_refusal(waited), request_id)
        with suppress(OSError):
            # What stays unread would reset the connection.
            connection.recv(len(request))
            connection.send(answer)
        connection.close()
        self._log(request_id, waited)
        return True

    def turn_away(self, connection: socket.socket) -> None:
        """Refuse a connection without waiting for its request."""
        self._counters.refused(ResultCode.HOST_CONNECTIONS_SHORT)
        answer = self._refusals.encode(NO_ROOM, self._refusals.request_id(b''))
        with suppress(OSError):
            connection.send(answer)
            connection.shutdown(socket.SHUT_WR)
            # What stays unread would reset the connection.
            connection.recv(_MAX_BYTES)
        connection.close()

    def _log(self, request: RequestId, waited: float) -> None:
        """Log and count a refusal."""
        self._counters.refused(ResultCode.HOST_OVERLOADED)
        _LOG.decision(
            'refused',
            request=request,
            code=ResultCode.HOST_OVERLOADED.name,
            ran='not_run',
            waited=round(waited, 3),
            retry_after=RETRY_AFTER,
        )


def _refusal(waited: float) -> Refusal:
    """Return the refusal of a request that waited for some seconds."""
    return Refusal(
        ResultCode.HOST_OVERLOADED,
        f'This host is overloaded; the request waited for {waited:.2f} s.',
        retry_after=RETRY_AFTER,
    )


def _is_complete(request: bytes) -> bool:
    """Return whether a request with all of its body is there."""
    head, end, body = request.partition(_HEAD_END)
    if not end or _CHUNKED.search(head):
        return False
    length = _LENGTH.search(request)
    return length is None or len(body) >= int(length.group(1))
