"""Refusals of requests that were not parsed, as JSON like all others."""

from collections.abc import Callable

from nutmegroad.callers._incoming_requests import new_request_id
from nutmegroad.callers.replies import error_body, refuse
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import RequestId
from nutmegroad.kernel.core import Kernel
from nutmegroad.overload.quick_refusals import QuickRefusals, UnservedCounters


def make_quick_refusals(
    kernel: Kernel,
    counters: UnservedCounters,
) -> QuickRefusals:
    """Return what refuses requests that an overloaded host does not read.

    Args:
        kernel: Provides what request ids are made of.
        counters: The host's metrics.
    """
    return QuickRefusals(make_json_refusals(kernel), counters)


def make_json_refusals(kernel: Kernel) -> 'JsonRefusals':
    """Return what writes refusals with ids of this host's own."""
    return JsonRefusals(
        lambda: new_request_id(kernel.incarnation, kernel.randomness)
    )


class JsonRefusals:
    """Writes refusals as JSON.

    Args:
        new_id: Returns a new request id.
    """

    def __init__(self, new_id: Callable[[], RequestId]) -> None:
        self._new_id = new_id

    def request_id(self, request: bytes) -> RequestId:
        """Return a new id; callers of this interface don't send one."""
        return self._new_id()

    def encode(self, refusal: Refusal, request: RequestId) -> bytes:
        """Return a complete HTTP response that closes the connection."""
        reply = refuse(refusal, request)
        body = error_body(refusal)
        headers = {
            **reply.headers,
            'Content-Length': str(len(body)),
            'Connection': 'close',
        }
        lines = (f'{name}: {text}\r\n' for name, text in headers.items())
        status = f'HTTP/1.1 {reply.status} {reply.reason}\r\n'
        return ''.join((status, *lines, '\r\n')).encode() + body
