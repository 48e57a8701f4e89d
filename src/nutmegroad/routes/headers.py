"""Header names of a deployment, and rules for forwarding headers.

The names come with the deployment's adapter. A header that only the system may
set is removed from a caller's request.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property
from typing import Final

#: Names and values of headers as received, in order.
RawHeaders = tuple[tuple[bytes, bytes], ...]

#: Headers that concern one connection only (RFC 9110, section 7.6.1), or that
#: are written anew for each exchange.
HOP_BY_HOP: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    ),
)


@dataclass(frozen=True)
class HeaderNames:
    """Names of a deployment's headers.

    Attributes:
        request_id: Id of a caller's request.
        deadline: Milliseconds that the caller will wait.
        expected_upstream: Id of the only upstream that may execute the request.
        workspace: Name of the caller's workspace, sent to the upstream.
        signature: Proof by an upstream that a response is its own.
        not_executed: Proof by an upstream that it did not execute a request.
        brittle: Number of requests that an upstream may reject in a second
            without terminating.
        request_limit: Number of requests in a second that an upstream takes
            from all hosts together.
        model: Name of the model that is to answer.
        usage: Number of prompt tokens and maximum number of answer tokens.
        prompt_parts: Ids and sizes of the parts of the prompt.
        length_hint: The caller's estimate of the number of answer tokens.
        session: Session id of the request.
        last_event: Id of the last event that the caller has received.
        priority: Rank at the upstream; 0 is served first.
        confidence: The model's confidence in its answer, from 0 to 100.
        fetch_from: Address of an upstream that caches parts of the prompt.
        system_only: Headers that no caller may set.
    """

    request_id: str
    deadline: str
    expected_upstream: str
    workspace: str
    signature: str
    not_executed: str
    brittle: str
    request_limit: str
    model: str
    usage: str
    prompt_parts: str
    length_hint: str
    session: str
    last_event: str
    priority: str
    confidence: str
    fetch_from: str
    system_only: tuple[str, ...]

    @cached_property
    def reserved(self) -> frozenset[bytes]:
        """Headers, in lower case, that the relay sets or removes."""
        set_or_removed = (
            self.deadline,
            self.expected_upstream,
            self.workspace,
            self.priority,
            'authorization',
            *self.system_only,
        )
        return frozenset(name.lower().encode() for name in set_or_removed)

    @cached_property
    def protected(self) -> frozenset[bytes]:
        """Headers that a caller's Connection header can't remove."""
        names = (
            self.request_id,
            self.model,
            self.usage,
            self.prompt_parts,
            self.last_event,
            'host',
        )
        return frozenset(name.lower().encode() for name in names)


def end_to_end(headers: RawHeaders) -> RawHeaders:
    """Return the end-to-end headers, without the hop-by-hop ones."""
    nominated = _nominated(headers)
    return tuple(
        (name, text)
        for name, text in headers
        if name.lower() not in HOP_BY_HOP and name.lower() not in nominated
    )


def forwarded_headers(headers: RawHeaders, names: HeaderNames) -> RawHeaders:
    """Return the headers of a caller that are forwarded to an upstream."""
    dropped = names.reserved
    nominated = _nominated(headers) - names.protected
    return tuple(
        (name, text)
        for name, text in headers
        if not _is_dropped(name.lower(), dropped, nominated)
    )


def _is_dropped(
    name: bytes,
    dropped: frozenset[bytes],
    nominated: frozenset[bytes],
) -> bool:
    """Return whether a header is removed; its name is in lower case."""
    return name in HOP_BY_HOP or name in dropped or name in nominated


def _nominated(headers: Iterable[tuple[bytes, bytes]]) -> frozenset[bytes]:
    """Return the names listed in Connection headers, in lower case."""
    return frozenset(
        word.strip().lower()
        for name, text in headers
        if name.lower() == b'connection'
        for word in text.split(b',')
    )
