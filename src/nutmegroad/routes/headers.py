"""Headers: whose they are, and which may pass.

The names are the deployment's and come with its adapter. A header that only
the system may set is dropped from what a caller sends.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property
from typing import Final

RawHeaders = tuple[tuple[bytes, bytes], ...]

#: Concern one connection only (RFC 9110, section 7.6.1), or are made anew
#: for each exchange.
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
    """What the headers of a deployment are called.

    Attributes:
        request_id: Names one request of a caller.
        deadline: Milliseconds that the caller will wait.
        expected_upstream: Id of the only upstream that may run it.
        workspace: Name of the caller's workspace, for the upstream.
        signature: An upstream's proof that an answer is its own.
        not_run: Proof of an upstream that it did not run a request.
        model: The model that is to answer.
        usage: Tokens of the prompt and most tokens of the answer.
        prompt_parts: The parts of the prompt.
        length_hint: The caller's guess of the answer's tokens.
        session: Requests that belong together.
        last_event: Id of the last event that the caller has.
        priority: Rank at the upstream, 0 first.
        confidence: The model's own opinion of its answer, 0 to 100.
        fetch_from: Address of an upstream that holds parts of the prompt.
        system_only: Headers that no caller may set.
    """

    request_id: str
    deadline: str
    expected_upstream: str
    workspace: str
    signature: str
    not_run: str
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
    def set_by_us(self) -> frozenset[bytes]:
        """Return the names, in lower case, that we set or drop."""
        ours = (
            self.deadline,
            self.expected_upstream,
            self.workspace,
            self.priority,
            'authorization',
            *self.system_only,
        )
        return frozenset(name.lower().encode() for name in ours)

    @cached_property
    def kept_always(self) -> frozenset[bytes]:
        """Return names that a caller's Connection header can't remove."""
        kept = (
            self.request_id,
            self.model,
            self.usage,
            self.prompt_parts,
            self.last_event,
            'host',
        )
        return frozenset(name.lower().encode() for name in kept)


def end_to_end(headers: RawHeaders) -> RawHeaders:
    """Return the headers that do not concern one connection only."""
    nominated = _nominated(headers)
    return tuple(
        (name, text)
        for name, text in headers
        if name.lower() not in HOP_BY_HOP and name.lower() not in nominated
    )


def forwarded(headers: RawHeaders, names: HeaderNames) -> RawHeaders:
    """Return what of a caller's headers goes to an upstream."""
    dropped = names.set_by_us
    nominated = _nominated(headers) - names.kept_always
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
    """Tell whether a header stays behind; its name is in lower case."""
    return name in HOP_BY_HOP or name in dropped or name in nominated


def _nominated(headers: Iterable[tuple[bytes, bytes]]) -> frozenset[bytes]:
    """Return the names that Connection headers list, in lower case."""
    return frozenset(
        word.strip().lower()
        for name, text in headers
        if name.lower() == b'connection'
        for word in text.split(b',')
    )
