"""Hypothesis strategies for the fuzz tests.

They give HTTP bodies, complete HTTP requests, and frames between linked hosts.
"""

import json
from typing import Any, Final

from hypothesis import strategies as st
from msgspec import inspect

from nutmegroad.contracts.peers import Message
from nutmegroad.membership._connection import FrameKind, pack_frame

NUMBERS: Final = st.integers() | st.floats() | st.integers().map(lambda n: n**9)
JSON: Final = st.recursive(
    st.none() | st.booleans() | NUMBERS | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
#: Field names of callers' chat requests.
CHAT: Final = ('model', 'messages', 'stream', 'max_tokens', 'stop', 'user')
#: Field names of operators' requests.
ORDER: Final = ('preset', 'expected', 'text', 'version', 'action', 'fields')
LATIN: Final = st.text(
    st.characters(max_codepoint=255, exclude_characters='\r\n\0'),
    max_size=60,
)
HEADERS: Final = st.dictionaries(
    st.sampled_from(
        (
            'Idempotency-Key',
            'Nutmegroad-Session',
            'Nutmegroad-Deadline-Ms',
            'Nutmegroad-Priority',
            'Nutmegroad-Ticket',
            'Content-Type',
            'Content-Encoding',
            'Transfer-Encoding',
            'Expect',
            'Upgrade',
            'Connection',
        ),
    ),
    LATIN,
    max_size=3,
)
CALLER_PATHS: Final = (
    '/v1/chat/completions',
    '/v1/models',
    '/v1/tickets',
    '/v1/services/licence-portal/status/1',
)
OPERATOR_PATHS: Final = (
    '/operators/configuration',
    '/operators/configuration/diff',
    '/operators/configuration/progress?revision=x',
    '/operators/preset',
    '/operators/withdrawals',
    '/operators/rollouts',
    '/operators/prepared',
    '/operators/workspaces/head-office',
    '/operators/hosts/h9/drain',
    '/operators/requests/h9.1-1',
    '/metrics',
)


def bodies(names: tuple[str, ...]) -> st.SearchStrategy[bytes]:
    """Return bodies: objects with expected names, other JSON, or any bytes."""
    keys = st.sampled_from(names) | st.text()
    objects = st.dictionaries(keys, JSON, max_size=4)
    return (objects | JSON).map(lambda body: json.dumps(body).encode()) | (
        st.binary(max_size=200)
    )


@st.composite
def requests(
    draw: Any,
    paths: tuple[str, ...],
    names: tuple[str, ...],
    secret: str,
) -> bytes:
    """Return an HTTP request, possibly invalid or cut off, or any bytes."""
    if draw(st.integers(0, 4)) == 0:
        return bytes(draw(st.binary(max_size=300)))
    body = draw(bodies(names))
    method = draw(st.sampled_from(('POST', 'GET', 'PUT', 'DELETE', 'x')))
    path = draw(st.sampled_from(paths) | LATIN)
    lines = [f'{method} {path} HTTP/1.1', 'Host: h', 'Connection: close']
    lines.append(f'Authorization: Bearer {draw(st.just(secret) | LATIN)}')
    lines.extend(f'{name}: {text}' for name, text in draw(HEADERS).items())
    length = draw(st.just(len(body)) | st.integers(-1, 10**9))
    lines.append(f'Content-Length: {length}')
    request = '\r\n'.join((*lines, '', '')).encode('latin-1') + body
    cut = draw(st.just(len(request)) | st.integers(0, len(request)))
    return bytes(request[:cut])


def _with_subclasses(message_type: type[Message]) -> list[type[Message]]:
    """Return a message type and all its subclasses."""
    types = [message_type]
    for subclass in message_type.__subclasses__():
        types.extend(_with_subclasses(subclass))
    return types


@st.composite
def frames(draw: Any) -> bytes:
    """Return a frame of a linked host, possibly invalid, or any bytes."""
    choice = draw(st.integers(0, 4))
    if choice == 0:
        return bytes(draw(st.binary(max_size=200)))
    if choice == 1:
        # An array, map, text or binary whose length field is far too large.
        marker = draw(st.sampled_from((b'\xdd', b'\xdf', b'\xdb', b'\xc6')))
        header = marker + b'\xff\xff\xff\xff'
        return bytes(header + draw(st.binary(max_size=9)))
    types = sorted(_with_subclasses(Message), key=lambda one: one.__name__)
    message_type = draw(st.sampled_from(types))
    body = draw(content_of(inspect.type_info(message_type)) | WIRE)
    kind = draw(st.sampled_from(list(FrameKind)))
    frame = pack_frame(kind, draw(st.integers(0, 2**40)), body)
    cut = draw(st.just(len(frame)) | st.integers(0, len(frame)))
    return bytes(frame[:cut])


#: Any plain data that MessagePack can encode.
WIRE: Final = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**63)
    | st.floats()
    | st.text(max_size=10)
    | st.binary(max_size=10),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


def content_of(kind: inspect.Type) -> st.SearchStrategy[Any]:
    """Return plain data of a type; now and then any other plain data."""
    plain = _plain(kind)
    return st.integers(0, 30).flatmap(lambda one: plain if one else WIRE)


def _plain(kind: inspect.Type) -> st.SearchStrategy[Any]:
    """Return plain data of a type; nested data may be of another type."""
    match kind:
        case inspect.StructType(fields=fields):
            return _struct(kind, [content_of(one.type) for one in fields])
        case inspect.VarTupleType() | inspect.ListType():
            return st.lists(content_of(kind.item_type), max_size=3)
        case inspect.TupleType():
            return st.tuples(*map(content_of, kind.item_types))
        case inspect.DictType():
            keys = content_of(kind.key_type).filter(lambda key: key.__hash__)
            return st.dictionaries(
                keys, content_of(kind.value_type), max_size=3
            )
        case inspect.UnionType():
            return st.one_of(*map(_plain, kind.types))
        case inspect.EnumType():
            return st.sampled_from([one.value for one in kind.cls])
    return SCALARS.get(type(kind), WIRE)


def _struct(
    kind: inspect.StructType,
    fields: list[st.SearchStrategy[Any]],
) -> st.SearchStrategy[Any]:
    """Return the plain form of a struct: an array or a map."""
    if kind.array_like:
        return st.tuples(*fields)
    names = [field.encode_name for field in kind.fields]
    plain = st.fixed_dictionaries(dict(zip(names, fields, strict=True)))
    if kind.tag is None:
        return plain
    return plain.map(lambda body: {kind.tag_field: kind.tag, **body})


#: Texts, some of which are ids that occur in a deployment.
TEXTS: Final = st.text(max_size=5) | st.sampled_from(
    ('h1', 'h9', 'shah-alam', 'petaling', 'brief-small@2', 'checklist-tag'),
)
SCALARS: Final = {
    inspect.IntType: st.integers(-1, 9) | st.integers(-(2**63), 2**64 - 1),
    inspect.FloatType: st.floats(0, 9) | st.floats(),
    inspect.BoolType: st.booleans(),
    inspect.StrType: TEXTS,
    inspect.BytesType: st.binary(max_size=20),
    inspect.NoneType: st.none(),
}
